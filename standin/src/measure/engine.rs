//! Model of an upstream: slots that share its speed, a prefix cache of limited
//! size, and a cold start during which too many requests crash it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::register::upstream::Kind;
use masticmoor::register::upstream::Spec;

use super::trace::Request;

/// Prefill rate of an idle engine.
const PREFILL_TOKENS_PER_SECOND: f64 = 8000.0;

/// Decode rate of an idle engine.
const DECODE_TOKENS_PER_SECOND: f64 = 75.0;

/// Relative slowdown with all slots occupied; proportional below that.
const FULL_LOAD_SLOWDOWN: f64 = 0.6;

/// Factor on all times of a cold upstream.
const COLD_SLOWDOWN: f64 = 2.0;

/// Time of a call at an idle plain service.
const PLAIN_CALL_TIME: Duration = Duration::from_millis(30);

/// Returns the prefill time of this many prompt tokens at an idle engine.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_SECOND)
}

/// Result of starting a request.
#[derive(Clone, Debug)]
pub enum Start {
    /// It runs.
    Running(Run),
    /// The upstream is down.
    Refused,
    /// The upstream crashed, and these requests are lost.
    Crashed(BTreeSet<usize>),
}

/// A running request.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Time from the start to the first byte of the answer.
    pub first_byte: Duration,
    /// Time from the start to the end of the answer.
    pub total: Duration,
    /// Prompt tokens that were cached.
    pub reused: u32,
}

/// A model engine, or an instance of the plain service.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    alive: bool,
    answers: u32,
    running: BTreeSet<usize>,
    cache: Cache,
}

impl Engine {
    /// Returns a warm upstream with an empty cache of `cache` tokens.
    pub fn new(spec: &Spec, cache: u32) -> Self {
        Self {
            spec: spec.clone(),
            alive: true,
            answers: spec.slots,
            running: BTreeSet::new(),
            cache: Cache::new(cache),
        }
    }

    /// Returns whether it is up.
    pub fn is_alive(&self) -> bool {
        self.alive
    }

    /// Returns its entry in the register.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the number of running requests.
    pub fn inflight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many requests it can take: any number when warm, else its cold
    /// slots and one more for each answer since the start.
    pub fn capacity(&self) -> u32 {
        match self.is_warm() {
            true => u32::MAX,
            false => self.spec.cold_slots + self.answers,
        }
    }

    /// Returns the cached tokens of a chat.
    pub fn cached_tokens(&self, key: u64) -> u32 {
        self.cache.tokens(key)
    }

    /// Starts a request; one too many crashes a cold upstream.
    pub fn start(&mut self, id: usize, request: &Request) -> Start {
        if !self.alive {
            return Start::Refused;
        }
        self.running.insert(id);
        match self.inflight() > self.capacity() {
            true => Start::Crashed(self.kill()),
            false => Start::Running(self.run(request)),
        }
    }

    /// Ends a request with an answer, which advances the warm-up.
    pub fn finish(&mut self, id: usize) {
        if self.running.remove(&id) {
            self.answers = self.answers.saturating_add(1);
        }
    }

    /// Stops it, clears its cache and returns the requests that are lost.
    pub fn kill(&mut self) -> BTreeSet<usize> {
        self.alive = false;
        self.cache.clear();
        std::mem::take(&mut self.running)
    }

    /// Starts it again with a cold cache.
    pub fn restart(&mut self) {
        self.alive = true;
        self.answers = 0;
    }

    fn is_warm(&self) -> bool {
        self.answers >= self.spec.slots
    }

    fn run(&mut self, request: &Request) -> Run {
        let utilization = f64::from(self.inflight()) / f64::from(self.spec.slots);
        let cold_slowdown = if self.is_warm() { 1.0 } else { COLD_SLOWDOWN };
        let slowdown = (1.0 + FULL_LOAD_SLOWDOWN * utilization) * cold_slowdown;
        match self.spec.kind {
            Kind::Plain { .. } => {
                let total = PLAIN_CALL_TIME.mul_f64(slowdown);
                Run {
                    first_byte: total,
                    total,
                    reused: 0,
                }
            }
            Kind::Engine { .. } => {
                let reused = self.cache.tokens(request.key).min(request.history);
                self.cache
                    .insert(request.key, request.prompt + request.output);
                let prefill = prefill_time(request.prompt - reused).as_secs_f64();
                let decode = f64::from(request.output) / DECODE_TOKENS_PER_SECOND;
                Run {
                    first_byte: Duration::from_secs_f64(prefill * slowdown),
                    total: Duration::from_secs_f64((prefill + decode) * slowdown),
                    reused,
                }
            }
        }
    }
}

/// Cached prefixes of chats; the least recently used is evicted first.
#[derive(Clone, Debug)]
struct Cache {
    capacity: u32,
    used: u32,
    clock: u64,
    chats: BTreeMap<u64, (u32, u64)>,
    by_age: BTreeMap<u64, u64>,
}

impl Cache {
    fn new(capacity: u32) -> Self {
        Self {
            capacity,
            used: 0,
            clock: 0,
            chats: BTreeMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    fn tokens(&self, key: u64) -> u32 {
        self.chats.get(&key).map_or(0, |it| it.0)
    }

    fn insert(&mut self, key: u64, tokens: u32) {
        self.remove(key);
        self.clock += 1;
        self.used += tokens;
        self.chats.insert(key, (tokens, self.clock));
        self.by_age.insert(self.clock, key);
        while self.used > self.capacity
            && let Some(oldest) = self.by_age.first_key_value().map(|it| *it.1)
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some((tokens, age)) = self.chats.remove(&key) {
            self.by_age.remove(&age);
            self.used -= tokens;
        }
    }

    fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }
}
