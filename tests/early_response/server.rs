//! A server on a thread of its own that reads only the head of a request, and acts when it is told to.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use socket2::SockRef;

/// Interval at which a test looks for the request, and pause between two actions.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the buffer for what it doesn't read.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// What the server does next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a part of the response.
    Send(&'static str),
    /// Closes its half of the connection.
    Finish,
    /// Resets the connection.
    Reset,
}

/// A running server.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    actions: mpsc::Sender<Action>,
    has_arrived: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server that serves one connection. It accepts others, and keeps them open.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .unwrap();
        let address = listener.local_addr().unwrap();
        let (actions, next) = mpsc::channel();
        let has_arrived = Arc::<AtomicBool>::default();
        let arrived = has_arrived.clone();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            std::thread::spawn(move || {
                let others: Vec<_> = listener.incoming().collect();
                drop(others);
            });
            serve(stream, &next, &arrived);
        });
        Self {
            address,
            actions,
            has_arrived,
        }
    }

    /// Waits until the head of a request has arrived.
    pub async fn arrival(&self) {
        while !self.has_arrived.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes the server act, after what it was told before.
    pub fn act(&self, action: Action) {
        // It has ended if it reset the connection.
        let _sent = self.actions.send(action);
    }
}

fn serve(mut stream: TcpStream, actions: &mpsc::Receiver<Action>, has_arrived: &AtomicBool) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.extend_from_slice(&byte);
    }
    has_arrived.store(true, Ordering::Relaxed);
    while let Ok(action) = actions.recv() {
        // The gateway may have disconnected.
        let _result = match action {
            Action::Send(text) => stream.write_all(text.as_bytes()),
            Action::Finish => stream.shutdown(Shutdown::Write),
            Action::Reset => {
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
        };
        std::thread::sleep(POLL_INTERVAL);
    }
}
