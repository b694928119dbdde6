//! The policy that picks an upstream for a request.
//!
//! It is a pure function of the candidates and a random draw. Hosts with the same
//! knowledge choose the same upstream for a prompt that none holds; where they may
//! overload an upstream before they know of each other's requests, they [`spread`] them.
//! [`crate::gateway::selection`] gathers the candidates.

use crate::gateway::health::Status;
use crate::gateway::spread;
use crate::ident;
use crate::policy::rank;

/// The load below which an engine may get a request: a multiple of the mean load of
/// all engines plus a margin.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Cap {
    /// Multiple of the mean load.
    multiple: f64,
    /// Requests on top of that, for times of low traffic when the mean is small.
    margin: f64,
}

impl Cap {
    /// Returns the load below which an upstream may get a request.
    fn limit(self, mean: f64) -> f64 {
        mean * self.multiple + self.margin
    }

    /// Returns whether an upstream is below the cap.
    fn allows(self, mean: f64, it: &Candidate<'_>) -> bool {
        f64::from(it.load) < self.limit(mean)
    }
}

/// Caps for engines that hold the prompt, each with the shortest prompt in tokens
/// that it applies to, longest first.
///
/// Users allow twice the mean load plus three requests. When much of the traffic
/// shares one prompt, long prompts, which are expensive to prefill again, stay
/// where they are, and short ones move to other engines to make room.
const HOLDER_CAPS: [(u64, Cap); 3] = [
    (4_096, cap(2.0, 2.5)),
    (1_024, cap(1.8, 2.0)),
    (0, cap(1.5, 1.5)),
];

/// Cap for engines that don't hold the prompt.
const NON_HOLDER_CAP: Cap = cap(1.4, 1.5);

/// Prompts shorter than this, in tokens, stay in the caller's zone: one copy per
/// zone costs less than traffic between zones, and requests that run in the zone
/// survive a network partition between zones.
const LOCAL_PROMPT_TOKENS: u64 = 1_024;

/// Length from which on a prompt that no engine holds prefers those with few running streams, in
/// tokens. Shorter ones are read within 50 ms.
const LONG_PROMPT_TOKENS: u64 = 4_096;

/// Limit on the load of a plain upstream, in requests per slot. Above one, as a
/// request queued there starts sooner than one queued here, and counts of other
/// hosts are older than a request takes.
const SLOT_LIMIT: u32 = 3;

/// What an upstream costs that fails all requests, in requests per slot.
const FAILURE_COST: f64 = 2.0;

/// More than any plain upstream that may get requests costs, in requests per slot.
const MAX_COST: f64 = SLOT_LIMIT as f64 + FAILURE_COST;

/// Requests per slot up to which an engine gets some when all are above their caps. What it queues
/// beyond its slots is served late, and is still there when an overload is over: at two requests
/// per slot, streams that began during a burst delayed new ones for four seconds after it.
const ENGINE_SLOT_LIMIT: f64 = 1.25;

/// Load of a plain upstream, in requests per slot, below which upstreams of the
/// caller's zone are preferred.
const LOCAL_SLOT_LIMIT: f64 = 0.7;

/// Slowdown from which on an engine that holds a prompt is compared with a copy of the prompt, and
/// that moves new prompts to other engines. Hosts that know smaller slowdowns at different times
/// would choose different engines for a prompt.
const MIN_SLOWDOWN: f64 = 1.5;

/// What an idle plain upstream costs that is twice as slow as usual, in requests per slot. With
/// twice as much, a service whose slots are all needed leaves the slow ones idle too long.
const IDLE_COST: f64 = 0.25;

/// The same for an engine. Its loads are lower, as a stream takes longer with each other one.
const IDLE_ENGINE_COST: f64 = 0.125;

/// Share of its slots at which an upstream whose limit is lowered queues no requests.
const MIN_QUEUE_SHARE: f64 = 0.5;

/// Time to the first event of a stream at an idle engine that holds the prompt, in milliseconds: 12
/// tokens of 2.77 ms, and some 1,300 tokens that the prompt has of its own.
const FIRST_EVENT_MS: f64 = 48.0;

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 85.2;

/// Time to copy a token from another engine, as a multiple of the time to read it. An assumption:
/// the platform states no figure.
const COPY_COST: f64 = 0.25;

/// Part of the expected time at an engine that holds the prompt within which a copy must bring the
/// first event, so that prompts aren't copied for small gains.
const COPY_GAIN: f64 = 0.75;

/// An upstream that may run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a ident::Upstream,
    /// Requests of all hosts in flight there, as far as this host knows.
    pub load: u32,
    /// Those of other hosts that have probably ended, and been replaced by others that this host
    /// doesn't know of.
    pub unseen: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that it handles well at the same time. Its slots bound them.
    pub concurrency: f64,
    /// How many times as long as usual work takes there now.
    pub slowdown: f64,
    /// Whether it states its load in responses, so that its load is known to the moment.
    pub states_load: bool,
    /// Whether it is in this host's zone.
    pub is_local: bool,
    /// Whether it may get requests.
    pub status: Status,
    /// Moving average of its failures, from 0 (none) to 1 (all requests failed).
    pub failure_rate: f64,
    /// Requests that this host may still start there in the current window; `None`
    /// unless the upstream is cold.
    pub cold_quota: Option<usize>,
    /// Requests that this host may still send there now; `None` unless the upstream has named
    /// a limit.
    pub limit_quota: Option<usize>,
    /// Requests that this host may have more in flight there; `None` unless the upstream fails
    /// when it has to turn requests away.
    pub room: Option<u32>,
    /// Whether this request was sent there before.
    pub is_tried: bool,
    /// Whether it holds the whole prompt that the request shares with others.
    pub is_holder: bool,
}

impl Candidate<'_> {
    /// Returns how many requests it handles well at the same time.
    fn limit(&self) -> f64 {
        self.concurrency.min(f64::from(self.slots)).max(1.0)
    }

    /// Returns whether an engine may queue one more request.
    fn has_room_queued(&self) -> bool {
        f64::from(self.load) < f64::from(self.slots) * ENGINE_SLOT_LIMIT
    }

    /// Returns its load as work ahead, up to a cap on its requests. `scale` is the cost of a
    /// request at an upstream as fast as usual, `idle_cost` that of an idle one that is twice as
    /// slow.
    fn work(&self, cap: f64, scale: f64, idle_cost: f64) -> spread::Load {
        let step = scale * self.request_cost();
        let idle = (self.slowdown - 1.0) * idle_cost;
        spread::Load {
            known: f64::from(self.load) * step + idle,
            unseen: self.unseen * step,
            cap: cap * step + idle,
            step,
        }
    }

    /// Returns the cost of a request as a multiple of that at a usual upstream: by the present
    /// slowdown or by the limit, whichever is worse. The limit is lowered because of the slowdown,
    /// so that their product would count it twice.
    fn request_cost(&self) -> f64 {
        self.slowdown
            .max(f64::from(self.slots.max(1)) / self.limit())
    }

    /// Returns the work ahead at an engine, up to a cap on its requests.
    fn engine_work(&self, cap: f64) -> spread::Load {
        self.work(cap, 1.0, IDLE_ENGINE_COST * f64::from(self.slots))
    }

    /// Returns how many times as long as at an idle engine a stream takes to begin.
    fn delay(&self) -> f64 {
        1.0 + f64::from(self.load) / self.limit()
    }

    /// Returns the expected time to the first event in milliseconds, if the engine has to get this
    /// many tokens of the prompt from another one.
    fn first_event_ms(&self, copied: u64) -> f64 {
        let copy = copied as f64 / TOKENS_PER_MS * COPY_COST;
        self.slowdown * (FIRST_EVENT_MS * self.delay() + copy)
    }
}

/// Mean loads of the upstreams of a service, in requests of all hosts in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    /// Of all that are listed, also those of an evacuated zone, since users count them too.
    pub listed: f64,
    /// Of those that are healthy and not cold, also if they can't be chosen: those that leave,
    /// are limited or have another version.
    pub sound: f64,
    /// Of those that aren't down and not cold, also if they fail or lose requests.
    pub reachable: f64,
}

/// A listed upstream of a service, whether or not it can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Requests of all hosts in flight there.
    pub load: u32,
    /// Whether it may get requests, by its results.
    pub status: Status,
    /// Whether it is cold.
    pub is_cold: bool,
}

impl Mean {
    /// Returns the mean loads of a service's upstreams.
    pub fn of(members: &[Member]) -> Self {
        let mean = |loads: &mut dyn Iterator<Item = u32>| {
            let (total, count) = loads.fold((0_u64, 0_u32), |(total, count), load| {
                (total + u64::from(load), count + 1)
            });
            total as f64 / f64::from(count.max(1))
        };
        let is_sound = |it: &&Member| it.status == Status::Healthy && !it.is_cold;
        let is_reachable = |it: &&Member| it.status != Status::Down && !it.is_cold;
        Self {
            listed: mean(&mut members.iter().map(|it| it.load)),
            reachable: mean(&mut members.iter().filter(is_reachable).map(|it| it.load)),
            sound: mean(&mut members.iter().filter(is_sound).map(|it| it.load)),
        }
    }
}

/// Limit on the load of an upstream when all that can be chosen are above their caps. Users
/// allow twice the mean load plus three requests, also if few can be chosen.
const FALLBACK_CAP: Cap = cap(2.0, 2.5);

const fn cap(multiple: f64, margin: f64) -> Cap {
    Cap { multiple, margin }
}

/// The prompt prefix that a request shares with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of its segments.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// An engine that holds more of a request's prompt than the one that runs the
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Whether it may get requests.
    pub status: Status,
    /// Whether it is shutting down.
    pub is_draining: bool,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the candidate at this index.
    Send(usize),
    /// Wait until an upstream has a free slot or becomes usable.
    Wait,
    /// No upstream runs the service.
    NoUpstream,
}

/// Number of standard deviations of the unseen requests at an engine that are kept free below the
/// load that users allow.
const UNSEEN_DEVIATIONS: f64 = 1.5;

/// An engine that may get a request, with its index among the candidates.
type Indexed<'a, 'b> = (usize, &'b Candidate<'a>);

/// Chooses an engine for a request that shares a prompt prefix with others.
///
/// Of the engines below their caps, it takes one that holds the prefix, the caller's zone
/// first and the least loaded if counts are recent, or else the first in the prefix's
/// rendezvous order. If all are above their caps, it takes one of the least loaded, up to
/// [`ENGINE_SLOT_LIMIT`] and the load that users allow. Unless `may_probe`, an upstream that is
/// due for a probe is used only if no healthy one remains. `draw` is uniform in 0..1.
pub fn engine(
    prompt: Prompt,
    mean: Mean,
    candidates: &[Candidate<'_>],
    may_probe: bool,
    draw: f64,
) -> Choice {
    let eligible = match eligible(candidates, may_probe) {
        Ok(eligible) => eligible,
        Err(choice) => return choice,
    };
    let may_send = |it: &Candidate<'_>| it.has_room_queued() && may_exceed(mean, it);
    let allowed: Vec<Indexed<'_, '_>> = eligible
        .iter()
        .filter(|(_, it)| may_send(it))
        .copied()
        .collect();
    let tier = HOLDER_CAPS
        .iter()
        .find(|(tokens, _)| prompt.tokens >= *tokens);
    let holder_cap = tier.map_or(NON_HOLDER_CAP, |(_, cap)| *cap);
    let holders: Vec<_> = allowed
        .iter()
        .filter(|(_, it)| it.is_holder)
        .copied()
        .collect();
    let holders = without_slow(prompt, mean, holders, &allowed);
    let is_held = eligible.iter().any(|(_, it)| it.is_holder);
    let overflow = match is_held {
        true => spread::overflow(&loads(mean, holder_cap, &holders)),
        false => 0.0,
    };
    let holding = |is_local: bool, draw: f64| {
        let pool = in_zone(is_local, &holders);
        let chosen = spread::choose(&loads(mean, holder_cap, &pool), draw);
        chosen.and_then(|at| pool.get(at).map(|(index, _)| *index).ok_or(draw))
    };
    let ranked = |is_local: bool, draw: f64| {
        let pool = in_zone(is_local, &allowed);
        first_ranked(prompt, mean, pool, overflow, draw)
    };
    let is_local = true;
    let chosen = match prompt.tokens < LOCAL_PROMPT_TOKENS {
        true => holding(is_local, draw)
            .or_else(|draw| ranked(is_local, draw))
            .or_else(|draw| holding(!is_local, draw)),
        // Another copy of a prompt that overflows its holders goes to each zone, where its load
        // is known sooner.
        false if is_held => holding(is_local, draw)
            .or_else(|draw| holding(!is_local, draw))
            .or_else(|draw| ranked(is_local, draw)),
        false => Err(draw),
    };
    let chosen = chosen
        .or_else(|draw| ranked(!is_local, draw))
        .or_else(|draw| queued(&allowed, draw));
    match chosen {
        Ok(index) => Choice::Send(index),
        Err(_) => Choice::Wait,
    }
}

/// Returns the engines that hold a prompt without those that are so slow that a copy of it at
/// another engine is expected to bring the first event sooner.
fn without_slow<'a, 'b>(
    prompt: Prompt,
    mean: Mean,
    mut holders: Vec<Indexed<'a, 'b>>,
    allowed: &[Indexed<'a, 'b>],
) -> Vec<Indexed<'a, 'b>> {
    let is_slow = |(_, it): &Indexed<'_, '_>| it.slowdown >= MIN_SLOWDOWN;
    if !holders.iter().any(is_slow) {
        return holders;
    }
    let is_near = prompt.tokens < LOCAL_PROMPT_TOKENS;
    let others = in_zone(is_near, allowed).into_iter();
    let others = others.filter(|(_, it)| !it.is_holder && NON_HOLDER_CAP.allows(mean.listed, it));
    let copies = others.map(|(_, it)| it.first_event_ms(prompt.tokens));
    let copy = copies.fold(f64::INFINITY, f64::min);
    holders.retain(|it| !is_slow(it) || it.1.first_event_ms(0) * COPY_GAIN <= copy);
    holders
}

/// Chooses an engine when all are above their caps: one of the least loaded, up to
/// [`ENGINE_SLOT_LIMIT`].
fn queued(pool: &[Indexed<'_, '_>], draw: f64) -> Result<usize, f64> {
    let loads = pool
        .iter()
        .map(|(_, it)| it.engine_work(it.limit() * ENGINE_SLOT_LIMIT));
    let at = spread::choose(&loads.collect::<Vec<_>>(), draw)?;
    pool.get(at).map(|(index, _)| *index).ok_or(draw)
}

/// Returns the engines of the caller's zone, or all.
fn in_zone<'a, 'b>(is_local: bool, pool: &[Indexed<'a, 'b>]) -> Vec<Indexed<'a, 'b>> {
    let pool = pool.iter().filter(|(_, it)| !is_local || it.is_local);
    pool.copied().collect()
}

/// Returns the loads of engines, with caps that leave room for what is unseen.
fn loads(mean: Mean, cap: Cap, pool: &[Indexed<'_, '_>]) -> Vec<spread::Load> {
    let load = |it: &Candidate<'_>| {
        let margin = UNSEEN_DEVIATIONS * it.unseen.sqrt();
        let limit = cap
            .limit(mean.listed)
            .min(FALLBACK_CAP.limit(mean.listed) - margin);
        // The last request below the limit is allowed.
        it.engine_work(limit.ceil().min(it.limit().ceil()))
    };
    pool.iter().map(|(_, it)| load(it)).collect()
}

/// Chooses an engine that doesn't hold a prompt: the first in the prompt's rendezvous order, or one
/// of as many as `overflow` requests for it need. Fails with a draw if none is below its cap.
fn first_ranked(
    prompt: Prompt,
    mean: Mean,
    pool: Vec<Indexed<'_, '_>>,
    overflow: f64,
    draw: f64,
) -> Result<usize, f64> {
    let rooms = loads(mean, NON_HOLDER_CAP, &pool);
    // A long prompt delays all streams of its engine while it is read.
    let avoids_streams =
        prompt.tokens >= LONG_PROMPT_TOKENS && pool.iter().any(|(_, it)| it.states_load);
    let weight = |it: &Candidate<'_>| {
        let speed = match it.slowdown >= MIN_SLOWDOWN {
            true => it.slowdown.powi(-2),
            false => 1.0,
        };
        match avoids_streams {
            true => speed / it.delay(),
            false => speed,
        }
    };
    let free = pool.into_iter().zip(rooms);
    let free = free.filter(|(_, load)| load.room() > 0.0);
    let mut ranked: Vec<_> = free
        .map(|((index, it), load)| (rank::score(prompt.key, it.id, weight(it)), index, load))
        .collect();
    ranked.sort_unstable_by(|(a, _, _), (b, _, _)| b.total_cmp(a));
    let mut left = overflow;
    let needed = ranked.iter().take_while(|(_, _, load)| {
        let is_needed = left > 0.0;
        left -= load.room();
        is_needed
    });
    let needed = needed.count().max(1);
    let rooms = ranked.iter().take(needed).map(|(_, _, load)| *load);
    let at = spread::choose(&rooms.collect::<Vec<_>>(), draw).or_else(|draw| {
        let count = needed.min(ranked.len());
        let at = (draw * count as f64) as usize;
        (at < count).then_some(at).ok_or(draw)
    })?;
    ranked.get(at).map(|(_, index, _)| *index).ok_or(draw)
}

/// Chooses the engine that a prompt is copied from.
///
/// Prefers an engine that is shutting down, as its prompts are lost with it, then a
/// healthy one. A suspect engine is used too: one that a burst made slow still
/// holds its prompts, and a copy takes little of its time.
pub fn holder(holders: &[Holder]) -> Option<usize> {
    let reachable = holders.iter().enumerate();
    let reachable = reachable.filter(|(_, it)| it.status != Status::Down);
    let best = reachable.max_by_key(|(_, it)| (it.is_draining, it.status == Status::Healthy));
    best.map(|(index, _)| index)
}

/// Chooses a plain upstream: one with the least load relative to what it can take at present,
/// preferring the caller's zone while it has spare capacity.
///
/// `draw` is uniform in 0..1. Unless `may_probe`, an upstream that is due for a probe is used
/// only if no healthy one remains.
pub fn plain(draw: f64, mean: Mean, candidates: &[Candidate<'_>], may_probe: bool) -> Choice {
    let eligible = match eligible(candidates, may_probe) {
        Ok(eligible) => eligible,
        Err(choice) => return choice,
    };
    let may_send =
        |it: &Candidate<'_>| it.load < it.slots.saturating_mul(SLOT_LIMIT) && may_exceed(mean, it);
    let allowed: Vec<_> = eligible.iter().filter(|(_, it)| may_send(it)).collect();
    let choose = |is_local: bool, limit: f64, draw: f64| {
        let pool = allowed.iter().filter(|(_, it)| !is_local || it.is_local);
        let pool: Vec<_> = pool.collect();
        let loads = pool.iter().map(|(_, it)| {
            let load = it.work(
                plain_cap(limit, is_local, it),
                1.0 / f64::from(it.slots.max(1)),
                IDLE_COST,
            );
            spread::Load {
                known: load.known + it.failure_rate * FAILURE_COST,
                ..load
            }
        });
        let chosen = spread::choose(&loads.collect::<Vec<_>>(), draw);
        chosen.and_then(|at| pool.get(at).map(|(index, _)| *index).ok_or(draw))
    };
    let chosen = choose(true, LOCAL_SLOT_LIMIT, draw);
    match chosen.or_else(|draw| choose(false, MAX_COST, draw)) {
        Ok(index) => Choice::Send(index),
        Err(_) => Choice::Wait,
    }
}

/// Returns the requests up to which a plain upstream gets some. An upstream of the caller's zone that
/// is slow is preferred only while that costs less than `limit`, in requests per slot. One whose
/// limit is lowered queues fewer requests: they wait here instead, where another upstream may take
/// them.
fn plain_cap(limit: f64, is_local: bool, it: &Candidate<'_>) -> f64 {
    let idle = match is_local {
        true => (it.slowdown - 1.0) * IDLE_COST,
        false => 0.0,
    };
    let slots = f64::from(it.slots.max(1));
    let share = it.limit() / slots;
    let queue = ((share - MIN_QUEUE_SHARE) / (1.0 - MIN_QUEUE_SHARE)).clamp(0.0, 1.0);
    let most = 1.0 + (MAX_COST - 1.0) * queue;
    // A low limit is soon exceeded by late counts of requests that have ended.
    let late = it.unseen * (1.0 - queue);
    // The last request below the limit is allowed.
    let cap = ((limit - idle) / it.request_cost() * slots).min(most * it.limit() + late);
    cap.ceil()
}

/// Returns whether an upstream above its cap may get a request: not if few can be chosen and it
/// would get much more than the others. One that fails is used only where all do, and is compared
/// with those: sound upstreams look like that too, after a cut or a moment of silence.
fn may_exceed(mean: Mean, it: &Candidate<'_>) -> bool {
    match it.status {
        Status::Healthy => FALLBACK_CAP.allows(mean.sound, it),
        Status::Suspect | Status::Probe | Status::Down => FALLBACK_CAP.allows(mean.reachable, it),
    }
}

/// Returns the candidates that may get the request now, with their indices.
///
/// A suspect upstream, or one that the request was sent to before, is used only if
/// there is no better one. Fails with [`Choice::NoUpstream`] if there are no
/// candidates and with [`Choice::Wait`] if none of them may get the request.
fn eligible<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    may_probe: bool,
) -> Result<Vec<(usize, &'b Candidate<'a>)>, Choice> {
    if candidates.is_empty() {
        return Err(Choice::NoUpstream);
    }
    let has_quota = |it: &Candidate<'_>| {
        it.cold_quota != Some(0) && it.limit_quota != Some(0) && it.room != Some(0)
    };
    let is_usable = |it: &Candidate<'_>| match it.status {
        Status::Healthy => true,
        Status::Probe => may_probe,
        Status::Suspect | Status::Down => false,
    };
    let tiers: [&dyn Fn(&Candidate<'_>) -> bool; 5] = [
        &|it| is_usable(it) && !it.is_tried,
        &is_usable,
        &|it| it.status == Status::Probe,
        &|it| it.status == Status::Suspect && !it.is_tried,
        &|it| it.status == Status::Suspect,
    ];
    let mut pools = tiers.iter().map(|fits| {
        let all = candidates.iter().enumerate();
        all.filter(|(_, it)| has_quota(it) && fits(it)).collect()
    });
    let pool = pools.find(|pool: &Vec<_>| !pool.is_empty());
    pool.ok_or(Choice::Wait)
}
