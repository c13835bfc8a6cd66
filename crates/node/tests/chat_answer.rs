//! Reading what engines send, whatever that is.

use http::{HeaderMap, StatusCode, header};
use node::chat::{ChatAnswer, ChatStep};
use node::prompt::ChatRequest;
use node::sse::SseReader;
use quickcheck::{Arbitrary, Gen};

/// A piece of an engine's answer, regular or not.
#[derive(Clone, Debug)]
struct Part(String);

const PARTS: [&str; 16] = [
    r#"data: {"id":"a","choices":[{"delta":{"role":"assistant","content":"x"}}]}"#,
    r#"data: {"id":"b","choices":[{"delta":{"content":"y"},"finish_reason":null}]}"#,
    r#"data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}"#,
    r#"data: {"choices":[],"usage":{"completion_tokens":3}}"#,
    r#"data: {"choices":[{"delta":null}]}"#,
    r#"data: {"choices":{}}"#,
    r#"data: {"error":{}}"#,
    "data: []",
    "data: null",
    "data: 7",
    "data: [DONE]",
    "data: {",
    ": comment",
    "\n",
    "\n\n",
    "\r\n\r\n",
];

impl Arbitrary for Part {
    fn arbitrary(g: &mut Gen) -> Self {
        let part = *g.choose(&PARTS).unwrap();
        let end = *g.choose(&["\n\n", "\n\n", "\n\n", "\r\n\r\n", ""]).unwrap();
        Self(format!("{part}{end}"))
    }
}

fn answer() -> ChatAnswer {
    ChatAnswer::new(serde_json::Map::new(), ChatRequest::default())
}

fn begin(answer: &mut ChatAnswer) {
    answer.begin_attempt();
    let value = http::HeaderValue::from_static("text/event-stream");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, value)]);
    answer.read_head(StatusCode::OK, &headers);
}

seeded::quickcheck! {
    /// Guards against a panic, after which the reducer would wait for the attempt's end for ever.
    fn no_answer_of_an_engine_panics(attempts: Vec<Vec<Part>>) -> bool {
        let mut answer = answer();
        for attempt in attempts {
            begin(&mut answer);
            for part in attempt {
                if matches!(answer.read_data(part.0.as_bytes()), ChatStep::Done(_) | ChatStep::Broken) {
                    break;
                }
            }
            answer.read_end();
        }
        !answer.answer_json().is_empty()
    }

    /// Guards against events that depend on where the connection splits the bytes.
    fn events_do_not_depend_on_frames(parts: Vec<Part>, cuts: Vec<u8>) -> bool {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.0.bytes()).collect();
        let mut whole = SseReader::default();
        whole.push(&bytes);
        let expected = drain(&mut whole);
        let mut cut = SseReader::default();
        let mut events = Vec::new();
        let mut rest = &bytes[..];
        for length in cuts {
            let (piece, left) = rest.split_at(rest.len().min(usize::from(length)));
            cut.push(piece);
            events.extend(drain(&mut cut));
            rest = left;
        }
        cut.push(rest);
        events.extend(drain(&mut cut));
        events == expected
    }
}

fn drain(reader: &mut SseReader) -> Vec<node::sse::SseEvent> {
    std::iter::from_fn(|| reader.next_event().unwrap()).collect()
}
