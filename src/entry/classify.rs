//! Classifies a request: its workspace, chat, class, the upstreams that can
//! serve it, and whether it may run twice. Relies on the register.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use crate::class::Class;
use crate::entry::header;
use crate::ident;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::register::Register;
use crate::register::service;
use crate::register::upstream::Pool;
use crate::token::fingerprint;

/// The path for chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path that lists models.
pub const MODEL_PATH: &str = "/v1/models";
/// The path that issues tokens.
pub const TOKEN_PATH: &str = "/v1/tokens";

/// The workspace of a request that names none.
pub const NO_WORKSPACE: &str = "default";

/// The longest workspace or chat name accepted, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Messages that identify a chat: the system prompt and the first question.
const IDENTIFYING_MESSAGES: usize = 2;

/// How to answer a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// Run it on an upstream.
    Call(Box<Call>),
    /// Answer it with the list of models.
    Models,
    /// Answer it with a fresh token.
    Token(ident::Workspace),
}

/// The fields of a chat request that decide where it runs.
#[derive(Deserialize)]
struct Chat<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Classifies a request, or returns why it is malformed or can't be served.
pub fn classify(
    register: &Register,
    method: &Method,
    uri: &http::Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Route, Refusal> {
    if has_dot_segments(uri.path()) {
        return Err(Refusal::not_run(Code::BadRequest));
    }
    let call = |traits: Traits| build(traits, method, uri, headers, body).map(Route::Call);
    match (method, uri.path()) {
        (&Method::GET, MODEL_PATH) => Ok(Route::Models),
        (&Method::POST, TOKEN_PATH) => Ok(Route::Token(workspace(headers)?)),
        (&Method::POST, CHAT_PATH) => call(chat_traits(register, body)?),
        (_, CHAT_PATH | MODEL_PATH | TOKEN_PATH) => Err(Refusal::not_run(Code::BadMethod)),
        (_, path) => call(service_traits(register, method, path)?),
    }
}

/// The properties of a request that follow from its path and body.
struct Traits {
    pool: Pool,
    class: Class,
    idempotent: bool,
    /// Identifies the chat if the caller names none.
    content: u64,
}

fn chat_traits(register: &Register, body: &Bytes) -> Result<Traits, Refusal> {
    let chat: Chat<'_> =
        serde_json::from_slice(body).map_err(|_| Refusal::not_run(Code::BadRequest))?;
    let model = register
        .models
        .get(chat.model.as_ref())
        .ok_or(Refusal::not_run(Code::NoModel))?;
    let mut hash = Xxh3::new();
    for message in chat.messages.iter().take(IDENTIFYING_MESSAGES) {
        hash.update(message.get().as_bytes());
    }
    Ok(Traits {
        pool: Pool::Model(model.clone()),
        class: Class::default(),
        // Engines change nothing but their caches.
        idempotent: true,
        content: hash.digest(),
    })
}

fn service_traits(register: &Register, method: &Method, path: &str) -> Result<Traits, Refusal> {
    let (name, spec) = register
        .services
        .iter()
        .filter(|(_, spec)| service::covers(&spec.prefix, path))
        .max_by_key(|(_, spec)| spec.prefix.len())
        .ok_or(Refusal::not_run(Code::NoRoute))?;
    Ok(Traits {
        pool: Pool::Service(name.clone()),
        class: spec.class,
        idempotent: spec.is_idempotent(method.as_str(), path),
        content: xxhash_rust::xxh3::xxh3_64(path.as_bytes()),
    })
}

fn build(
    traits: Traits,
    method: &Method,
    uri: &http::Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Box<Call>, Refusal> {
    let workspace = workspace(headers)?;
    let chat = match name(headers, header::CHAT)? {
        Some(chat) => ident::Chat::from(chat),
        None => ident::Chat::from(format!("{:016x}", traits.content).as_str()),
    };
    let class = match name(headers, header::CLASS)? {
        Some(text) => text
            .parse()
            .map_err(|_| Refusal::not_run(Code::BadRequest))?,
        None => traits.class,
    };
    let path = uri
        .path_and_query()
        .map_or(uri.path(), |path| path.as_str());
    let request = fingerprint::Request {
        workspace: &workspace,
        method: method.as_str(),
        path,
        body,
    };
    Ok(Box::new(Call {
        fingerprint: request.fingerprint(),
        workspace,
        chat,
        class,
        pool: traits.pool,
        idempotent: traits.idempotent,
        method: method.as_str().to_owned(),
        path: path.to_owned(),
        headers: header::forwarded(headers),
        body: body.clone(),
        left_ms: 0,
    }))
}

fn workspace(headers: &HeaderMap) -> Result<ident::Workspace, Refusal> {
    let name = name(headers, header::WORKSPACE)?;
    Ok(ident::Workspace::from(name.unwrap_or(NO_WORKSPACE)))
}

/// Returns whether a path has a `.` or `..` segment, also percent-encoded. With
/// one, a call could pass for an idempotent one.
fn has_dot_segments(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    })
}

fn name<'a>(headers: &'a HeaderMap, field: &str) -> Result<Option<&'a str>, Refusal> {
    match headers.get(field).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(Some(text)),
        Some(_) => Err(Refusal::not_run(Code::BadRequest)),
    }
}
