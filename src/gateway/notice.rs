//! What upstreams announce of themselves in their responses, as this host and others have
//! read it.
//!
//! A notice belongs to one run of an upstream's process. Hosts report notices to each other
//! with their ages, so a host that is cut off from the store, or has just started, learns
//! them too. A later run replaces an earlier one, whatever the times.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::gateway::headers::Notice;
use crate::gateway::limit::Bucket;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::log::millis;
use crate::policy::report;

/// How long a notice is kept after it was last read. An upstream that leaves serves for some
/// seconds, at most a few minutes.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of upstreams with a notice. The oldest are forgotten first.
const MAX_ENTRIES: usize = 8_192;

/// Maximum number of news in a message.
const MAX_NEWS: usize = 10;

/// Number of other notices in a message. Notices may last for hours, so they are repeated slowly.
const MAX_REPEATED: usize = 2;

/// Fraction by which a limit changes before it is news. Hosts may exceed a limit by more, and an
/// upstream may name another one in each response.
const MIN_LIMIT_CHANGE: f64 = 0.1;

/// Maximum time for which an upstream gets no requests because it asked for rest, so that one that
/// names an absurd time is used again.
const MAX_REST: Duration = RETENTION;

/// How long a rank is used before it is computed again. Hosts come and go, but to rank this host at
/// thousands of upstreams takes milliseconds.
const RANK_LIFETIME: Duration = Duration::from_secs(1);

/// A notice as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// When its process started, in milliseconds of wall-clock time, if listed.
    pub started_ms: Option<u64>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Requests per second that it takes from all hosts together, if it names a limit.
    pub limit: Option<f64>,
    /// Requests that it can turn away in a second without failing, if it is brittle.
    pub rejection_limit: Option<u32>,
    /// Time since a host read it in a response, in milliseconds.
    pub age_ms: u64,
    /// Whether the build of the reporting host can't name all limits. Those that are missing
    /// aren't known to have ended.
    #[serde(skip)]
    pub is_partial: bool,
}

/// A time in which an upstream gets no requests of this host.
#[derive(Clone, Copy, Debug)]
struct Rest {
    started_ms: Option<u64>,
    until: Instant,
}

/// What a response announced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Statement {
    is_leaving: bool,
    /// Requests per second that the upstream takes from all hosts together.
    limit: Option<f64>,
    /// Requests that the upstream can turn away in a second without failing, if it is brittle.
    rejection_limit: Option<u32>,
}

/// What a report or a response changed of what this host knew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The upstream leaves.
    pub is_leaving: bool,
    /// The upstream has a clearly different limit, or none any more.
    pub is_limit_changed: bool,
    /// The upstream can turn away another number of requests, or isn't brittle any more.
    pub is_rejection_limit_changed: bool,
}

impl News {
    /// Returns whether anything changed.
    pub fn is_any(&self) -> bool {
        self.is_leaving || self.is_limit_changed || self.is_rejection_limit_changed
    }
}

#[derive(Clone, Debug)]
struct Entry {
    started_ms: Option<u64>,
    statement: Statement,
    /// Limit when it was last news.
    told_limit: Option<f64>,
    /// When a host last read it in a response.
    read_at: Instant,
    /// When this host learned what it didn't know before, and told others.
    turn: report::Turn,
    /// This host's share of the limit, once it was needed.
    bucket: Option<Bucket>,
    /// This host's rank in the upstream's rendezvous order, once it was needed, and when it was
    /// computed.
    rank: Option<(Instant, usize)>,
}

/// The notices, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<ident::Upstream, Entry>,
    /// Upstreams that asked this host for rest. Other hosts aren't meant.
    rests: BTreeMap<ident::Upstream, Rest>,
}

impl Table {
    /// Records what an upstream announced in the response to a request that was sent at `sent`,
    /// and returns what is news.
    ///
    /// A response without a limit ends one only if its request was sent after the notice was
    /// last read: responses may overtake each other.
    pub fn record(
        &mut self,
        now: Instant,
        sent: Instant,
        upstream: &Upstream,
        notice: &Notice,
    ) -> News {
        let known = self.entries.get(&upstream.id);
        let overtaken = known.filter(|entry| sent < entry.read_at);
        let old = overtaken.map(|entry| entry.statement).unwrap_or_default();
        let statement = Statement {
            is_leaving: notice.is_leaving,
            limit: notice.limit.or(old.limit),
            rejection_limit: notice.rejection_limit.or(old.rejection_limit),
        };
        let says_nothing = match known {
            Some(_) => {
                let has_limit = notice.limit.is_some() || notice.rejection_limit.is_some();
                overtaken.is_some() && !notice.is_leaving && !has_limit
            }
            None => statement == Statement::default(),
        };
        match says_nothing {
            true => News::default(),
            false => self.insert(now, &upstream.id, upstream.started_ms, statement, now),
        }
    }

    /// Merges another host's report, which may have waited for the time `unread` before it was
    /// read, and returns what is news.
    pub fn merge(&mut self, now: Instant, report: &Report, unread: Duration) -> News {
        let age = Duration::from_millis(report.age_ms).saturating_add(unread);
        let is_sound = report.limit.is_none_or(|it| it.is_finite() && it >= 0.0);
        if !is_sound || age >= RETENTION {
            return News::default();
        }
        let known = self.entries.get(&report.upstream);
        let known = known.filter(|it| report.is_partial && it.started_ms == report.started_ms);
        let known = known.map(|it| it.statement).unwrap_or_default();
        let statement = Statement {
            is_leaving: report.is_leaving,
            limit: report.limit.or(known.limit),
            rejection_limit: report.rejection_limit.or(known.rejection_limit),
        };
        let read_at = now.checked_sub(age).unwrap_or(now);
        self.insert(now, &report.upstream, report.started_ms, statement, read_at)
    }

    /// Returns whether an upstream has announced that it leaves. A later run of its process
    /// isn't meant.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        let entry = self.entries.get(&upstream.id);
        let entry = entry.filter(|entry| applies(entry.started_ms, upstream.started_ms));
        entry.is_some_and(|entry| entry.statement.is_leaving)
    }

    /// Returns the requests per second that an upstream takes from all hosts together, if it
    /// has named a limit.
    pub fn limit(&self, upstream: &Upstream) -> Option<f64> {
        let entry = self.entries.get(&upstream.id);
        let entry = entry.filter(|entry| applies(entry.started_ms, upstream.started_ms))?;
        entry.statement.limit
    }

    /// Returns this host's rank in the rendezvous order of an upstream that is brittle, `None` for
    /// another one. Computes it by `rank` now and then.
    pub fn brittle_rank(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        rank: impl FnOnce() -> usize,
    ) -> Option<usize> {
        let entry = self.entries.get_mut(&upstream.id);
        let entry = entry.filter(|entry| applies(entry.started_ms, upstream.started_ms))?;
        entry.statement.rejection_limit?;
        let recent = entry.rank;
        let recent = recent.filter(|(at, _)| now.duration_since(*at) < RANK_LIFETIME);
        let (_, rank) = *entry.rank.insert(recent.unwrap_or_else(|| (now, rank())));
        Some(rank)
    }

    /// Returns this host's share of the limit that an upstream has named, if it has. Computes
    /// it by `share` now and then.
    pub fn bucket(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        share: impl FnOnce(f64) -> f64,
    ) -> Option<&mut Bucket> {
        let limit = self.limit(upstream)?;
        let entry = self.entries.get_mut(&upstream.id)?;
        match &mut entry.bucket {
            Some(bucket) if bucket.is_outdated(now, limit) => {
                bucket.set_rate(now, limit, share(limit));
            }
            Some(_) => {}
            none => *none = Some(Bucket::new(now, limit, share(limit))),
        }
        entry.bucket.as_mut()
    }

    /// Counts a request that is sent to an upstream, if it has named a limit.
    pub fn take(&mut self, now: Instant, upstream: &Upstream) {
        let is_limited = self.limit(upstream).is_some();
        let entry = self.entries.get_mut(&upstream.id);
        let bucket = entry.and_then(|entry| entry.bucket.as_mut());
        if let Some(bucket) = bucket.filter(|_| is_limited) {
            bucket.take(now);
        }
    }

    /// Records that an upstream asked this host for rest, and returns whether it had no rest
    /// so far.
    pub fn record_rest(&mut self, now: Instant, upstream: &Upstream, rest: Duration) -> bool {
        let left = self.rest_left(now, upstream);
        let until = now + rest.min(MAX_REST).max(left.unwrap_or_default());
        self.rests.retain(|_, rest| rest.until > now);
        if self.rests.len() < MAX_ENTRIES {
            let started_ms = upstream.started_ms;
            let rest = Rest { started_ms, until };
            self.rests.insert(upstream.id.clone(), rest);
        }
        left.is_none()
    }

    /// Returns how much longer an upstream gets no requests of this host; `None` if it may get
    /// some. A later run of its process isn't meant.
    pub fn rest_left(&self, now: Instant, upstream: &Upstream) -> Option<Duration> {
        let rest = self.rests.get(&upstream.id)?;
        let is_current = applies(rest.started_ms, upstream.started_ms) && rest.until > now;
        is_current.then(|| rest.until - now)
    }

    /// Returns notices for a message: the latest news, and a few others in turn, which hosts
    /// that started or were cut off may lack.
    pub fn reports(&mut self, now: Instant) -> Vec<Report> {
        self.expire(now);
        let items = self.entries.iter().map(|item| report::Item {
            content: item,
            turn: item.1.turn,
            is_urgent: item.1.statement.is_leaving,
        });
        let ordered = report::in_order(now, items);
        let (news, rest): (Vec<_>, Vec<_>) =
            ordered.partition(|(_, entry)| entry.turn.is_news(now));
        let repeated = rest.into_iter().take(MAX_REPEATED);
        let reports = news.into_iter().take(MAX_NEWS).chain(repeated);
        let reports = reports.map(|(upstream, entry)| Report {
            upstream: upstream.clone(),
            started_ms: entry.started_ms,
            is_leaving: entry.statement.is_leaving,
            limit: entry.statement.limit,
            rejection_limit: entry.statement.rejection_limit,
            age_ms: millis(now.duration_since(entry.read_at)),
            is_partial: false,
        });
        reports.collect()
    }

    /// Records that notices were reported to other hosts.
    pub fn record_reported(&mut self, now: Instant, reports: &[Report]) {
        for report in reports {
            if let Some(entry) = self.entries.get_mut(&report.upstream) {
                entry.turn.record_report(now);
            }
        }
    }

    /// Returns the number of upstreams with a notice.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no notice.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a statement of a run of an upstream that was read at a time, and returns what is
    /// news. The one that was read last holds, but an upstream that leaves doesn't return.
    fn insert(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        started_ms: Option<u64>,
        statement: Statement,
        read_at: Instant,
    ) -> News {
        let known = self.entries.get(upstream);
        let known = known.filter(|entry| applies(entry.started_ms, started_ms));
        let (old, statement) = match known {
            Some(entry) if !applies(started_ms, entry.started_ms) => return News::default(),
            Some(entry) => {
                let old = entry.statement;
                let latest = match read_at > entry.read_at {
                    true => statement,
                    false => old,
                };
                let is_leaving = old.is_leaving || statement.is_leaving;
                let statement = Statement {
                    is_leaving,
                    ..latest
                };
                (old, statement)
            }
            None => (Statement::default(), statement),
        };
        let told_limit = known.and_then(|it| it.told_limit);
        let news = News {
            is_leaving: statement.is_leaving && !old.is_leaving,
            is_limit_changed: differs(told_limit, statement.limit),
            is_rejection_limit_changed: statement.rejection_limit != old.rejection_limit,
        };
        let turn = known.filter(|_| !news.is_any()).map(|it| it.turn);
        let read_at = known.map_or(read_at, |it| it.read_at.max(read_at));
        if known.is_none() && statement == Statement::default() {
            return News::default();
        }
        let entry = Entry {
            started_ms: started_ms.or(known.and_then(|it| it.started_ms)),
            statement,
            told_limit: match news.is_limit_changed {
                true => statement.limit,
                false => told_limit,
            },
            read_at,
            turn: turn.unwrap_or_else(|| report::Turn::new(now)),
            bucket: known.and_then(|it| it.bucket),
            rank: known.and_then(|it| it.rank),
        };
        self.make_room(upstream);
        self.entries.insert(upstream.clone(), entry);
        news
    }

    /// Removes the oldest entry if there is no room for that of an upstream.
    fn make_room(&mut self, upstream: &ident::Upstream) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(upstream) {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.read_at);
        let oldest = oldest.map(|(upstream, _)| upstream.clone());
        oldest.and_then(|upstream| self.entries.remove(&upstream));
    }

    fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.duration_since(entry.read_at) < RETENTION);
    }
}

/// Returns whether what a run of an upstream announced applies to the listed run: the same one or
/// an earlier one, which an older listing shows. Runs whose starts aren't known count as the same.
fn applies(announced_ms: Option<u64>, listed_ms: Option<u64>) -> bool {
    match (announced_ms, listed_ms) {
        (Some(announced), Some(listed)) => announced >= listed,
        (Some(_) | None, Some(_) | None) => true,
    }
}

/// Returns whether limits differ so much that it is news.
fn differs(old: Option<f64>, new: Option<f64>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => (old - new).abs() > old.max(new) * MIN_LIMIT_CHANGE,
        (old, new) => old.is_some() != new.is_some(),
    }
}
