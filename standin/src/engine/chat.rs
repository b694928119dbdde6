//! Bodies of chat completions, in the form of the OpenAI API.

use serde::Deserialize;
use serde::Serialize;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// A request for a chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The requested model.
    pub model: String,
    /// The messages of the chat so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The role of its author.
    pub role: String,
    /// The text.
    pub content: String,
}

impl Message {
    /// Returns the number of tokens of the message.
    pub fn tokens(&self) -> u64 {
        let bytes = u64::try_from(self.content.len()).unwrap_or(u64::MAX);
        bytes / BYTES_PER_TOKEN + 1
    }
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The fingerprint of the request body.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The model that answered.
    pub model: String,
    /// The only choice.
    pub choices: Vec<Choice>,
    /// The lengths of prompt and answer.
    pub usage: Usage,
}

/// One choice of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Its index among the choices.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why the answer ended.
    pub finish_reason: String,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The fingerprint of the request body.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model that answers.
    pub model: String,
    /// The next text of the only choice.
    pub choices: Vec<ChunkChoice>,
    /// The lengths of prompt and answer, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The next text of a choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// The index of the choice.
    pub index: u32,
    /// The added text.
    pub delta: Delta,
    /// Why the answer ended, in the last event.
    pub finish_reason: Option<String>,
}

/// Text that an event adds to the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text; `None` in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Lengths of prompt and answer, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The length of the answer.
    pub completion_tokens: u64,
    /// The length of the cached prefix of the prompt.
    pub cached_tokens: u64,
}
