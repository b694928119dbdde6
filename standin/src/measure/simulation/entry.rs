//! One entry host: the rules that it knows, recent failures, and its retry
//! budget.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use masticmoor::ident;
use masticmoor::policy::choose;
use masticmoor::policy::eligible;
use masticmoor::policy::load;
use masticmoor::policy::retry;
use masticmoor::register::Register;
use masticmoor::rules::Rules;
use tokio::time::Instant;

use crate::measure::trace::Request;

/// How long an upstream is excluded after a failure.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(5);

/// Retries as a fraction of new requests.
const RETRY_FRACTION: f64 = 0.2;

/// Maximum burst of retries.
const RETRY_BURST: u32 = 50;

/// An entry host.
pub struct Entry {
    pub zone: ident::Zone,
    pub alive: bool,
    pub budget: retry::Budget,
    index: Rc<eligible::Index>,
    failed: BTreeMap<ident::Upstream, Instant>,
}

/// Returns the entry hosts of a register.
pub fn all(register: &Register) -> BTreeMap<ident::Host, Entry> {
    let index = Rc::new(eligible::Index::new(register, &Rules::default()));
    let hosts = register.hosts.iter();
    let entry = |zone: &ident::Zone| Entry::new(zone.clone(), index.clone());
    hosts
        .map(|(name, spec)| (name.clone(), entry(&spec.zone)))
        .collect()
}

impl Entry {
    fn new(zone: ident::Zone, index: Rc<eligible::Index>) -> Self {
        Self {
            zone,
            alive: true,
            budget: retry::Budget::new(RETRY_FRACTION, RETRY_BURST),
            index,
            failed: BTreeMap::new(),
        }
    }

    /// Applies new rules.
    pub fn apply_rules(&mut self, register: &Register, rules: &Rules) {
        self.index = Rc::new(eligible::Index::new(register, rules));
    }

    /// Restarts the host: clears its failures and its retry budget, keeps its rules.
    pub fn restart(&mut self) {
        *self = Self::new(self.zone.clone(), self.index.clone());
    }

    /// Excludes an upstream for `FAILURE_COOLDOWN`.
    pub fn record_failure(&mut self, now: Instant, upstream: &ident::Upstream) {
        self.failed.insert(upstream.clone(), now + FAILURE_COOLDOWN);
    }

    /// Returns the upstreams to try in order, as the project's own policy selects
    /// them.
    pub fn order(
        &self,
        now: Instant,
        request: &Request,
        load: impl Fn(&ident::Upstream) -> Option<load::Report>,
    ) -> Vec<ident::Upstream> {
        let query = choose::Query {
            key: request.key,
            load,
            failed: |it: &ident::Upstream| self.has_failed(now, it),
        };
        let pool = request.pool();
        let tiers = self.index.tiers(&pool, &self.zone);
        let chosen = choose::choose(choose::Limits::default(), tiers, &query);
        chosen.into_iter().cloned().collect()
    }

    /// Returns all upstreams, in any zone, that can take the request by the rules
    /// and failures that this host knows.
    pub fn eligible(&self, now: Instant, request: &Request) -> Vec<&ident::Upstream> {
        let pool = request.pool();
        let tiers = self.index.tiers(&pool, &self.zone).flatten();
        let upstreams = tiers.map(|it| &it.upstream);
        upstreams.filter(|it| !self.has_failed(now, it)).collect()
    }

    fn has_failed(&self, now: Instant, upstream: &ident::Upstream) -> bool {
        self.failed.get(upstream).is_some_and(|until| *until > now)
    }
}
