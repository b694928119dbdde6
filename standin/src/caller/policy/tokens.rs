//! A cache of tokens for later purchases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::sync::lock;

/// The age from which a cached token is no longer used.
const TOKEN_LIFETIME: Duration = Duration::from_secs(5);

/// Unused tokens, by the entry that issued them.
#[derive(Debug, Default)]
pub struct Cache(Mutex<BTreeMap<SocketAddr, Vec<Token>>>);

#[derive(Debug)]
struct Token {
    text: String,
    since: Instant,
}

impl Cache {
    /// Stores a token that an entry has just issued.
    pub fn put(&self, entry: SocketAddr, text: String) {
        let since = Instant::now();
        let token = Token { text, since };
        lock(&self.0).entry(entry).or_default().push(token);
    }

    /// Takes the newest token of an entry. If even that one is too old, drops
    /// all tokens of the entry and returns `None`.
    pub fn take(&self, entry: SocketAddr) -> Option<String> {
        let mut cache = lock(&self.0);
        let tokens = cache.get_mut(&entry)?;
        let newest = tokens.pop()?;
        match newest.since.elapsed() < TOKEN_LIFETIME {
            true => Some(newest.text),
            false => {
                tokens.clear();
                None
            }
        }
    }
}
