//! What this host does with the frames of others.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::daemon::adopt;
use crate::daemon::config;
use crate::entry::at_most_once;
use crate::entry::header;
use crate::home;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Relay;
use crate::peer::serve;
use crate::state;
use crate::state::State;
use crate::token;
use crate::token::Token;

/// Returns what the listener for other hosts calls.
pub fn service(state: &Arc<State>) -> serve::Service {
    let frames = state.clone();
    let posts = state.clone();
    serve::Service {
        frame: Box::new(move |_, frame, out| take(&frames, frame, out)),
        post: Box::new(move |path, body| post(posts.clone(), path, body)),
        frame_bytes: state::frame_bytes(&state.options),
        ping: state.options.peer.ping,
        ping_timeout: state.options.peer.ping_timeout,
    }
}

fn take(state: &Arc<State>, frame: Frame, out: mpsc::Sender<Frame>) {
    match frame {
        Frame::Run(run) => {
            state.tasks.spawn(home::run::run(state.clone(), *run, out));
        }
        Frame::Relay(call) => {
            state.tasks.spawn(relay(state.clone(), *call, out));
        }
        _ => {
            let refused = Frame::Refused(Refusal::not_run(Code::BadRequest));
            // The channel is new and has room.
            let _ = out.try_send(refused);
        }
    }
}

fn post(state: Arc<State>, path: String, body: Bytes) -> BoxFuture<'static, Option<Bytes>> {
    let answer = move |state: &State| match path.as_str() {
        config::INDEX_PATH => config::index(state),
        config::ASK_PATH => config::ask(state, &body),
        _ => None,
    };
    async move { adopt::apart(&state, answer).await.flatten() }.boxed()
}

/// Runs a call under a token of this host for an entry elsewhere.
async fn relay(state: Arc<State>, relay: Relay, out: mpsc::Sender<Frame>) {
    let deadline = Instant::now() + relay.call.left();
    let ended = match Token::parse(&relay.token) {
        Ok(token) if token.issuer == state.own.host => {
            at_most_once::at_issuer(&state, &relay.call, &token, deadline).await
        }
        Ok(_) | Err(_) => Err(Refusal::not_run(Code::TokenForged)),
    };
    let frames = match ended {
        Ok(kept) => answer(&kept),
        Err(refusal) => vec![Frame::Refused(refusal)],
    };
    for frame in frames {
        // An entry that is gone asks again.
        if out.send(frame).await.is_err() {
            return;
        }
    }
}

fn answer(kept: &token::Kept) -> Vec<Frame> {
    let head = Head {
        status: kept.status.as_u16(),
        headers: header::forwarded(&kept.headers),
        waited_us: 0,
    };
    vec![
        Frame::Head(head),
        Frame::Data(kept.body.clone()),
        Frame::End,
    ]
}
