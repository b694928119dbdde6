//! What this host makes of each upstream from the answers it got or lost.
//!
//! Answers the load of upstreams that fail part of their requests while they
//! look well, and of those that are down but still listed. No probes are sent:
//! after a pause one request at a time tries the upstream again.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// The weight of the newest result.
const GAIN: f64 = 0.25;

/// The weight of an answer that tells of a failure: some requests fail wherever
/// they run.
const FAILED_GAIN: f64 = 0.15;

/// The score at which an upstream becomes suspect: two losses in a row.
const SUSPECT_SCORE: f64 = 0.4;

/// The first pause of a suspect upstream.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause of a suspect upstream.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Results in a row that reset the pause.
const RESET_ANSWERS: u32 = 8;

/// How long upstreams of a zone that can't be reached speak against the others.
const ZONE_MEMORY: Duration = Duration::from_millis(1_500);

/// How an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Use {
    /// Like any other.
    Good,
    /// Only if there are no others: it loses or fails many requests.
    Suspect,
    /// Not at all: it can't be reached.
    Down,
    /// For one request that may be repeated, to see whether it is back.
    Trial,
}

/// What became of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Sign {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// The connection broke or the answer couldn't be used.
    Lost,
    /// It can't be reached at all.
    Unreached,
}

#[derive(Clone, Debug)]
struct Entry {
    score: f64,
    pause: Duration,
    suspect_until: Option<Instant>,
    trial_since: Option<Instant>,
    answers: u32,
    answered_at: Option<Instant>,
    unreached_at: Option<Instant>,
    /// Whether it is suspect since it can't be reached.
    is_unreached: bool,
    /// Whether a host of the own zone said so last.
    is_told_near: bool,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            score: 0.0,
            pause: FIRST_PAUSE,
            suspect_until: None,
            trial_since: None,
            answers: 0,
            answered_at: None,
            unreached_at: None,
            is_unreached: false,
            is_told_near: false,
        }
    }
}

/// Which suspects to tell of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those that this host found.
    Host,
    /// Those that hosts of this zone found.
    Zone,
}

/// The results of requests at upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<ident::Upstream, Entry>,
}

impl Table {
    /// Tells how an upstream may be used now.
    pub fn usage(&self, now: Instant, upstream: &ident::Upstream) -> Use {
        let Some(entry) = self.entries.get(upstream) else {
            return Use::Good;
        };
        let unusable = match entry.is_unreached {
            true => Use::Down,
            false => Use::Suspect,
        };
        match (entry.suspect_until, entry.trial_since) {
            (None, _) => Use::Good,
            (Some(until), _) if until > now => unusable,
            (Some(_), Some(since)) if now.duration_since(since) < LONGEST_PAUSE => unusable,
            (Some(_), _) => Use::Trial,
        }
    }

    /// Returns how much of its results were losses lately, 0 to 1.
    pub fn score(&self, upstream: &ident::Upstream) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| entry.score)
    }

    /// Tells whether an upstream couldn't be reached a moment ago and has not
    /// answered since.
    pub fn was_unreached(&self, now: Instant, upstream: &ident::Upstream) -> bool {
        let entry = self.entries.get(upstream);
        entry.is_some_and(|entry| {
            let failed = entry.unreached_at;
            let failed = failed.filter(|at| now.duration_since(*at) < ZONE_MEMORY);
            failed.is_some_and(|at| entry.answered_at.is_none_or(|answered| answered <= at))
        })
    }

    /// Records that a request was sent to see whether an upstream is back.
    pub fn begin_trial(&mut self, now: Instant, upstream: &ident::Upstream) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.trial_since = Some(now);
        }
    }

    /// Records a result, and tells whether the upstream became suspect by it.
    pub fn record(&mut self, now: Instant, upstream: &ident::Upstream, sign: Sign) -> bool {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let was_suspect = entry.suspect_until.is_some_and(|until| until > now);
        entry.trial_since = None;
        match sign {
            Sign::Answered => {
                entry.score *= 1.0 - GAIN;
                entry.answers += 1;
                entry.answered_at = Some(now);
                entry.suspect_until = None;
                entry.is_unreached = false;
                if entry.answers >= RESET_ANSWERS {
                    entry.pause = FIRST_PAUSE;
                }
                false
            }
            Sign::Failed | Sign::Lost | Sign::Unreached => {
                let gain = match sign {
                    Sign::Failed => FAILED_GAIN,
                    Sign::Answered | Sign::Lost | Sign::Unreached => GAIN,
                };
                entry.score += (1.0 - entry.score) * gain;
                entry.answers = 0;
                entry.is_unreached = sign == Sign::Unreached;
                if entry.is_unreached {
                    entry.unreached_at = Some(now);
                }
                let is_suspect = sign == Sign::Unreached || entry.score >= SUSPECT_SCORE;
                if is_suspect && !was_suspect {
                    entry.suspect_until = Some(now + entry.pause);
                    entry.pause = (entry.pause * 2).min(LONGEST_PAUSE);
                }
                is_suspect && !was_suspect
            }
        }
    }

    /// Takes in that another host found an upstream suspect, unless it answered
    /// here a moment ago.
    pub fn merge(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        left: Duration,
        is_unreached: bool,
        is_near: bool,
    ) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let answered = entry.answered_at;
        let answers_here = answered.is_some_and(|at| now.duration_since(at) < FIRST_PAUSE);
        let until = now + left.min(LONGEST_PAUSE);
        if !answers_here && entry.suspect_until.is_none_or(|known| known < until) {
            entry.suspect_until = Some(until);
            entry.is_unreached = is_unreached;
            entry.is_told_near = is_near;
        }
    }

    /// Returns the upstreams that are suspect now, with the time left, and whether
    /// they can't be reached.
    pub fn suspects(&self, now: Instant, scope: Scope) -> Vec<(ident::Upstream, Duration, bool)> {
        let entries = self.entries.iter();
        let suspects = entries.filter_map(|(upstream, entry)| {
            let until = entry.suspect_until.filter(|until| *until > now)?;
            let is_told = entry.score > 0.0 || scope == Scope::Zone && entry.is_told_near;
            is_told.then(|| (upstream.clone(), until - now, entry.is_unreached))
        });
        suspects.collect()
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &ident::Upstream) {
        self.entries.remove(upstream);
    }
}
