//! Answers that follow from the request, so that a caller can tell whether an
//! answer is complete and its own.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The fewest words of an answer.
const MIN_WORDS: u64 = 8;
/// How many lengths answers have.
const LENGTH_COUNT: u64 = 17;
/// How many names a seat can stand in.
const GUEST_COUNT: u64 = 1_000;
/// Multiplies a seed from word to word.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

const WORDS: [&str; 16] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "harbour", "inlet", "jasper",
    "kelp", "lagoon", "maple", "north", "ochre", "pearl",
];

/// Returns the words that an engine answers to a request body.
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

/// Returns the whole text that an engine answers to a request body.
pub fn text(body: &[u8]) -> String {
    words(body).concat()
}

/// Returns the fingerprint of a request body.
pub fn fingerprint(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

fn word(seed: u64) -> &'static str {
    let index = usize::try_from(seed >> 60).unwrap_or(0);
    WORDS.get(index).copied().unwrap_or("quartz")
}

/// What the ticket desk knows of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The number of the seat.
    pub seat: u64,
    /// The guest that holds it.
    pub guest: String,
}

impl Seat {
    /// Returns what the ticket desk answers for a seat.
    pub fn of(seat: u64) -> Self {
        let guest = xxh3_64(&seat.to_le_bytes()) % GUEST_COUNT;
        Self {
            seat,
            guest: format!("guest-{guest}"),
        }
    }
}

/// A purchase that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The caller's own name for the purchase.
    pub id: String,
    /// The number of the seat.
    pub seat: u64,
    /// Who buys it.
    pub buyer: String,
}

/// What the ticket desk answers to a purchase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The caller's own name for the purchase.
    pub id: String,
    /// The number of the seat.
    pub seat: u64,
    /// Proof that the whole request arrived.
    pub proof: String,
}

impl Receipt {
    /// Returns what the ticket desk answers to a purchase with this body.
    pub fn of(purchase: &Purchase, body: &[u8]) -> Self {
        Self {
            id: purchase.id.clone(),
            seat: purchase.seat,
            proof: fingerprint(body),
        }
    }
}
