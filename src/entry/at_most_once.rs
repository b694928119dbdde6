//! Runs a non-idempotent call at most once, at the host that issued its token.
//! Other hosts relay it there.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::entry::attempt;
use crate::entry::header;
use crate::entry::source::Source;
use crate::framing;
use crate::ident;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Relay;
use crate::state::State;
use crate::token;
use crate::token::Token;
use crate::token::issuer::Decision;
use crate::token::issuer::Lease;

/// The longest response to a non-idempotent call, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The retry hint for a call that still runs or whose issuer can't be reached.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a call under a token, on this host or at the token's issuer.
pub async fn run(
    state: &Arc<State>,
    call: &Call,
    token: &str,
    deadline: Instant,
) -> Result<Arc<token::Response>, Refusal> {
    let parsed = Token::parse(token).map_err(|fault| {
        tracing::debug!(%fault, "entry: token refused");
        Refusal::not_run(Code::TokenForged)
    })?;
    match parsed.issuer == state.incarnation.host {
        true => at_issuer(state, call, &parsed, deadline).await,
        false => relay(state, call, token, &parsed.issuer, deadline).await,
    }
}

/// Runs a call under a token that this host issued.
pub async fn at_issuer(
    state: &Arc<State>,
    call: &Call,
    token: &Token,
    deadline: Instant,
) -> Result<Arc<token::Response>, Refusal> {
    let settlement = match state.issuer.spend(Instant::now(), token, call.fingerprint) {
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Replay(stored) => return Ok(stored),
        Decision::Join(waiter) => timeout_at(deadline, waiter.wait())
            .await
            .map_err(|_| Refusal::unknown(Code::StillRunning).with_retry_after(RETRY_AFTER))?,
        Decision::Run(lease) => {
            // A separate task, so that the call continues if the caller goes
            // away.
            let run = run_and_settle(state.clone(), call.clone(), lease, deadline);
            state
                .tasks
                .spawn(run)
                .await
                .map_err(|_| Refusal::unknown(Code::HomeLost))?
        }
    };
    match settlement {
        token::Settlement::Answered(stored) => Ok(stored),
        token::Settlement::Refused(refusal) => Err(refusal),
    }
}

async fn run_and_settle(
    state: Arc<State>,
    call: Call,
    lease: Lease,
    deadline: Instant,
) -> token::Settlement {
    let result = match fetch(&state, &call, deadline).await {
        Ok(stored) => token::Completion::Answered(stored),
        Err(refusal) => token::Completion::Refused(refusal),
    };
    lease.settle(result)
}

async fn fetch(
    state: &Arc<State>,
    call: &Call,
    deadline: Instant,
) -> Result<token::Response, Refusal> {
    let response = attempt::run(state, call, deadline).await?;
    collect(response.head, response.rest, deadline).await
}

/// Reads a response to its end.
async fn collect(head: Head, rest: Source, deadline: Instant) -> Result<token::Response, Refusal> {
    let body = timeout_at(deadline, collect_body(rest))
        .await
        .map_err(|_| Refusal::unknown(Code::StreamTimeout))??;
    let mut headers = HeaderMap::new();
    header::restore(&head.headers, &mut headers);
    Ok(token::Response {
        status: StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body,
    })
}

async fn collect_body(mut rest: Source) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    loop {
        match rest.next().await {
            Frame::Data(bytes) if body.len() + bytes.len() > MAX_RESPONSE_BYTES => {
                return Err(Refusal::unknown(Code::AnswerTooLarge));
            }
            Frame::Data(bytes) => body.extend_from_slice(&bytes),
            Frame::End => return Ok(body.freeze()),
            Frame::Refused(refusal) => return Err(refusal),
            _ => return Err(Refusal::unknown(Code::AnswerCut)),
        }
    }
}

/// Asks the issuer of a token to run a call. If it can't be reached, the call
/// may have run before, and no other host may run it.
async fn relay(
    state: &Arc<State>,
    call: &Call,
    token: &str,
    issuer: &ident::Host,
    deadline: Instant,
) -> Result<Arc<token::Response>, Refusal> {
    let lost = || token::issuer_unreachable(RETRY_AFTER);
    let plan = state.plan();
    let address = plan.register.hosts.get(issuer).ok_or_else(lost)?.peer;
    let left = deadline.saturating_duration_since(Instant::now());
    let relay = Relay {
        exchange: state.next_exchange(),
        from: state.incarnation.clone(),
        token: token.to_owned(),
        call: Call {
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..call.clone()
        },
    };
    let exchange = relay.exchange;
    let sent = state
        .peers
        .call(address, exchange, Frame::Relay(Box::new(relay)));
    let response = match timeout_at(deadline, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(fault)) => {
            tracing::info!(host = %issuer, %fault, "entry: connection to token issuer lost");
            return Err(lost());
        }
        Err(_) => return Err(lost()),
    };
    let mut rest = Source::Remote(response);
    match timeout_at(deadline, rest.next()).await {
        Ok(Frame::Head(head)) if framing::is_final(head.status) => {
            collect(head, rest, deadline).await.map(Arc::new)
        }
        Ok(Frame::Refused(refusal)) if refusal.code == Code::HomeLost => Err(lost()),
        Ok(Frame::Refused(refusal)) => Err(refusal),
        Ok(_) | Err(_) => Err(lost()),
    }
}
