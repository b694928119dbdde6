//! The bodies of chat completions, in the usual form.

use serde::Deserialize;
use serde::Serialize;

/// How many characters make a token.
const CHARS_PER_TOKEN: u64 = 4;

/// A request to complete a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The model that is asked for.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who wrote it.
    pub role: String,
    /// What it says.
    pub content: String,
}

impl Message {
    /// Returns how many tokens the message takes.
    pub fn tokens(&self) -> u64 {
        let chars = u64::try_from(self.content.len()).unwrap_or(u64::MAX);
        chars / CHARS_PER_TOKEN + 1
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The fingerprint of the request body.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The model that answered.
    pub model: String,
    /// The one answer.
    pub choices: Vec<Choice>,
    /// How long prompt and answer are.
    pub usage: Usage,
}

/// One answer of a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Its place among the answers.
    pub index: u32,
    /// What it says.
    pub message: Message,
    /// Why it ends.
    pub finish_reason: String,
}

/// One part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The fingerprint of the request body.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model that answers.
    pub model: String,
    /// The next part of the one answer.
    pub choices: Vec<ChunkChoice>,
    /// How long prompt and answer are, in the last part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The next part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Its place among the answers.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Why the answer ends, in the last part.
    pub finish_reason: Option<String>,
}

/// What a part adds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text that is added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// How long prompt and answer are, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The length of the answer.
    pub completion_tokens: u64,
    /// How much of the prompt was in the cache.
    pub cached_tokens: u64,
}
