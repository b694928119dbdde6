//! Weighted rendezvous hashing: the order of upstreams for a chat, and the home
//! of an upstream. Adding or removing a candidate moves only the keys that
//! this candidate wins or loses.
//!
//! ```
//! use masticmoor::ident::{Chat, Upstream, Workspace};
//! use masticmoor::policy::rank;
//!
//! let upstreams = ["a1", "a2", "a3"].map(Upstream::from);
//! let key = rank::key(&Workspace::from("school"), &Chat::from("plan-7"));
//! let candidates = || upstreams.iter().map(|upstream| (upstream, 1.0));
//! let order = rank::order(key, candidates(), 2);
//! // Without the first, the second takes its place.
//! let rest = candidates().filter(|it| it.0 != order[0]);
//! assert_eq!(rank::order(key, rest, 1)[0], order[1]);
//! ```

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident;
use crate::member::placement;

/// An upstream and its weight in the rank order.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// Its share of chats relative to the other candidates.
    pub weight: f64,
}

/// The number of hash values that an `f64` can tell apart.
const F64_STEPS: f64 = (1_u64 << 53) as f64;

/// Hash bits beyond the precision of an `f64`.
const SPARE_BITS: u32 = 11;

/// Returns the key of a chat, which is the same on every host and after every
/// restart.
pub fn key(workspace: &ident::Workspace, chat: &ident::Chat) -> u64 {
    let workspace = xxh3_64(workspace.as_str().as_bytes());
    xxh3_64_with_seed(chat.as_str().as_bytes(), workspace)
}

/// Returns the score of an upstream for a chat; the highest score wins.
pub fn score(key: u64, upstream: &ident::Upstream, weight: f64) -> f64 {
    weighted(xxh3_64_with_seed(upstream.as_str().as_bytes(), key), weight)
}

/// Returns the `limit` upstreams with the highest scores, best first.
pub fn order<'a>(
    key: u64,
    candidates: impl Iterator<Item = (&'a ident::Upstream, f64)>,
    limit: usize,
) -> Vec<&'a ident::Upstream> {
    let mut best: Vec<(f64, &ident::Upstream)> = Vec::with_capacity(limit.saturating_add(1));
    for (upstream, weight) in candidates {
        let entry = (score(key, upstream, weight), upstream);
        let position = best.partition_point(|other| is_before(other, &entry));
        if position < limit {
            best.insert(position, entry);
            best.truncate(limit);
        }
    }
    best.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Returns the home of an upstream among the live entry hosts of its zone.
pub fn home<'a>(
    upstream: &ident::Upstream,
    hosts: impl Iterator<Item = &'a ident::Host>,
) -> Option<&'a ident::Host> {
    placement::home(upstream, hosts)
}

/// Turns a uniform hash into a score, so that candidates win in proportion to
/// their weights.
fn weighted(hash: u64, weight: f64) -> f64 {
    let uniform = ((hash >> SPARE_BITS) as f64 + 0.5) / F64_STEPS;
    weight / -uniform.ln()
}

/// Orders by score, highest first, then by name.
fn is_before(a: &(f64, &ident::Upstream), b: &(f64, &ident::Upstream)) -> bool {
    b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)).is_lt()
}
