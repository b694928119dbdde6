//! Synthetic traces: turns of concurrent chats, lookups and bookings, which
//! arrive as a Poisson process.

use std::ops::Range;
use std::time::Duration;

use masticmoor::class::Class;
use masticmoor::ident;
use masticmoor::policy::rank;
use masticmoor::register::upstream::Pool;
use rand::RngExt;
use rand::rngs::StdRng;

use super::deployment;
use super::deployment::Deployment;

/// Probability that a new chat takes the place of a chat before its next turn.
const CHAT_END_PROBABILITY: f64 = 0.08;

/// Tokens that a turn adds to the prompt, and tokens of an answer.
const TURN_TOKENS: Range<u32> = 50..350;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A turn of a chat.
    Chat,
    /// An idempotent call of the plain service, such as a gate lookup.
    Lookup,
    /// A call of the plain service that must not be repeated.
    Booking,
}

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival, since the start of the run.
    pub at: Duration,
    /// The workspace.
    pub workspace: ident::Workspace,
    /// The key of the chat, random for other kinds.
    pub key: u64,
    /// The kind.
    pub kind: Kind,
    /// Tokens of the prompt that an earlier turn had.
    pub history: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
}

impl Request {
    /// Returns the pool that serves it.
    pub fn pool(&self) -> Pool {
        match self.kind {
            Kind::Chat => deployment::engines(),
            Kind::Lookup | Kind::Booking => deployment::plain(),
        }
    }

    /// Returns its priority class.
    pub fn class(&self) -> Class {
        match self.kind {
            Kind::Chat => Class::Interactive,
            Kind::Lookup | Kind::Booking => Class::Urgent,
        }
    }

    /// Returns the time within which it must start after its arrival.
    pub fn max_wait(&self) -> Duration {
        match self.kind {
            Kind::Chat => Duration::from_secs(20),
            Kind::Lookup | Kind::Booking => Duration::from_secs(3),
        }
    }

    /// Returns whether it may be sent again after it was lost.
    pub fn is_idempotent(&self) -> bool {
        self.kind != Kind::Booking
    }
}

/// A temporary rise in the request rate of the first workspace.
#[derive(Clone, Debug)]
pub struct Surge {
    /// The period of the surge.
    pub when: Range<Duration>,
    /// Factor on the request rate of the workspace.
    pub factor: f64,
}

/// A chat that continues.
struct Chat {
    key: u64,
    tokens: u32,
    turns: u32,
}

/// Returns the requests of one run in the order of time, with a surge of the
/// first workspace.
pub fn generate(
    deployment: &Deployment,
    rng: &mut StdRng,
    end: Duration,
    surge: &Surge,
) -> Vec<Request> {
    let mut chats = Chats::new(deployment, rng);
    let mut requests = Vec::new();
    let base_rate = deployment.chat_rate + deployment.lookup_rate + deployment.booking_rate;
    let mut at = Duration::ZERO;
    while at < end {
        let factor = match surge.when.contains(&at) {
            true => surge.factor,
            false => 1.0,
        };
        let share = f64::from(deployment::WORKSPACES.first().copied().unwrap_or(0)) / 100.0;
        let rate = base_rate * (1.0 + share * (factor - 1.0));
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        let workspace = pick_workspace(rng, factor);
        let kind = match rng.random::<f64>() * base_rate {
            x if x < deployment.chat_rate => Kind::Chat,
            x if x < deployment.chat_rate + deployment.lookup_rate => Kind::Lookup,
            _ => Kind::Booking,
        };
        requests.push(chats.turn(rng, at, workspace, kind));
    }
    requests
}

/// Picks a workspace by the shares; `factor` multiplies that of the first.
fn pick_workspace(rng: &mut StdRng, factor: f64) -> usize {
    let share = |(workspace, percent): (usize, &u32)| match workspace {
        0 => f64::from(*percent) * factor,
        _ => f64::from(*percent),
    };
    let shares: Vec<f64> = deployment::WORKSPACES
        .iter()
        .enumerate()
        .map(share)
        .collect();
    let mut remaining = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (workspace, share) in shares.iter().enumerate() {
        remaining -= share;
        if remaining <= 0.0 {
            return workspace;
        }
    }
    0
}

/// The concurrent chats of each workspace.
struct Chats {
    open: Vec<(ident::Workspace, Vec<Chat>)>,
    prompt: (u32, u32),
    opened: u64,
}

impl Chats {
    fn new(deployment: &Deployment, rng: &mut StdRng) -> Self {
        let mut chats = Self {
            open: Vec::new(),
            prompt: deployment.prompt,
            opened: 0,
        };
        for (number, percent) in deployment::WORKSPACES.iter().enumerate() {
            let name = ident::Workspace::from(format!("workspace-{number}").as_str());
            let count = (deployment.chats * percent).div_ceil(100);
            let open = (0..count).map(|_| chats.open_chat(rng, &name)).collect();
            chats.open.push((name, open));
        }
        chats
    }

    fn open_chat(&mut self, rng: &mut StdRng, workspace: &ident::Workspace) -> Chat {
        self.opened += 1;
        let name = ident::Chat::from(self.opened.to_string().as_str());
        Chat {
            key: rank::key(workspace, &name),
            tokens: rng.random_range(self.prompt.0..self.prompt.1),
            turns: 0,
        }
    }

    fn turn(&mut self, rng: &mut StdRng, at: Duration, workspace: usize, kind: Kind) -> Request {
        let open = self.open.get(workspace);
        let (name, count) = open.map_or(("".into(), 1), |it| (it.0.clone(), it.1.len()));
        let index = rng.random_range(0..count.max(1));
        if kind == Kind::Chat && rng.random_bool(CHAT_END_PROBABILITY) {
            let new = self.open_chat(rng, &name);
            if let Some(chat) = self
                .open
                .get_mut(workspace)
                .and_then(|it| it.1.get_mut(index))
            {
                *chat = new;
            }
        }
        let new_tokens = rng.random_range(TURN_TOKENS);
        let output = rng.random_range(TURN_TOKENS);
        let mut request = Request {
            at,
            workspace: name,
            key: rng.random(),
            kind,
            history: 0,
            prompt: 0,
            output: 0,
        };
        let chat = self
            .open
            .get_mut(workspace)
            .and_then(|it| it.1.get_mut(index));
        if let Some(chat) = chat.filter(|_| kind == Kind::Chat) {
            request.key = chat.key;
            request.history = if chat.turns == 0 { 0 } else { chat.tokens };
            request.prompt = chat.tokens + new_tokens;
            request.output = output;
            chat.tokens = request.prompt + output;
            chat.turns += 1;
        }
        request
    }
}
