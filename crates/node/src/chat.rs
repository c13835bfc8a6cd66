//! A chat completion whose answer may be assembled from the output of several attempts.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::clock::unix_ms;
use crate::prompt::ChatRequest;
use crate::sse::{SseEvent, SseReader};

/// Largest JSON body that is read from an engine, in bytes.
const MAX_JSON_BYTES: usize = 16 * 1024 * 1024;

/// Finish reasons of a complete answer. Any other finish reason, such as `cancelled`, means that the attempt failed.
const COMPLETE_FINISH_REASONS: [&str; 5] = [
    "stop",
    "length",
    "tool_calls",
    "function_call",
    "content_filter",
];

const END_MARKER: &str = "[DONE]";

/// Classification of an attempt by the status of the engine's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadOutcome {
    /// The response's body is the answer, or an error for the caller.
    Answer,
    /// The engine did not run the request.
    Rejected,
    /// The attempt failed.
    Broken,
}

/// Result of reading a part of the engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatStep {
    /// The part contains no bytes for the caller.
    Nothing,
    /// Bytes that are forwarded to a caller that requested a stream.
    Forward(Bytes),
    /// The answer is complete. The bytes are its last ones.
    Done(Bytes),
    /// The engine's bytes are not a valid answer, or the answer was truncated.
    Broken,
}

/// A chat exchange: the caller's request, and the part of its answer that was read so far.
#[derive(Debug)]
pub struct ChatAnswer {
    /// The caller's request body, with `stream` set to true.
    request: Map<String, Value>,
    /// The fields that were parsed from the caller's request body.
    parsed: ChatRequest,
    /// Id of the answer, taken from the first attempt.
    id: Option<Value>,
    /// Text of the answer so far, over all attempts. It was forwarded to the caller if the caller requested a stream.
    text: String,
    /// Output tokens in `text`.
    output_tokens: u32,
    /// Whether an earlier attempt began the answer. The events of this attempt are then rewritten to continue that
    /// answer.
    is_continued: bool,
    /// The last events before the end marker. They are forwarded only once the marker was read.
    final_events: Option<FinalEvents>,
    attempt_body: AttemptBody,
}

/// The event with an attempt's finish reason, and the events after it, such as the usage event.
#[derive(Debug)]
struct FinalEvents {
    events: BytesMut,
    finish_reason: String,
}

/// The body of the current attempt's response, by its format.
#[derive(Debug)]
enum AttemptBody {
    None,
    Events(SseReader),
    Json(BytesMut),
    Error(StatusCode, BytesMut),
}

#[derive(Deserialize)]
struct CompletionChunk {
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
    pub fn new(mut request: Map<String, Value>, parsed: ChatRequest) -> Self {
        // Engines always get `stream: true`, so that progress is known and a truncated answer can be resumed.
        request.insert("stream".to_owned(), Value::Bool(true));
        request.remove("resume_text");
        Self {
            request,
            parsed,
            id: None,
            text: String::new(),
            output_tokens: 0,
            is_continued: false,
            final_events: None,
            attempt_body: AttemptBody::None,
        }
    }

    /// Returns whether the caller requested a stream.
    pub fn is_stream(&self) -> bool {
        self.parsed.stream
    }

    /// Returns the output tokens of the answer so far.
    pub fn output_tokens(&self) -> u32 {
        self.output_tokens
    }

    /// Begins a new attempt and returns the body of its request.
    pub fn begin_attempt(&mut self) -> Bytes {
        self.attempt_body = AttemptBody::None;
        self.final_events = None;
        self.is_continued = self.id.is_some();
        if !self.text.is_empty() {
            let text = Value::String(self.text.clone());
            self.request.insert("resume_text".to_owned(), text);
        }
        Bytes::from(serde_json::to_vec(&self.request).expect("JSON values are serializable"))
    }

    /// Returns the body of a request that computes the prompt and one output token.
    pub fn prefill_body(&self) -> Bytes {
        let mut request = self.request.clone();
        request.remove("max_completion_tokens");
        request.insert("max_tokens".to_owned(), Value::from(1));
        Bytes::from(serde_json::to_vec(&request).expect("JSON values are serializable"))
    }

    /// Returns the hashes of the prompt's chunks in hexadecimal, which is their format in the engines' interface.
    pub fn chunk_hashes_hex(&self) -> Vec<String> {
        let hashes = &self.parsed.chunk_hashes;
        hashes.iter().map(|hash| format!("{hash:016x}")).collect()
    }

    /// Handles the head of the engine's response.
    pub fn read_head(&mut self, status: StatusCode, headers: &HeaderMap) -> HeadOutcome {
        let request_errors = [
            StatusCode::BAD_REQUEST,
            StatusCode::PAYLOAD_TOO_LARGE,
            StatusCode::UNPROCESSABLE_ENTITY,
        ];
        let rejections = [
            StatusCode::NOT_FOUND,
            StatusCode::CONFLICT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.attempt_body = match status {
            StatusCode::OK if is_event_stream(headers) => AttemptBody::Events(SseReader::default()),
            StatusCode::OK => AttemptBody::Json(BytesMut::new()),
            // The caller's request is invalid, unless the engine rejects the `resume_text` that this instance added.
            status if request_errors.contains(&status) && self.text.is_empty() => {
                AttemptBody::Error(status, BytesMut::new())
            }
            status if request_errors.contains(&status) || rejections.contains(&status) => {
                return HeadOutcome::Rejected;
            }
            _ => return HeadOutcome::Broken,
        };
        HeadOutcome::Answer
    }

    /// Handles bytes of the engine's response body.
    pub fn read_data(&mut self, data: &[u8]) -> ChatStep {
        match &mut self.attempt_body {
            AttemptBody::Events(reader) => {
                reader.push(data);
                self.read_events()
            }
            AttemptBody::Json(body) | AttemptBody::Error(_, body) => {
                if body.len() + data.len() > MAX_JSON_BYTES {
                    return ChatStep::Broken;
                }
                body.extend_from_slice(data);
                ChatStep::Nothing
            }
            AttemptBody::None => ChatStep::Broken,
        }
    }

    /// Handles the end of the engine's response. Only a JSON body is complete without an end marker.
    pub fn read_end(&mut self) -> ChatStep {
        match std::mem::replace(&mut self.attempt_body, AttemptBody::None) {
            AttemptBody::Json(body) => self.read_json(&body),
            _ => ChatStep::Broken,
        }
    }

    /// Returns the status and body of an engine's error response that is forwarded to the caller. Must be called after
    /// the complete body was read.
    pub fn take_error(&mut self) -> Option<(StatusCode, Bytes)> {
        match std::mem::replace(&mut self.attempt_body, AttemptBody::None) {
            AttemptBody::Error(status, body) => Some((status, body.freeze())),
            other => {
                self.attempt_body = other;
                None
            }
        }
    }

    /// Returns the complete answer as a JSON body, for a caller that did not request a stream.
    pub fn answer_json(&self) -> Bytes {
        let reason = self
            .final_events
            .as_ref()
            .map(|final_events| final_events.finish_reason.as_str());
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": unix_ms() / 1_000,
            "model": self.parsed.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": reason.unwrap_or("stop"),
            }],
            "usage": self.usage(),
        });
        Bytes::from(serde_json::to_vec(&body).expect("JSON values are serializable"))
    }

    fn usage(&self) -> Value {
        let prompt_tokens = self.parsed.prompt_tokens;
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": prompt_tokens + self.output_tokens,
        })
    }

    fn read_events(&mut self) -> ChatStep {
        let mut forward = BytesMut::new();
        loop {
            let AttemptBody::Events(reader) = &mut self.attempt_body else {
                return ChatStep::Broken;
            };
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) if forward.is_empty() => return ChatStep::Nothing,
                Ok(None) => return ChatStep::Forward(forward.freeze()),
                Err(_) => return self.handle_malformed_event(forward),
            };
            if event.data == END_MARKER {
                if let Some(final_events) = &self.final_events {
                    forward.extend_from_slice(&final_events.events);
                }
                forward.extend_from_slice(&event.raw);
                return ChatStep::Done(forward.freeze());
            }
            match self.read_event(event) {
                Ok(bytes) => forward.extend_from_slice(&bytes),
                Err(_) => return self.handle_malformed_event(forward),
            }
        }
    }

    /// Handles a malformed event. The text of the events before it is already part of `text`, so these events are still
    /// forwarded. The next bytes, or the end of the response, then return `Broken`.
    fn handle_malformed_event(&mut self, forward: BytesMut) -> ChatStep {
        self.attempt_body = AttemptBody::None;
        match forward.is_empty() {
            true => ChatStep::Broken,
            false => ChatStep::Forward(forward.freeze()),
        }
    }

    /// Handles one event and returns the bytes to forward to the caller.
    fn read_event(&mut self, event: SseEvent) -> Result<Bytes, InvalidEvent> {
        if event.data.is_empty() {
            return Ok(Bytes::new());
        }
        let chunk: CompletionChunk = serde_json::from_str(&event.data).map_err(|_| InvalidEvent)?;
        if chunk.error.is_some() {
            return Err(InvalidEvent);
        }
        let choice = chunk.choices.into_iter().next();
        let (content, reason) = choice
            .map(|choice| (choice.delta.content, choice.finish_reason))
            .unwrap_or_default();
        if let Some(reason) = &reason
            && !COMPLETE_FINISH_REASONS.contains(&reason.as_str())
        {
            return Err(InvalidEvent);
        }
        let bytes = self.rewrite_event(event)?;
        if let Some(content) = content.filter(|content| !content.is_empty()) {
            self.text.push_str(&content);
            self.output_tokens += 1;
        }
        if let Some(final_events) = &mut self.final_events {
            final_events.events.extend_from_slice(&bytes);
            return Ok(Bytes::new());
        }
        let Some(finish_reason) = reason else {
            return Ok(bytes);
        };
        self.final_events = Some(FinalEvents {
            events: BytesMut::from(&bytes[..]),
            finish_reason,
        });
        Ok(Bytes::new())
    }

    /// Rewrites an event of a later attempt so that it continues the answer of the first attempt: replaces the id and
    /// the usage, and removes the role.
    fn rewrite_event(&mut self, event: SseEvent) -> Result<Bytes, InvalidEvent> {
        if self.id.is_some() && !self.is_continued {
            return Ok(event.raw);
        }
        let mut chunk: Map<String, Value> =
            serde_json::from_str(&event.data).map_err(|_| InvalidEvent)?;
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

    fn read_json(&mut self, body: &[u8]) -> ChatStep {
        let Ok(answer) = serde_json::from_slice::<Value>(body) else {
            return ChatStep::Broken;
        };
        let choice = &answer["choices"][0];
        let Some(content) = choice["message"]["content"].as_str() else {
            return ChatStep::Broken;
        };
        let reason = choice["finish_reason"].as_str().unwrap_or("stop");
        if !COMPLETE_FINISH_REASONS.contains(&reason) {
            return ChatStep::Broken;
        }
        self.id.get_or_insert_with(|| answer["id"].clone());
        self.text.push_str(content);
        let tokens = answer["usage"]["completion_tokens"].as_u64();
        let estimate = u64::from(crate::prompt::estimate_tokens(content.len()));
        self.output_tokens += tokens.unwrap_or(estimate) as u32;
        let finish_event = self.completion_chunk(json!({}), Some(reason));
        self.final_events = Some(FinalEvents {
            events: BytesMut::from(&event_bytes(&finish_event)[..]),
            finish_reason: reason.to_owned(),
        });
        let mut events = BytesMut::new();
        let delta = json!({ "role": "assistant", "content": content });
        events.extend_from_slice(&event_bytes(&self.completion_chunk(delta, None)));
        events.extend_from_slice(&event_bytes(&finish_event));
        events.extend_from_slice(format!("data: {END_MARKER}\n\n").as_bytes());
        ChatStep::Done(events.freeze())
    }

    fn completion_chunk(&self, delta: Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.parsed.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }
}

/// The engine sent an event that is not a valid part of an answer.
struct InvalidEvent;

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
