//! The source of the frames of a response: this host or another.

use tokio::sync::mpsc;

use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::client;
use crate::peer::frame::Frame;

/// The frames of one response.
#[derive(Debug)]
pub enum Source {
    /// This host is the home.
    Local(mpsc::Receiver<Frame>),
    /// Another host is the home.
    Remote(client::ResponseStream),
}

impl Source {
    /// Waits for the next frame. If the home is lost, the response ends with an
    /// unknown outcome.
    pub async fn next(&mut self) -> Frame {
        match self {
            Self::Local(frames) => frames.recv().await.unwrap_or_else(lost),
            Self::Remote(response) => match response.next().await {
                Ok(frame) => frame,
                Err(fault) => {
                    tracing::info!(%fault, "entry: connection to home lost");
                    lost()
                }
            },
        }
    }
}

fn lost() -> Frame {
    Frame::Refused(Refusal::unknown(Code::HomeLost))
}
