//! The placement strategies that are compared, and the selection of an upstream
//! by those that work without a home.

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

/// A placement strategy.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Selects by the current loads and caches of all upstreams.
    Oracle,
    /// The project's own: the entry ranks upstreams, their homes admit requests.
    Homed,
    /// The entry selects by delayed load reports and cache events.
    Direct,
    /// The least loaded upstream by delayed reports.
    LeastLoaded,
    /// Rendezvous hashing without a load limit.
    Hash,
}

/// The data from which an upstream is selected without a home.
pub struct View<'a> {
    /// How long the request has waited.
    pub waited: Duration,
    /// The load limits.
    pub load: rules::Load,
    /// The upstreams of the pool that the selecting host considers eligible.
    pub candidates: Vec<&'a Upstream>,
    /// The current state of the upstreams.
    pub engines: &'a BTreeMap<Upstream, Engine>,
    /// Last reported number of requests in flight.
    pub reported: &'a BTreeMap<Upstream, u32>,
    /// Where each chat is cached, by the last cache event.
    pub cached_at: &'a BTreeMap<u64, Upstream>,
}

impl View<'_> {
    /// Selects an upstream, or `None` if none may take the request now.
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

    /// Selects the longest cached prefix, then the least loaded upstream. It waits
    /// for an upstream with the prefix as long as the prefill would take.
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

    /// Selects where the chat is cached or else the first in rank order that is
    /// under the load cap, or the least loaded if none is.
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
