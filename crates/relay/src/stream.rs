//! Streams of events to callers, which another upstream may resume.

use std::rc::Rc;

use bytes::Bytes;
use gateway::entry::EntryEvent;
use gateway::{Directive, Outcome};
use http::HeaderValue;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::answer::StreamAborted;
use crate::call::{CallAnswer, ForwardedRequest, UpstreamStream};
use crate::caller::{self, Exchange};
use crate::events::{EventCursor, EventTooLarge};

/// Capacity of the channel to a caller. Each of its items holds one or more complete events.
pub const EVENT_CHANNEL_CAPACITY: usize = 16;

/// Sending side of the channel to a caller.
type EventSender = mpsc::Sender<Result<Bytes, StreamAborted>>;

/// Forwards a stream, whose head the caller gets, until its end. After a failure, resumes the stream at another upstream if
/// the reducer directs it.
pub async fn forward_stream(
    mut exchange: Exchange,
    content_type: Option<HeaderValue>,
    mut upstream_stream: UpstreamStream,
    forwarded: Rc<ForwardedRequest>,
    events: EventSender,
    deadline: Instant,
) {
    let mut cursor = EventCursor::new(&exchange.runtime.client.pool.memory);
    loop {
        let end = tokio::select! {
            end = forward_events(&exchange, &mut upstream_stream, &mut cursor, &events, deadline) => end,
            () = events.closed() => return,
        };
        match end {
            StreamEnd::Complete => {
                let client = &exchange.runtime.client;
                client.keep_connection(
                    &upstream_stream.address,
                    upstream_stream.connection,
                    upstream_stream.keep_alive,
                );
                return exchange.finish();
            }
            StreamEnd::Failed(outcome) => {
                // The connection is closed before the stream is resumed, so that the upstream aborts the request.
                drop(upstream_stream);
                let begun = Begun {
                    content_type: content_type.as_ref(),
                    last_event_id: cursor.last_event_id(),
                };
                match resume(&mut exchange, &forwarded, begun, &events, outcome).await {
                    Some(next) => upstream_stream = next,
                    None => {
                        // The exchange ends at once, although the caller may not read the abort for long.
                        drop(exchange);
                        // The send fails if the caller has disconnected, who then needs no error.
                        let _ = events.send(Err(StreamAborted)).await;
                        return;
                    }
                }
            }
        }
    }
}

/// The part of a stream that the caller has.
#[derive(Clone, Copy)]
struct Begun<'a> {
    content_type: Option<&'a HeaderValue>,
    last_event_id: Option<&'a str>,
}

enum StreamEnd {
    Complete,
    Failed(Outcome),
}

async fn forward_events(
    exchange: &Exchange,
    upstream_stream: &mut UpstreamStream,
    cursor: &mut EventCursor,
    events: &EventSender,
    deadline: Instant,
) -> StreamEnd {
    cursor.discard_incomplete();
    let mut has_started = false;
    loop {
        let frame = match timeout_at(deadline, upstream_stream.body.frame()).await {
            Ok(frame) => frame,
            Err(_) => return StreamEnd::Failed(Outcome::TimedOut),
        };
        let data = match frame {
            None if cursor.is_between_events() => return StreamEnd::Complete,
            None | Some(Err(_)) => return StreamEnd::Failed(Outcome::Broken),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if !has_started && !data.is_empty() {
            has_started = true;
            let exchange_id = exchange.id;
            exchange.runtime.step(EntryEvent::Started {
                exchange: exchange_id,
            });
        }
        let complete = match cursor.push(&data) {
            Ok(Some(complete)) => complete,
            Ok(None) => continue,
            Err(EventTooLarge) => return StreamEnd::Failed(Outcome::Broken),
        };
        match timeout_at(deadline, events.send(Ok(complete))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return StreamEnd::Failed(Outcome::Broken),
            Err(_) => return StreamEnd::Failed(Outcome::TimedOut),
        }
    }
}

async fn resume(
    exchange: &mut Exchange,
    forwarded: &ForwardedRequest,
    begun: Begun<'_>,
    events: &EventSender,
    outcome: Outcome,
) -> Option<UpstreamStream> {
    if events.is_closed() {
        return None;
    }
    exchange.call_failed(outcome);
    loop {
        let Directive::Call(call) = exchange.next().await? else {
            return None;
        };
        let client = &exchange.runtime.client;
        let observe = |stated| exchange.observe(&call, stated);
        let answer = client.call(&call, forwarded, begun.last_event_id, &observe);
        let result = tokio::select! {
            result = answer => result,
            () = events.closed() => return None,
        };
        match result {
            Ok(CallAnswer::Stream(head, upstream_stream)) => {
                if media_type(head.headers().get(CONTENT_TYPE)) == media_type(begun.content_type) {
                    return Some(upstream_stream);
                }
                drop(upstream_stream);
                let reason = "the answer has another content type than the stream";
                caller::log_call_failure(exchange, forwarded, &call, reason);
                exchange.call_failed(Outcome::Broken);
            }
            Ok(CallAnswer::Prefilled(handle)) => exchange.prefilled(handle),
            Ok(CallAnswer::Complete(_)) => exchange.call_failed(Outcome::Broken),
            Err(failure) => {
                caller::log_call_failure(exchange, forwarded, &call, &failure.reason);
                exchange.call_failed(failure.outcome);
            }
        }
    }
}

/// Returns the media type that a content type states, without its parameters.
fn media_type(content_type: Option<&HeaderValue>) -> Option<String> {
    let text = content_type?.to_str().ok()?;
    let media_type = text.split(';').next()?;
    Some(media_type.trim().to_ascii_lowercase())
}
