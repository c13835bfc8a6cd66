//! HTTP listeners.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use conf::Name;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::answer::{AnswerBody, ServiceResult};
use crate::error::Error;
use crate::logs::{self, Importance};
use crate::socket;

/// Delay after a failed accept. Its usual reason, a lack of free file descriptors, is temporary.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time after the shutdown by which a connection without a request must have sent its first one.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of headers of a request or an answer. The HTTP library reserves about 50 bytes for each.
pub const MAX_HEADERS: usize = 1_000;
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Signal that becomes true when connections are to close after their current answer.
pub type Shutdown = watch::Receiver<bool>;

/// Limits on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Timeout of receiving a request head, which includes the idle time before the request.
    pub head_timeout: Duration,
    /// Time after which a connection ends if the caller takes no bytes of an answer. A caller may pause for as long as its
    /// request may take.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(15),
        }
    }
}

/// Opens a listener.
///
/// # Errors
/// Fails if the listener cannot bind the address.
pub async fn listen(listener: &'static str, address: &Name) -> Result<TcpListener, Error> {
    TcpListener::bind(address.as_str())
        .await
        .map_err(|source| Error::Bind {
            listener,
            address: address.clone(),
            source,
        })
}

/// Accepts and serves connections until shutdown, then closes the listener and waits until all answers are written. `limits`
/// is called for each connection.
pub async fn serve<H, F>(
    socket: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    handle: H,
    shutdown: Shutdown,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let handle = Rc::new(handle);
    let mut shutdown_begins = shutdown.clone();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = shutdown_begins.wait_for(|is_shutdown| *is_shutdown) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(stream, limits(), handle.clone(), shutdown.clone());
                connections.spawn_local(connection);
            }
            Err(error) => {
                logs::write(
                    Importance::StateChange,
                    "http",
                    &format!("accept=failed reason={error:?}"),
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(socket);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ConnectionLimits,
    handle: Rc<H>,
    mut shutdown: Shutdown,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    socket::configure(&stream, limits.write_timeout);
    let has_request = Rc::new(Cell::new(false));
    let request_seen = has_request.clone();
    let service = service_fn(move |request| {
        request_seen.set(true);
        let handle = handle.clone();
        async move { ServiceResult::Ok(handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // An error concerns this connection only. An open exchange ends as if the caller had disconnected.
    tokio::select! {
        _ = &mut connection => return,
        _ = shutdown.wait_for(|is_shutdown| *is_shutdown) => {}
    }
    connection.as_mut().graceful_shutdown();
    // A caller that is slow to send its first request does not hold up the stop.
    let has_ended = timeout(FIRST_REQUEST_TIMEOUT, connection.as_mut())
        .await
        .is_ok();
    if has_ended || !has_request.get() {
        return;
    }
    let _ = connection.await;
}
