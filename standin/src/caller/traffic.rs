//! Mixed traffic: chats that return, gate lookups and purchases.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use masticmoor::class::Class;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Options;
use super::call::Ask;
use super::call::Call;
use super::call::Chat;
use super::completion::Ending;
use super::completion::Verdict;
use super::mix::Kind;
use super::mix::Mix;
use crate::answer;
use crate::engine::chat::Message;
use crate::sync::lock;

/// How many chats pause at a time.
const PAUSED_CHATS: usize = 256;
/// How many messages a chat has before it ends.
const MOST_MESSAGES: usize = 16;
/// How many seats there are.
const SEATS: u64 = 20_000;
/// How many words the first message of a chat has.
const FIRST_WORDS: u32 = 200;
/// How many words each later message has.
const NEXT_WORDS: u32 = 12;
/// How many classes of chats are drawn from, of which one is batch.
const CLASSES: u32 = 5;

/// The calls to come.
#[derive(Debug)]
pub struct Traffic {
    mix: Mix,
    model: String,
    workspaces: Vec<String>,
    run: String,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    count: u64,
    paused: VecDeque<Chat>,
}

impl Traffic {
    /// Returns the traffic that the options describe.
    pub fn new(options: &Options) -> Self {
        // Two runs with one seed must not share names of chats and purchases.
        let run: u32 = rand::rng().random();
        Self {
            mix: options.mix.clone(),
            model: options.model.clone(),
            workspaces: options.workspaces.clone(),
            run: format!("{run:08x}"),
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

    /// Lets a chat return later, if it was answered.
    pub fn ended(&self, call: Call, ending: &Ending) {
        let text = answer::text(&call.body);
        match call.ask {
            Ask::Chat(chat) if ending.verdict == Verdict::Answered => self.pause(chat, text),
            _ => (),
        }
    }

    fn pause(&self, mut chat: Chat, text: String) {
        chat.messages.push(message("assistant", text));
        let mut state = self.lock();
        if chat.messages.len() < MOST_MESSAGES {
            state.paused.push_back(chat);
        }
    }

    /// Returns a chat with a new message: one that returns, or a new one.
    fn chat(&self, state: &mut State) -> Chat {
        let full = state.paused.len() >= PAUSED_CHATS;
        let returns = full || state.rng.random_ratio(1, 2);
        let returning = match returns {
            true => state.paused.pop_front(),
            false => None,
        };
        match returning {
            Some(mut chat) => {
                chat.messages.push(message("user", state.words(NEXT_WORDS)));
                chat
            }
            None => self.new_chat(state),
        }
    }

    fn new_chat(&self, state: &mut State) -> Chat {
        let class = match state.rng.random_range(0..CLASSES) {
            0 => Class::Batch,
            _ => Class::Interactive,
        };
        Chat {
            name: format!("{}-{}", self.run, state.count),
            workspace: self.workspace(state),
            class,
            messages: vec![message("user", state.words(FIRST_WORDS))],
        }
    }

    fn purchase(&self, state: &mut State) -> answer::Purchase {
        answer::Purchase {
            id: format!("{}-{}", self.run, state.count),
            seat: state.seat(),
            buyer: "parent".to_owned(),
        }
    }

    fn workspace(&self, state: &State) -> String {
        let count = usize::try_from(state.count).unwrap_or(0);
        let at = count.checked_rem(self.workspaces.len()).unwrap_or(0);
        self.workspaces.get(at).cloned().unwrap_or_default()
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
