//! The proportions of the kinds of calls in the traffic.

use std::str::FromStr;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// The kind of a call.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A chat whose completion comes in one piece.
    Chat,
    /// A chat whose completion is streamed.
    Stream,
    /// A lookup of a seat.
    Lookup,
    /// A purchase, which must run at most once.
    Purchase,
}

/// The weight of each kind of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mix(Vec<(Kind, u32)>);

/// Why a mix cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An item has no equals sign.
    #[error("`{item}`: expected kind=share")]
    Form {
        /// The item as given.
        item: String,
    },
    /// The kind is unknown.
    #[error("unknown kind in `{item}`: expected chat, stream, lookup or purchase")]
    Kind {
        /// The item as given.
        item: String,
    },
    /// The share is not a number.
    #[error("invalid share in `{item}`: expected a non-negative integer")]
    Share {
        /// The item as given.
        item: String,
    },
    /// All shares are zero.
    #[error("expected at least one share greater than zero")]
    Empty,
}

impl Default for Mix {
    fn default() -> Self {
        Self(vec![
            (Kind::Chat, 2),
            (Kind::Stream, 3),
            (Kind::Lookup, 4),
            (Kind::Purchase, 1),
        ])
    }
}

impl Mix {
    /// Draws a kind at random, by weight.
    pub fn draw(&self, rng: &mut impl Rng) -> Kind {
        let total: u32 = self.0.iter().map(|(_, share)| share).sum();
        let mut offset = rng.random_range(0..total.max(1));
        for (kind, share) in &self.0 {
            match offset.checked_sub(*share) {
                Some(rest) => offset = rest,
                None => return *kind,
            }
        }
        Kind::Lookup
    }
}

impl FromStr for Mix {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let shares = text
            .split(',')
            .map(parse_share)
            .collect::<Result<Vec<_>, _>>()?;
        match shares.iter().any(|(_, share)| *share > 0) {
            true => Ok(Self(shares)),
            false => Err(Error::Empty),
        }
    }
}

fn parse_share(item: &str) -> Result<(Kind, u32), Error> {
    let owned = || item.to_owned();
    let (kind, share) = item
        .split_once('=')
        .ok_or_else(|| Error::Form { item: owned() })?;
    let kind = kind.parse().map_err(|_| Error::Kind { item: owned() })?;
    let share = share.parse().map_err(|_| Error::Share { item: owned() })?;
    Ok((kind, share))
}
