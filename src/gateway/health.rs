//! Passive health checks: a circuit breaker for each upstream.
//!
//! An upstream may look healthy and yet fail part of its requests, or be down and
//! still listed. Both show in the outcomes of requests, and such an upstream gets no
//! requests while there are others. No probe requests are sent: after a pause, one
//! request of a caller at a time serves as the probe.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// Weight of a response, a lost request or a failed connection in the moving average of
/// failures.
const WEIGHT: f64 = 0.25;

/// Weight of a response that reports a failure. Lower than that of a lost request,
/// as some requests fail wherever they run.
const FAILED_WEIGHT: f64 = 0.15;

/// Failure score at which an upstream becomes suspect, reached by two lost requests
/// in a row.
const SUSPECT_SCORE: f64 = 0.4;

/// How long an upstream stays suspect the first time, until it is due for a probe.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Maximum time for which an upstream stays suspect. The time doubles with each
/// occurrence.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Number of consecutive successful responses after which the pause starts over at
/// [`MIN_PAUSE`].
const RESET_ANSWERS: u32 = 8;

/// How long an unreachable upstream counts as evidence that its zone is unreachable.
const UNREACHABLE_WINDOW: Duration = Duration::from_millis(1_500);

/// Minimum number of unreachable upstreams of another zone at which the whole zone
/// counts as partitioned. Its other upstreams are then used only after a probe.
const MIN_ZONE_FAILURES: usize = 2;

/// Time without a message from any host of a zone after which the zone counts as
/// partitioned. A host of a small fleet sends a few messages in that time.
const MAX_ZONE_SILENCE: Duration = Duration::from_millis(450);

/// Whether an upstream may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Gets requests.
    #[strum(serialize = "good")]
    Healthy,
    /// Fails or loses many requests: gets some only if there is no other upstream.
    Suspect,
    /// Can't be reached: gets no requests.
    Down,
    /// Due for a probe: gets one repeatable request, to see whether it has recovered.
    #[strum(serialize = "trial")]
    Probe,
}

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Observation {
    /// The upstream responded without a failure.
    Answered,
    /// The upstream responded with a failure.
    Failed,
    /// The connection broke, or the response was unusable.
    Lost,
    /// The upstream could not be reached.
    #[strum(serialize = "unreached")]
    Unreachable,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Moving average of failures, from 0 to 1.
    score: f64,
    /// How long it stays suspect when it next becomes so.
    pause: Duration,
    /// When it is due for a probe; `None` unless it is suspect.
    suspect_until: Option<Instant>,
    /// When the pending probe was sent.
    probe_sent_at: Option<Instant>,
    /// Number of consecutive successful responses.
    answers: u32,
    /// When it last responded without a failure.
    answered_at: Option<Instant>,
    /// When it last could not be reached.
    unreachable_at: Option<Instant>,
    /// Whether it is suspect because it can't be reached.
    is_unreachable: bool,
    /// Whether the latest report from another host came from this host's zone.
    is_reported_locally: bool,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            score: 0.0,
            pause: MIN_PAUSE,
            suspect_until: None,
            probe_sent_at: None,
            answers: 0,
            answered_at: None,
            unreachable_at: None,
            is_unreachable: false,
            is_reported_locally: false,
        }
    }
}

impl Entry {
    /// Returns whether the upstream was unreachable within the last `UNREACHABLE_WINDOW`, and not
    /// before a response.
    fn was_unreachable_since(&self, now: Instant, answered_at: Option<Instant>) -> bool {
        let failed = self.unreachable_at;
        let failed = failed.filter(|at| now.duration_since(*at) < UNREACHABLE_WINDOW);
        failed.is_some_and(|at| answered_at.is_none_or(|answered| answered <= at))
    }
}

/// Which suspect upstreams to report to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those that this host found suspect.
    Host,
    /// Those that any host of this zone found suspect.
    Zone,
}

/// The health of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<ident::Upstream, Entry>,
}

impl Table {
    /// Returns whether an upstream may get requests now.
    pub fn status(&self, now: Instant, upstream: &ident::Upstream) -> Status {
        let Some(entry) = self.entries.get(upstream) else {
            return Status::Healthy;
        };
        let unavailable = match entry.is_unreachable {
            true => Status::Down,
            false => Status::Suspect,
        };
        match (entry.suspect_until, entry.probe_sent_at) {
            (None, _) => Status::Healthy,
            (Some(until), _) if until > now => unavailable,
            (Some(_), Some(since)) if now.duration_since(since) < MAX_PAUSE => unavailable,
            (Some(_), _) => Status::Probe,
        }
    }

    /// Returns the moving average of an upstream's failures, from 0 to 1.
    pub fn score(&self, upstream: &ident::Upstream) -> f64 {
        self.entries.get(upstream).map_or(0.0, |entry| entry.score)
    }

    /// Returns whether an upstream was unreachable within the last
    /// `UNREACHABLE_WINDOW` and has not responded since.
    pub fn was_unreachable(&self, now: Instant, upstream: &ident::Upstream) -> bool {
        let entry = self.entries.get(upstream);
        entry.is_some_and(|entry| entry.was_unreachable_since(now, entry.answered_at))
    }

    /// Returns whether another zone may be partitioned from this host. `upstreams` are those of a
    /// service there, `silence` is the time since any host of the zone sent a message.
    ///
    /// A response from the zone proves the opposite: its hosts may all be down, and upstreams that
    /// failed before it fail one by one.
    pub fn is_zone_cut_off(
        &self,
        now: Instant,
        upstreams: &[&ident::Upstream],
        silence: Option<Duration>,
    ) -> bool {
        let entries = || upstreams.iter().filter_map(|it| self.entries.get(*it));
        let answered_at = entries().filter_map(|it| it.answered_at).max();
        let failures = entries().filter(|it| it.was_unreachable_since(now, answered_at));
        let is_silent = silence.is_some_and(|silence| silence > MAX_ZONE_SILENCE)
            && answered_at.is_none_or(|at| now.duration_since(at) > MAX_ZONE_SILENCE);
        failures.count() >= MIN_ZONE_FAILURES || is_silent
    }

    /// Records that a request was sent as a probe.
    pub fn begin_probe(&mut self, now: Instant, upstream: &ident::Upstream) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.probe_sent_at = Some(now);
        }
    }

    /// Records the outcome of a request, and returns whether it made the upstream
    /// suspect.
    pub fn record(&mut self, now: Instant, upstream: &ident::Upstream, seen: Observation) -> bool {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let was_suspect = entry.suspect_until.is_some_and(|until| until > now);
        entry.probe_sent_at = None;
        match seen {
            Observation::Answered => {
                entry.score *= 1.0 - WEIGHT;
                entry.answers += 1;
                entry.answered_at = Some(now);
                entry.suspect_until = None;
                entry.is_unreachable = false;
                if entry.answers >= RESET_ANSWERS {
                    entry.pause = MIN_PAUSE;
                }
                false
            }
            Observation::Failed | Observation::Lost | Observation::Unreachable => {
                let weight = match seen {
                    Observation::Failed => FAILED_WEIGHT,
                    Observation::Answered | Observation::Lost | Observation::Unreachable => WEIGHT,
                };
                entry.score += (1.0 - entry.score) * weight;
                entry.answers = 0;
                entry.is_unreachable = seen == Observation::Unreachable;
                if entry.is_unreachable {
                    entry.unreachable_at = Some(now);
                }
                let is_suspect = seen == Observation::Unreachable || entry.score >= SUSPECT_SCORE;
                if is_suspect && !was_suspect {
                    entry.suspect_until = Some(now + entry.pause);
                    entry.pause = (entry.pause * 2).min(MAX_PAUSE);
                }
                is_suspect && !was_suspect
            }
        }
    }

    /// Merges another host's report that an upstream is suspect for the time `left`.
    /// Ignored if the upstream responded to this host within `MIN_PAUSE`.
    pub fn merge(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        left: Duration,
        is_unreachable: bool,
        is_local: bool,
    ) {
        let entry = self.entries.entry(upstream.clone()).or_default();
        let answered = entry.answered_at;
        let has_responded_here = answered.is_some_and(|at| now.duration_since(at) < MIN_PAUSE);
        let until = now + left.min(MAX_PAUSE);
        if !has_responded_here && entry.suspect_until.is_none_or(|current| current < until) {
            entry.suspect_until = Some(until);
            entry.is_unreachable = is_unreachable;
            entry.is_reported_locally = is_local;
        }
    }

    /// Makes an upstream healthy again that only other hosts have reported.
    pub fn forget_reports(&mut self, upstream: &ident::Upstream) {
        let entry = self.entries.get_mut(upstream);
        if let Some(entry) = entry.filter(|entry| entry.score == 0.0) {
            entry.suspect_until = None;
            entry.is_unreachable = false;
        }
    }

    /// Returns the upstreams that are suspect now, each with the time left and
    /// whether it can't be reached.
    pub fn suspects(&self, now: Instant, scope: Scope) -> Vec<(ident::Upstream, Duration, bool)> {
        let entries = self.entries.iter();
        let suspects = entries.filter_map(|(upstream, entry)| {
            let until = entry.suspect_until.filter(|until| *until > now)?;
            let is_reported =
                entry.score > 0.0 || scope == Scope::Zone && entry.is_reported_locally;
            is_reported.then(|| (upstream.clone(), until - now, entry.is_unreachable))
        });
        suspects.collect()
    }

    /// Removes an upstream's record.
    pub fn remove(&mut self, upstream: &ident::Upstream) {
        self.entries.remove(upstream);
    }
}
