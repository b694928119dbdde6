//! Requests that are sent while their upstream is about to close the connection as idle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::gateway::table::Kind;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller;
use crate::caller::BODY;
use crate::host::Host;
use crate::upstream::Upstream;

/// After which the server closes idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Before that time, in which a request crosses the close on its way.
const CROSSING: Duration = Duration::from_millis(200);

/// Starts a server that closes idle connections. Returns its address and the number of requests that
/// it didn't read.
async fn start(headers: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let unread: Arc<AtomicUsize> = Arc::default();
    let counter = unread.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, headers, counter.clone()));
        }
    });
    (address, unread)
}

async fn serve(mut stream: TcpStream, headers: &'static str, unread: Arc<AtomicUsize>) {
    let mut responded: Option<Instant> = None;
    while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, read(&mut stream)).await {
        if responded.is_some_and(|at| at.elapsed() >= IDLE_TIMEOUT - CROSSING) {
            unread.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut lines = request.lines();
        let attempt = lines.find_map(|line| line.strip_prefix("x-attempt: "));
        let response = format!(
            "HTTP/1.1 200 X\r\nx-attempt: {}\r\nx-receipt: r\r\n{headers}content-length: 2\r\n\r\nok",
            attempt.unwrap()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
        responded = Some(Instant::now());
    }
}

async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(BODY.as_bytes()) {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8(bytes).unwrap())
}

/// Guards against requests that are lost, with a retry each, on connections that are being closed.
#[rstest]
#[case::stated("keep-alive: max=9, timeout=1\r\n", &[900])]
#[case::observed("", &[1_200, 1_200, 900])]
#[tokio::test]
async fn no_request_is_sent_when_its_connection_is_about_to_be_closed(
    #[case] headers: &'static str,
    #[case] pauses_ms: &[u64],
) {
    let (address, unread) = start(headers).await;
    let host = Host::start(Kind::Idempotent, &[&Upstream::listed_at("u1", address)]).await;
    let first = caller::send(host.caller, "a0", &[]).await;
    assert_eq!(first.status, 200, "{}", first.text());
    for (number, pause_ms) in pauses_ms.iter().enumerate() {
        sleep(Duration::from_millis(*pause_ms)).await;
        let attempt = format!("a{}", number + 1);
        let reply = caller::send(host.caller, &attempt, &[]).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(unread.load(Ordering::Relaxed), 0);
}
