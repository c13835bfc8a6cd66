//! Parses chat requests: estimates the prompt's tokens and hashes the prompt's chunks for the reducer.

use std::hash::BuildHasher;

use foldhash::fast::FixedState;
use serde_json::Value;

/// Size of a chunk of the prefix cache, in bytes: 4,000 tokens of 4 bytes.
pub const CHUNK_BYTES: usize = 16_000;

/// Assumed average size of a token, in bytes.
const TOKEN_BYTES: usize = 4;

/// The fields of a chat request that the reducer and the answer need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChatRequest {
    /// Model name, or `MODEL:ADAPTER`.
    pub model: String,
    /// Whether the caller requested the answer as a stream of events.
    pub stream: bool,
    /// Limit on output tokens, if set.
    pub max_tokens: Option<u32>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's full chunks.
    pub chunk_hashes: Vec<u64>,
}

/// Parses a chat request from its JSON body.
///
/// # Errors
/// Returns a message for the caller that says what is wrong with the body.
pub fn parse_chat_request(body: &Value) -> Result<ChatRequest, &'static str> {
    let model = body["model"].as_str().ok_or("`model` is missing")?;
    let messages = body["messages"].as_array().ok_or("`messages` is missing")?;
    if messages.is_empty() {
        return Err("`messages` is empty");
    }
    // A stream that moves to another engine is resumed from the text of one choice, so an answer can have one choice
    // only.
    if body["n"].as_u64().is_some_and(|n| n != 1) {
        return Err("`n` other than 1 is not supported");
    }
    let max_tokens = body["max_tokens"]
        .as_u64()
        .or_else(|| body["max_completion_tokens"].as_u64());
    let prompt = prompt_text(messages);
    Ok(ChatRequest {
        model: model.to_owned(),
        stream: body["stream"].as_bool().unwrap_or(false),
        max_tokens: max_tokens.map(|limit| limit.min(u64::from(u32::MAX)) as u32),
        prompt_tokens: estimate_tokens(prompt.len()),
        chunk_hashes: chunk_hashes(model, prompt.as_bytes()),
    })
}

/// Returns the text that engines cache by prefix: one line `ROLE: CONTENT` per message.
pub fn prompt_text(messages: &[Value]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push_str(": ");
        push_content(&mut prompt, &message["content"]);
        prompt.push('\n');
    }
    prompt
}

fn push_content(prompt: &mut String, content: &Value) {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .for_each(|text| prompt.push_str(text)),
        _ => {}
    }
}

/// Estimates the number of tokens of a text from its length in bytes.
pub fn estimate_tokens(length_bytes: usize) -> u32 {
    length_bytes.div_ceil(TOKEN_BYTES).min(u32::MAX as usize) as u32
}

/// Returns one hash per full chunk of the prompt. Each hash covers the model and the prompt from its start to the
/// chunk's end. Engines compute the hashes in their cache events in the same way.
pub fn chunk_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut hash = FixedState::with_seed(0).hash_one(model);
    prompt
        .chunks_exact(CHUNK_BYTES)
        .map(|chunk| {
            hash = FixedState::with_seed(hash).hash_one(chunk);
            hash
        })
        .collect()
}
