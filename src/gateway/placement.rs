//! Which upstream runs a request. Pure, and the same at all hosts.

use crate::gateway::health::Use;
use crate::ident;
use crate::policy::rank;

/// How loaded an engine may be for a request to go to it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Cap {
    /// The multiple of the mean load.
    multiple: f64,
    /// Requests beyond that, for calm days on which the mean is small.
    floor: f64,
}

/// Caps for engines that hold the prompt, by its length in tokens from which on
/// they hold, longest first. Users allow twice the mean and three. Answers one
/// prompt that much of the traffic shares: what is dear to read again stays, what
/// is cheap makes room for it.
const WARM: [(u64, Cap); 3] = [
    (4_096, cap(2.0, 2.5)),
    (1_024, cap(1.8, 2.0)),
    (0, cap(1.5, 1.5)),
];

/// The cap for engines that don't hold the prompt.
const FRESH: Cap = cap(1.4, 1.5);

/// Prompts shorter than this, in tokens, stay in the caller's zone: a copy for each
/// zone costs less than bytes between zones, and what runs in the zone outlives a
/// cut between zones.
const NEAR_TOKENS: u64 = 1_024;

/// Requests at a plain upstream, in its slots, up to which it gets more: what
/// waits there starts sooner than what waits here, and counts of other hosts are
/// older than a request takes.
const PLAIN_LOAD: u32 = 3;

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

const fn cap(multiple: f64, floor: f64) -> Cap {
    Cap { multiple, floor }
}

/// The prompt that a request shares with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Names it.
    pub key: u64,
    /// Its length, in tokens.
    pub tokens: u64,
}

/// An engine that holds more of a request's prompt than the one that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// How it may be used.
    pub usage: Use,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the candidate at this index.
    Send(usize),
    /// Wait: an upstream will be free or usable soon.
    Wait,
    /// No upstream serves it.
    NoUpstream,
}

/// Chooses an engine for a request whose prompt begins with a shared one: the
/// least loaded that holds it, or else the first in the prompt's order that
/// isn't overloaded. `mean` is the load of all engines that are listed for the
/// service: users count those of an evacuated zone, too.
pub fn engine(prompt: Prompt, mean: f64, candidates: &[Candidate<'_>], may_try: bool) -> Choice {
    let open = match open(candidates, may_try) {
        Ok(open) => open,
        Err(choice) => return choice,
    };
    let has_room = |it: &Candidate<'_>, cap: Cap| {
        f64::from(it.load) < mean * cap.multiple + cap.floor && it.load < it.slots
    };
    let holds = WARM.iter().find(|(tokens, _)| prompt.tokens >= *tokens);
    let kept = holds.map_or(FRESH, |(_, cap)| *cap);
    let is_near = |it: &Candidate<'_>| it.is_near;
    let is_any = |_: &Candidate<'_>| true;
    let warm = |fits: &dyn Fn(&Candidate<'_>) -> bool| {
        let pool = open.iter().filter(|(_, it)| fits(it) && it.is_warm);
        let roomy = pool.filter(|(_, it)| has_room(it, kept));
        roomy.min_by_key(|(_, it)| (!it.is_near, it.load))
    };
    let fresh = |fits: &dyn Fn(&Candidate<'_>) -> bool| {
        let pool = open.iter().filter(|(_, it)| fits(it));
        let roomy = pool.filter(|(_, it)| has_room(it, FRESH));
        roomy.max_by(|(_, a), (_, b)| {
            let a = rank::score(prompt.key, a.id, 1.0);
            let b = rank::score(prompt.key, b.id, 1.0);
            a.total_cmp(&b)
        })
    };
    let least = open.iter().min_by_key(|(_, it)| it.load);
    let near = match prompt.tokens < NEAR_TOKENS {
        true => warm(&is_near).or_else(|| fresh(&is_near)),
        false => None,
    };
    let far = || warm(&is_any).or_else(|| fresh(&is_any));
    match near.or_else(far).or(least) {
        Some((index, it)) if it.load < it.slots.saturating_mul(2) => Choice::Send(*index),
        Some(_) => Choice::Wait,
        None => Choice::NoUpstream,
    }
}

/// Chooses the engine that a prompt is copied from: one that leaves before
/// others, as its prompts are lost with it, then one that is well. Answers engines
/// that bursts make slow and suspect: what they hold is still there, and a
/// copy takes little of their time.
pub fn holder(holders: &[Holder]) -> Option<usize> {
    let reachable = holders.iter().enumerate();
    let reachable = reachable.filter(|(_, it)| it.usage != Use::Down);
    let best = reachable.max_by_key(|(_, it)| (it.is_draining, it.usage == Use::Good));
    best.map(|(index, _)| index)
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
        Some((index, it)) if it.load < it.slots.saturating_mul(PLAIN_LOAD) => Choice::Send(*index),
        Some(_) => Choice::Wait,
        None => Choice::NoUpstream,
    }
}

/// Returns the candidates that may get the request now, or why there are none.
/// An upstream that is suspect, or had the request already, is better than none.
fn open<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    may_try: bool,
) -> Result<Vec<(usize, &'b Candidate<'a>)>, Choice> {
    if candidates.is_empty() {
        return Err(Choice::NoUpstream);
    }
    let bears = |it: &Candidate<'_>| it.cold_room != Some(0);
    let is_good = |it: &Candidate<'_>| match it.usage {
        Use::Good => true,
        Use::Trial => may_try,
        Use::Suspect | Use::Down => false,
    };
    let tiers: [&dyn Fn(&Candidate<'_>) -> bool; 5] = [
        &|it| is_good(it) && !it.is_tried,
        &is_good,
        &|it| it.usage == Use::Trial,
        &|it| it.usage == Use::Suspect && !it.is_tried,
        &|it| it.usage == Use::Suspect,
    ];
    let mut pools = tiers.iter().map(|fits| {
        let all = candidates.iter().enumerate();
        all.filter(|(_, it)| bears(it) && fits(it)).collect()
    });
    let pool = pools.find(|pool: &Vec<_>| !pool.is_empty());
    pool.ok_or(Choice::Wait)
}
