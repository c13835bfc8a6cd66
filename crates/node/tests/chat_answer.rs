//! Property tests: reading valid and invalid answers of engines.

use http::{HeaderMap, StatusCode, header};
use node::chat::{ChatAnswer, ChatStep};
use node::prompt::ChatRequest;
use node::sse::SseReader;
use quickcheck::{Arbitrary, Gen};

/// A part of an engine's answer, valid or invalid.
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

fn begin_attempt(answer: &mut ChatAnswer) {
    answer.begin_attempt();
    let value = http::HeaderValue::from_static("text/event-stream");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, value)]);
    answer.read_head(StatusCode::OK, &headers);
}

seeded::quickcheck! {
    /// Guards against a panic, after which the reducer would wait for the end of the attempt for ever.
    fn no_engine_answer_causes_a_panic(attempts: Vec<Vec<Part>>) -> bool {
        let mut answer = answer();
        for attempt in attempts {
            begin_attempt(&mut answer);
            for part in attempt {
                if matches!(answer.read_data(part.0.as_bytes()), ChatStep::Done(_) | ChatStep::Broken) {
                    break;
                }
            }
            answer.read_end();
        }
        !answer.answer_json().is_empty()
    }

    /// Guards against events that depend on how the connection splits the bytes into frames.
    fn events_do_not_depend_on_frame_boundaries(parts: Vec<Part>, frame_lengths: Vec<u8>) -> bool {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.0.bytes()).collect();
        let mut unsplit = SseReader::default();
        unsplit.push(&bytes);
        let expected = read_events(&mut unsplit);
        let mut split = SseReader::default();
        let mut events = Vec::new();
        let mut rest = &bytes[..];
        for length in frame_lengths {
            let (piece, left) = rest.split_at(rest.len().min(usize::from(length)));
            split.push(piece);
            events.extend(read_events(&mut split));
            rest = left;
        }
        split.push(rest);
        events.extend(read_events(&mut split));
        events == expected
    }
}

fn read_events(reader: &mut SseReader) -> Vec<node::sse::SseEvent> {
    std::iter::from_fn(|| reader.next_event().unwrap()).collect()
}
