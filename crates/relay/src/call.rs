//! Calls to upstreams.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::exchange::Task;
use gateway::notices::{Notice, StatedPause};
use gateway::{Account, Outcome, StatedLimit, UpstreamCall};
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::body;
use crate::clock::Clock;
use crate::dialect::{Dialect, HeaderNames};
use crate::pool::{Connection, Needs, Pool};

/// Maximum size of an answer that is not a stream, in bytes. Such an answer is held in memory until it is complete.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Statuses of answers that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Largest body that an upstream's socket takes while the upstream does not read, in bytes. If an upstream takes no bytes
/// of a longer one, it may be alive.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Maximum size of the answer to a prefill call, in bytes. It contains little more than a handle.
const MAX_PREFILL_ANSWER_BYTES: usize = 64 * 1024;
/// Largest limit on requests that an upstream may state, in requests per second.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;
/// Timeout of the call that frees a handle.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header in which the upstream states for how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Header of connections through a proxy, which applies to one connection only.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// A caller's request in the form in which the request is forwarded to one or more upstreams.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Id of the request.
    pub id: HeaderValue,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether the request must not run twice.
    pub is_at_most_once: bool,
}

/// An answer of an upstream that is a stream of events.
#[derive(Debug)]
pub struct UpstreamStream {
    /// Rest of the body.
    pub body: Incoming,
    /// Connection of the call.
    pub connection: Connection,
    /// Address of the upstream.
    pub address: Name,
    /// How long the connection may be kept after the stream.
    pub keep_alive: KeepAlive,
}

/// How long a connection may be kept after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The upstream closes the connection.
    Close,
    /// The upstream states no idle time.
    Unstated,
    /// The upstream keeps the connection for the stated idle time.
    Stated(Duration),
}

/// The result of a successful call.
#[derive(Debug)]
pub enum CallAnswer {
    /// The engine has computed the prompt and keeps its KV cache under a handle.
    Prefilled(Name),
    /// A complete answer of the upstream, to be forwarded.
    Complete(Response<Bytes>),
    /// The head and the body of a stream.
    Stream(Response<()>, UpstreamStream),
}

/// The failure of a call.
#[derive(Debug)]
pub struct CallFailure {
    /// How the call ended, which decides whether the request may be retried.
    pub outcome: Outcome,
    /// Reason for the log.
    pub reason: String,
    /// The failed answer of the upstream, if there is one that may be forwarded.
    pub answer: Option<Box<Response<Bytes>>>,
}

impl CallFailure {
    fn new(outcome: Outcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            answer: None,
        }
    }
}

/// What the head of an upstream's answer states besides the answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// Limit on requests.
    pub limit: StatedLimit,
    /// How long work takes at the upstream now, in percent of the usual duration.
    pub slowness_percent: Option<u16>,
    /// Announcements of the upstream.
    pub notice: Notice,
}

/// Receives what the head of an upstream's answer states.
pub type StatedObserver<'a> = &'a dyn Fn(Stated);

/// Makes calls to upstreams.
pub struct Client {
    /// Connections to upstreams.
    pub pool: Pool,
    /// Wire format of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Clock of the instance.
    pub clock: Clock,
}

impl Client {
    /// Calls an upstream. `last_event_id` is the id of the last event that the caller has received of a resumed stream.
    /// `observe` is called with what the head of the answer states.
    ///
    /// # Errors
    /// Returns the outcome and its reason if there is no answer to forward.
    pub async fn call(
        &self,
        call: &UpstreamCall,
        forwarded: &ForwardedRequest,
        last_event_id: Option<&str>,
        observe: StatedObserver<'_>,
    ) -> Result<CallAnswer, CallFailure> {
        let deadline = self.clock.instant(call.deadline_ms);
        let head_deadline = match call.head_deadline_ms {
            Some(head_deadline_ms) => self.clock.instant(head_deadline_ms).min(deadline),
            None => deadline,
        };
        // A prefill call may be repeated.
        let needs = Needs {
            freshness: forwarded.is_at_most_once && call.task != Task::Prefill,
            request_id: Some(&forwarded.id),
            write_deadline: (forwarded.body.len() > SMALL_BODY_BYTES).then_some(head_deadline),
        };
        let mut connection = self
            .pool
            .connection(&call.address, needs, head_deadline)
            .await
            .map_err(|reason| CallFailure::new(Outcome::Unreachable, reason))?;
        connection.last_request_id = Some(forwarded.id.clone());
        let request = self.build_request(call, forwarded, last_event_id);
        let (response, connection) = send_request(connection, request, head_deadline).await?;
        self.validate_request_id(forwarded, &response, connection.is_reused)?;
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            observe(self.stated(response.status(), response.headers()));
        }
        self.validate_head(call, &response)?;
        if call.task != Task::Prefill && forwarded.is_stream && response.status().is_success() {
            return Ok(to_stream(response, connection, &call.address));
        }
        let (parts, body) = response.into_parts();
        let limit_bytes = match call.task {
            Task::Prefill => MAX_PREFILL_ANSWER_BYTES,
            Task::Run | Task::Generate { .. } => MAX_ANSWER_BYTES,
        };
        let body = match timeout_at(
            deadline,
            body::read_whole(body, limit_bytes, &self.pool.memory),
        )
        .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(CallFailure::new(Outcome::Broken, error.to_string())),
            Err(_) => {
                return Err(CallFailure::new(
                    Outcome::TimedOut,
                    "the answer was not complete in time",
                ));
            }
        };
        self.keep_connection(&call.address, connection, parse_keep_alive(&parts.headers));
        self.to_answer(call, Response::from_parts(parts, body))
    }

    /// Keeps a connection after an answer that was read to its end, unless the upstream closes the connection.
    pub fn keep_connection(&self, address: &Name, connection: Connection, keep_alive: KeepAlive) {
        match keep_alive {
            KeepAlive::Close => {}
            KeepAlive::Unstated => self.pool.put(address, connection, None),
            KeepAlive::Stated(idle) => self.pool.put(address, connection, Some(idle)),
        }
    }

    /// Frees the KV cache under a handle that will not be used.
    ///
    /// # Errors
    /// Returns the reason if the engine does not confirm the release.
    pub async fn free_handle(&self, address: &Name, handle: &str) -> Result<(), String> {
        let path = self.dialect.handle_path(handle);
        let request = Request::delete(path).body(Full::new(Bytes::new()));
        let request = request.map_err(|error| error.to_string())?;
        let (status, _) = self.pool.call(address, request, FREE_TIMEOUT).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(format!("the answer has status {status}")),
        }
    }

    fn build_request(
        &self,
        call: &UpstreamCall,
        forwarded: &ForwardedRequest,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let names = self.dialect.header_names();
        let mut request = Request::new(Full::new(forwarded.body.clone()));
        *request.method_mut() = forwarded.method.clone();
        *request.uri_mut() = forwarded.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&forwarded.headers);
        let remaining_ms = call.deadline_ms.saturating_sub(self.clock.now_ms());
        headers.insert(names.time_left_ms.clone(), HeaderValue::from(remaining_ms));
        insert_header(headers, &names.expected_instance, &call.upstream);
        if let Some(priority) = call.priority {
            headers.insert(
                names.priority.clone(),
                HeaderValue::from(u16::from(priority)),
            );
        }
        if let Some(address) = &call.fetch_from {
            insert_header(headers, &names.fetch_from, address);
        }
        match &call.task {
            Task::Run => {}
            Task::Prefill => insert_header(headers, &names.stage, self.dialect.prefill_stage()),
            Task::Generate { address, handle } => {
                insert_header(
                    headers,
                    &names.kv_source,
                    &self.dialect.kv_source(address, handle),
                );
            }
        }
        if let Some(last) = last_event_id {
            insert_header(headers, &names.last_event_id, last);
        }
        request
    }

    /// Checks that an answer belongs to the request. On a connection that has carried other requests, a second answer to
    /// one of them may arrive late, and must not even count as a promise that this request has not run.
    fn validate_request_id(
        &self,
        forwarded: &ForwardedRequest,
        response: &Response<Incoming>,
        is_reused: bool,
    ) -> Result<(), CallFailure> {
        let answered = response
            .headers()
            .get(&self.dialect.header_names().request_id);
        match answered {
            Some(id) if *id == forwarded.id => Ok(()),
            None if !is_reused => Ok(()),
            _ => Err(CallFailure::new(
                Outcome::Broken,
                "the answer belongs to another request",
            )),
        }
    }

    fn stated(&self, status: StatusCode, headers: &HeaderMap) -> Stated {
        let names = self.dialect.header_names();
        let load = headers
            .get(&names.load)
            .and_then(|value| value.to_str().ok());
        Stated {
            limit: stated_limit(headers, &names.request_limit),
            slowness_percent: load.and_then(|load| self.dialect.slowness_percent(load)),
            notice: Notice {
                is_leaving: is_announced(headers, &names.leaving),
                pause: match status {
                    StatusCode::SERVICE_UNAVAILABLE => stated_pause(self.clock.now_ms(), headers),
                    _ => StatedPause::Absent,
                },
            },
        }
    }

    /// Checks the head of an answer: the answer must come from the chosen upstream.
    fn validate_head(
        &self,
        call: &UpstreamCall,
        response: &Response<Incoming>,
    ) -> Result<(), CallFailure> {
        let names = self.dialect.header_names();
        let headers = response.headers();
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(CallFailure::new(
                Outcome::Broken,
                format!("an answer cannot have status {status}"),
            ));
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(CallFailure::new(
                Outcome::Misdirected,
                "another upstream has the address",
            ));
        }
        if headers.contains_key(&names.not_run) {
            return Err(CallFailure::new(
                Outcome::Rejected,
                format!("the upstream rejected the request with status {status}"),
            ));
        }
        if call.task == Task::Prefill {
            return match status.is_success() {
                true => Ok(()),
                false => Err(CallFailure::new(
                    Outcome::Broken,
                    format!("the answer has status {status}"),
                )),
            };
        }
        if !headers.contains_key(&names.request_id) {
            return Err(CallFailure::new(
                Outcome::Broken,
                "the answer does not state its request",
            ));
        }
        if status.is_success() && !headers.contains_key(&names.signature) {
            return Err(CallFailure::new(
                Outcome::Broken,
                "the answer is not signed",
            ));
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return Err(CallFailure::new(
                Outcome::Broken,
                "the body has a content encoding and is not the upstream's",
            ));
        }
        Ok(())
    }

    fn to_answer(
        &self,
        call: &UpstreamCall,
        response: Response<Bytes>,
    ) -> Result<CallAnswer, CallFailure> {
        if call.task == Task::Prefill {
            let handle = self.dialect.handle(response.body());
            let no_handle = || CallFailure::new(Outcome::Broken, "the answer names no handle");
            return handle.map(CallAnswer::Prefilled).ok_or_else(no_handle);
        }
        let status = response.status();
        if status.is_server_error() {
            return Err(CallFailure {
                answer: Some(Box::new(without_hop_headers(response))),
                ..CallFailure::new(
                    Outcome::FailedAnswer,
                    format!("the answer has status {status}"),
                )
            });
        }
        Ok(CallAnswer::Complete(without_hop_headers(response)))
    }
}

/// Sends a request and waits for the head of the answer until `deadline`.
async fn send_request(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<(Response<Incoming>, Connection), CallFailure> {
    let sent = connection.sender.try_send_request(request);
    match timeout_at(deadline, sent).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(mut error)) => {
            // The library returns the request only if it has written no part of the request.
            let outcome = match error.take_message() {
                Some(_) => Outcome::Unreachable,
                None => Outcome::Broken,
            };
            let reason = error.into_error().to_string();
            Err(CallFailure::new(outcome, reason))
        }
        Err(_) => Err(CallFailure::new(
            Outcome::TimedOut,
            "the head of the answer did not arrive in time",
        )),
    }
}

fn to_stream(response: Response<Incoming>, connection: Connection, address: &Name) -> CallAnswer {
    let (mut parts, body) = response.into_parts();
    let keep_alive = parse_keep_alive(&parts.headers);
    remove_hop_headers(&mut parts.headers);
    let upstream_stream = UpstreamStream {
        body,
        connection,
        address: address.clone(),
        keep_alive,
    };
    CallAnswer::Stream(Response::from_parts(parts, ()), upstream_stream)
}

/// Returns an answer without the headers that apply to the upstream's connection only.
fn without_hop_headers(mut response: Response<Bytes>) -> Response<Bytes> {
    remove_hop_headers(response.headers_mut());
    response
}

fn parse_keep_alive(headers: &HeaderMap) -> KeepAlive {
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
                .find_map(|parameter| parameter.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    stated.map_or(KeepAlive::Unstated, |seconds| {
        KeepAlive::Stated(Duration::from_secs(seconds))
    })
}

/// Returns the limit that an answer states. A limit must be stated once, as a number of requests per second.
fn stated_limit(headers: &HeaderMap, name: &HeaderName) -> StatedLimit {
    match stated_number(headers, name) {
        None => StatedLimit::Absent,
        Some(Some(per_s)) if (0.0..=MAX_LIMIT_PER_S).contains(&per_s) => {
            StatedLimit::PerSecond(per_s)
        }
        Some(_) => StatedLimit::Invalid,
    }
}

/// Returns the number in a header: none if the header is absent, and an inner none if it is no number or is repeated.
fn stated_number(headers: &HeaderMap, name: &HeaderName) -> Option<Option<f64>> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    Some(number.filter(|_| values.next().is_none()))
}

/// Returns whether an answer announces the end of its upstream, which a single header with the value 1 does.
fn is_announced(headers: &HeaderMap, name: &HeaderName) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_some_and(|value| value == "1") && values.next().is_none()
}

/// Returns the pause that a rejection states, as a single number of seconds.
fn stated_pause(now_ms: u64, headers: &HeaderMap) -> StatedPause {
    match stated_number(headers, &RETRY_AFTER) {
        None => StatedPause::Absent,
        Some(Some(seconds)) => StatedPause::from_seconds(now_ms, seconds),
        Some(None) => StatedPause::Invalid,
    }
}

/// Removes the hop-by-hop headers, which apply to one connection only, and the content length, which the HTTP library
/// sets itself.
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

/// Returns the headers of a caller's request that are forwarded to upstreams, with the name of its client account.
pub fn forwarded_headers(
    mut headers: HeaderMap,
    names: &HeaderNames,
    account: Option<&Account>,
) -> HeaderMap {
    remove_hop_headers(&mut headers);
    for name in &names.reserved {
        headers.remove(name);
    }
    if let Some(account) = account {
        insert_header(&mut headers, &names.account, &account.name);
    }
    headers
}

/// Sets a header, or leaves it out if `value` is not a valid header value. The decoders check the values that come from
/// upstreams, from the list and from the configuration, so that these are valid.
fn insert_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        headers.insert(name.clone(), value);
    }
}
