//! TCP sockets whose options can be changed while the HTTP library uses them.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Idle time after which the kernel probes a connection, and the interval of its probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection counts as dead.
const MAX_PROBES: u32 = 2;

/// A socket that a connection and its owner share. Only one task may read and only one may write.
#[derive(Clone, Debug)]
pub struct SharedSocket(Rc<TcpStream>);

impl SharedSocket {
    /// Shares a socket.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Sets the time after which the kernel closes the connection if the peer takes no bytes.
    pub fn set_unacknowledged_timeout(&self, timeout: Duration) {
        set_unacknowledged_timeout(&self.0, timeout);
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Disables Nagle's algorithm, and makes the kernel close connections whose peer no longer answers. A peer that leaves
/// its window closed for `unacknowledged_timeout` counts as one, even if it answers the kernel's probes. If an option
/// cannot be set, its default stays, with which a dead peer is detected later.
pub fn configure(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
    set_unacknowledged_timeout(stream, unacknowledged_timeout);
}

fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
}
