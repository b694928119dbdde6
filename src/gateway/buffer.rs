//! Memory for responses that are buffered until they are complete.
//!
//! An upstream that fails may send bytes without end. Each response is limited, and so
//! are all responses together, since many may be in progress.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::outcome::Code;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size of all responses beyond [`FREE_BYTES`] each.
const MAX_TOTAL_BYTES: usize = 24 << 20;

/// Size up to which a response isn't counted, so that small ones are never rejected for
/// the sake of large ones.
const FREE_BYTES: usize = 64 << 10;

/// The memory in use. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Budget(Arc<AtomicUsize>);

/// Counted bytes of one response, until it is dropped.
#[derive(Debug)]
struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Reads a body to its end. Fails if it breaks off or takes more memory than there is.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, Code> {
        let mut reservation = Reservation {
            budget: self.clone(),
            bytes: 0,
        };
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Code::AnswerCut)?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let size = bytes.len() + chunk.len();
            if size > MAX_RESPONSE_BYTES || !reservation.extend(size) {
                return Err(Code::AnswerTooLarge);
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    }
}

impl Reservation {
    /// Counts a response of a size, and returns whether there is memory for it.
    fn extend(&mut self, size: usize) -> bool {
        let bytes = size.saturating_sub(FREE_BYTES);
        let more = bytes.saturating_sub(self.bytes);
        let used = self.budget.0.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes += more;
        more == 0 || used <= MAX_TOTAL_BYTES
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
