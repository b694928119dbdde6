//! Caller that sends requests to a gateway and parses the raw responses.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::TIMEOUT;

/// Body of each request.
pub const BODY: &str = "which rows are free?";

/// Path of a request.
const PATH: &str = "/a/x";

/// Value of the deadline header in milliseconds.
pub const DEADLINE_MS: u64 = 5_000;

/// A response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    headers: BTreeMap<String, String>,
    /// Received bytes of the body, possibly not all of them.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl Reply {
    /// Returns the value of a header; `name` is in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn request(path: &str, attempt: &str, headers: &[(&str, &str)]) -> String {
    let mut text = format!(
        "POST {path} HTTP/1.1\r\nhost: one.example\r\nx-attempt: {attempt}\r\n\
         x-deadline: {DEADLINE_MS}\r\ncontent-length: {}\r\n",
        BODY.len()
    );
    if !headers.iter().any(|(name, _)| *name == "x-key") {
        text += "x-key: k1\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + "\r\n" + BODY
}

/// Sends a request on a connection that closes after it, and reads the response.
pub async fn send(address: SocketAddr, attempt: &str, headers: &[(&str, &str)]) -> Reply {
    send_to(address, PATH, attempt, headers).await
}

/// Sends a request as [`send`] does, to a path of the route.
pub async fn send_to(
    address: SocketAddr,
    path: &str,
    attempt: &str,
    headers: &[(&str, &str)],
) -> Reply {
    let mut all = vec![];
    if !headers.iter().any(|(name, _)| *name == "connection") {
        all.push(("connection", "close"));
    }
    all.extend_from_slice(headers);
    exchange(address, &request(path, attempt, &all)).await
}

/// Sends a request with another body, and reads the response, which may begin before the body is
/// sent.
pub async fn upload(address: SocketAddr, attempt: &str, body: &[u8]) -> Reply {
    let usual = format!("content-length: {}", BODY.len());
    let length = format!("content-length: {}", body.len());
    let text = request(PATH, attempt, &[("connection", "close")]).replacen(&usual, &length, 1);
    let head = text.strip_suffix(BODY).unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    read_reply(&mut stream, "").await
}

/// Sends a request on a connection that may be kept alive, and reads the response.
pub async fn send_keep_alive(address: SocketAddr, attempt: &str) -> Reply {
    exchange(address, &request(PATH, attempt, &[])).await
}

/// Sends a request and disconnects once a condition holds. Returns whether it did in
/// time.
pub async fn disconnect(address: SocketAddr, attempt: &str, when: impl Fn() -> bool) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request(PATH, attempt, &[]);
    stream.write_all(text.as_bytes()).await.unwrap();
    let result = timeout(TIMEOUT, async {
        while !when() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    result.await.is_ok()
}

/// Sends a request and reads nothing of the response for a time.
pub async fn send_unread(address: SocketAddr, attempt: &str, time: Duration) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request(PATH, attempt, &[]);
    stream.write_all(text.as_bytes()).await.unwrap();
    tokio::time::sleep(time).await;
}

/// Sends a request of HTTP/1.0, in which a body ends with its connection. Returns the body,
/// or the error of a connection that doesn't close in order.
pub async fn send_http_1_0(address: SocketAddr, attempt: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let text = request(PATH, attempt, &[]).replacen("HTTP/1.1", "HTTP/1.0", 1);
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = Vec::new();
    timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await??;
    let head = bytes.windows(4).position(|it| it == b"\r\n\r\n");
    let body = bytes.split_off(head.map_or(bytes.len(), |at| at + 4));
    Ok(body)
}

/// Returns whether a connection can be established.
pub async fn connects(address: SocketAddr) -> bool {
    TcpStream::connect(address).await.is_ok()
}

async fn exchange(address: SocketAddr, text: &str) -> Reply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    read_reply(&mut stream, text).await
}

/// Sends a request on a connection and reads the response.
async fn read_reply(stream: &mut TcpStream, text: &str) -> Reply {
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = async {
        loop {
            match stream.read_buf(&mut bytes).await {
                Ok(0) | Err(_) => break,
                Ok(_) if parse(&bytes).is_some_and(|reply| reply.is_complete) => break,
                Ok(_) => {}
            }
        }
    };
    timeout(TIMEOUT, read).await.unwrap();
    parse(&bytes).expect("connection closed before the response headers were complete")
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let head = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let text = String::from_utf8(bytes[..head].to_vec()).unwrap();
    let mut lines = text.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().unwrap();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let rest = &bytes[head..];
    let (body, is_complete) = match headers.get("content-length") {
        Some(length) => {
            let length: usize = length.parse().unwrap();
            (rest.to_vec(), rest.len() == length)
        }
        None => chunks(rest),
    };
    Some(Reply {
        status,
        headers,
        body,
        is_complete,
    })
}

/// Decodes a chunked body, and returns whether it is complete.
fn chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|it| it == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let from = line + 2;
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(from..from + size) else {
            body.extend_from_slice(&rest[from..]);
            break;
        };
        body.extend_from_slice(chunk);
        rest = rest.get(from + size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// A request of which the caller has sent the first half.
pub struct Half {
    stream: TcpStream,
    rest: String,
}

impl Half {
    /// Opens a connection and sends the first half of a request with a time limit.
    pub async fn send(address: SocketAddr, attempt: &str, limit: Duration) -> Self {
        let usual = format!("x-deadline: {DEADLINE_MS}");
        let limit = format!("x-deadline: {}", limit.as_millis());
        let text = request(PATH, attempt, &[]).replacen(&usual, &limit, 1);
        let (first, rest) = text.split_at(text.len() / 2);
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        let rest = rest.to_owned();
        Self { stream, rest }
    }

    /// Sends the rest and reads the response.
    pub async fn finish(mut self) -> Reply {
        read_reply(&mut self.stream, &self.rest).await
    }
}
