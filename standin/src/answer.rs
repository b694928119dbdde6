//! Responses that are a function of the request, so that a caller can verify
//! that a response is complete and belongs to its request.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of words in an engine's answer.
const MIN_WORDS: u64 = 8;
/// Number of different answer lengths, in words.
const LENGTH_COUNT: u64 = 17;
/// Number of different guests.
const GUEST_COUNT: u64 = 1_000;
/// Multiplier of the seed from one word to the next.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

const WORDS: [&str; 16] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "harbour", "inlet", "jasper",
    "kelp", "lagoon", "maple", "north", "ochre", "pearl",
];

/// Returns the words of an engine's answer to a request body.
pub fn words(body: &[u8]) -> Vec<String> {
    let mut seed = xxh3_64(body);
    let count = MIN_WORDS + seed % LENGTH_COUNT;
    (0..count)
        .map(|index| {
            seed = seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(index);
            format!("{}-{:04x} ", word(seed), (seed >> 16) & 0xffff)
        })
        .collect()
}

/// Returns the complete text of an engine's answer to a request body.
pub fn text(body: &[u8]) -> String {
    words(body).concat()
}

/// Returns the hash of a request body as 16 hexadecimal digits.
pub fn fingerprint(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

fn word(seed: u64) -> &'static str {
    let index = usize::try_from(seed >> 60).unwrap_or(0);
    WORDS.get(index).copied().unwrap_or("quartz")
}

/// Response to the lookup of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The number of the seat.
    pub seat: u64,
    /// The guest that the seat is assigned to.
    pub guest: String,
}

impl Seat {
    /// Returns the response for a seat; the guest is derived from the number.
    pub fn of(seat: u64) -> Self {
        let guest = xxh3_64(&seat.to_le_bytes()) % GUEST_COUNT;
        Self {
            seat,
            guest: format!("guest-{guest}"),
        }
    }
}

/// Request to buy a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The caller's id of the purchase.
    pub id: String,
    /// The number of the seat.
    pub seat: u64,
    /// The name of the buyer.
    pub buyer: String,
}

/// Response to a purchase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The caller's id of the purchase.
    pub id: String,
    /// The number of the seat.
    pub seat: u64,
    /// The fingerprint of the request body, which shows that it arrived complete.
    pub proof: String,
}

impl Receipt {
    /// Returns the response to a purchase that was sent with this body.
    pub fn of(purchase: &Purchase, body: &[u8]) -> Self {
        Self {
            id: purchase.id.clone(),
            seat: purchase.seat,
            proof: fingerprint(body),
        }
    }
}
