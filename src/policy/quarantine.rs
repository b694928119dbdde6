//! Prompt segments that crash the upstreams that begin to respond to them.
//!
//! Requests that share such a segment may differ in everything else, so crashes are
//! counted by segment. Each crash has several suspects: all segments of the requests
//! whose responses had not begun there. A response that begins clears the segments of
//! its request, as a segment that crashes upstreams never gets one. A segment is refused
//! once several upstreams have crashed since its last response.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::log::millis;
use crate::policy::report;

/// Maximum time between two reports of the same crash, by different hosts or requests.
const SAME_CRASH: Duration = Duration::from_secs(2);

/// Crashes of a segment that are kept, the latest ones.
const MAX_CRASHES: usize = 12;

/// Crashes of a segment in a report to other hosts.
const MAX_REPORTED_CRASHES: usize = 6;

/// How long a segment is reported that has no crashes any more.
const NEWS_LIFETIME: Duration = Duration::from_secs(3);

/// The limits on crashes and on the memory for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Crashes by requests of a workspace before a segment is refused for it.
    pub workspace_crashes: usize,
    /// Crashes by requests of any workspace before a segment is refused for all.
    pub crashes: usize,
    /// Workspaces whose requests have to be among those crashes, so that one workspace
    /// can't get segments of others refused.
    pub workspaces: usize,
    /// Crashes, some time apart, before a segment is refused that had a response lately.
    /// It is rather one that many sound requests share.
    pub crashes_after_answer: usize,
    /// Minimum time between these crashes.
    pub spacing: Duration,
    /// How long a response counts as lately.
    pub answer_retention: Duration,
    /// Time after the last crash at which the first host lets one request through. The
    /// second and third do after twice that time, the next four after three times.
    pub probation: Duration,
    /// How long crashes are kept after the last one, at least until the last host's
    /// probation.
    pub retention: Duration,
    /// Maximum number of segments with crashes, and of segments with responses.
    pub max_segments: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workspace_crashes: 3,
            crashes: 5,
            workspaces: 3,
            crashes_after_answer: 6,
            spacing: Duration::from_millis(500),
            answer_retention: Duration::from_secs(60),
            probation: Duration::from_secs(60),
            retention: Duration::from_secs(900),
            max_segments: 16_384,
        }
    }
}

/// A crash as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The upstream that crashed.
    pub upstream: ident::Upstream,
    /// Hash of the workspace whose request was running.
    pub workspace: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// How long the request had been running, in milliseconds.
    pub run_ms: u64,
}

/// The crashes of a segment as hosts report them to each other.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The segment.
    pub segment: u64,
    /// The crashes since its last response.
    pub crashes: Vec<Crash>,
    /// Time since its last response, in milliseconds, if one is known.
    pub answer_age_ms: Option<u64>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// It may, to see whether a refused segment still crashes upstreams.
    Trial,
    /// It may not: a segment has crashed several upstreams.
    Refused {
        /// The segment.
        segment: u64,
        /// Time until this host may let a request with it through.
        left: Duration,
    },
}

/// The segments with crashes, and those that had a response lately.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    suspects: BTreeMap<u64, Suspect>,
    /// Suspects by number of crashes and time of the last change, to remove the least
    /// suspect ones first.
    order: BTreeSet<(usize, Instant, u64)>,
    answers: BTreeMap<u64, Instant>,
    answer_order: BTreeSet<(Instant, u64)>,
}

/// A crash, in this host's time.
#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    /// When the request was sent that was running.
    sent_at: Instant,
    upstream: ident::Upstream,
    workspace: u32,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Crashes since the last response, in order of time.
    crashes: Vec<Loss>,
    answered_at: Option<Instant>,
    /// When this host last let a request through on probation.
    tried_at: Option<Instant>,
    changed_at: Instant,
    turn: report::Turn,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            suspects: BTreeMap::new(),
            order: BTreeSet::new(),
            answers: BTreeMap::new(),
            answer_order: BTreeSet::new(),
        }
    }

    /// Records that an upstream crashed while it ran a request, sent at `sent_at`, whose
    /// response had not begun. Returns the segments that are suspected of it: those without a response
    /// lately or, if there are none, all of them.
    pub fn record_crash(
        &mut self,
        now: Instant,
        segments: &[u64],
        workspace: u32,
        upstream: &ident::Upstream,
        sent_at: Instant,
    ) -> Vec<u64> {
        let unanswered = segments.iter().copied();
        let unanswered = unanswered.filter(|segment| self.recent_answer(now, *segment).is_none());
        let mut suspects: Vec<u64> = unanswered.collect();
        if suspects.is_empty() {
            suspects = segments.to_vec();
        }
        for segment in &suspects {
            let answered_at = self.recent_answer(now, *segment);
            let crash = Loss {
                at: now,
                sent_at,
                upstream: upstream.clone(),
                workspace,
            };
            self.update(now, *segment, |suspect| {
                suspect.answered_at = suspect.answered_at.max(answered_at);
                suspect.add(crash)
            });
        }
        self.expire(now);
        suspects
    }

    /// Records that a response to a request with these segments began. Returns whether
    /// this cleared a segment of crashes.
    pub fn record_answer(&mut self, now: Instant, segments: &[u64]) -> bool {
        let mut has_cleared = false;
        for segment in segments {
            if let Some(old) = self.answers.insert(*segment, now) {
                self.answer_order.remove(&(old, *segment));
            }
            self.answer_order.insert((now, *segment));
            if self.suspects.contains_key(segment) {
                has_cleared |= self.update(now, *segment, |suspect| suspect.clear(now));
            }
        }
        self.expire(now);
        has_cleared
    }

    /// Merges another host's report.
    pub fn merge(&mut self, now: Instant, report: &Report) {
        let before = |age_ms| {
            let at = now.checked_sub(Duration::from_millis(age_ms));
            at.filter(|at| now.duration_since(*at) < self.limits.retention)
        };
        let reported_answer = report.answer_age_ms.and_then(before);
        let crashes = report.crashes.iter().filter_map(|crash| {
            Some(Loss {
                at: before(crash.age_ms)?,
                sent_at: before(crash.age_ms.saturating_add(crash.run_ms))?,
                upstream: crash.upstream.clone(),
                workspace: crash.workspace,
            })
        });
        let crashes: Vec<_> = crashes.collect();
        let answered_at = self.recent_answer(now, report.segment).max(reported_answer);
        if crashes.is_empty() && !self.suspects.contains_key(&report.segment) {
            return;
        }
        self.update(now, report.segment, |suspect| {
            // A crash that the reporting host hasn't cleared yet is news for it.
            let is_outdated = crashes.iter().any(|crash| answered_at >= Some(crash.at));
            let mut has_changed = is_outdated;
            if let Some(at) = answered_at {
                has_changed |= suspect.clear(at);
            }
            for crash in crashes {
                has_changed |= suspect.add(crash);
            }
            has_changed
        });
        self.expire(now);
    }

    /// Returns whether one of these segments is suspected of a crash.
    pub fn contains(&self, segments: &[u64]) -> bool {
        let mut segments = segments.iter();
        segments.any(|segment| self.suspects.contains_key(segment))
    }

    /// Decides whether a request of a workspace may be sent. `rank` returns the rank of
    /// this host among all hosts for a segment, from 0.
    pub fn check(
        &self,
        now: Instant,
        segments: &[u64],
        workspace: u32,
        rank: impl Fn(u64) -> usize,
    ) -> Verdict {
        let mut verdict = Verdict::Allowed;
        for segment in segments {
            let Some(suspect) = self.suspects.get(segment) else {
                continue;
            };
            if !self.limits.is_refused(now, suspect, workspace) {
                continue;
            }
            let slot = rank(*segment).saturating_add(1).ilog2().saturating_add(1);
            let delay = self.limits.probation.saturating_mul(slot);
            let last = suspect.crashes.last().map(|crash| crash.at);
            let since = now.duration_since(last.max(suspect.tried_at).unwrap_or(now));
            match delay.checked_sub(since) {
                None | Some(Duration::ZERO) => verdict = Verdict::Trial,
                Some(left) => {
                    let segment = *segment;
                    return Verdict::Refused { segment, left };
                }
            }
        }
        verdict
    }

    /// Records that a request is sent to try refused segments. The next one may be after
    /// another probation.
    pub fn begin_trial(&mut self, now: Instant, segments: &[u64]) {
        for segment in segments {
            if let Some(suspect) = self.suspects.get_mut(segment) {
                suspect.tried_at = Some(now);
            }
        }
    }

    /// Returns whether one more crash would get a segment refused for a workspace.
    pub fn is_suspect(&self, now: Instant, segments: &[u64], workspace: u32) -> bool {
        let suspects = segments.iter().filter_map(|it| self.suspects.get(it));
        let limits = Limits {
            workspace_crashes: self.limits.workspace_crashes.saturating_sub(1),
            crashes: self.limits.crashes.saturating_sub(1),
            ..self.limits
        };
        let mut suspects = suspects.filter(|it| limits.is_refused(now, it, workspace));
        suspects.next().is_some()
    }

    /// Returns reports for other hosts, at most `max`.
    pub fn reports(&self, now: Instant, max: usize) -> Vec<Report> {
        let is_news = |suspect: &Suspect| now.duration_since(suspect.changed_at) < NEWS_LIFETIME;
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(_, it)| !it.crashes.is_empty() || is_news(it));
        let items = suspects.map(|item| report::Item {
            content: item,
            turn: item.1.turn,
            is_urgent: item.1.crashes.len() > 1,
        });
        let suspects = report::in_order(now, items);
        let age_ms = |at: Instant| millis(now.duration_since(at));
        let reports = suspects.take(max).map(|(segment, suspect)| {
            let latest = suspect.crashes.iter().rev().take(MAX_REPORTED_CRASHES);
            let crashes = latest.map(|crash| Crash {
                upstream: crash.upstream.clone(),
                workspace: crash.workspace,
                age_ms: age_ms(crash.at),
                run_ms: millis(crash.at.duration_since(crash.sent_at)),
            });
            Report {
                segment: *segment,
                crashes: crashes.collect(),
                answer_age_ms: suspect.answered_at.map(age_ms),
            }
        });
        reports.collect()
    }

    /// Records that segments were reported to other hosts.
    pub fn record_reported(&mut self, now: Instant, reports: &[Report]) {
        for report in reports {
            if let Some(suspect) = self.suspects.get_mut(&report.segment) {
                suspect.turn.record_report(now);
            }
        }
    }

    /// Returns the number of segments with crashes and of those with a recent response.
    pub fn len(&self) -> (usize, usize) {
        (self.suspects.len(), self.answers.len())
    }

    /// Returns whether no segments are recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    fn recent_answer(&self, now: Instant, segment: u64) -> Option<Instant> {
        let answered_at = self.answers.get(&segment).copied();
        answered_at.filter(|at| now.duration_since(*at) < self.limits.answer_retention)
    }

    /// Changes a suspect, which is added if it is new, and returns the result of `change`:
    /// whether the suspect differs now.
    fn update(
        &mut self,
        now: Instant,
        segment: u64,
        change: impl FnOnce(&mut Suspect) -> bool,
    ) -> bool {
        let suspect = self.suspects.entry(segment).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            answered_at: None,
            tried_at: None,
            changed_at: now,
            turn: report::Turn::new(now),
        });
        self.order.remove(&suspect.order_key(segment));
        let has_changed = change(suspect);
        if has_changed {
            suspect.changed_at = now;
            suspect.turn.record_change(now);
        }
        self.order.insert(suspect.order_key(segment));
        has_changed
    }

    /// Removes what has expired, and the least suspect segments while there are too many.
    fn expire(&mut self, now: Instant) {
        while let Some((count, changed_at, segment)) = self.order.first().copied() {
            let retention = match count {
                0 => NEWS_LIFETIME,
                _ => self.limits.retention,
            };
            let is_expired = now.duration_since(changed_at) >= retention;
            if !is_expired && self.suspects.len() <= self.limits.max_segments {
                break;
            }
            self.order.pop_first();
            self.suspects.remove(&segment);
        }
        while let Some((at, segment)) = self.answer_order.first().copied()
            && (now.duration_since(at) >= self.limits.answer_retention
                || self.answers.len() > self.limits.max_segments)
        {
            self.answer_order.pop_first();
            self.answers.remove(&segment);
        }
    }
}

impl Suspect {
    fn order_key(&self, segment: u64) -> (usize, Instant, u64) {
        (self.crashes.len(), self.changed_at, segment)
    }

    /// Adds a crash, unless it is known or earlier than the last response. Returns whether
    /// it was added.
    fn add(&mut self, crash: Loss) -> bool {
        let is_known = self.crashes.iter().any(|known| {
            let (first, last) = (known.at.min(crash.at), known.at.max(crash.at));
            known.upstream == crash.upstream
                && known.workspace == crash.workspace
                && last.duration_since(first) < SAME_CRASH
        });
        let is_cleared = self.answered_at.is_some_and(|at| at >= crash.at);
        if is_known || is_cleared {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Removes crashes up to a response. Returns whether there were any, or whether this
    /// is the first known response.
    fn clear(&mut self, answered_at: Instant) -> bool {
        let count = self.crashes.len();
        let is_first = self.answered_at.is_none();
        self.answered_at = self.answered_at.max(Some(answered_at));
        self.crashes.retain(|crash| crash.at > answered_at);
        self.crashes.len() < count || is_first
    }
}

impl Limits {
    /// Returns whether a segment is refused for a workspace.
    fn is_refused(&self, now: Instant, suspect: &Suspect, workspace: u32) -> bool {
        let crashes = || {
            let crashes = suspect.crashes.iter();
            crashes.filter(|crash| now.duration_since(crash.at) < self.retention)
        };
        let answered_at = suspect.answered_at;
        if answered_at.is_some_and(|at| now.duration_since(at) < self.answer_retention) {
            return independent(crashes(), self.spacing) >= self.crashes_after_answer;
        }
        let own = crashes().filter(|crash| crash.workspace == workspace);
        let workspaces: BTreeSet<_> = crashes().map(|crash| crash.workspace).collect();
        independent(own, Duration::ZERO) >= self.workspace_crashes
            || independent(crashes(), Duration::ZERO) >= self.crashes
                && workspaces.len() >= self.workspaces
    }
}

/// Returns the number of crashes by requests that were sent after the crash before. Many
/// upstreams may fail at once for another reason, with all requests that run there.
fn independent<'a>(crashes: impl Iterator<Item = &'a Loss>, spacing: Duration) -> usize {
    let mut last: Option<Instant> = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| crash.sent_at >= last && crash.at >= last + spacing) {
            last = Some(crash.at);
            count += 1;
        }
    }
    count
}
