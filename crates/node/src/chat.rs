//! A chat answer that may be made of the parts of several attempts.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::clock::unix_ms;
use crate::prompt::ChatRequest;
use crate::sse::{SseEvent, SseReader};

/// Largest whole JSON body of an engine.
const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// Finish reasons of a whole answer. Any other, such as `cancelled`, is the end of a broken one.
const WHOLE_REASONS: [&str; 5] = [
    "stop",
    "length",
    "tool_calls",
    "function_call",
    "content_filter",
];

const END_MARKER: &str = "[DONE]";

/// What the engine's status says about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The answer follows.
    Answer,
    /// The engine did not run the request.
    Rejected,
    /// The attempt failed.
    Broken,
}

/// What a piece of the engine's answer leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatStep {
    /// Nothing for the caller.
    Nothing,
    /// Bytes for a caller that streams.
    Forward(Bytes),
    /// The answer is whole; the bytes are the last ones.
    Done(Bytes),
    /// What the engine sent is no answer.
    Broken,
}

/// A chat exchange: the caller's request and what has been delivered of its answer.
#[derive(Debug)]
pub struct ChatAnswer {
    /// The caller's body, with `stream` set.
    request: Map<String, Value>,
    /// What was read from it.
    asked: ChatRequest,
    /// Id of the answer, taken from the first attempt.
    id: Option<Value>,
    /// Text that the caller has, or that is kept for a caller that wants a whole answer.
    text: String,
    /// Tokens of `text`.
    output_tokens: u32,
    /// Whether an earlier attempt has begun the answer, so that events of this one are adapted to it.
    continued: bool,
    /// The last events before the end marker, held back until the marker has come.
    held: Option<Held>,
    source: Source,
}

/// The finishing event of an attempt, with what came after it, such as the usage.
#[derive(Debug)]
struct Held {
    events: BytesMut,
    finish_reason: String,
}

/// How the current attempt answers.
#[derive(Debug)]
enum Source {
    None,
    Events(SseReader),
    Whole(BytesMut),
    Error(StatusCode, BytesMut),
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl ChatAnswer {
    /// Creates the answer to a request.
    pub fn new(mut request: Map<String, Value>, asked: ChatRequest) -> Self {
        // Engines are always asked for a stream: progress is known, and a broken answer can be resumed.
        request.insert("stream".to_owned(), Value::Bool(true));
        request.remove("resume_text");
        Self {
            request,
            asked,
            id: None,
            text: String::new(),
            output_tokens: 0,
            continued: false,
            held: None,
            source: Source::None,
        }
    }

    /// Returns whether the caller wants a stream.
    pub fn is_stream(&self) -> bool {
        self.asked.stream
    }

    /// Returns the tokens delivered so far.
    pub fn output_tokens(&self) -> u32 {
        self.output_tokens
    }

    /// Begins a new attempt and returns the body of its request.
    pub fn begin_attempt(&mut self) -> Bytes {
        self.source = Source::None;
        self.held = None;
        self.continued = self.id.is_some();
        if !self.text.is_empty() {
            let text = Value::String(self.text.clone());
            self.request.insert("resume_text".to_owned(), text);
        }
        Bytes::from(serde_json::to_vec(&self.request).expect("JSON values serialise"))
    }

    /// Returns the body of a request that computes the prompt and one output token.
    pub fn prefill_body(&self) -> Bytes {
        let mut request = self.request.clone();
        request.remove("max_completion_tokens");
        request.insert("max_tokens".to_owned(), Value::from(1));
        Bytes::from(serde_json::to_vec(&request).expect("JSON values serialise"))
    }

    /// Returns the hashes of the prompt's chunks as the engines' interface writes them.
    pub fn chunk_names(&self) -> Vec<String> {
        let hashes = &self.asked.chunk_hashes;
        hashes.iter().map(|hash| format!("{hash:016x}")).collect()
    }

    /// Takes the head of the engine's answer.
    pub fn read_head(&mut self, status: StatusCode, headers: &HeaderMap) -> HeadVerdict {
        let relayed = [
            StatusCode::BAD_REQUEST,
            StatusCode::PAYLOAD_TOO_LARGE,
            StatusCode::UNPROCESSABLE_ENTITY,
        ];
        let refused = [
            StatusCode::NOT_FOUND,
            StatusCode::CONFLICT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.source = match status {
            StatusCode::OK if is_event_stream(headers) => Source::Events(SseReader::default()),
            StatusCode::OK => Source::Whole(BytesMut::new()),
            // The request itself is at fault, unless the engine objects to the text to resume from.
            status if relayed.contains(&status) && self.text.is_empty() => {
                Source::Error(status, BytesMut::new())
            }
            status if relayed.contains(&status) || refused.contains(&status) => {
                return HeadVerdict::Rejected;
            }
            _ => return HeadVerdict::Broken,
        };
        HeadVerdict::Answer
    }

    /// Takes bytes of the engine's answer.
    pub fn read_data(&mut self, data: &[u8]) -> ChatStep {
        match &mut self.source {
            Source::Events(reader) => {
                reader.push(data);
                self.read_events()
            }
            Source::Whole(body) | Source::Error(_, body) => {
                if body.len() + data.len() > MAX_WHOLE_BYTES {
                    return ChatStep::Broken;
                }
                body.extend_from_slice(data);
                ChatStep::Nothing
            }
            Source::None => ChatStep::Broken,
        }
    }

    /// Takes the end of the engine's connection. Only a whole JSON body is complete without an end marker.
    pub fn read_end(&mut self) -> ChatStep {
        match std::mem::replace(&mut self.source, Source::None) {
            Source::Whole(body) => self.read_whole(&body),
            _ => ChatStep::Broken,
        }
    }

    /// Returns status and body of an engine's refusal that the caller is to see, once it is whole.
    pub fn take_refusal(&mut self) -> Option<(StatusCode, Bytes)> {
        match std::mem::replace(&mut self.source, Source::None) {
            Source::Error(status, body) => Some((status, body.freeze())),
            other => {
                self.source = other;
                None
            }
        }
    }

    /// Returns the whole answer as JSON.
    pub fn whole_body(&self) -> Bytes {
        let reason = self.held.as_ref().map(|held| held.finish_reason.as_str());
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": unix_ms() / 1_000,
            "model": self.asked.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": reason.unwrap_or("stop"),
            }],
            "usage": self.usage(),
        });
        Bytes::from(serde_json::to_vec(&body).expect("JSON values serialise"))
    }

    fn usage(&self) -> Value {
        let prompt_tokens = self.asked.prompt_tokens;
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": prompt_tokens + self.output_tokens,
        })
    }

    fn read_events(&mut self) -> ChatStep {
        let mut forward = BytesMut::new();
        loop {
            let Source::Events(reader) = &mut self.source else {
                return ChatStep::Broken;
            };
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) if forward.is_empty() => return ChatStep::Nothing,
                Ok(None) => return ChatStep::Forward(forward.freeze()),
                Err(_) => return self.broken_after(forward),
            };
            if event.data == END_MARKER {
                if let Some(held) = &self.held {
                    forward.extend_from_slice(&held.events);
                }
                forward.extend_from_slice(&event.raw);
                return ChatStep::Done(forward.freeze());
            }
            match self.read_event(event) {
                Ok(bytes) => forward.extend_from_slice(&bytes),
                Err(_) => return self.broken_after(forward),
            }
        }
    }

    /// Text of events before a malformed one is already part of `text`, so the caller must get it;
    /// the failure shows again with the next bytes or at the end.
    fn broken_after(&mut self, forward: BytesMut) -> ChatStep {
        self.source = Source::None;
        match forward.is_empty() {
            true => ChatStep::Broken,
            false => ChatStep::Forward(forward.freeze()),
        }
    }

    /// Takes one event and returns what the caller sees of it.
    fn read_event(&mut self, event: SseEvent) -> Result<Bytes, NoAnswer> {
        if event.data.is_empty() {
            return Ok(Bytes::new());
        }
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|_| NoAnswer)?;
        if chunk.error.is_some() {
            return Err(NoAnswer);
        }
        let choice = chunk.choices.into_iter().next();
        let (content, reason) = choice
            .map(|choice| (choice.delta.content, choice.finish_reason))
            .unwrap_or_default();
        if let Some(reason) = &reason
            && !WHOLE_REASONS.contains(&reason.as_str())
        {
            return Err(NoAnswer);
        }
        let bytes = self.adapt(event)?;
        if let Some(content) = content.filter(|content| !content.is_empty()) {
            self.text.push_str(&content);
            self.output_tokens += 1;
        }
        if let Some(held) = &mut self.held {
            held.events.extend_from_slice(&bytes);
            return Ok(Bytes::new());
        }
        let Some(finish_reason) = reason else {
            return Ok(bytes);
        };
        self.held = Some(Held {
            events: BytesMut::from(&bytes[..]),
            finish_reason,
        });
        Ok(Bytes::new())
    }

    /// Makes an event of a later attempt look like one of the first.
    fn adapt(&mut self, event: SseEvent) -> Result<Bytes, NoAnswer> {
        if self.id.is_some() && !self.continued {
            return Ok(event.raw);
        }
        let mut chunk: Map<String, Value> =
            serde_json::from_str(&event.data).map_err(|_| NoAnswer)?;
        let Some(id) = &self.id else {
            self.id = Some(chunk.remove("id").unwrap_or_default());
            return Ok(event.raw);
        };
        chunk.insert("id".to_owned(), id.clone());
        if chunk.get("usage").is_some_and(Value::is_object) {
            chunk.insert("usage".to_owned(), self.usage());
        }
        let mut chunk = Value::Object(chunk);
        let delta = chunk.pointer_mut("/choices/0/delta");
        if let Some(delta) = delta.and_then(Value::as_object_mut) {
            delta.remove("role");
        }
        Ok(event_bytes(&chunk))
    }

    fn read_whole(&mut self, body: &[u8]) -> ChatStep {
        let Ok(answer) = serde_json::from_slice::<Value>(body) else {
            return ChatStep::Broken;
        };
        let choice = &answer["choices"][0];
        let Some(content) = choice["message"]["content"].as_str() else {
            return ChatStep::Broken;
        };
        let reason = choice["finish_reason"].as_str().unwrap_or("stop");
        if !WHOLE_REASONS.contains(&reason) {
            return ChatStep::Broken;
        }
        self.id.get_or_insert_with(|| answer["id"].clone());
        self.text.push_str(content);
        let tokens = answer["usage"]["completion_tokens"].as_u64();
        let estimate = u64::from(crate::prompt::estimate_tokens(content.len()));
        self.output_tokens += tokens.unwrap_or(estimate) as u32;
        let finish = self.chunk(json!({}), Some(reason));
        self.held = Some(Held {
            events: BytesMut::from(&event_bytes(&finish)[..]),
            finish_reason: reason.to_owned(),
        });
        let mut events = BytesMut::new();
        let delta = json!({ "role": "assistant", "content": content });
        events.extend_from_slice(&event_bytes(&self.chunk(delta, None)));
        events.extend_from_slice(&event_bytes(&finish));
        events.extend_from_slice(format!("data: {END_MARKER}\n\n").as_bytes());
        ChatStep::Done(events.freeze())
    }

    fn chunk(&self, delta: Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.asked.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }
}

/// The engine sent something that is no part of an answer.
struct NoAnswer;

fn event_bytes(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Returns the headers of a streamed answer.
pub fn event_stream_headers() -> HeaderMap {
    let headers = [
        (header::CONTENT_TYPE, "text/event-stream"),
        (header::CACHE_CONTROL, "no-cache"),
    ];
    headers
        .into_iter()
        .map(|(name, value)| (name, HeaderValue::from_static(value)))
        .collect()
}
