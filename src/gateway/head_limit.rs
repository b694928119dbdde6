//! Limits what an upstream may send before the head of its response.
//!
//! The HTTP client limits the size of a head, but skips any number of informational
//! responses before it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::io::ReadHalf;
use tokio::net::TcpStream;

/// Maximum number of bytes before the head of a response is complete, including what is
/// read of its body together with it.
const MAX_BYTES: usize = 256 << 10;

/// The readable half of a TCP stream, whose reads fail beyond the limit that its [`Budget`]
/// sets.
#[derive(Debug)]
pub struct Reader {
    half: ReadHalf<TcpStream>,
    budget: Budget,
}

/// Number of bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<AtomicUsize>);

impl Default for Budget {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Budget {
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

impl Reader {
    /// Wraps the half of a stream whose reads `budget` limits.
    pub fn new(half: ReadHalf<TcpStream>, budget: &Budget) -> Self {
        Self {
            half,
            budget: budget.clone(),
        }
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.half).poll_read(cx, buf);
        match result {
            Poll::Ready(Ok(())) if !self.budget.record(buf.filled().len() - before) => {
                let text = "head of the response is too long";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)))
            }
            result => result,
        }
    }
}
