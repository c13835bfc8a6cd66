//! Runs the HTTP router of a stand-in on a runtime of its own, so that a crash can drop all its tasks and sockets at
//! once.

use std::{net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration};

use bytes::Bytes;
use conf::Name;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
};
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    body::Body,
    response::Response,
    server::{IntoResponse, Router, Server},
};

use crate::{Error, Result};

/// Number of worker threads of one stand-in. Two are enough, because a stand-in waits most of the time.
const WORKER_THREADS: usize = 2;

/// Maximum time to wait until the tasks of the runtime are dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Value of the `Retry-After` header of a refusal, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Reason why a stand-in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// Its owner or a signal stopped the stand-in.
    Stopped,
    /// The stand-in was told to crash.
    Crashed,
}

/// Handle with which the request handlers of a stand-in can end it.
#[derive(Clone, Debug)]
pub struct StopHandle(Arc<watch::Sender<Option<ExitReason>>>);

impl StopHandle {
    /// Ends the stand-in, which aborts all its streams and closes all its sockets. Only the first call has an effect.
    pub fn end(&self, reason: ExitReason) {
        self.0.send_if_modified(|current| {
            let is_first = current.is_none();
            current.get_or_insert(reason);
            is_first
        });
    }
}

/// A stand-in that runs inside this process. The stand-in stops when this value is dropped.
#[derive(Debug)]
pub struct RunningStandin {
    address: SocketAddr,
    stop: StopHandle,
    ended: watch::Receiver<Option<ExitReason>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningStandin {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of `path` on the stand-in.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Crashes the stand-in, which aborts all its streams and from then on refuses connections.
    pub fn crash(&mut self) {
        self.end(ExitReason::Crashed);
    }

    /// Waits until the stand-in has ended and returns the reason.
    pub async fn ended(&mut self) -> ExitReason {
        match self.ended.wait_for(Option::is_some).await {
            Ok(reason) => reason.unwrap_or(ExitReason::Stopped),
            Err(_) => ExitReason::Stopped,
        }
    }

    fn end(&mut self, reason: ExitReason) {
        self.stop.end(reason);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl Drop for RunningStandin {
    fn drop(&mut self) {
        self.end(ExitReason::Stopped);
    }
}

/// Binds `listen` and serves the router that `build_router` returns. `build_router` runs inside the stand-in's runtime
/// and may start tasks.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start<F>(listen: &Name, build_router: F) -> Result<RunningStandin>
where
    F: FnOnce(StopHandle) -> Router + Send + 'static,
{
    let address: SocketAddr = listen.parse().map_err(|_| Error::Address(listen.clone()))?;
    let runtime = runtime()?;
    let listener = bind(&runtime, address)?;
    let address = listener.local_addr()?;
    let (stop_sender, stop_receiver) = watch::channel(None);
    let (ended_sender, ended) = watch::channel(None);
    let stop = StopHandle(Arc::new(stop_sender));
    let handler_stop = stop.clone();
    let thread = std::thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            let reason = runtime.block_on(serve_until_stopped(
                listener,
                build_router,
                handler_stop,
                stop_receiver,
            ));
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
            ended_sender.send_replace(Some(reason));
        })?;
    Ok(RunningStandin {
        address,
        stop,
        ended,
        thread: Some(thread),
    })
}

/// Runs until the process receives SIGINT or SIGTERM or the stand-in crashes.
///
/// # Errors
///
/// Returns [`Error::Crashed`] after a requested crash, so that the process exits with a failure.
pub async fn run(mut running: RunningStandin) -> Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let reason = tokio::select! {
        _ = interrupt.recv() => ExitReason::Stopped,
        _ = terminate.recv() => ExitReason::Stopped,
        reason = running.ended() => reason,
    };
    match reason {
        ExitReason::Stopped => Ok(()),
        ExitReason::Crashed => Err(Error::Crashed),
    }
}

fn runtime() -> Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name("standin")
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// Binds `address` with `SO_REUSEADDR`, so that a stand-in can restart on the address of a crashed one.
fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener> {
    let _guard = runtime.enter();
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}

async fn serve_until_stopped<F>(
    listener: TcpListener,
    build_router: F,
    stop: StopHandle,
    mut stop_receiver: watch::Receiver<Option<ExitReason>>,
) -> ExitReason
where
    F: FnOnce(StopHandle) -> Router,
{
    let router = build_router(stop);
    // `Server::run` returns at most 30 s after a signal. The pending hook keeps the stand-in serving until its owner
    // ends it.
    let server = Server::new(router)
        .register_shutdown_hook(|| Box::pin(std::future::pending()))
        .run(DefaultIncoming::from(listener));
    tokio::select! {
        _ = server => ExitReason::Stopped,
        reason = stop_receiver.wait_for(Option::is_some) => match reason {
            Ok(reason) => reason.unwrap_or(ExitReason::Stopped),
            Err(_) => ExitReason::Stopped,
        },
    }
}

/// Reads a request body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns the refusal to send if the body is larger or cannot be read to its end.
pub async fn read_body(body: Body, max_bytes: usize) -> std::result::Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: Name::from(error.to_string()),
        }),
    }
}

/// Returns a response with `value` as JSON.
pub fn json_response<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Error response of a stand-in to a request that it refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Reason that is sent to the caller.
    pub message: Name,
}

impl Refusal {
    /// Creates a refusal with a constant message.
    pub fn new(status: StatusCode, message: &'static str) -> Self {
        let message = Name::from_static_str(message);
        Self { status, message }
    }

    /// Creates the refusal of a malformed request.
    pub fn bad_request(error: &impl std::fmt::Display) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            message: Name::from(error.to_string()),
        }
    }
}

impl IntoResponse for Refusal {
    /// Returns the JSON response, with `Retry-After` for status 429 and 503.
    fn into_response(self) -> Response {
        let error = json!({ "message": self.message, "code": self.status.as_u16() });
        let mut response = json_response(self.status, &json!({ "error": error }));
        if matches!(
            self.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) {
            let retry_after = HeaderValue::from_static(RETRY_AFTER_S);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}

/// Returns the next pseudo-random number of the generator `state` (SplitMix64), from 0 inclusive to 1 exclusive.
pub fn next_random(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^= z >> 31;
    (z >> 11) as f64 / (1_u64 << 53) as f64
}
