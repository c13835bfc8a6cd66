//! Connections to upstreams.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use conf::{Map, Name};
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::body;
use crate::http::MAX_HEADERS;
use crate::memory::BodyMemory;
use crate::socket::{self, SharedSocket};

/// Timeout of opening a connection. The kernel sends a lost SYN packet again after one second, so that the
/// timeout allows for one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest time for which an idle connection is kept if the upstream states no time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which an idle connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Subtracted from the idle time that an upstream states, for the transit time of the next request.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Longest idle time of a connection for a request that must not run twice, if the upstream states no time. It may close
/// a connection that is idle for longer while the request is on its way.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1_500);
/// Subtracted from the idle time that an upstream states, for requests that must not run twice.
const FRESH_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections to each upstream.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which a connection to an upstream counts as dead if the upstream takes no bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum size of the head of an answer, and of what is read of a body in advance, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of an answer to one of the instance's own calls, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Idle connections by address of the upstream. The pool is used on one thread.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Map<Name, Vec<IdleConnection>>>,
    /// Memory for the bodies of answers.
    pub memory: BodyMemory,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Until when requests that must not run twice may use the connection.
    fresh_until: Instant,
    expiry: Instant,
}

/// What a call needs of a connection, which may have carried other requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Needs<'a> {
    /// Whether the upstream must not close the connection while the request is on its way.
    pub freshness: bool,
    /// Request that the connection must not have carried last: a second answer to it could not be told from the next.
    pub request_id: Option<&'a HeaderValue>,
    /// Until when the upstream may leave the request unread. Without it, one that takes no bytes for 2 s counts as dead.
    pub write_deadline: Option<Instant>,
}

/// An open connection, which is closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Id of the last request of a caller that was sent on the connection.
    pub last_request_id: Option<HeaderValue>,
    socket: SharedSocket,
    /// Value of the socket's option.
    unacknowledged_timeout: Duration,
    task: JoinHandle<()>,
}

impl Connection {
    /// Lets the upstream pause reading until a deadline, or for the time after which it counts as dead.
    fn allow_pauses(&mut self, deadline: Option<Instant>) {
        let pause = deadline.map_or(Duration::ZERO, |deadline| {
            deadline.saturating_duration_since(Instant::now())
        });
        let timeout = pause.max(UNACKNOWLEDGED_TIMEOUT);
        if timeout != self.unacknowledged_timeout {
            self.socket.set_unacknowledged_timeout(timeout);
            self.unacknowledged_timeout = timeout;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(memory: BodyMemory) -> Self {
        Self {
            idle: RefCell::default(),
            memory,
        }
    }

    /// Returns an idle connection to `address` that meets `needs`, or opens one.
    ///
    /// # Errors
    /// Returns the reason if no connection can be opened before `deadline`. Nothing has been sent in this case.
    pub async fn connection(
        &self,
        address: &Name,
        needs: Needs<'_>,
        deadline: Instant,
    ) -> Result<Connection, String> {
        let mut connection = match self.take_idle(address, needs) {
            Some(connection) => connection,
            None => {
                let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
                let opened = timeout_at(deadline, open(address)).await;
                let in_time = opened.map_err(|_| "the connection was not opened in time")?;
                in_time.map_err(|error| error.to_string())?
            }
        };
        connection.allow_pauses(needs.write_deadline);
        Ok(connection)
    }

    /// Makes one of the instance's own calls and returns the status and the complete body of the answer.
    ///
    /// # Errors
    /// Returns the reason if no complete answer arrives in time. The upstream may have carried out the call.
    pub async fn call(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        self.call_if(address, request, time_limit, || true).await
    }

    /// Makes a call like [`Pool::call`], unless `may_send` returns false once the connection is open.
    ///
    /// # Errors
    /// Returns the reason if the call was not sent or no complete answer arrives in time. Unless `may_send` returned false,
    /// the upstream may have carried out the call.
    pub async fn call_if(
        &self,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        time_limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<(StatusCode, Bytes), String> {
        let deadline = Instant::now() + time_limit;
        let host = HeaderValue::from_str(address).map_err(|error| error.to_string())?;
        request.headers_mut().insert(HOST, host);
        let call = async {
            let mut connection = self.connection(address, Needs::default(), deadline).await?;
            if !may_send() {
                return Err("the call is not sent, since it is no longer valid".to_owned());
            }
            let sent = connection.sender.send_request(request).await;
            let response = sent.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = body::read_whole(response.into_body(), MAX_ANSWER_BYTES, &self.memory).await;
            let body = body.map_err(|error| error.to_string())?;
            self.put(address, connection, None);
            Ok((status, body))
        };
        let answer = timeout_at(deadline, call).await;
        answer.unwrap_or_else(|_| Err("the answer did not arrive in time".to_owned()))
    }

    /// Keeps a connection for further requests. `keep_alive` is the idle time that the upstream states.
    pub fn put(&self, address: &Name, mut connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        let idle_timeout = keep_alive.map_or(IDLE_TIMEOUT, |stated| {
            stated.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
        });
        let fresh = keep_alive.map_or(MAX_FRESH_IDLE, |stated| {
            stated.saturating_sub(FRESH_MARGIN).min(MAX_IDLE_TIMEOUT)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.clone()).or_default();
        connections.retain(|idle| idle.expiry > now && !idle.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                fresh_until: now + fresh,
                expiry: now + idle_timeout,
            });
        }
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.expiry > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: &Name, needs: Needs<'_>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        connections.retain(|idle| idle.expiry > now && !idle.connection.sender.is_closed());
        let index = connections.iter().rposition(|idle| {
            // A connection that is still processing its last answer cannot send a request yet.
            let is_ready = idle.connection.sender.is_ready();
            let is_fresh = idle.fresh_until > now || !needs.freshness;
            let last_request_id = idle.connection.last_request_id.as_ref();
            let is_repeat = needs.request_id.is_some() && needs.request_id == last_request_id;
            is_ready && is_fresh && !is_repeat
        })?;
        Some(connections.remove(index).connection)
    }
}

async fn open(address: &Name) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address.as_str()).await?;
    socket::configure(&stream, UNACKNOWLEDGED_TIMEOUT);
    let socket = SharedSocket::new(stream);
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(socket.clone()))
        .await?;
    let task = tokio::task::spawn_local(async move {
        // The call that uses the connection receives the error.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        is_reused: false,
        last_request_id: None,
        socket,
        unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
        task,
    })
}
