//! Streams of events to callers, which may go on at another upstream.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use gateway::entry::EntryEvent;
use gateway::{Directive, Outcome};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::answer::BrokenOff;
use crate::call::{Called, Forwarded, Source};
use crate::caller::Exchange;

/// Events that wait for a slow caller.
pub const CHANNEL_EVENTS: usize = 16;
/// Largest event, in bytes.
const EVENT_BYTES: usize = 1024 * 1024;

/// Where the events go.
type Events = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// Passes a stream on until its end, and lets it go on elsewhere where the decisions allow it.
pub async fn pass_on(
    mut exchange: Exchange,
    mut source: Source,
    forwarded: Rc<Forwarded>,
    events: Events,
    deadline: Instant,
) {
    let mut cursor = Cursor::default();
    loop {
        let ended = tokio::select! {
            ended = relay(&exchange, &mut source, &mut cursor, &events, deadline) => ended,
            () = events.closed() => return,
        };
        match ended {
            Ended::Whole => {
                let client = &exchange.shell.client;
                client.keep(&source.address, source.connection, source.keep_alive);
                return exchange.finish();
            }
            Ended::Failed(outcome) => {
                // The connection is closed first, so that the upstream stops working on the request.
                drop(source);
                match resume(&mut exchange, &forwarded, &cursor, &events, outcome).await {
                    Some(next) => source = next,
                    None => {
                        // The caller may have left, and then nobody needs to know.
                        let _ = events.send(Err(BrokenOff)).await;
                        return;
                    }
                }
            }
        }
    }
}

enum Ended {
    Whole,
    Failed(Outcome),
}

/// Bytes of an event that is not whole yet, and the id of the last whole one.
#[derive(Debug, Default)]
struct Cursor {
    partial: BytesMut,
    last_event_id: Option<String>,
    has_begun: bool,
}

async fn relay(
    exchange: &Exchange,
    source: &mut Source,
    cursor: &mut Cursor,
    events: &Events,
    deadline: Instant,
) -> Ended {
    cursor.partial.clear();
    loop {
        let frame = match timeout_at(deadline, source.body.frame()).await {
            Ok(frame) => frame,
            Err(_) => return Ended::Failed(Outcome::TimedOut),
        };
        let data = match frame {
            None if cursor.partial.is_empty() => return Ended::Whole,
            None | Some(Err(_)) => return Ended::Failed(Outcome::Broken),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if !cursor.has_begun && !data.is_empty() {
            cursor.has_begun = true;
            let exchange_id = exchange.id;
            exchange.shell.step(EntryEvent::Started {
                exchange: exchange_id,
            });
        }
        cursor.partial.extend_from_slice(&data);
        if cursor.partial.len() > EVENT_BYTES {
            return Ended::Failed(Outcome::Broken);
        }
        let Some(end) = last_event_end(&cursor.partial) else {
            continue;
        };
        let whole = cursor.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            cursor.last_event_id = Some(id);
        }
        if events.send(Ok(whole)).await.is_err() {
            return Ended::Failed(Outcome::Broken);
        }
    }
}

async fn resume(
    exchange: &mut Exchange,
    forwarded: &Forwarded,
    cursor: &Cursor,
    events: &Events,
    outcome: Outcome,
) -> Option<Source> {
    if events.is_closed() {
        return None;
    }
    exchange.ended(outcome);
    loop {
        let Directive::Send(attempt) = exchange.next().await? else {
            return None;
        };
        let client = &exchange.shell.client;
        let call = client.call(&attempt, forwarded, cursor.last_event_id.as_deref());
        let called = tokio::select! {
            called = call => called,
            () = events.closed() => return None,
        };
        match called {
            Ok(Called::Stream(_, source)) => return Some(source),
            Ok(Called::Prefilled(handle)) => exchange.prefilled(handle),
            Ok(Called::Whole(_)) => exchange.ended(Outcome::Broken),
            Err(failed) => exchange.ended(failed.outcome),
        }
    }
}

/// Returns the end of the last whole event, which a blank line ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let network = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let ends = [unix.map(|at| at + 2), network.map(|at| at + 4)];
    ends.into_iter().flatten().max()
}

/// Returns the last id among whole events.
fn last_event_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
}
