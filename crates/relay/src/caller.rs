//! Requests of callers.

use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::entry::EntryEvent;
use gateway::{Attempt, Config, Directive, Outcome, Refusal, RefusalReason, RequestKind, Route};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::answer::{self, AnswerBody};
use crate::call::{Called, Forwarded, forwarded_headers};
use crate::entry::Shell;
use crate::logs::{self, Importance};
use crate::stream;

/// Wait that callers are told while no configuration is known, in milliseconds.
const UNCONFIGURED_RETRY_MS: u64 = 300;
/// Time allowed for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// An open exchange. Dropping it tells the decisions that the caller has left.
pub struct Exchange {
    /// The instance.
    pub shell: Rc<Shell>,
    /// Number of the exchange.
    pub id: u64,
    directives: mpsc::UnboundedReceiver<Directive>,
    is_closed: bool,
}

impl Exchange {
    fn open(shell: Rc<Shell>) -> Self {
        let (id, directives) = shell.open_exchange();
        Self {
            shell,
            id,
            directives,
            is_closed: false,
        }
    }

    /// Returns the next directive.
    pub async fn next(&mut self) -> Option<Directive> {
        self.directives.recv().await
    }

    /// Reports a call that brought nothing.
    pub fn ended(&self, outcome: Outcome) {
        let exchange = self.id;
        self.shell
            .step(EntryEvent::CallFailed { exchange, outcome });
    }

    /// Reports a computed prompt.
    pub fn prefilled(&self, handle: Name) {
        let exchange = self.id;
        self.shell.step(EntryEvent::Prefilled { exchange, handle });
    }

    /// Reports that the answer was passed on in full.
    pub fn finish(mut self) {
        self.close(true);
    }

    fn close(&mut self, is_complete: bool) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        let exchange = self.id;
        self.shell.step(EntryEvent::Closed {
            exchange,
            is_complete,
        });
        self.shell.close_exchange(exchange);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.close(false);
    }
}

/// Answers a request.
pub async fn handle(shell: Rc<Shell>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_ms = shell.client.clock.now_ms();
    let Some(config) = shell.config() else {
        log_refused(request.headers(), &shell, "no_configuration");
        return answer::refusal(Refusal {
            reason: RefusalReason::NoConfiguration,
            retry_after_ms: UNCONFIGURED_RETRY_MS,
        });
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(route) = config.route(host, request.uri().path()) else {
        log_refused(request.headers(), &shell, "no_route");
        return answer::error(
            StatusCode::NOT_FOUND,
            "unknown_route",
            "no route has this host and path",
        );
    };
    let route = route.clone();
    match read(&shell, &config, &route, request, arrived_ms).await {
        Ok((request, forwarded)) => {
            let exchange = Exchange::open(shell.clone());
            shell.step(EntryEvent::Arrived {
                exchange: exchange.id,
                request,
            });
            run(exchange, Rc::new(forwarded)).await
        }
        Err(response) => response,
    }
}

/// Reads the whole request.
async fn read(
    shell: &Shell,
    config: &Config,
    route: &Route,
    request: Request<Incoming>,
    arrived_ms: u64,
) -> Result<(gateway::Request, Forwarded), Response<AnswerBody>> {
    let dialect = &shell.client.dialect;
    let names = dialect.headers();
    let (parts, body) = request.into_parts();
    let bad = |code, message| answer::error(StatusCode::BAD_REQUEST, code, message);
    let id = parts.headers.get(&names.request_id).cloned();
    let id = id.ok_or_else(|| bad("no_request_id", "the request has no id"))?;
    let id_text = id.to_str().unwrap_or_default().to_owned();
    let draw = foldhash::fast::FixedState::default().hash_one(&id_text);
    let service = route
        .service(draw)
        .ok_or_else(|| bad("no_service", "the route has no service"))?;
    let left_ms = parts
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
        kind: route.kind,
        rank: route.rank,
        deadline_ms: arrived_ms + left_ms,
        begin_deadline_ms: arrived_ms + left_ms.min(route.begin_timeout_ms()),
        objective_ms: arrived_ms + route.objective_ms,
        max_attempts: route.max_attempts,
        prompt,
    };
    let body = read_body(body, config.limits().body_bytes).await?;
    let forwarded = Forwarded {
        method: parts.method,
        target: target(&parts.uri),
        headers: forwarded_headers(parts.headers, names),
        body,
        id,
        is_stream: matches!(route.kind, RequestKind::Stream { .. }),
        is_once: !route.kind.is_retryable(),
    };
    Ok((request, forwarded))
}

async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Response<AnswerBody>> {
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit_bytes).collect());
    match collected.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(answer::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            "the body is larger than allowed",
        )),
        Ok(Err(_)) => Err(answer::error(
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

/// Returns the path and query of a request, which may also name a scheme and host.
fn target(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

/// Carries out directives until there is an answer.
async fn run(mut exchange: Exchange, forwarded: Rc<Forwarded>) -> Response<AnswerBody> {
    let mut failed_answer: Option<Box<Response<Bytes>>> = None;
    loop {
        match exchange.next().await {
            Some(Directive::Send(attempt)) => {
                match exchange.shell.client.call(&attempt, &forwarded, None).await {
                    Ok(Called::Prefilled(handle)) => exchange.prefilled(handle),
                    Ok(Called::Whole(response)) => {
                        exchange.finish();
                        return response.map(AnswerBody::from);
                    }
                    Ok(Called::Stream(head, source)) => {
                        return begin_stream(exchange, &attempt, head, source, forwarded);
                    }
                    Err(failed) => {
                        log_failed(&exchange, &forwarded, &attempt, &failed.reason);
                        failed_answer = failed.answer.or(failed_answer);
                        exchange.ended(failed.outcome);
                    }
                }
            }
            Some(Directive::ForwardFailure) => {
                if let Some(response) = failed_answer.take() {
                    exchange.finish();
                    return (*response).map(AnswerBody::from);
                }
                return unknown_end();
            }
            Some(Directive::Refuse(refusal)) => return answer::refusal(refusal),
            None => return unknown_end(),
        }
    }
}

fn begin_stream(
    exchange: Exchange,
    attempt: &Attempt,
    head: Response<()>,
    source: crate::call::Source,
    forwarded: Rc<Forwarded>,
) -> Response<AnswerBody> {
    let (events, receiver) = mpsc::channel(stream::CHANNEL_EVENTS);
    let deadline = exchange.shell.client.clock.instant(attempt.deadline_ms);
    tokio::task::spawn_local(stream::pass_on(
        exchange, source, forwarded, events, deadline,
    ));
    head.map(|()| AnswerBody::Events(receiver))
}

fn unknown_end() -> Response<AnswerBody> {
    answer::refusal(Refusal {
        reason: RefusalReason::Failed,
        retry_after_ms: 0,
    })
}

fn log_failed(exchange: &Exchange, forwarded: &Forwarded, attempt: &Attempt, reason: &str) {
    let text = format!(
        "request={} exchange={} upstream={} address={} call=failed reason={reason:?}",
        printable(&forwarded.id),
        exchange.id,
        attempt.upstream,
        attempt.address
    );
    logs::line(Importance::Failure, "call", &text);
}

fn log_refused(headers: &HeaderMap, shell: &Shell, reason: &str) {
    let id = headers.get(&shell.client.dialect.headers().request_id);
    let id = id.map_or("none", printable);
    let version = shell.config().map_or(0, |config| config.version());
    let text =
        format!("request={id} outcome=refused reason={reason} not_run=true config={version}");
    logs::line(Importance::Failure, "entry", &text);
}

/// Returns a request's id for a log line. What a caller sends must not look like further fields.
fn printable(id: &HeaderValue) -> &str {
    let is_graphic = id.as_bytes().iter().all(u8::is_ascii_graphic);
    let text = id.to_str().ok().filter(|_| is_graphic);
    text.unwrap_or("unprintable")
}
