//! Events in the body of a stream.

use relay::events::{EventCursor, EventTooLarge};
use relay::memory::BodyMemory;

/// Guards against a stream that ends inside an event and counts as complete, for example one without a length whose
/// upstream has crashed.
#[test]
fn a_stream_that_ends_inside_an_event_has_broken_off() {
    let mut cursor = EventCursor::new(&BodyMemory::default());
    assert!(cursor.is_between_events());
    let complete = cursor
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .unwrap()
        .unwrap();
    assert_eq!(complete, "id: 1\ndata: a\n\n");
    assert!(!cursor.is_between_events());
    assert_eq!(cursor.last_event_id(), Some("1"));
    let complete = cursor.push(b"ta: b\n\n").unwrap().unwrap();
    assert_eq!(complete, "id: 2\ndata: b\n\n");
    assert!(cursor.is_between_events());
}

/// Guards against the start of an event that reaches the caller twice after the stream was resumed.
#[test]
fn an_incomplete_event_is_not_forwarded() {
    let mut cursor = EventCursor::new(&BodyMemory::default());
    assert_eq!(cursor.push(b"id: 1\r\ndata: a\r\n").unwrap(), None);
    cursor.discard_incomplete();
    let complete = cursor.push(b"id: 1\r\ndata: b\r\n\r\n").unwrap().unwrap();
    assert_eq!(complete, "id: 1\r\ndata: b\r\n\r\n");
}

/// Guards against an event without an end that occupies the entry's memory.
#[test]
fn an_event_without_an_end_is_bounded() {
    let mut cursor = EventCursor::new(&BodyMemory::default());
    let piece = [b'x'; 64 * 1024];
    let result = (0..32).find_map(|_| cursor.push(&piece).err());
    assert_eq!(result, Some(EventTooLarge));
}

/// Guards against an event in tiny pieces that occupies the thread, because it is searched from its start with each piece.
#[test]
fn an_event_in_tiny_pieces_is_searched_once() {
    let started = std::time::Instant::now();
    let mut cursor = EventCursor::new(&BodyMemory::default());
    for _ in 0..200_000 {
        assert_eq!(cursor.push(b"x").unwrap(), None);
    }
    for piece in [&b"\r"[..], b"\n", b"\r"] {
        assert_eq!(cursor.push(piece).unwrap(), None);
    }
    let complete = cursor.push(b"\n").unwrap().expect("the event is complete");
    assert_eq!(complete.len(), 200_004);
    assert!(started.elapsed() < std::time::Duration::from_secs(5));
}
