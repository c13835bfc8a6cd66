//! Prompts, their tokens and cache chunks, and the answers, which are computed from the prompts.

use std::hash::BuildHasher;

use conf::Name;
use foldhash::fast::FixedState;
use serde::{Deserialize, Serialize};

/// Number of bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Marker in a prompt that sets the length of the answer, as in `answer-tokens=120`. With the marker a workload chooses
/// output lengths that the serving system cannot know in advance.
pub const LENGTH_MARKER: &str = "answer-tokens=";

/// Minimum length of an answer to a prompt without a marker and without `max_tokens`, in tokens.
const DERIVED_TOKENS_MIN: u32 = 16;

/// Number of different lengths of answers to prompts without a marker and without `max_tokens`.
const DERIVED_TOKENS_SPREAD: u64 = 113;

const ANSWER_SEED: u64 = 0x616e_7377_6572;
const LENGTH_SEED: u64 = 0x6c65_6e67_7468;

const WORDS: [&str; 32] = [
    "altar", "batch", "cedar", "damask", "ember", "fern", "garland", "hem", "iris", "jasmine",
    "knot", "linen", "moss", "needle", "olive", "pattern", "quilt", "rose", "seam", "thread",
    "umber", "velvet", "willow", "yarn", "zinnia", "bobbin", "cotton", "dahlia", "lily", "satin",
    "tulip", "wool",
];

/// One message of a chat completion request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user` or `assistant`.
    #[serde(default)]
    pub role: Name,
    /// Text of the message.
    #[serde(default)]
    pub content: Name,
}

/// KV cache that is transferred from one engine to another, as chunk hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Chunk hashes in prompt order, in hexadecimal.
    #[serde(default)]
    pub chunks: Vec<Name>,
}

/// Body of `POST /v1/chat/completions`. Unknown fields are ignored, as real engines ignore them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model name, or `MODEL:ADAPTER`.
    #[serde(default)]
    pub model: Name,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum length of the complete answer including `resume_text`, in tokens. Without a marker, it is the length.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Start of the answer that has already been delivered. The engine continues after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_text: Option<Name>,
    /// KV cache that another engine computed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_import: Option<KvTransfer>,
}

impl ChatRequest {
    /// Returns the prompt as one text with a line `ROLE: CONTENT` for each message.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }

    /// Returns the length of the complete answer, in tokens.
    pub fn answer_tokens(&self) -> u32 {
        let text = self.prompt_text();
        match (marked_tokens(&text), self.max_tokens) {
            (Some(marked), Some(max)) => marked.min(max),
            (Some(tokens), None) | (None, Some(tokens)) => tokens,
            (None, None) => derived_tokens(&text),
        }
    }

    /// Returns the complete answer.
    ///
    /// ```
    /// use standin::prompt::{ChatMessage, ChatRequest};
    ///
    /// let request = ChatRequest {
    ///     messages: vec![ChatMessage { role: "user".into(), content: "Who brings lilies?".into() }],
    ///     max_tokens: Some(3),
    ///     ..ChatRequest::default()
    /// };
    /// assert_eq!(request.answer().split(' ').count(), 3);
    /// ```
    pub fn answer(&self) -> String {
        let text = self.prompt_text();
        answer_text(&text, self.answer_tokens())
    }

    /// Returns the number of tokens in `resume_text`, or `None` if it is not the start of the answer.
    pub fn resume_tokens(&self) -> Option<u32> {
        let Some(resume_text) = self.resume_text.as_ref().filter(|text| !text.is_empty()) else {
            return Some(0);
        };
        let count = u32::try_from(resume_text.split(' ').count()).ok()?;
        let expected = answer_text(&self.prompt_text(), count);
        (expected == resume_text.as_str()).then_some(count)
    }
}

/// Returns the number of tokens in `text`.
pub fn token_count(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns the hashes of the complete chunks of `chunk_tokens` tokens in `text`. Each hash covers the model and all
/// text up to the end of its chunk.
pub fn chunk_hashes(model: &str, text: &str, chunk_tokens: u32) -> Vec<u64> {
    let chunk_bytes = chunk_tokens.max(1) as usize * TOKEN_BYTES;
    let mut hash = FixedState::with_seed(0).hash_one(model);
    text.as_bytes()
        .chunks_exact(chunk_bytes)
        .map(|chunk| {
            hash = FixedState::with_seed(hash).hash_one(chunk);
            hash
        })
        .collect()
}

/// Returns a chunk hash as hexadecimal text, the form that JSON bodies contain.
pub fn format_chunk_hash(hash: u64) -> Name {
    Name::from(format!("{hash:016x}"))
}

/// Parses a chunk hash that [`format_chunk_hash`] formatted.
pub fn parse_chunk_hash(name: &str) -> Option<u64> {
    u64::from_str_radix(name, 16).ok()
}

/// Returns the seed that [`token_text`] takes for answers to this prompt.
pub fn answer_seed(prompt_text: &str) -> u64 {
    FixedState::with_seed(ANSWER_SEED).hash_one(prompt_text)
}

/// Returns the text of token `index` of the answer with `seed`. All tokens except the first begin with a space.
pub fn token_text(seed: u64, index: u32) -> Name {
    let hash = FixedState::with_seed(seed).hash_one(index);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    match index {
        0 => Name::from_static_str(word),
        _ => Name::from(format!(" {word}")),
    }
}

fn answer_text(prompt_text: &str, tokens: u32) -> String {
    let seed = answer_seed(prompt_text);
    let mut text = String::new();
    for index in 0..tokens {
        text.push_str(&token_text(seed, index));
    }
    text
}

fn marked_tokens(text: &str) -> Option<u32> {
    let (_, after) = text.rsplit_once(LENGTH_MARKER)?;
    let end = after
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(after.len());
    after[..end].parse().ok()
}

fn derived_tokens(text: &str) -> u32 {
    let hash = FixedState::with_seed(LENGTH_SEED).hash_one(text);
    DERIVED_TOKENS_MIN + (hash % DERIVED_TOKENS_SPREAD) as u32
}
