//! A caller that sees the bytes of its answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::PATIENCE;

/// The body of each request.
pub const BODY: &str = "which rows are free?";

/// How long a caller waits, in milliseconds.
pub const DEADLINE_MS: u64 = 5_000;

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    headers: BTreeMap<String, String>,
    /// Its body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Reply {
    /// Returns a header by its name in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

fn request(attempt: &str, headers: &[(&str, &str)]) -> String {
    let mut text = format!(
        "POST /a/x HTTP/1.1\r\nhost: one.example\r\nx-attempt: {attempt}\r\n\
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

/// Sends a request and reads the answer.
pub async fn ask(address: SocketAddr, attempt: &str, headers: &[(&str, &str)]) -> Reply {
    let mut all = vec![];
    if !headers.iter().any(|(name, _)| *name == "connection") {
        all.push(("connection", "close"));
    }
    all.extend_from_slice(headers);
    send(address, &request(attempt, &all)).await
}

/// Sends a request on a connection that may be kept, and reads until it closes.
pub async fn ask_on_kept(address: SocketAddr, attempt: &str) -> Reply {
    send(address, &request(attempt, &[])).await
}

/// Sends a request and leaves once something has come true.
pub async fn leave(address: SocketAddr, attempt: &str, when: impl Fn() -> bool) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request(attempt, &[]);
    stream.write_all(text.as_bytes()).await.unwrap();
    let waited = timeout(PATIENCE, async {
        while !when() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.is_ok()
}

/// Tells whether a connection can be established.
pub async fn connects(address: SocketAddr) -> bool {
    TcpStream::connect(address).await.is_ok()
}

async fn send(address: SocketAddr, text: &str) -> Reply {
    let mut stream = TcpStream::connect(address).await.unwrap();
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
    timeout(PATIENCE, read).await.unwrap();
    parse(&bytes).expect("no head of an answer")
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

fn chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|it| it == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let from = line + 2;
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = rest.get(from..from + size) else {
            body.extend_from_slice(&rest[from..]);
            break;
        };
        body.extend_from_slice(piece);
        rest = rest.get(from + size + 2..).unwrap_or_default();
    }
    (body, false)
}
