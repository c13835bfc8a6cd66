//! Runs a router on a runtime of its own, so that a crash can drop every task and socket at once.

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

/// Worker threads of one stand-in. A stand-in waits most of the time.
const WORKER_THREADS: usize = 2;

/// Time allowed for the runtime's tasks to be dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time after which a refused request may come again, in seconds.
const RETRY_AFTER_S: &str = "1";

/// How a stand-in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was stopped by its owner.
    Stopped,
    /// It was told to crash.
    Crashed,
}

/// Ends a stand-in from inside its own handlers.
#[derive(Clone, Debug)]
pub struct Stop(Arc<watch::Sender<Option<End>>>);

impl Stop {
    /// Ends the stand-in: aborts every stream and closes every socket.
    pub fn end(&self, end: End) {
        self.0.send_if_modified(|current| {
            let first = current.is_none();
            current.get_or_insert(end);
            first
        });
    }
}

/// A stand-in that runs inside this process. It stops when this value is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    stop: Stop,
    ended: watch::Receiver<Option<End>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL of `path` on the stand-in.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Aborts all streams and refuses connections from now on.
    pub fn crash(&mut self) {
        self.end(End::Crashed);
    }

    /// Waits until the stand-in has ended.
    pub async fn ended(&mut self) -> End {
        match self.ended.wait_for(Option::is_some).await {
            Ok(end) => end.unwrap_or(End::Stopped),
            Err(_) => End::Stopped,
        }
    }

    fn end(&mut self, end: End) {
        self.stop.end(end);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed by its panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end(End::Stopped);
    }
}

/// Binds `listen` and serves the router that `build` makes. `build` runs inside the stand-in's
/// runtime and may start tasks.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start<F>(listen: &Name, build: F) -> Result<Running>
where
    F: FnOnce(Stop) -> Router + Send + 'static,
{
    let address: SocketAddr = listen.parse().map_err(|_| Error::Address(listen.clone()))?;
    let runtime = runtime()?;
    let listener = bind(&runtime, address)?;
    let address = listener.local_addr()?;
    let (stop_sender, stop_receiver) = watch::channel(None);
    let (ended_sender, ended) = watch::channel(None);
    let stop = Stop(Arc::new(stop_sender));
    let inner = stop.clone();
    let thread = std::thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            let end = runtime.block_on(serve_until_end(listener, build, inner, stop_receiver));
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
            ended_sender.send_replace(Some(end));
        })?;
    Ok(Running {
        address,
        stop,
        ended,
        thread: Some(thread),
    })
}

/// Serves until the process gets SIGINT or SIGTERM or the stand-in crashes.
///
/// # Errors
///
/// Returns [`Error::Crashed`] after a crash on command, so that the process exits with a failure.
pub async fn run(mut running: Running) -> Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let end = tokio::select! {
        _ = interrupt.recv() => End::Stopped,
        _ = terminate.recv() => End::Stopped,
        end = running.ended() => end,
    };
    match end {
        End::Stopped => Ok(()),
        End::Crashed => Err(Error::Crashed),
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

/// Binds with address reuse, so that a stand-in restarts on the address of a crashed one.
fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener> {
    let _guard = runtime.enter();
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?)
}

async fn serve_until_end<F>(
    listener: TcpListener,
    build: F,
    stop: Stop,
    mut stopped: watch::Receiver<Option<End>>,
) -> End
where
    F: FnOnce(Stop) -> Router,
{
    let router = build(stop);
    // `Server::run` returns at most 30 s after a signal. The hook keeps the stand-in serving
    // until its owner ends it.
    let server = Server::new(router)
        .register_shutdown_hook(|| Box::pin(std::future::pending()))
        .run(DefaultIncoming::from(listener));
    tokio::select! {
        _ = server => End::Stopped,
        end = stopped.wait_for(Option::is_some) => match end {
            Ok(end) => end.unwrap_or(End::Stopped),
            Err(_) => End::Stopped,
        },
    }
}

/// Reads a request body of at most `max_bytes`.
///
/// # Errors
///
/// Returns the refusal to send if the body is larger or breaks off.
pub async fn read_body(body: Body, max_bytes: usize) -> std::result::Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Refusal {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: Name::from(error.to_string()),
        }),
    }
}

/// A JSON response.
pub fn json_reply<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Why a stand-in refuses a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Reason for the caller.
    pub message: Name,
}

impl Refusal {
    /// A refusal with a reason known at compile time.
    pub fn new(status: StatusCode, message: &'static str) -> Self {
        let message = Name::from_static_str(message);
        Self { status, message }
    }

    /// A refusal of a malformed request.
    pub fn bad_request(error: &impl std::fmt::Display) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            message: Name::from(error.to_string()),
        }
    }
}

impl IntoResponse for Refusal {
    /// Adds `Retry-After` where a retry makes sense.
    fn into_response(self) -> Response {
        let error = json!({ "message": self.message, "code": self.status.as_u16() });
        let mut response = json_reply(self.status, &json!({ "error": error }));
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

/// Next number of a seeded sequence (SplitMix64), from 0 to 1.
pub fn next_random(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^= z >> 31;
    (z >> 11) as f64 / (1_u64 << 53) as f64
}
