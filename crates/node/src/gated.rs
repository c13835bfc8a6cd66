//! A connection that refuses to carry its first byte after the send deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::Clock;

/// Tells whether any byte was handed to the operating system.
#[derive(Clone, Debug, Default)]
pub struct SentFlag(Arc<AtomicBool>);

impl SentFlag {
    /// Returns whether a byte may have reached the upstream.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection to an upstream that carries one request.
///
/// The deadline is checked in the write that carries the first byte, because a process may be
/// paused between any earlier check and that write.
#[derive(Debug)]
pub struct GatedStream {
    stream: TcpStream,
    clock: Clock,
    send_deadline_ms: u64,
    sent: SentFlag,
}

impl GatedStream {
    /// Wraps a connection on which nothing was written yet.
    pub fn new(stream: TcpStream, clock: Clock, send_deadline_ms: u64, sent: SentFlag) -> Self {
        Self {
            stream,
            clock,
            send_deadline_ms,
            sent,
        }
    }

    fn may_write(&self) -> io::Result<()> {
        if !self.sent.is_set() && self.clock.now_ms() >= self.send_deadline_ms {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.may_write() {
            return Poll::Ready(Err(error));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.sent.0.store(true, Ordering::Release);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
