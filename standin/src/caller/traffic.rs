//! Generates mixed traffic: chats of several turns, lookups and purchases.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use masticmoor::class::Class;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Options;
use super::call::Action;
use super::call::Call;
use super::call::Chat;
use super::completion::Completion;
use super::completion::Verdict;
use super::mix::Kind;
use super::mix::Mix;
use crate::answer;
use crate::engine::chat::Message;
use crate::sync::lock;

/// The number of paused chats at which no new chat is started.
const PAUSED_CHATS: usize = 256;
/// The number of messages after which a chat ends.
const MAX_MESSAGES: usize = 16;
/// The number of seats.
const SEATS: u64 = 20_000;
/// The number of words in the first message of a chat.
const FIRST_MESSAGE_WORDS: u32 = 200;
/// The number of words in each later message of the user.
const NEXT_MESSAGE_WORDS: u32 = 12;
/// One in this many new chats is of class batch, the others are interactive.
const BATCH_ONE_IN: u32 = 5;

/// Generates the calls of a run.
#[derive(Debug)]
pub struct Traffic {
    mix: Mix,
    model: String,
    workspaces: Vec<String>,
    run_id: String,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    count: u64,
    paused: VecDeque<Chat>,
}

impl Traffic {
    /// Returns a generator for the given options.
    pub fn new(options: &Options) -> Self {
        // Random, since two runs with the same seed must not share the names
        // of chats and purchases.
        let run_id: u32 = rand::rng().random();
        Self {
            mix: options.mix.clone(),
            model: options.model.clone(),
            workspaces: options.workspaces.clone(),
            run_id: format!("{run_id:08x}"),
            state: Mutex::new(State {
                rng: StdRng::seed_from_u64(options.seed),
                count: 0,
                paused: VecDeque::new(),
            }),
        }
    }

    /// Returns the next call.
    pub fn next(&self) -> Call {
        let mut state = self.lock();
        state.count += 1;
        let kind = self.mix.draw(&mut state.rng);
        match kind {
            Kind::Chat => Call::chat(self.chat(&mut state), &self.model, false),
            Kind::Stream => Call::chat(self.chat(&mut state), &self.model, true),
            Kind::Lookup => Call::lookup(self.workspace(&state), state.seat()),
            Kind::Purchase => {
                let purchase = self.purchase(&mut state);
                Call::purchase(self.workspace(&state), purchase)
            }
        }
    }

    /// Queues an answered chat to be continued later.
    pub fn record_completion(&self, call: Call, result: &Completion) {
        let text = answer::text(&call.body);
        match call.action {
            Action::Chat(chat) if result.verdict == Verdict::Answered => self.pause(chat, text),
            _ => (),
        }
    }

    fn pause(&self, mut chat: Chat, text: String) {
        chat.messages.push(message("assistant", text));
        let mut state = self.lock();
        if chat.messages.len() < MAX_MESSAGES {
            state.paused.push_back(chat);
        }
    }

    /// Continues a paused chat with a new message, or starts a new chat.
    fn chat(&self, state: &mut State) -> Chat {
        let is_full = state.paused.len() >= PAUSED_CHATS;
        let resumes = is_full || state.rng.random_ratio(1, 2);
        let resumed = match resumes {
            true => state.paused.pop_front(),
            false => None,
        };
        match resumed {
            Some(mut chat) => {
                chat.messages
                    .push(message("user", state.words(NEXT_MESSAGE_WORDS)));
                chat
            }
            None => self.new_chat(state),
        }
    }

    fn new_chat(&self, state: &mut State) -> Chat {
        let class = match state.rng.random_range(0..BATCH_ONE_IN) {
            0 => Class::Batch,
            _ => Class::Interactive,
        };
        Chat {
            name: format!("{}-{}", self.run_id, state.count),
            workspace: self.workspace(state),
            class,
            messages: vec![message("user", state.words(FIRST_MESSAGE_WORDS))],
        }
    }

    fn purchase(&self, state: &mut State) -> answer::Purchase {
        answer::Purchase {
            id: format!("{}-{}", self.run_id, state.count),
            seat: state.seat(),
            buyer: "parent".to_owned(),
        }
    }

    fn workspace(&self, state: &State) -> String {
        let count = usize::try_from(state.count).unwrap_or(0);
        let index = count.checked_rem(self.workspaces.len()).unwrap_or(0);
        self.workspaces.get(index).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn seat(&mut self) -> u64 {
        self.rng.random_range(1..=SEATS)
    }

    fn words(&mut self, count: u32) -> String {
        (0..count)
            .map(|_| format!("w{:05} ", self.rng.random_range(0..100_000)))
            .collect()
    }
}

fn message(role: &str, content: String) -> Message {
    Message {
        role: role.to_owned(),
        content,
    }
}
