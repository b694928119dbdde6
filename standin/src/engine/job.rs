//! One chat completion of an engine, complete or streamed.

use std::vec::IntoIter;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http::StatusCode;
use tokio::sync::OwnedSemaphorePermit;

use super::chat;
use super::chat::Usage;
use super::work::Engine;
use super::work::InFlight;
use crate::answer;
use crate::journal::Running;
use crate::server::reply;
use crate::server::reply::Body;
use crate::time::sleep;

/// The event that ends a streamed answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The words of a streamed answer that are still to be sent.
type Remainder = Option<(Job, IntoIter<String>)>;

/// A chat completion that is running.
pub struct Job {
    /// The request.
    pub request: chat::Request,
    /// Its body as it arrived.
    pub body: Bytes,
    /// The lengths of prompt and answer.
    pub usage: Usage,
    /// The execution in the journal.
    pub running: Running,
    /// Counts the request in the load of the engine.
    pub load: InFlight,
    /// The slot that it occupies.
    pub permit: OwnedSemaphorePermit,
}

impl Job {
    /// Returns the answer in one body after the decode time of all its words.
    pub async fn complete(self) -> Response<Body> {
        let words = u32::try_from(self.usage.completion_tokens).unwrap_or(u32::MAX);
        sleep(self.engine().options().token_time * words).await;
        let text = answer::text(&self.body);
        let completion = chat::Completion {
            id: answer::fingerprint(&self.body),
            object: "chat.completion".to_owned(),
            model: self.request.model.clone(),
            choices: vec![chat::Choice {
                index: 0,
                message: assistant(text),
                finish_reason: "stop".to_owned(),
            }],
            usage: self.usage,
        };
        self.finish();
        reply::json(StatusCode::OK, &completion)
    }

    /// Streams the answer as one event for each word.
    pub fn stream(self) -> Response<Body> {
        let words = answer::words(&self.body).into_iter();
        reply::events(stream::unfold(Some((self, words)), Self::next))
    }

    async fn next(remainder: Remainder) -> Option<(Bytes, Remainder)> {
        let (job, mut words) = remainder?;
        match words.next() {
            Some(word) => {
                sleep(job.engine().options().token_time).await;
                let event = job.event(Some(word));
                Some((event, Some((job, words))))
            }
            None => {
                let last = [job.event(None), Bytes::from_static(DONE_EVENT)].concat();
                job.finish();
                Some((last.into(), None))
            }
        }
    }

    fn event(&self, word: Option<String>) -> Bytes {
        let is_last = word.is_none();
        let chunk = chat::Chunk {
            id: answer::fingerprint(&self.body),
            object: "chat.completion.chunk".to_owned(),
            model: self.request.model.clone(),
            choices: vec![chat::ChunkChoice {
                index: 0,
                delta: chat::Delta { content: word },
                finish_reason: is_last.then(|| "stop".to_owned()),
            }],
            usage: is_last.then_some(self.usage),
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn finish(self) {
        let text = answer::text(&self.body);
        self.engine().finish(&self.request, text);
        drop(self.permit);
        self.running.done();
    }

    fn engine(&self) -> &Engine {
        self.load.engine()
    }
}

/// Returns a message with the role of the model.
pub fn assistant(content: String) -> chat::Message {
    chat::Message {
        role: "assistant".to_owned(),
        content,
    }
}
