//! A connection that refuses to write its first byte after the send deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::Clock;

/// Flag that is set once any byte was passed to the operating system.
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
/// The deadline is checked in the write of the first byte itself, because the process may be paused between any earlier
/// check and that write.
#[derive(Debug)]
pub struct DeadlineStream {
    stream: TcpStream,
    clock: Clock,
    send_deadline_ms: u64,
    sent: SentFlag,
}

impl DeadlineStream {
    /// Wraps a connection to which nothing was written yet. `send_deadline_ms` is on `clock`.
    pub fn new(stream: TcpStream, clock: Clock, send_deadline_ms: u64, sent: SentFlag) -> Self {
        Self {
            stream,
            clock,
            send_deadline_ms,
            sent,
        }
    }

    fn check_deadline(&self) -> io::Result<()> {
        if !self.sent.is_set() && self.clock.now_ms() >= self.send_deadline_ms {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.check_deadline() {
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
