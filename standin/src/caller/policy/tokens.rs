//! Tokens that wait for the next purchase.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::sync::lock;

/// How long a token is kept for the next purchase.
const TOKEN_LIFE: Duration = Duration::from_secs(5);

/// Tokens by the entry that gave them.
#[derive(Debug, Default)]
pub struct Purse(Mutex<BTreeMap<SocketAddr, Vec<Token>>>);

#[derive(Debug)]
struct Token {
    text: String,
    since: Instant,
}

impl Purse {
    /// Keeps a token.
    pub fn put(&self, entry: SocketAddr, text: String) {
        let since = Instant::now();
        let token = Token { text, since };
        lock(&self.0).entry(entry).or_default().push(token);
    }

    /// Takes the newest token of an entry, if it is not too old.
    pub fn take(&self, entry: SocketAddr) -> Option<String> {
        let mut purse = lock(&self.0);
        let tokens = purse.get_mut(&entry)?;
        let newest = tokens.pop()?;
        match newest.since.elapsed() < TOKEN_LIFE {
            true => Some(newest.text),
            false => {
                tokens.clear();
                None
            }
        }
    }
}
