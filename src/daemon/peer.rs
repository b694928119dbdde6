//! Handles the frames and posts that other hosts send.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::daemon::apply;
use crate::daemon::config;
use crate::entry::at_most_once;
use crate::entry::header;
use crate::home;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Relay;
use crate::peer::server;
use crate::state;
use crate::state::State;
use crate::token;
use crate::token::Token;

/// Returns the handlers for the peer listener.
pub fn service(state: &Arc<State>) -> server::Service {
    let frames = state.clone();
    let posts = state.clone();
    server::Service {
        frame: Box::new(move |_, frame, out| dispatch(&frames, frame, out)),
        post: Box::new(move |path, body| post(posts.clone(), path, body)),
        frame_bytes: state::max_frame_bytes(&state.options),
        ping: state.options.peer.ping,
        ping_timeout: state.options.peer.ping_timeout,
    }
}

fn dispatch(state: &Arc<State>, frame: Frame, out: mpsc::Sender<Frame>) {
    match frame {
        Frame::Run(run) => {
            state.tasks.spawn(home::run::run(state.clone(), *run, out));
        }
        Frame::Relay(call) => {
            state.tasks.spawn(run_relayed(state.clone(), *call, out));
        }
        _ => {
            let refused = Frame::Refused(Refusal::not_run(Code::BadRequest));
            // The channel is new, so it can't be full.
            let _ = out.try_send(refused);
        }
    }
}

fn post(state: Arc<State>, path: String, body: Bytes) -> BoxFuture<'static, Option<Bytes>> {
    let respond = move |state: &State| match path.as_str() {
        config::INDEX_PATH => config::serve_index(state),
        config::VALUE_PATH => config::serve_value(state, &body),
        _ => None,
    };
    async move { apply::run_blocking(&state, respond).await.flatten() }.boxed()
}

/// Runs a call under a token of this host on behalf of another entry.
async fn run_relayed(state: Arc<State>, relay: Relay, out: mpsc::Sender<Frame>) {
    let deadline = Instant::now() + relay.call.time_left();
    let result = match Token::parse(&relay.token) {
        Ok(token) if token.issuer == state.incarnation.host => {
            at_most_once::at_issuer(&state, &relay.call, &token, deadline).await
        }
        Ok(_) | Err(_) => Err(Refusal::not_run(Code::TokenForged)),
    };
    let frames = match result {
        Ok(response) => response_frames(&response),
        Err(refusal) => vec![Frame::Refused(refusal)],
    };
    for frame in frames {
        // If the entry is gone, a repeat under the same token gets the result.
        if out.send(frame).await.is_err() {
            return;
        }
    }
}

fn response_frames(response: &token::Response) -> Vec<Frame> {
    let head = Head {
        status: response.status.as_u16(),
        headers: header::forwarded(&response.headers),
        waited_us: 0,
    };
    vec![
        Frame::Head(head),
        Frame::Data(response.body.clone()),
        Frame::End,
    ]
}
