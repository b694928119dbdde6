//! Which upstream runs a request. Pure, and the same at all hosts.

use crate::gateway::health::Use;
use crate::ident;
use crate::policy::rank;

/// The multiple of the mean load up to which an engine gets requests whose prompt
/// it holds. Answers one prompt that much of the traffic shares: users allow
/// twice the mean.
const WARM_MULTIPLE: f64 = 1.9;

/// Requests beyond that multiple that an engine takes in any case. Answers a calm
/// day, on which the mean is a few requests.
const WARM_FLOOR: f64 = 2.0;

/// The same for prompts that the engine doesn't hold: these fill up the others.
const FRESH_MULTIPLE: f64 = 1.25;
const FRESH_FLOOR: f64 = 1.0;

/// Engines in the caller's zone from which on prompts stay in the zone: with
/// fewer, reading each prompt once a zone costs more than bytes between zones.
const NEAR_ENGINES: usize = 16;

/// The part of a plain upstream's slots up to which the caller's zone goes first.
const NEAR_LOAD: f64 = 0.7;

/// An upstream that may run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub id: &'a ident::Upstream,
    /// Requests of all hosts that are under way there, as far as known.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this host's zone.
    pub is_near: bool,
    /// How it may be used.
    pub usage: Use,
    /// How much of its results were losses lately, 0 to 1.
    pub losses: f64,
    /// Starts that this host may still give it now; none if it isn't cold.
    pub cold_room: Option<usize>,
    /// Whether this request was there already.
    pub is_tried: bool,
    /// Whether it holds the prompt that the request shares with others.
    pub is_warm: bool,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the candidate at this index.
    Send(usize),
    /// Wait: an upstream will be free or usable soon.
    Wait,
    /// No upstream serves it.
    Nowhere,
}

/// Chooses an engine for a request whose prompt begins with what `key` names:
/// the least loaded that holds it, or else the first in the prompt's order that
/// isn't overloaded.
pub fn engine(key: u64, candidates: &[Candidate<'_>], may_try: bool) -> Choice {
    let open = match open(candidates, may_try) {
        Ok(open) => open,
        Err(choice) => return choice,
    };
    let near = open.iter().filter(|(_, it)| it.is_near).count();
    let pool: Vec<&(usize, &Candidate<'_>)> = match near >= NEAR_ENGINES {
        true => open.iter().filter(|(_, it)| it.is_near).collect(),
        false => open.iter().collect(),
    };
    let total: u32 = pool.iter().map(|(_, it)| it.load).sum();
    let mean = f64::from(total) / pool.len().max(1) as f64;
    let has_room = |it: &Candidate<'_>, most: f64| f64::from(it.load) < most && it.load < it.slots;
    let warm = pool
        .iter()
        .filter(|(_, it)| it.is_warm && has_room(it, mean * WARM_MULTIPLE + WARM_FLOOR));
    let fresh = pool
        .iter()
        .filter(|(_, it)| has_room(it, mean * FRESH_MULTIPLE + FRESH_FLOOR));
    let best = fresh.max_by(|(_, a), (_, b)| {
        let a = rank::score(key, a.id, 1.0);
        let b = rank::score(key, b.id, 1.0);
        a.total_cmp(&b)
    });
    let least = || open.iter().min_by_key(|(_, it)| it.load);
    let warm = warm.min_by_key(|(_, it)| it.load);
    match warm.or(best).copied().or_else(least) {
        Some((index, it)) if it.load < it.slots.saturating_mul(2) => Choice::Send(*index),
        Some(_) => Choice::Wait,
        None => Choice::Nowhere,
    }
}

/// Chooses a plain upstream: the least loaded, the caller's zone first as long
/// as it is far from full. `draw` is even in 0..1 and breaks ties.
pub fn plain(draw: f64, candidates: &[Candidate<'_>], may_try: bool) -> Choice {
    let open = match open(candidates, may_try) {
        Ok(open) => open,
        Err(choice) => return choice,
    };
    let load = |it: &Candidate<'_>| f64::from(it.load) / f64::from(it.slots.max(1));
    let cost = |it: &Candidate<'_>| load(it) + it.losses * 2.0;
    let count = open.len();
    let skip = (draw * count as f64) as usize;
    let turned = || open.iter().cycle().skip(skip).take(count);
    let least = |(_, a): &&(usize, &Candidate<'_>), (_, b): &&(usize, &Candidate<'_>)| {
        cost(a).total_cmp(&cost(b))
    };
    let near = turned().filter(|(_, it)| it.is_near && cost(it) < NEAR_LOAD);
    match near.min_by(least).or_else(|| turned().min_by(least)) {
        Some((index, it)) if it.load < it.slots => Choice::Send(*index),
        Some(_) => Choice::Wait,
        None => Choice::Nowhere,
    }
}

/// Returns the candidates that may get the request now, or why there are none.
/// An upstream that is suspect, or had the request already, is better than none.
fn open<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    may_try: bool,
) -> Result<Vec<(usize, &'b Candidate<'a>)>, Choice> {
    if candidates.is_empty() {
        return Err(Choice::Nowhere);
    }
    let bears = |it: &Candidate<'_>| it.cold_room != Some(0);
    let is_good = |it: &Candidate<'_>| match it.usage {
        Use::Good => true,
        Use::Trial => may_try,
        Use::Suspect => false,
    };
    let all = || candidates.iter().enumerate().filter(|(_, it)| bears(it));
    let good: Vec<_> = all()
        .filter(|(_, it)| is_good(it) && !it.is_tried)
        .collect();
    if !good.is_empty() {
        return Ok(good);
    }
    let tried: Vec<_> = all().filter(|(_, it)| is_good(it)).collect();
    if !tried.is_empty() {
        return Ok(tried);
    }
    Err(Choice::Wait)
}
