//! The administration listener.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use conf::Map;
use conf::admin::{
    ApplyReply, ApplyRequest, ChangeReply, ConfirmDeadRequest, DrainTarget, OrderRequest,
    ReplaceVoterRequest,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use reducer::{AdminReply, AdminRequest, Event};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;

use crate::body::read_body;
use crate::caller::bearer;
use crate::queue::EventQueue;
use crate::refusal::Refused;
use crate::reply::response;
use crate::telemetry::Telemetry;

/// Time after which the reducer is taken to have no answer. It answers within its own shorter limits.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest body: an apply with the files and the canonical text.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time allowed for reading a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;

/// Requests that wait for the reducer's reply.
#[derive(Clone, Debug, Default)]
pub struct AdminReplies {
    waiting: Arc<Mutex<Map<u64, oneshot::Sender<AdminReply>>>>,
}

impl AdminReplies {
    /// Passes a reply to the request that waits for it, if it still does.
    pub fn complete(&self, token: u64, reply: AdminReply) {
        if let Some(sender) = self.lock().remove(&token) {
            let _ = sender.send(reply);
        }
    }

    fn expect(&self, token: u64) -> oneshot::Receiver<AdminReply> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(token, sender);
        receiver
    }

    fn forget(&self, token: u64) {
        self.lock().remove(&token);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<u64, oneshot::Sender<AdminReply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the handlers of the administration listener share.
#[derive(Debug)]
pub struct Admin {
    /// SHA-256 of the bearer token.
    pub token_sha256: [u8; 32],
    /// Queue to the reducer.
    pub events: EventQueue,
    /// Requests that wait.
    pub replies: AdminReplies,
    /// Metrics of the process.
    pub telemetry: Telemetry,
    /// Token of the next request.
    pub next_token: AtomicU64,
}

/// Returns the digest with which a token is compared.
pub fn token_digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Builds the router of the administration listener.
pub fn router(admin: Arc<Admin>) -> Router {
    Router::new().fallback(move |request: Request| {
        let admin = admin.clone();
        async move {
            match handle(&admin, request).await {
                Ok(response) => response,
                Err(refused) => refused.response(),
            }
        }
    })
}

async fn handle(admin: &Admin, request: Request) -> Result<Response, Refused> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if (&head.method, path) == (&Method::GET, "/healthz") {
        return Ok(Response::new(Body::from("ok\n")));
    }
    admin.authorize(&head.headers)?;
    if (&head.method, path) == (&Method::GET, "/metrics") {
        return Ok(metrics_response(&admin.telemetry));
    }
    let body = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT_MS).await?;
    let request = parse(&head.method, path, &body)?;
    let change = matches!(request, AdminRequest::Apply(_));
    match admin.ask(request).await {
        Some(reply) => Ok(reply_response(reply)),
        None => Ok(unavailable(change)),
    }
}

/// Returns the metrics in the text format of Prometheus.
pub fn metrics_response(telemetry: &Telemetry) -> Response {
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, text)]);
    response(StatusCode::OK, headers, Body::from(telemetry.render()))
}

fn parse(method: &Method, path: &str, body: &[u8]) -> Result<AdminRequest, Refused> {
    let is_get = *method == Method::GET;
    let is_post = *method == Method::POST;
    match path {
        "/admin/apply" if is_post => Ok(AdminRequest::Apply(json::<ApplyRequest>(body)?)),
        "/admin/config" if is_get => Ok(AdminRequest::Config),
        "/admin/history" if is_get => Ok(AdminRequest::History),
        "/admin/status" if is_get => Ok(AdminRequest::Status),
        "/admin/drain" if is_post => drain(body, true),
        "/admin/undrain" if is_post => drain(body, false),
        "/admin/order" if is_post => Ok(AdminRequest::Order(json::<OrderRequest>(body)?)),
        "/admin/voters" if is_post => Ok(AdminRequest::ReplaceVoter(json::<ReplaceVoterRequest>(
            body,
        )?)),
        "/admin/confirm-dead" if is_post => {
            Ok(AdminRequest::ConfirmDead(json::<ConfirmDeadRequest>(body)?))
        }
        _ if is_get => revision(path).ok_or_else(unknown_path),
        _ => Err(unknown_path()),
    }
}

fn revision(path: &str) -> Option<AdminRequest> {
    let number = path.strip_prefix("/admin/history/")?;
    number.parse().ok().map(AdminRequest::Revision)
}

fn drain(body: &[u8], draining: bool) -> Result<AdminRequest, Refused> {
    let target = json::<DrainTarget>(body)?;
    Ok(AdminRequest::Drain { target, draining })
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| {
        Refused::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            format!("The body is malformed: {error}."),
        )
    })
}

impl Admin {
    // Digests are compared, so that the time taken tells nothing about the token or its length.
    fn authorize(&self, headers: &HeaderMap) -> Result<(), Refused> {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(bearer)
            .unwrap_or_default();
        match bool::from(token_digest(token).ct_eq(&self.token_sha256)) {
            true => Ok(()),
            false => Err(Refused::not_run(
                StatusCode::UNAUTHORIZED,
                "unknown_token",
                "The administration token is missing or wrong.",
            )),
        }
    }

    /// Asks the reducer. Returns `None` if no reply came in time.
    async fn ask(&self, request: AdminRequest) -> Option<AdminReply> {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let reply = self.replies.expect(token);
        self.events.send(Event::Admin { token, request }).await;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
        self.replies.forget(token);
        reply.ok()?.ok()
    }
}

fn reply_response(reply: AdminReply) -> Response {
    match reply {
        AdminReply::Apply(reply) => json_response(apply_status(&reply), &reply),
        AdminReply::Revision(Some(revision)) => json_response(StatusCode::OK, &revision),
        AdminReply::Revision(None) => Refused::not_run(
            StatusCode::NOT_FOUND,
            "unknown_revision",
            "There is no such revision.",
        )
        .response(),
        AdminReply::History(history) => json_response(StatusCode::OK, &history),
        AdminReply::Status(status) => json_response(StatusCode::OK, &status),
        AdminReply::Change(reply) => json_response(change_status(&reply), &reply),
    }
}

fn apply_status(reply: &ApplyReply) -> StatusCode {
    match reply {
        ApplyReply::Accepted { .. } => StatusCode::OK,
        ApplyReply::Conflict { .. } => StatusCode::CONFLICT,
        ApplyReply::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ApplyReply::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn change_status(reply: &ChangeReply) -> StatusCode {
    match reply {
        ChangeReply::Accepted => StatusCode::OK,
        ChangeReply::Refused { .. } => StatusCode::CONFLICT,
        ChangeReply::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unavailable(is_apply: bool) -> Response {
    let message = "The instance did not answer in time.".into();
    match is_apply {
        true => reply_response(AdminReply::Apply(ApplyReply::Unavailable { message })),
        false => reply_response(AdminReply::Change(ChangeReply::Unavailable { message })),
    }
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let json = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
    let body = serde_json::to_vec(value).expect("replies serialise");
    response(status, headers, Body::from(body))
}

fn unknown_path() -> Refused {
    Refused::not_run(
        StatusCode::NOT_FOUND,
        "unknown_path",
        "There is no such endpoint.",
    )
}
