//! Responses of which an upstream sends only the first bytes, with each framing.

use crate::end::End;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The end of the connection.
    Close,
    /// The length of the whole body.
    Length,
    /// One chunk of the length of the whole body.
    Chunked,
    /// One chunk of what is sent, and the empty chunk that ends a body.
    ChunkedToEnd,
}

/// A response of which the upstream sends only the first bytes of the body.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// What marks the end of the body.
    pub framing: Framing,
    /// Media type of the body.
    pub content_type: &'static str,
    /// The whole body.
    pub body: &'static str,
    /// Number of bytes of the body that are sent.
    pub sent: usize,
    /// How the connection ends after them.
    pub end: End,
}

impl Cut {
    /// Returns all cuts of a body.
    pub fn all(content_type: &'static str, body: &'static str) -> Vec<Self> {
        let framings = [
            Framing::Close,
            Framing::Length,
            Framing::Chunked,
            Framing::ChunkedToEnd,
        ];
        let mut cuts = Vec::new();
        for framing in framings {
            for end in [End::Close, End::Reset] {
                cuts.extend((0..=body.len()).map(|sent| Self {
                    framing,
                    content_type,
                    body,
                    sent,
                    end,
                }));
            }
        }
        cuts
    }

    /// Returns the part of the body that is sent.
    pub fn prefix(&self) -> &'static str {
        &self.body[..self.sent]
    }

    /// Returns the bytes that are sent after the status line and other headers.
    pub fn text(&self) -> String {
        let (length, prefix) = (self.body.len(), self.prefix());
        let sent = prefix.len();
        let framed = match self.framing {
            Framing::Close => format!("connection: close\r\n\r\n{prefix}"),
            Framing::Length => format!("content-length: {length}\r\n\r\n{prefix}"),
            Framing::Chunked => {
                format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{prefix}")
            }
            Framing::ChunkedToEnd if sent == 0 => {
                "transfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned()
            }
            Framing::ChunkedToEnd => {
                format!("transfer-encoding: chunked\r\n\r\n{sent:x}\r\n{prefix}\r\n0\r\n\r\n")
            }
        };
        format!("content-type: {}\r\n{framed}", self.content_type)
    }

    /// Returns whether the framing says that the body is complete, as far as it can.
    pub fn is_framed_whole(&self) -> bool {
        match self.framing {
            Framing::Close => self.end == End::Close,
            Framing::Length => self.sent == self.body.len(),
            Framing::Chunked => false,
            Framing::ChunkedToEnd => true,
        }
    }
}
