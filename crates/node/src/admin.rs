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
use crate::caller::bearer_token;
use crate::queue::EventQueue;
use crate::refusal::RefusalResponse;
use crate::reply::build_response;
use crate::telemetry::Telemetry;

/// Time limit for the reducer's reply. The reducer's own time limits are shorter.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest request body, in bytes. The largest bodies are those of `/admin/apply`, with the files and the canonical
/// text.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for reading a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;

/// Requests that wait for the reducer's reply, by the request token.
#[derive(Clone, Debug, Default)]
pub struct PendingAdminRequests {
    reply_senders: Arc<Mutex<Map<u64, oneshot::Sender<AdminReply>>>>,
}

impl PendingAdminRequests {
    /// Passes a reply to the request with the token, if the request is still waiting.
    pub fn complete(&self, token: u64, reply: AdminReply) {
        if let Some(sender) = self.lock().remove(&token) {
            let _ = sender.send(reply);
        }
    }

    fn register(&self, token: u64) -> oneshot::Receiver<AdminReply> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(token, sender);
        receiver
    }

    fn remove(&self, token: u64) {
        self.lock().remove(&token);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<u64, oneshot::Sender<AdminReply>>> {
        self.reply_senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// State that the handlers of the administration listener share.
#[derive(Debug)]
pub struct AdminContext {
    /// SHA-256 of the administration token.
    pub token_sha256: [u8; 32],
    /// Queue of the reducer's events.
    pub events: EventQueue,
    /// Requests that wait for the reducer's reply.
    pub pending: PendingAdminRequests,
    /// Metrics of the process.
    pub telemetry: Telemetry,
    /// Token of the next request, which is not the administration token. The reducer's reply has the token of its
    /// request.
    pub next_request_token: AtomicU64,
}

/// Returns the SHA-256 of an administration token.
pub fn token_digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Builds the router of the administration listener.
pub fn router(context: Arc<AdminContext>) -> Router {
    Router::new().fallback(move |request: Request| {
        let context = context.clone();
        async move {
            match handle(&context, request).await {
                Ok(response) => response,
                Err(refusal) => refusal.response(),
            }
        }
    })
}

async fn handle(context: &AdminContext, request: Request) -> Result<Response, RefusalResponse> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if (&head.method, path) == (&Method::GET, "/healthz") {
        return Ok(Response::new(Body::from("ok\n")));
    }
    context.authorize(&head.headers)?;
    if (&head.method, path) == (&Method::GET, "/metrics") {
        return Ok(metrics_response(&context.telemetry));
    }
    let body = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT_MS).await?;
    let request = parse_request(&head.method, path, &body)?;
    let is_apply = matches!(request, AdminRequest::Apply(_));
    match context.send_request(request).await {
        Some(reply) => Ok(reply_response(reply)),
        None => Ok(unavailable_response(is_apply)),
    }
}

/// Returns the metrics in the text format of Prometheus.
pub fn metrics_response(telemetry: &Telemetry) -> Response {
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, content_type)]);
    build_response(StatusCode::OK, headers, Body::from(telemetry.render()))
}

fn parse_request(
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<AdminRequest, RefusalResponse> {
    let is_get = *method == Method::GET;
    let is_post = *method == Method::POST;
    match path {
        "/admin/apply" if is_post => Ok(AdminRequest::Apply(json::<ApplyRequest>(body)?)),
        "/admin/config" if is_get => Ok(AdminRequest::Config),
        "/admin/history" if is_get => Ok(AdminRequest::History),
        "/admin/status" if is_get => Ok(AdminRequest::Status),
        "/admin/drain" if is_post => drain_request(body, true),
        "/admin/undrain" if is_post => drain_request(body, false),
        "/admin/order" if is_post => Ok(AdminRequest::Order(json::<OrderRequest>(body)?)),
        "/admin/voters" if is_post => Ok(AdminRequest::ReplaceVoter(json::<ReplaceVoterRequest>(
            body,
        )?)),
        "/admin/confirm-dead" if is_post => {
            Ok(AdminRequest::ConfirmDead(json::<ConfirmDeadRequest>(body)?))
        }
        _ if is_get => revision_request(path).ok_or_else(unknown_path),
        _ => Err(unknown_path()),
    }
}

fn revision_request(path: &str) -> Option<AdminRequest> {
    let number = path.strip_prefix("/admin/history/")?;
    number.parse().ok().map(AdminRequest::Revision)
}

fn drain_request(body: &[u8], draining: bool) -> Result<AdminRequest, RefusalResponse> {
    let target = json::<DrainTarget>(body)?;
    Ok(AdminRequest::Drain { target, draining })
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, RefusalResponse> {
    serde_json::from_slice(body).map_err(|error| {
        RefusalResponse::not_run(
            StatusCode::BAD_REQUEST,
            "malformed",
            format!("The body is malformed: {error}."),
        )
    })
}

impl AdminContext {
    /// Checks the administration token. Digests are compared, so that the time of the comparison reveals nothing about
    /// the token or its length.
    fn authorize(&self, headers: &HeaderMap) -> Result<(), RefusalResponse> {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(bearer_token)
            .unwrap_or_default();
        match bool::from(token_digest(token).ct_eq(&self.token_sha256)) {
            true => Ok(()),
            false => Err(RefusalResponse::not_run(
                StatusCode::UNAUTHORIZED,
                "unknown_token",
                "The administration token is missing or wrong.",
            )),
        }
    }

    /// Sends a request to the reducer. Returns `None` if no reply arrived in time.
    async fn send_request(&self, request: AdminRequest) -> Option<AdminReply> {
        let token = self.next_request_token.fetch_add(1, Ordering::Relaxed);
        let reply = self.pending.register(token);
        self.events.send(Event::Admin { token, request }).await;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
        self.pending.remove(token);
        reply.ok()?.ok()
    }
}

fn reply_response(reply: AdminReply) -> Response {
    match reply {
        AdminReply::Apply(reply) => json_response(apply_status(&reply), &reply),
        AdminReply::Revision(Some(revision)) => json_response(StatusCode::OK, &revision),
        AdminReply::Revision(None) => RefusalResponse::not_run(
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

fn unavailable_response(is_apply: bool) -> Response {
    let message = "The instance did not answer in time.".into();
    match is_apply {
        true => reply_response(AdminReply::Apply(ApplyReply::Unavailable { message })),
        false => reply_response(AdminReply::Change(ChangeReply::Unavailable { message })),
    }
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let content_type = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, content_type)]);
    let body = serde_json::to_vec(value).expect("replies are serializable");
    build_response(status, headers, Body::from(body))
}

fn unknown_path() -> RefusalResponse {
    RefusalResponse::not_run(
        StatusCode::NOT_FOUND,
        "unknown_path",
        "There is no such endpoint.",
    )
}
