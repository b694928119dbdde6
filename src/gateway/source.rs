//! Reading the platform's store, and what an adapter makes of its items.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::gateway::table::Table;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::mirror::Event;
use crate::mirror::Item;

/// Why the store, or an upstream, gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It can't be reached, or the connection broke.
    #[error("not reached: {0}")]
    Unreached(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// It didn't answer in time.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// It refused.
    #[error("refused with status {0}")]
    Refused(u16),
    /// It no longer knows the changes since the revision asked for.
    #[error("the store's history is gone")]
    HistoryGone,
    /// The answer can't be read.
    #[error("answer can't be read: {0}")]
    Unreadable(#[source] Box<dyn std::error::Error + Send + Sync>),
}

/// All items as of a revision.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    /// The items by key.
    pub items: BTreeMap<String, Item>,
    /// The store's revision.
    pub revision: u64,
}

/// The changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    /// The changes, oldest first.
    pub events: Vec<Event>,
    /// The store's revision.
    pub revision: u64,
}

/// What an item means.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The route table.
    Table(Box<Table>),
    /// An upstream.
    Upstream(Upstream),
    /// An availability zone that gets no new work.
    Evacuated(ident::Zone),
}

/// Why an item names nothing to use.
#[derive(Debug, thiserror::Error)]
#[error("item can't be used: {0}")]
pub struct Unusable(pub Box<dyn std::error::Error + Send + Sync>);

type List = dyn Fn() -> BoxFuture<'static, Result<Whole, Fault>> + Send + Sync;
type Watch = dyn Fn(u64, Duration) -> BoxFuture<'static, Result<Delta, Fault>> + Send + Sync;
type Cached = dyn Fn(SocketAddr) -> BoxFuture<'static, Result<BTreeSet<u64>, Fault>> + Send + Sync;
type Decode = dyn Fn(&str, &[u8]) -> Result<Option<Entry>, Unusable> + Send + Sync;

/// The adapter's way to the store.
pub struct Source {
    /// Reads all items.
    pub list: Box<List>,
    /// Waits for changes after a revision.
    pub watch: Box<Watch>,
    /// Decodes an item; none for one that doesn't matter here.
    pub decode: Box<Decode>,
    /// Asks an engine which parts of prompts it holds.
    pub cached: Box<Cached>,
}
