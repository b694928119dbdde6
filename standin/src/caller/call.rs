//! A single call: its kind, its caller's workspace and its HTTP request.

use bytes::Bytes;
use http::Method;
use masticmoor::class::Class;

use super::mix::Kind;
use crate::answer;
use crate::engine::chat::Message;
use crate::engine::chat::Request;

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A call that a caller makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The kind of the call.
    pub kind: Kind,
    /// The workspace it belongs to.
    pub workspace: String,
    /// Its priority class.
    pub class: Class,
    /// The requested action.
    pub action: Action,
    /// The body of the request.
    pub body: Bytes,
}

/// The action that a call requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The next completion of a chat.
    Chat(Chat),
    /// A lookup of the holder of a seat.
    Lookup {
        /// The number of the seat.
        seat: u64,
    },
    /// The purchase of a seat.
    Purchase(answer::Purchase),
}

/// A chat that continues over several calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// Its name within the workspace.
    pub name: String,
    /// The workspace it belongs to.
    pub workspace: String,
    /// Its priority class.
    pub class: Class,
    /// All messages so far.
    pub messages: Vec<Message>,
}

impl Call {
    /// Returns a call for the next completion of a chat.
    pub fn chat(chat: Chat, model: &str, stream: bool) -> Self {
        let request = Request {
            model: model.to_owned(),
            messages: chat.messages.clone(),
            stream,
        };
        Self {
            kind: if stream { Kind::Stream } else { Kind::Chat },
            workspace: chat.workspace.clone(),
            class: chat.class,
            action: Action::Chat(chat),
            body: serde_json::to_vec(&request).unwrap_or_default().into(),
        }
    }

    /// Returns a lookup of a seat.
    pub fn lookup(workspace: String, seat: u64) -> Self {
        Self {
            kind: Kind::Lookup,
            workspace,
            class: Class::Urgent,
            action: Action::Lookup { seat },
            body: Bytes::new(),
        }
    }

    /// Returns a call for a purchase.
    pub fn purchase(workspace: String, purchase: answer::Purchase) -> Self {
        Self {
            kind: Kind::Purchase,
            workspace,
            class: Class::Interactive,
            body: serde_json::to_vec(&purchase).unwrap_or_default().into(),
            action: Action::Purchase(purchase),
        }
    }

    /// Returns the HTTP method of the request.
    pub fn method(&self) -> Method {
        match self.action {
            Action::Lookup { .. } => Method::GET,
            Action::Chat(_) | Action::Purchase(_) => Method::POST,
        }
    }

    /// Returns the path of the request.
    pub fn path(&self) -> String {
        match &self.action {
            Action::Chat(_) => CHAT_PATH.to_owned(),
            Action::Lookup { seat } => format!("/tickets/seats/{seat}"),
            Action::Purchase(_) => "/tickets/buy".to_owned(),
        }
    }

    /// Returns the name of the chat, or `None` for calls of other kinds.
    pub fn chat_name(&self) -> Option<&str> {
        match &self.action {
            Action::Chat(chat) => Some(&chat.name),
            Action::Lookup { .. } | Action::Purchase(_) => None,
        }
    }

    /// Returns whether the call is a purchase, which must not run twice.
    pub fn is_purchase(&self) -> bool {
        self.kind == Kind::Purchase
    }
}
