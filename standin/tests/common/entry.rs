//! A scripted entry: a test supplies the response to each request.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use standin::server;
use standin::server::Shared;
use standin::server::reply;
use tokio_util::sync::CancellationToken;

use super::Started;
use super::listen;

/// A response of the scripted entry.
pub struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    silent: bool,
}

impl Reply {
    pub fn with_status(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            silent: false,
        }
    }

    pub fn silent() -> Self {
        Self {
            silent: true,
            ..Self::with_status(StatusCode::OK)
        }
    }

    pub fn answer(body: Bytes) -> Self {
        let reply = Self::with_status(StatusCode::OK);
        Self { body, ..reply }.with_header("masticmoor-outcome", "answered")
    }

    pub fn refuse(outcome: Outcome, code: Code) -> Self {
        let body = serde_json::json!({"code": code}).to_string();
        let reply = Self::with_status(code.status());
        Self {
            body: body.into(),
            ..reply
        }
        .with_header("masticmoor-outcome", &outcome.to_string())
    }

    pub fn token(self, token: &str) -> Self {
        self.with_header("masticmoor-token", token)
    }

    pub fn retry_after_ms(self, ms: u64) -> Self {
        self.with_header("masticmoor-retry-after-ms", &ms.to_string())
    }

    fn with_header(mut self, name: &'static str, value: &str) -> Self {
        let value = HeaderValue::from_str(value).unwrap();
        self.headers.insert(name, value);
        self
    }

    async fn response(self) -> Response<reply::Body> {
        if self.silent {
            std::future::pending::<()>().await;
        }
        let mut response = reply::bytes_as(self.status, "application/problem+json", self.body);
        response.headers_mut().extend(self.headers);
        response
    }
}

/// Returns the token of a request.
pub fn token_of(request: &Request<Bytes>) -> Option<String> {
    let token = request.headers().get("idempotency-key")?;
    Some(token.to_str().unwrap().to_owned())
}

/// Starts an entry that responds to each request with the closure's result.
pub async fn start_entry<S>(respond: S) -> Started<Shared>
where
    S: Fn(&Request<Bytes>) -> Reply + Clone + Send + Sync + 'static,
{
    let (listener, address) = listen().await;
    let token = CancellationToken::new();
    let handle = Shared::default();
    let handler = move |request: Request<Bytes>, _| {
        let reply = respond(&request);
        reply.response()
    };
    tokio::spawn(server::run(
        listener,
        handle.clone(),
        handler,
        token.clone(),
    ));
    Started {
        address,
        handle,
        _end: token.drop_guard(),
    }
}
