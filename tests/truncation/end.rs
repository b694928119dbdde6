//! How upstreams and hosts end connections in tests.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// How an upstream ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closes it in order, as the system does when a process ends.
    Close,
    /// Resets it.
    Reset,
}

impl End {
    /// Ends a connection.
    pub fn apply(self, stream: TcpStream) -> io::Result<()> {
        match self {
            Self::Close => Ok(()),
            Self::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        }
    }
}
