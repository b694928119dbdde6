//! A caller's TCP stream that is reset, not closed in order, if a response to HTTP/1.0 is
//! cut: such a response ends with its connection, so an orderly close would make it look
//! complete. It also records when all that was buffered for it has been written.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tracing::warn;

use crate::gateway::intake::connections::Lease;

/// A TCP stream that is reset on drop if its [`Guard`] asks for it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    is_reset: Arc<AtomicBool>,
    lease: Option<Arc<Lease>>,
}

/// Decides how a [`Socket`] ends.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    has_http_1_0: Arc<AtomicBool>,
    is_reset: Arc<AtomicBool>,
}

impl Guard {
    /// Records a request on the connection.
    pub fn record_request(&self, version: http::Version) {
        if version == http::Version::HTTP_10 {
            self.has_http_1_0.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the connection failed, possibly in the middle of a response.
    pub fn record_failure(&self) {
        let is_reset = self.has_http_1_0.load(Ordering::Relaxed);
        self.is_reset.store(is_reset, Ordering::Relaxed);
    }
}

impl Socket {
    /// Wraps a stream, whose end `guard` decides.
    pub fn new(stream: TcpStream, guard: &Guard) -> Self {
        Self {
            stream,
            is_reset: guard.is_reset.clone(),
            lease: None,
        }
    }

    /// Records completed writes in the lease of a connection that is counted.
    pub fn with_lease(mut self, lease: Option<Arc<Lease>>) -> Self {
        self.lease = lease;
        self
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if !self.is_reset.load(Ordering::Relaxed) {
            return;
        }
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            warn!(%error, "callers: can't reset a connection");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the stream once its own buffer is empty.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if let Some(lease) = &self.lease {
            lease.flush(Instant::now());
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
