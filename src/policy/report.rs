//! The order in which a host reports what it knows to others.
//!
//! A message has room for a few items. Changes come first, and then all items in turn, so that
//! every item gets through in bounded time and a host that starts learns all of them.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

/// Number of reports in which a change comes before what changed earlier. Reports may be lost, and
/// a host that passes them on sends only some of them to hosts that don't know it yet.
const NEWS_REPORTS: u32 = 4;

/// How long a change comes first, also if there is no room for so many reports of it.
const NEWS_LIFETIME: Duration = Duration::from_secs(3);

/// When an item changed and was reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    changed_at: Instant,
    /// Number of reports since the last change.
    reports: u32,
    reported_at: Option<Instant>,
}

impl Turn {
    /// Returns the turn of an item that is new.
    pub fn new(now: Instant) -> Self {
        Self {
            changed_at: now,
            reports: 0,
            reported_at: None,
        }
    }

    /// Records that the item changed.
    pub fn record_change(&mut self, now: Instant) {
        self.changed_at = now;
        self.reports = 0;
    }

    /// Records that the item was reported.
    pub fn record_report(&mut self, now: Instant) {
        self.reports = self.reports.saturating_add(1);
        self.reported_at = Some(now);
    }

    /// Returns whether the item's last change comes before others.
    pub fn is_news(&self, now: Instant) -> bool {
        self.reports < NEWS_REPORTS && now.duration_since(self.changed_at) < NEWS_LIFETIME
    }
}

/// An item that may be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// The item.
    pub content: T,
    /// Its turn.
    pub turn: Turn,
    /// Whether it comes before others that changed when it did. Among items that didn't change,
    /// every second one is urgent.
    pub is_urgent: bool,
}

/// Returns items in the order in which they are reported.
pub fn in_order<T>(now: Instant, items: impl Iterator<Item = Item<T>>) -> impl Iterator<Item = T> {
    let mut items: Vec<_> = items.collect();
    items.sort_by_key(|it| {
        let newest = Reverse(it.turn.changed_at);
        (!it.is_urgent, it.turn.reported_at, newest)
    });
    let (news, others): (Vec<_>, Vec<_>) = items.into_iter().partition(|it| it.turn.is_news(now));
    let (urgent, rest): (Vec<_>, Vec<_>) = others.into_iter().partition(|it| it.is_urgent);
    let (mut urgent, mut rest) = (urgent.into_iter(), rest.into_iter());
    let alternating = std::iter::from_fn(move || {
        let pair = [urgent.next(), rest.next()];
        let pair: Vec<_> = pair.into_iter().flatten().collect();
        (!pair.is_empty()).then_some(pair)
    });
    let items = news.into_iter().chain(alternating.flatten());
    items.map(|item| item.content)
}
