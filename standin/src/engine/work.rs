//! Execution of chats at an engine: the crash under overload while cold, the
//! wait for a slot, prefill with the prefix cache, and the start of the answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::Handle;
use super::Options;
use super::cache::Cache;
use super::chat;
use super::chat::Usage;
use super::job;
use super::job::Job;
use super::load::Load;
use super::load::Samples;
use crate::answer;
use crate::fault::Reachability;
use crate::journal::Running;
use crate::server::reply;
use crate::server::reply::Body;
use crate::sync::lock;
use crate::time::sleep;

/// Number of tokens that `Options::prefill_per_1k` refers to.
const PREFILL_UNIT_TOKENS: u64 = 1_000;

/// Progress of an engine's warm-up.
#[derive(Debug, Default)]
pub struct Warmup {
    answers: AtomicU32,
    is_cache_stale: AtomicBool,
}

impl Warmup {
    /// Makes the engine cold; its cache is cleared at the next prefill.
    pub fn restart_cold(&self) {
        self.answers.store(0, Ordering::Release);
        self.is_cache_stale.store(true, Ordering::Release);
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    handle: Handle,
    slots: Arc<Semaphore>,
    /// Number of requests that are running or waiting.
    load: AtomicU32,
    cache: Mutex<Cache>,
    samples: Mutex<Samples>,
}

impl Engine {
    /// Returns a cold engine.
    pub fn new(options: Options, handle: Handle) -> Self {
        let slots = usize::try_from(options.slots).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            slots: Arc::new(Semaphore::new(slots)),
            load: AtomicU32::new(0),
            cache: Mutex::new(Cache::new(options.cache_tokens)),
            samples: Mutex::default(),
            options,
            handle,
        }
    }

    /// Returns the options of the engine.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Makes the engine cold, with an empty prefix cache.
    pub fn restart_cold(&self) {
        self.handle.warmup.restart_cold();
    }

    /// Returns the load as it was `Options::load_lag` ago.
    pub fn reported_load(&self) -> Load {
        lock(&self.samples).report()
    }

    /// Records a sample of the load.
    pub fn sample(&self, now: Instant) {
        let total = self.load.load(Ordering::Acquire);
        let running = total.min(self.options.slots);
        let load = Load {
            running: u64::from(running),
            queued: u64::from(total - running),
        };
        lock(&self.samples).push(now, load, self.options.load_lag);
    }

    /// Completes a chat. Responds with status 400 if the body can't be decoded and
    /// 404 if the engine doesn't serve the model; an overload crashes the engine.
    pub async fn complete(self: Arc<Self>, body: Bytes, running: Running) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<chat::Request>(&body) else {
            running.done();
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        if request.model != self.options.model {
            running.done();
            return reply::empty(StatusCode::NOT_FOUND);
        }
        let load = InFlight::new(&self);
        if self.overloaded() {
            return self.crash().await;
        }
        let Ok(permit) = Arc::clone(&self.slots).acquire_owned().await else {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        let usage = self.prefill(&request, &body).await;
        let job = Job {
            request,
            body,
            usage,
            running,
            load,
            permit,
        };
        match job.request.stream {
            true => job.stream(),
            false => job.complete().await,
        }
    }

    /// Returns how many requests the engine can take at a time: its cold slots
    /// at first, then more with each answer. Returns `None` once it is warm, as
    /// any number can wait then.
    fn capacity(&self) -> Option<u32> {
        let answers = self.handle.warmup.answers.load(Ordering::Acquire);
        let Options {
            slots,
            cold_slots,
            warm_after,
            ..
        } = &self.options;
        let growth = slots.saturating_sub(*cold_slots).saturating_mul(answers);
        match answers < *warm_after {
            true => Some(cold_slots + growth / warm_after),
            false => None,
        }
    }

    fn overloaded(&self) -> bool {
        let load = self.load.load(Ordering::Acquire);
        self.capacity().is_some_and(|capacity| load > capacity)
    }

    /// Crashes the engine: all connections close, and it is down for a while.
    async fn crash(&self) -> Response<Body> {
        self.handle.shared.journal.record_overload();
        self.handle.warmup.restart_cold();
        let fault = &self.handle.shared.fault;
        fault.limit(Reachability::Down, self.options.crash_downtime);
        std::future::pending().await
    }

    async fn prefill(&self, request: &chat::Request, body: &[u8]) -> Usage {
        if self
            .handle
            .warmup
            .is_cache_stale
            .swap(false, Ordering::AcqRel)
        {
            lock(&self.cache).clear();
        }
        let prompt_tokens = request.messages.iter().map(chat::Message::tokens).sum();
        let cached_tokens = lock(&self.cache).cached_tokens(&request.messages);
        let journal = &self.handle.shared.journal;
        journal.record_prompt(prompt_tokens, cached_tokens);
        sleep(self.prefill_time(prompt_tokens - cached_tokens)).await;
        Usage {
            prompt_tokens,
            completion_tokens: u64::try_from(answer::words(body).len()).unwrap_or(0),
            cached_tokens,
        }
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.options.prefill_per_1k * tokens
            / u32::try_from(PREFILL_UNIT_TOKENS).unwrap_or(u32::MAX)
    }

    /// Records an answer: caches the chat with it and advances the warm-up.
    pub fn finish(&self, request: &chat::Request, text: String) {
        let mut messages = request.messages.clone();
        messages.push(job::assistant(text));
        lock(&self.cache).insert(&messages);
        self.handle.warmup.answers.fetch_add(1, Ordering::AcqRel);
    }
}

/// Counts one request in the load of an engine until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Engine>);

impl InFlight {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.load.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(engine))
    }

    /// Returns the engine.
    pub fn engine(&self) -> &Engine {
        &self.0
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, Ordering::AcqRel);
    }
}
