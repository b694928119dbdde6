//! A TCP stream that can be silenced or reset for fault injection.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::sync::lock;

/// How a connection is silenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Silence {
    /// Input is discarded, so that no request runs.
    Deaf,
    /// Requests run, and their responses are discarded.
    Mute,
}

/// The faults of a connection.
#[derive(Debug, Default)]
pub struct Flags {
    deaf: AtomicBool,
    mute: AtomicBool,
    reset: AtomicBool,
}

impl Flags {
    /// Resets the connection on the next write.
    pub fn reset(&self) {
        self.reset.store(true, Ordering::Release);
    }

    fn silence(&self, silence: Silence) {
        match silence {
            Silence::Deaf => self.deaf.store(true, Ordering::Release),
            Silence::Mute => self.mute.store(true, Ordering::Release),
        }
    }
}

/// The open connections of a stand-in.
#[derive(Debug, Default)]
pub struct Set {
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Weak<Flags>>>,
}

impl Set {
    /// Silences all open connections.
    pub fn silence(&self, silence: Silence) {
        for flags in self.lock().values().filter_map(Weak::upgrade) {
            flags.silence(silence);
        }
    }

    pub(super) fn add(&self, stream: TcpStream) -> Socket {
        let flags = Arc::new(Flags::default());
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let mut open = self.lock();
        open.retain(|_, flags| flags.strong_count() > 0);
        open.insert(id, Arc::downgrade(&flags));
        Socket { stream, flags }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Weak<Flags>>> {
        lock(&self.open)
    }
}

/// A TCP stream with its faults.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    flags: Arc<Flags>,
}

impl Socket {
    /// Returns the faults of the connection.
    pub fn flags(&self) -> Arc<Flags> {
        Arc::clone(&self.flags)
    }

    fn discard_input(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut discarded = [0; 4096];
        loop {
            let mut buf = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn reset(&self) -> Poll<io::Result<usize>> {
        self.stream.set_zero_linger()?;
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.flags.deaf.load(Ordering::Acquire) {
            return self.discard_input(cx);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.flags.deaf.load(Ordering::Acquire) && buf.filled().len() > before {
            buf.set_filled(before);
            return self.discard_input(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mute = self.flags.mute.load(Ordering::Acquire);
        let deaf = self.flags.deaf.load(Ordering::Acquire);
        match self.flags.reset.load(Ordering::Acquire) {
            true => self.reset(),
            false if mute || deaf => Poll::Ready(Ok(bytes.len())),
            false => Pin::new(&mut self.stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
