//! Connections to upstreams.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use conf::{Map, Name};
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// Time allowed for opening a connection. An opening packet that was lost is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which an idle connection is kept if the upstream does not say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Taken off the time that an upstream states, for the way of the request.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest idle time of a connection for a request that must not run twice: the upstream may close it meanwhile.
const FRESH_IDLE: Duration = Duration::from_millis(1_500);
/// Idle connections kept for each upstream.
const IDLE_CONNECTIONS: usize = 16;
/// Time for which sent bytes may be unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// Idle time after which the kernel probes a connection, and the interval of its probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBES: u32 = 2;

/// Largest answer to a call of the instance's own, in bytes.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Idle connections by address. Used on one thread.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Map<Name, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    expiry: Instant,
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Returns an idle connection or opens one.
    ///
    /// # Errors
    /// Fails if none can be opened before `deadline`. Nothing has been sent then.
    pub async fn connection(
        &self,
        address: &Name,
        must_be_fresh: bool,
        deadline: Instant,
    ) -> Result<Connection, String> {
        if let Some(connection) = self.take(address, must_be_fresh) {
            return Ok(connection);
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match timeout_at(deadline, open(address)).await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(_) => Err("no connection in time".to_owned()),
        }
    }

    /// Makes a small call of the instance's own and returns the status and the whole body.
    ///
    /// # Errors
    /// Returns why there is no whole answer in time. The call may have been carried out.
    pub async fn exchange(
        &self,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        let deadline = Instant::now() + time_limit;
        let host = HeaderValue::from_str(address).map_err(|error| error.to_string())?;
        request.headers_mut().insert(HOST, host);
        let exchange = async {
            let mut connection = self.connection(address, false, deadline).await?;
            let sent = connection.sender.send_request(request).await;
            let response = sent.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES);
            let body = body.collect().await.map_err(|error| error.to_string())?;
            self.put(address, connection, None);
            Ok((status, body.to_bytes()))
        };
        let answer = timeout_at(deadline, exchange).await;
        answer.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    /// Keeps a connection for further requests.
    pub fn put(&self, address: &Name, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        let idle_timeout = keep_alive.map_or(IDLE_TIMEOUT, |stated| {
            stated.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT)
        });
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address.clone()).or_default();
        idle.retain(|one| one.expiry > now && !one.connection.sender.is_closed());
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(Idle {
                connection,
                since: now,
                expiry: now + idle_timeout,
            });
        }
    }

    /// Closes idle connections that have expired.
    pub fn tidy(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|one| one.expiry > now && !one.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take(&self, address: &Name, must_be_fresh: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(one) = connections.pop() {
            let is_stale = one.expiry <= now || one.connection.sender.is_closed();
            // A connection whose last answer is not fully handled cannot take a request yet.
            let is_ready = one.connection.sender.is_ready();
            let is_fresh = now - one.since <= FRESH_IDLE;
            if !is_stale && is_ready && (is_fresh || !must_be_fresh) {
                return Some(one.connection);
            }
        }
        None
    }
}

async fn open(address: &Name) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address.as_str()).await?;
    watch_over(&stream);
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // The exchange that uses the connection sees its failure.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        is_reused: false,
        task,
    })
}

/// Makes the kernel notice a peer that has gone silent. A failure leaves the defaults, with later notice.
pub fn watch_over(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}
