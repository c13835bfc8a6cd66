//! HTTP listeners.
//!
//! The routers are those of volo-http, but the accept loop is not: `volo_http::server::Server::run`
//! installs signal handlers, returns at most 30 s after a signal whatever is still streaming, and
//! bounds neither connections nor the time for headers. This loop stops when the instance asks it
//! to, and ends only when the last connection is closed.

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

/// Pause after a failed accept. The usual reason, no free file descriptors, passes with time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An open listener, not yet served.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: Limits,
}

/// Tells listeners to take no more connections and to close those they have after the current answer.
pub type Stop = watch::Receiver<bool>;

impl Listener {
    /// Wraps an open socket.
    pub fn new(socket: TcpListener, limits: Limits) -> Self {
        Self { socket, limits }
    }

    /// Serves requests until `stop`, then until every connection is closed.
    pub async fn serve(self, router: Router, mut stop: Stop) {
        let router = Arc::new(router);
        let places = Arc::new(Semaphore::new(self.limits.max_connections));
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                accepted = accept(&self.socket, &places) => accepted,
            };
            let Some((stream, peer, place)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let connection = serve_connection(
                stream,
                peer,
                router.clone(),
                self.limits.clone(),
                stop.clone(),
            );
            connections.spawn(async move {
                connection.await;
                drop(place);
            });
        }
        drop(self.socket);
        connections.close();
        connections.wait().await;
    }
}

/// Waits for a place before it accepts, so that connections beyond the bound wait in the kernel.
async fn accept(
    socket: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let place = places.clone().acquire_owned().await.ok()?;
    match socket.accept().await {
        Ok((stream, peer)) => Some((stream, peer, place)),
        Err(error) => {
            spdlog::warn!("http: cannot accept a connection: {error}");
            None
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    limits: Limits,
    mut stop: Stop,
) {
    // Without it the kernel may hold back single tokens; a failure costs latency only.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let router = router.clone();
        async move {
            let mut context = ServerContext::new(peer.into());
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
    // Errors here are those of the caller's connection; the exchange sees them as a caller that has gone.
    tokio::select! {
        _ = &mut connection => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
