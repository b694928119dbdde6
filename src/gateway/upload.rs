//! Whether a request was written to its end.
//!
//! An upstream may respond before it has read a request, and close the connection on what it
//! doesn't read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncWrite;
use tokio::io::WriteHalf;
use tokio::net::TcpStream;

/// What was written of a request. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Number of bytes written since the request began.
    bytes: AtomicUsize,
    /// Whether nothing is left to write for now.
    is_flushed: AtomicBool,
}

impl Progress {
    /// Begins a request.
    pub fn begin(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
    }

    /// Returns whether a request with a body of some bytes was written to its end.
    pub fn is_complete(&self, body: usize) -> bool {
        // The client flushes once all that it has is written, also before it has anything.
        self.0.is_flushed.load(Ordering::Relaxed) && self.0.bytes.load(Ordering::Relaxed) > body
    }
}

/// The writable half of a TCP stream, whose [`Progress`] is recorded.
#[derive(Debug)]
pub struct Writer {
    half: WriteHalf<TcpStream>,
    progress: Progress,
}

impl Writer {
    /// Wraps the half of a stream.
    pub fn new(half: WriteHalf<TcpStream>, progress: &Progress) -> Self {
        Self {
            half,
            progress: progress.clone(),
        }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        let shared = &self.progress.0;
        shared.is_flushed.store(false, Ordering::Relaxed);
        if let Poll::Ready(Ok(bytes)) = written {
            shared.bytes.fetch_add(*bytes, Ordering::Relaxed);
        }
    }
}

impl AsyncWrite for Writer {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.half).poll_write(cx, buf);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.half).poll_write_vectored(cx, bufs);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.half.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.half).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.progress.0.is_flushed.store(true, Ordering::Relaxed);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_shutdown(cx)
    }
}
