//! Requests of callers.

use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::entry::EntryEvent;
use gateway::notices::Notice;
use gateway::{
    Account, Config, Directive, KeyCheck, Outcome, Refusal, RefusalReason, RequestKind, Route,
    UpstreamCall,
};
use http::header::{CONNECTION, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::answer::{self, AnswerBody};
use crate::body::{self, BodyError};
use crate::call::{CallAnswer, ForwardedRequest, Stated, forwarded_headers};
use crate::entry::EntryRuntime;
use crate::logs::{self, Importance};
use crate::memory::BodyMemory;
use crate::stream;

/// Wait that a caller is told before it retries while the instance has no configuration, in milliseconds.
const UNCONFIGURED_RETRY_AFTER_MS: u64 = 300;
/// Wait that a caller is told before it retries while the instance cannot tell which keys work, in milliseconds. The
/// load balancer has turned to other instances by then, and one of them can take the retry at once.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 100;
/// Wait that a caller is told before it retries while other bodies hold the memory, in milliseconds.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 300;
/// Timeout of receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// An open exchange. Dropping the exchange reports to the reducer that the caller has disconnected.
pub struct Exchange {
    /// The entry that handles the exchange.
    pub runtime: Rc<EntryRuntime>,
    /// Id of the exchange.
    pub id: u64,
    directives: mpsc::UnboundedReceiver<Directive>,
    is_closed: bool,
}

impl Exchange {
    fn open(runtime: Rc<EntryRuntime>) -> Self {
        let (id, directives) = runtime.open_exchange();
        Self {
            runtime,
            id,
            directives,
            is_closed: false,
        }
    }

    /// Waits for the next directive of the reducer.
    pub async fn next(&mut self) -> Option<Directive> {
        self.directives.recv().await
    }

    /// Reports a call that ended without an answer to forward.
    pub fn call_failed(&self, outcome: Outcome) {
        let exchange = self.id;
        self.runtime
            .step(EntryEvent::CallFailed { exchange, outcome });
    }

    /// Reports that an engine has computed the prompt and keeps its KV cache under `handle`.
    pub fn prefilled(&self, handle: Name) {
        let exchange = self.id;
        self.runtime
            .step(EntryEvent::Prefilled { exchange, handle });
    }

    /// Reports what the head of the answer to a call states.
    pub fn observe(&self, call: &UpstreamCall, stated: Stated) {
        let upstream = call.upstream.clone();
        self.runtime.step(EntryEvent::LimitStated {
            upstream: upstream.clone(),
            stated: stated.limit,
        });
        if stated.notice != Notice::default() {
            self.runtime.step(EntryEvent::NoticeStated {
                upstream: upstream.clone(),
                notice: stated.notice,
            });
        }
        if let Some(percent) = stated.slowness_percent {
            self.runtime
                .step(EntryEvent::SlownessStated { upstream, percent });
        }
    }

    /// Reports that the answer has been forwarded in full.
    pub fn finish(mut self) {
        self.close(true);
    }

    fn close(&mut self, is_complete: bool) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        let exchange = self.id;
        self.runtime.step(EntryEvent::Closed {
            exchange,
            is_complete,
        });
        self.runtime.close_exchange(exchange);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.close(false);
    }
}

/// Answers the request of a caller.
pub async fn handle(runtime: Rc<EntryRuntime>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_ms = runtime.client.clock.now_ms();
    let Some(config) = runtime.config() else {
        log_refusal(request.headers(), &runtime, "no_configuration");
        return answer::refusal(Refusal {
            reason: RefusalReason::NoConfiguration,
            retry_after_ms: UNCONFIGURED_RETRY_AFTER_MS,
        });
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(route) = config.route(host, request.uri().path()) else {
        log_refusal(request.headers(), &runtime, "no_route");
        return answer::error(
            StatusCode::NOT_FOUND,
            "unknown_route",
            "no route has this host and path",
        );
    };
    if config.has_accounts() && !route.is_public && !runtime.takes_keys() {
        log_refusal(
            request.headers(),
            &runtime,
            RefusalReason::Unconfirmed.name(),
        );
        let mut response = answer::refusal(Refusal {
            reason: RefusalReason::Unconfirmed,
            retry_after_ms: UNCONFIRMED_RETRY_AFTER_MS,
        });
        // The caller's next request goes to another instance.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        return response;
    }
    let api_key = &runtime.client.dialect.header_names().api_key;
    let api_keys = request.headers().get_all(api_key).iter();
    let account = match config.check_key(route, api_keys.map(HeaderValue::as_bytes)) {
        KeyCheck::NotNeeded => None,
        KeyCheck::Known(account) => Some(account.clone()),
        KeyCheck::Unknown => {
            log_refusal(request.headers(), &runtime, "unknown_key");
            return answer::error(
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                "the request needs a key that belongs to a client account",
            );
        }
    };
    let route = route.clone();
    match read_request(&runtime, &config, &route, account, request, arrived_ms).await {
        Ok((request, forwarded)) => {
            let exchange = Exchange::open(runtime.clone());
            runtime.step(EntryEvent::Arrived {
                exchange: exchange.id,
                request,
            });
            run_exchange(exchange, Rc::new(forwarded)).await
        }
        Err(response) => response,
    }
}

/// Reads a request in full. Returns the request for the reducer and the request to forward, or the refusal.
async fn read_request(
    runtime: &EntryRuntime,
    config: &Config,
    route: &Route,
    account: Option<Account>,
    request: Request<Incoming>,
    arrived_ms: u64,
) -> Result<(gateway::Request, ForwardedRequest), Response<AnswerBody>> {
    let dialect = &runtime.client.dialect;
    let names = dialect.header_names();
    let (parts, body) = request.into_parts();
    let bad_request = |code, message| answer::error(StatusCode::BAD_REQUEST, code, message);
    let id = parts.headers.get(&names.request_id).cloned();
    let id = id.ok_or_else(|| bad_request("no_request_id", "the request has no id"))?;
    let id_text = id.to_str().unwrap_or_default().to_owned();
    let request_hash = foldhash::fast::FixedState::default().hash_one(&id_text);
    let service = route
        .service(request_hash)
        .ok_or_else(|| bad_request("no_service", "the route has no service"))?;
    let remaining_ms = parts
        .headers
        .get(&names.time_left_ms)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let has_engine = config
        .service(service)
        .is_some_and(|service| service.engine.is_some());
    let prompt = dialect.prompt(&parts.headers).filter(|_| has_engine);
    let request = gateway::Request {
        id: Name::from(id_text),
        route: route.name.clone(),
        service: service.clone(),
        account: account.as_ref().map(|account| account.name.clone()),
        kind: route.kind,
        rank: account
            .as_ref()
            .and_then(|account| account.rank)
            .unwrap_or(route.rank),
        deadline_ms: arrived_ms + remaining_ms,
        begin_deadline_ms: arrived_ms + remaining_ms.min(route.begin_timeout_ms()),
        objective_ms: arrived_ms + route.objective_ms,
        gap_ms: route.gap_ms,
        max_runs: route.max_runs,
        prompt,
    };
    let body = read_body(
        body,
        config.limits().body_bytes,
        &runtime.client.pool.memory,
    )
    .await?;
    let forwarded = ForwardedRequest {
        method: parts.method,
        target: origin_form(&parts.uri),
        headers: forwarded_headers(parts.headers, names, account.as_ref()),
        body,
        id,
        is_stream: matches!(route.kind, RequestKind::Stream { .. }),
        is_at_most_once: !route.kind.is_retryable(),
    };
    Ok((request, forwarded))
}

async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    memory: &BodyMemory,
) -> Result<Bytes, Response<AnswerBody>> {
    let body = tokio::time::timeout(BODY_TIMEOUT, body::read_whole(body, limit_bytes, memory));
    match body.await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge { .. })) => Err(answer::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            "the body is larger than allowed",
        )),
        Ok(Err(BodyError::NoMemory)) => Err(answer::refusal(Refusal {
            reason: RefusalReason::NotRun,
            retry_after_ms: NO_MEMORY_RETRY_AFTER_MS,
        })),
        Ok(Err(BodyError::Broken(_))) => Err(answer::error(
            StatusCode::BAD_REQUEST,
            "body_unreadable",
            "the body cannot be read",
        )),
        Err(_) => Err(answer::error(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "the body was not there in time",
        )),
    }
}

/// Returns the path and query of a request's URI, without the scheme and host that the URI may contain.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

/// Carries out the reducer's directives until the caller can be answered.
async fn run_exchange(
    mut exchange: Exchange,
    forwarded: Rc<ForwardedRequest>,
) -> Response<AnswerBody> {
    let mut failed_answer: Option<Box<Response<Bytes>>> = None;
    loop {
        match exchange.next().await {
            Some(Directive::Call(call)) => {
                let observe = |stated| exchange.observe(&call, stated);
                let client = &exchange.runtime.client;
                match client.call(&call, &forwarded, None, &observe).await {
                    Ok(CallAnswer::Prefilled(handle)) => exchange.prefilled(handle),
                    Ok(CallAnswer::Complete(response)) => {
                        exchange.finish();
                        return response.map(AnswerBody::from);
                    }
                    Ok(CallAnswer::Stream(head, upstream_stream)) => {
                        return begin_stream(exchange, &call, head, upstream_stream, forwarded);
                    }
                    Err(failure) => {
                        log_call_failure(&exchange, &forwarded, &call, &failure.reason);
                        failed_answer = failure.answer.or(failed_answer);
                        exchange.call_failed(failure.outcome);
                    }
                }
            }
            Some(Directive::ForwardFailure) => {
                if let Some(response) = failed_answer.take() {
                    exchange.finish();
                    return (*response).map(AnswerBody::from);
                }
                return refusal_for_failure();
            }
            Some(Directive::Refuse(refusal)) => return answer::refusal(refusal),
            None => return refusal_for_failure(),
        }
    }
}

fn begin_stream(
    exchange: Exchange,
    call: &UpstreamCall,
    head: Response<()>,
    upstream_stream: crate::call::UpstreamStream,
    forwarded: Rc<ForwardedRequest>,
) -> Response<AnswerBody> {
    let (events, receiver) = mpsc::channel(stream::EVENT_CHANNEL_CAPACITY);
    let deadline = exchange.runtime.client.clock.instant(call.deadline_ms);
    tokio::task::spawn_local(stream::forward_stream(
        exchange,
        head.headers().get(CONTENT_TYPE).cloned(),
        upstream_stream,
        forwarded,
        events,
        deadline,
    ));
    head.map(|()| AnswerBody::Events(receiver))
}

fn refusal_for_failure() -> Response<AnswerBody> {
    answer::refusal(Refusal {
        reason: RefusalReason::Failed,
        retry_after_ms: 0,
    })
}

/// Logs why a call to an upstream failed.
pub fn log_call_failure(
    exchange: &Exchange,
    forwarded: &ForwardedRequest,
    call: &UpstreamCall,
    reason: &str,
) {
    let text = format!(
        "request={} exchange={} upstream={} address={} call=failed reason={reason:?}",
        loggable_id(&forwarded.id),
        exchange.id,
        call.upstream,
        call.address
    );
    logs::write(Importance::Failure, "call", &text);
}

fn log_refusal(headers: &HeaderMap, runtime: &EntryRuntime, reason: &str) {
    let id = headers.get(&runtime.client.dialect.header_names().request_id);
    let id = id.map_or("none", loggable_id);
    let version = runtime.config().map_or(0, |config| config.version());
    let text =
        format!("request={id} outcome=refused reason={reason} not_run=true config={version}");
    logs::write(Importance::Failure, "entry", &text);
}

/// Returns a request's id for a log line, or `unprintable`: text of a caller must not look like further log fields.
fn loggable_id(id: &HeaderValue) -> &str {
    let is_graphic = id.as_bytes().iter().all(u8::is_ascii_graphic);
    let text = id.to_str().ok().filter(|_| is_graphic);
    text.unwrap_or("unprintable")
}
