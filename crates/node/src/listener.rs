//! HTTP listeners.
//!
//! The listeners use the routers of volo-http with an accept loop of their own. `volo_http::server::Server::run`
//! installs signal handlers, returns at most 30 s after a signal even if answers are still streaming, and limits
//! neither the number of connections nor the time for headers. This accept loop stops on a signal from the instance,
//! and ends only when the last connection is closed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Limits;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::task::TaskTracker;
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::Router;

/// Delay after a failed accept. The usual reason is a lack of free file descriptors, which is temporary.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An open listener that does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: Limits,
}

/// Signal on which a listener stops accepting connections, and closes its open connections after their current answer.
pub type CloseSignal = watch::Receiver<bool>;

impl Listener {
    /// Wraps an open socket.
    pub fn new(socket: TcpListener, limits: Limits) -> Self {
        Self { socket, limits }
    }

    /// Serves requests until `close` is signalled, and then until every open connection is closed.
    pub async fn serve(self, router: Router, mut close: CloseSignal) {
        let router = Arc::new(router);
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = close.wait_for(|close| *close) => break,
                accepted = accept(&self.socket, &permits) => accepted,
            };
            let Some((stream, remote_address, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = serve_connection(
                stream,
                remote_address,
                router.clone(),
                self.limits.clone(),
                close.clone(),
            );
            connections.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
        drop(self.socket);
        connections.close();
        connections.wait().await;
    }
}

/// Accepts a connection once fewer than the maximum are open, so that further connections wait in the kernel's backlog.
async fn accept(
    socket: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match socket.accept().await {
        Ok((stream, remote_address)) => Some((stream, remote_address, permit)),
        Err(error) => {
            spdlog::warn!("http: cannot accept a connection: {error}");
            None
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    remote_address: SocketAddr,
    router: Arc<Router>,
    limits: Limits,
    mut close: CloseSignal,
) {
    // Without TCP_NODELAY the kernel may delay single tokens. A failure to set it only adds latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let router = router.clone();
        async move {
            let mut context = ServerContext::new(remote_address.into());
            let request = request.map(Body::from_incoming);
            let response: Result<_, Infallible> = router.call(&mut context, request).await;
            response
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_headers(limits.max_header_count)
        .max_header_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // Errors of the caller's connection are ignored here, because the exchange detects that the caller has
    // disconnected.
    tokio::select! {
        _ = &mut connection => return,
        _ = close.wait_for(|close| *close) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
