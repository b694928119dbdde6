//! Runs a non-idempotent call at most once: only at the host that issued its
//! token.

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

/// The longest answer to a non-idempotent call, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// When to ask again about a call whose issuer can't be reached.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// Runs a call under a token, here or at the token's issuer.
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

/// Runs a call under a token of this host.
pub async fn at_issuer(
    state: &Arc<State>,
    call: &Call,
    token: &Token,
    deadline: Instant,
) -> Result<Arc<token::Response>, Refusal> {
    let settled = match state.issuer.spend(Instant::now(), token, call.fingerprint) {
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Replay(kept) => return Ok(kept),
        Decision::Join(waiter) => timeout_at(deadline, waiter.wait())
            .await
            .map_err(|_| Refusal::unknown(Code::StillRunning).after(ASK_AGAIN))?,
        Decision::Run(lease) => {
            // A task of its own: it runs on when the caller goes away.
            let run = run_leased(state.clone(), call.clone(), lease, deadline);
            state
                .tasks
                .spawn(run)
                .await
                .map_err(|_| Refusal::unknown(Code::HomeLost))?
        }
    };
    match settled {
        token::Settlement::Answered(kept) => Ok(kept),
        token::Settlement::Refused(refusal) => Err(refusal),
    }
}

async fn run_leased(
    state: Arc<State>,
    call: Call,
    lease: Lease,
    deadline: Instant,
) -> token::Settlement {
    let ending = match whole(&state, &call, deadline).await {
        Ok(kept) => token::Completion::Answered(kept),
        Err(refusal) => token::Completion::Refused(refusal),
    };
    lease.settle(ending)
}

async fn whole(
    state: &Arc<State>,
    call: &Call,
    deadline: Instant,
) -> Result<token::Response, Refusal> {
    let begun = attempt::run(state, call, deadline).await?;
    collect(begun.head, begun.rest, deadline).await
}

/// Collects an answer to its end.
async fn collect(head: Head, rest: Source, deadline: Instant) -> Result<token::Response, Refusal> {
    let body = timeout_at(deadline, collect_body(rest))
        .await
        .map_err(|_| Refusal::unknown(Code::StreamTimeout))??;
    let mut headers = HeaderMap::new();
    header::put_back(&head.headers, &mut headers);
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
            Frame::Data(bytes) if body.len() + bytes.len() > ANSWER_BYTES => {
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
/// may have run before, and nobody else may run it.
async fn relay(
    state: &Arc<State>,
    call: &Call,
    token: &str,
    issuer: &ident::Host,
    deadline: Instant,
) -> Result<Arc<token::Response>, Refusal> {
    let lost = || token::issuer_unreachable(ASK_AGAIN);
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
        .links
        .call(address, exchange, Frame::Relay(Box::new(relay)));
    let answer = match timeout_at(deadline, sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(fault)) => {
            tracing::info!(host = %issuer, %fault, "entry: issuer lost");
            return Err(lost());
        }
        Err(_) => return Err(lost()),
    };
    let mut rest = Source::Remote(answer);
    match timeout_at(deadline, rest.next()).await {
        Ok(Frame::Head(head)) => collect(head, rest, deadline).await.map(Arc::new),
        Ok(Frame::Refused(refusal)) if refusal.code == Code::HomeLost => Err(lost()),
        Ok(Frame::Refused(refusal)) => Err(refusal),
        Ok(_) | Err(_) => Err(lost()),
    }
}
