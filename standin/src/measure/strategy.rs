//! The ways of choosing an upstream that are measured against each other.

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::ident::Upstream;
use masticmoor::policy::load::Mean;
use masticmoor::policy::rank;
use masticmoor::rules;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use super::engine;
use super::engine::Engine;
use super::trace::Request;

/// A way of choosing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Sees all loads and caches at once.
    Oracle,
    /// The project's own: the entry ranks, the home counts.
    Homed,
    /// The entry chooses by lagged loads and late cache events, without a home.
    Direct,
    /// The least loaded by lagged reports.
    LeastLoaded,
    /// Consistent hashing without a bound.
    Hash,
}

/// What a choice without a home goes by.
pub struct View<'a> {
    /// How long the request has waited.
    pub waited: Duration,
    /// The limits on load.
    pub load: rules::Load,
    /// The upstreams of the pool that are believed eligible.
    pub candidates: Vec<&'a Upstream>,
    /// The upstreams as they are.
    pub engines: &'a BTreeMap<Upstream, Engine>,
    /// Requests in flight as last reported.
    pub reported: &'a BTreeMap<Upstream, u32>,
    /// Where a chat was cached, as last published.
    pub cached_at: &'a BTreeMap<u64, Upstream>,
}

impl View<'_> {
    /// Chooses an upstream; `None` when none may take the request now.
    pub fn select(&self, strategy: Strategy, request: &Request) -> Option<Upstream> {
        let selected = match strategy {
            Strategy::Oracle => self.oracle(request),
            Strategy::Homed => None,
            Strategy::Direct => self.direct(request),
            Strategy::LeastLoaded => self.least_loaded(request),
            Strategy::Hash => self.ranked(request).into_iter().next(),
        };
        selected.cloned()
    }

    /// The longest cached prefix, waiting for it as long as reading the prompt
    /// anew would take, then the least loaded.
    fn oracle(&self, request: &Request) -> Option<&Upstream> {
        let inflight = |upstream: &Upstream| self.engines.get(upstream).map_or(0, Engine::inflight);
        let cap = self.cap(inflight);
        let engines = self.candidates.iter().copied();
        let alive = engines
            .filter_map(|it| Some((it, self.engines.get(it)?)))
            .filter(|(_, engine)| engine.is_alive());
        let (upstream, engine) = alive.max_by_key(|(upstream, engine)| {
            let has_capacity = engine.inflight() < limit(engine, cap);
            let cached = engine.cached_tokens(request.key).min(request.history);
            let reusable = match has_capacity || self.waited < engine::prefill_time(cached) {
                true => cached,
                false => 0,
            };
            let idle = u32::MAX - engine.inflight();
            let score = rank::score(request.key, upstream, 1.0).to_bits();
            (reusable, has_capacity, idle, score)
        })?;
        (engine.inflight() < limit(engine, cap)).then_some(upstream)
    }

    /// Where the chat is cached if that is under the cap, else along its order.
    fn direct(&self, request: &Request) -> Option<&Upstream> {
        let reported = |upstream: &Upstream| self.reported.get(upstream).copied().unwrap_or(0);
        let cap = self.cap(reported);
        let cached_at = self.cached_at.get(&request.key);
        let order = self.ranked(request);
        let cached = order.iter().copied().find(|it| Some(*it) == cached_at);
        cached
            .into_iter()
            .chain(order.iter().copied())
            .find(|it| reported(it) < cap)
            .or_else(|| self.least_loaded(request))
    }

    fn least_loaded(&self, request: &Request) -> Option<&Upstream> {
        let order = self.ranked(request).into_iter();
        order.min_by_key(|it| self.reported.get(*it).copied().unwrap_or(0))
    }

    fn ranked(&self, request: &Request) -> Vec<&Upstream> {
        let candidates = self.candidates.iter().map(|it| (*it, 1.0));
        rank::order(request.key, candidates, self.candidates.len())
    }

    fn cap(&self, inflight: impl Fn(&Upstream) -> u32) -> u32 {
        let loads = self.candidates.iter().map(|it| u64::from(inflight(it)));
        let mean = Mean {
            sum: loads.sum(),
            count: u32::try_from(self.candidates.len()).unwrap_or(u32::MAX),
        };
        mean.times(self.load.multiple).max(self.load.floor)
    }
}

fn limit(engine: &Engine, cap: u32) -> u32 {
    cap.min(engine.spec().slots).min(engine.capacity())
}
