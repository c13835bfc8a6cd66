//! One call to an upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::exchange::Task;
use gateway::{Attempt, Outcome};
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::clock::Clock;
use crate::dialect::{Dialect, Headers};
use crate::pool::{Connection, Pool};

/// Largest answer of a plain service, in bytes. It is held in memory until it is known to be whole.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time allowed for freeing a handle.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header that states for how long an idle connection is kept.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Header of connections through a proxy, which concerns one connection only.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// A caller's request, ready to be sent on more than once.
#[derive(Debug)]
pub struct Forwarded {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id of the request.
    pub id: HeaderValue,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether it must not run twice.
    pub is_once: bool,
}

/// A stream that an upstream has begun.
#[derive(Debug)]
pub struct Source {
    /// The rest of the answer.
    pub body: Incoming,
    /// Its connection.
    pub connection: Connection,
    /// Address of the upstream.
    pub address: Name,
    /// Time for which the connection may be idle, if it may be used again.
    pub keep_alive: KeepAlive,
}

/// How long a connection may be kept after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The upstream closes it.
    Close,
    /// The upstream does not say.
    Unstated,
    /// The upstream states the idle time.
    Stated(Duration),
}

/// What a call has brought.
#[derive(Debug)]
pub enum Called {
    /// The prompt is computed and kept under a handle.
    Prefilled(Name),
    /// A whole answer of the upstream, to be passed on.
    Whole(Response<Bytes>),
    /// The head of a stream, and the stream.
    Stream(Response<()>, Source),
}

/// Why a call has brought nothing.
#[derive(Debug)]
pub struct Failed {
    /// What it means for the request.
    pub outcome: Outcome,
    /// What happened, for the log.
    pub reason: String,
    /// The failure that the upstream answered, if it may be passed on.
    pub answer: Option<Box<Response<Bytes>>>,
}

impl Failed {
    fn new(outcome: Outcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            answer: None,
        }
    }
}

/// Makes calls.
pub struct Client {
    /// Connections to upstreams.
    pub pool: Pool,
    /// Wire format.
    pub dialect: Rc<dyn Dialect>,
    /// Clock of the instance.
    pub clock: Clock,
}

impl Client {
    /// Calls an upstream. `last_event_id` names the last event that the caller has of a stream that goes on.
    ///
    /// # Errors
    /// Returns what is known of the request's fate if there is no answer to pass on.
    pub async fn call(
        &self,
        attempt: &Attempt,
        forwarded: &Forwarded,
        last_event_id: Option<&str>,
    ) -> Result<Called, Failed> {
        let deadline = self.clock.instant(attempt.deadline_ms);
        let head_deadline = match attempt.head_deadline_ms {
            Some(head_deadline_ms) => self.clock.instant(head_deadline_ms).min(deadline),
            None => deadline,
        };
        let connection = self
            .pool
            .connection(&attempt.address, forwarded.is_once, head_deadline)
            .await
            .map_err(|reason| Failed::new(Outcome::Unreachable, reason))?;
        let request = self.request(attempt, forwarded, last_event_id);
        let (response, connection) = send(connection, request, head_deadline).await?;
        self.check(attempt, forwarded, &response)?;
        if attempt.task != Task::Prefill && forwarded.is_stream && response.status().is_success() {
            return Ok(stream(response, connection, &attempt.address));
        }
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, ANSWER_BYTES).collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(Failed::new(Outcome::Broken, error.to_string())),
            Err(_) => {
                return Err(Failed::new(
                    Outcome::TimedOut,
                    "the answer was not whole in time",
                ));
            }
        };
        self.keep(&attempt.address, connection, keep_alive(&parts.headers));
        self.finish(attempt, Response::from_parts(parts, body))
    }

    /// Keeps a connection after an answer that was read to its end.
    pub fn keep(&self, address: &Name, connection: Connection, keep_alive: KeepAlive) {
        match keep_alive {
            KeepAlive::Close => {}
            KeepAlive::Unstated => self.pool.put(address, connection, None),
            KeepAlive::Stated(idle) => self.pool.put(address, connection, Some(idle)),
        }
    }

    /// Frees the memory of a handle that will not be used.
    ///
    /// # Errors
    /// Returns why the engine did not confirm it.
    pub async fn free(&self, address: &Name, handle: &str) -> Result<(), String> {
        let path = self.dialect.handle_path(handle);
        let request = Request::delete(path).body(Full::new(Bytes::new()));
        let request = request.map_err(|error| error.to_string())?;
        let (status, _) = self.pool.exchange(address, request, FREE_TIMEOUT).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(format!("status {status}")),
        }
    }

    fn request(
        &self,
        attempt: &Attempt,
        forwarded: &Forwarded,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let names = self.dialect.headers();
        let mut request = Request::new(Full::new(forwarded.body.clone()));
        *request.method_mut() = forwarded.method.clone();
        *request.uri_mut() = forwarded.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&forwarded.headers);
        let left_ms = attempt.deadline_ms.saturating_sub(self.clock.now_ms());
        headers.insert(names.time_left_ms.clone(), HeaderValue::from(left_ms));
        insert(headers, &names.expected_instance, &attempt.upstream);
        if let Some(priority) = attempt.priority {
            headers.insert(
                names.priority.clone(),
                HeaderValue::from(u16::from(priority)),
            );
        }
        if let Some(address) = &attempt.fetch_from {
            insert(headers, &names.fetch_from, address);
        }
        match &attempt.task {
            Task::Run => {}
            Task::Prefill => insert(headers, &names.stage, self.dialect.prefill_stage()),
            Task::Generate { address, handle } => {
                insert(
                    headers,
                    &names.kv_source,
                    &self.dialect.kv_source(address, handle),
                );
            }
        }
        if let Some(last) = last_event_id {
            insert(headers, &names.last_event_id, last);
        }
        request
    }

    /// Checks that the answer belongs to the request and comes from the upstream that was meant.
    fn check(
        &self,
        attempt: &Attempt,
        forwarded: &Forwarded,
        response: &Response<Incoming>,
    ) -> Result<(), Failed> {
        let names = self.dialect.headers();
        let headers = response.headers();
        let status = response.status();
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(Failed::new(
                Outcome::Misdirected,
                "another upstream has the address",
            ));
        }
        if headers.contains_key(&names.not_run) {
            return Err(Failed::new(
                Outcome::Rejected,
                format!("rejected with status {status}"),
            ));
        }
        if attempt.task == Task::Prefill {
            return match status.is_success() {
                true => Ok(()),
                false => Err(Failed::new(Outcome::Broken, format!("status {status}"))),
            };
        }
        if headers.get(&names.request_id) != Some(&forwarded.id) {
            return Err(Failed::new(
                Outcome::Broken,
                "the answer belongs to another request",
            ));
        }
        if status.is_success() && !headers.contains_key(&names.signature) {
            return Err(Failed::new(Outcome::Broken, "the answer is not signed"));
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return Err(Failed::new(
                Outcome::Broken,
                "the body is not the upstream's",
            ));
        }
        Ok(())
    }

    fn finish(&self, attempt: &Attempt, response: Response<Bytes>) -> Result<Called, Failed> {
        if attempt.task == Task::Prefill {
            let handle = self.dialect.handle(response.body());
            let missing = || Failed::new(Outcome::Broken, "the answer names no handle");
            return handle.map(Called::Prefilled).ok_or_else(missing);
        }
        let status = response.status();
        if status.is_server_error() {
            return Err(Failed {
                answer: Some(Box::new(passed_on(response))),
                ..Failed::new(Outcome::FailedAnswer, format!("status {status}"))
            });
        }
        Ok(Called::Whole(passed_on(response)))
    }
}

/// Sends a request and waits for the head of the answer.
async fn send(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<(Response<Incoming>, Connection), Failed> {
    let sent = connection.sender.try_send_request(request);
    match timeout_at(deadline, sent).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(mut error)) => {
            // The library returns the request if it has written nothing of it.
            let outcome = match error.take_message() {
                Some(_) => Outcome::Unreachable,
                None => Outcome::Broken,
            };
            let reason = error.into_error().to_string();
            Err(Failed::new(outcome, reason))
        }
        Err(_) => Err(Failed::new(Outcome::TimedOut, "no answer in time")),
    }
}

fn stream(response: Response<Incoming>, connection: Connection, address: &Name) -> Called {
    let (mut parts, body) = response.into_parts();
    let keep_alive = keep_alive(&parts.headers);
    remove_hop_headers(&mut parts.headers);
    let source = Source {
        body,
        connection,
        address: address.clone(),
        keep_alive,
    };
    Called::Stream(Response::from_parts(parts, ()), source)
}

/// Removes from an answer what concerns the upstream's connection only.
fn passed_on(mut response: Response<Bytes>) -> Response<Bytes> {
    remove_hop_headers(response.headers_mut());
    response
}

fn keep_alive(headers: &HeaderMap) -> KeepAlive {
    let has_close = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if has_close {
        return KeepAlive::Close;
    }
    let stated = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|one| one.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    stated.map_or(KeepAlive::Unstated, |seconds| {
        KeepAlive::Stated(Duration::from_secs(seconds))
    })
}

/// Removes the headers that concern one connection only, and the length, which the library states itself.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in named.iter().chain(&fixed) {
        headers.remove(name);
    }
}

/// Returns the headers of a caller's request that are passed on.
pub fn forwarded_headers(mut headers: HeaderMap, names: &Headers) -> HeaderMap {
    remove_hop_headers(&mut headers);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers
}

/// Sets a header. What the upstreams and the list name is checked when it is decoded, so that it fits.
fn insert(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}
