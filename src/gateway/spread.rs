//! Divides the room at upstreams among hosts that know their loads from late counts.
//!
//! Hosts with the same knowledge would all choose the least loaded upstream, and send it
//! everything until the next count. Here each host draws an upstream such that all hosts
//! together level the loads. Where the room is too small for what they send until the next
//! count, each host passes over all of the upstreams in that proportion.

/// Number of halvings in the search for a level.
const STEPS: u32 = 24;

/// What a host knows of the load of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests counted there, in requests or in requests per slot, as the other fields.
    pub known: f64,
    /// Those of other hosts that have probably ended, and been replaced by others that this host
    /// doesn't know of.
    pub unseen: f64,
    /// Load below which it may get requests.
    pub cap: f64,
    /// How much one more request adds.
    pub step: f64,
}

impl Load {
    /// Returns how many requests it may get.
    pub fn room(&self) -> f64 {
        self.room_below(f64::INFINITY)
    }

    /// Returns how many requests it may get up to a level of the load; none if it was at its cap,
    /// since those that ended since may have been replaced.
    fn room_below(&self, level: f64) -> f64 {
        if self.known >= self.cap {
            return 0.0;
        }
        ((self.cap.min(level) - self.remaining()) / self.step).max(0.0)
    }

    /// Returns the load of the known requests that are still running.
    fn remaining(&self) -> f64 {
        self.known - self.unseen
    }
}

/// Returns how many requests all hosts send to some upstreams before this host knows of them, with
/// the one that it sends now.
fn demand(loads: &[Load]) -> f64 {
    1.0 + loads.iter().map(|it| it.unseen / it.step).sum::<f64>()
}

/// Returns for how many requests some upstreams have no room.
pub fn overflow(loads: &[Load]) -> f64 {
    let room: f64 = loads.iter().map(Load::room).sum();
    (demand(loads) - room).max(0.0)
}

/// Draws an upstream and returns its index. `draw` is uniform in 0..1.
///
/// Fails if the request is one of those for which there is no room, with another value that is
/// uniform in 0..1.
pub fn choose(loads: &[Load], draw: f64) -> Result<usize, f64> {
    let demand = demand(loads);
    let level = level(demand, loads);
    let room: f64 = loads.iter().map(|it| it.room_below(level)).sum();
    let total = demand.max(room);
    let mut left = draw * total;
    let chosen = loads.iter().position(|it| {
        let room = it.room_below(level);
        let is_chosen = left < room;
        left -= room;
        is_chosen
    });
    chosen.ok_or((left / (total - room)).clamp(0.0, 1.0 - f64::EPSILON))
}

/// Returns the level of the load up to which there is room for `demand` requests; infinite if the
/// room is too small.
fn level(demand: f64, loads: &[Load]) -> f64 {
    let room = |level: f64| loads.iter().map(|it| it.room_below(level)).sum::<f64>();
    if room(f64::INFINITY) <= demand {
        return f64::INFINITY;
    }
    let remaining = loads.iter().map(Load::remaining);
    let mut low = remaining.fold(f64::INFINITY, f64::min);
    let mut high = loads.iter().map(|it| it.cap).fold(low, f64::max);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        match room(middle) < demand {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}
