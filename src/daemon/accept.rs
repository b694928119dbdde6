//! Accepts TCP connections with Nagle's algorithm disabled. Otherwise the body
//! of a response would wait for the client's delayed acknowledgement of the head.

use std::io;

use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::listener::TcpAcceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// An acceptor that sets `TCP_NODELAY` on each connection.
pub struct NoDelay(TcpAcceptor);

impl NoDelay {
    /// Wraps a bound listener.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        TcpAcceptor::from_tokio(listener).map(Self)
    }
}

impl Acceptor for NoDelay {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}
