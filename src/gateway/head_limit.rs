//! A TCP stream that limits what an upstream may send before the head of its response.
//!
//! The HTTP client limits the size of a head, but skips any number of informational
//! responses before it.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes before the head of a response is complete, including what is
/// read of its body together with it.
const MAX_BYTES: usize = 256 << 10;

/// A TCP stream whose reads fail beyond the limit that its [`Gauge`] sets.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    gauge: Gauge,
}

/// Number of bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub struct Gauge(Arc<AtomicUsize>);

impl Default for Gauge {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Gauge {
    /// Limits reads until the head of the response has arrived.
    pub fn begin_head(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit.
    pub fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read, and returns whether they are within the limit.
    fn record(&self, bytes: usize) -> bool {
        let count = |left: usize| match left {
            usize::MAX => Some(left),
            left => left.checked_sub(bytes),
        };
        let counted = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
        counted.is_ok()
    }
}

impl Stream {
    /// Wraps a stream whose reads `gauge` limits.
    pub fn new(stream: TcpStream, gauge: &Gauge) -> Self {
        Self {
            stream,
            gauge: gauge.clone(),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match result {
            Poll::Ready(Ok(())) if !self.gauge.record(buf.filled().len() - before) => {
                let text = "head of the response is too long";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)))
            }
            result => result,
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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
