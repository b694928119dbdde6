//! Keeps upstreams from turning requests away that name how many they can.
//!
//! Such an upstream fails if all hosts together make it turn more requests away in a second. So its
//! slots are divided: no host asks another before it sends, and what others have in flight is known
//! a little late. A host without a share hands requests to one that has one. An upstream that turned
//! a request away all the same gets none from that host for so long that all hosts together stay
//! below what it names.

use std::time::Duration;

/// Fraction of an upstream's slots that all hosts together use. Below one, as it may let no request
/// wait.
const USED_FRACTION: f64 = 0.75;

/// Fraction of the slots up to which any host of a small fleet may use them, as far as their use is
/// known. Few requests are sent there in the tenth of a second by which counts are old.
const OPEN_FRACTION: f64 = 0.25;

/// Largest fleet in which counts of other hosts are that recent.
const MAX_SMALL_FLEET: u32 = 16;

/// Fraction of the rejections per second that hosts may cause together.
const REJECTED_FRACTION: f64 = 0.5;

/// Shortest pause after a rejection.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause after a rejection, and that of a host that doesn't know how many there are.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// What is in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of all hosts, as far as this one knows.
    pub total: u32,
    /// Requests of this host.
    pub own: u32,
}

/// Returns the number of hosts that have a share of an upstream's slots: those of a lower rank.
pub fn chosen_hosts(slots: u32) -> usize {
    usable_slots(slots) as usize
}

/// Returns how many more requests this host may send to an upstream with `slots` slots.
///
/// `hosts` is the number of hosts, if it is known, and `rank` this host's rank in the upstream's
/// rendezvous order, 0 first.
pub fn room(slots: u32, in_flight: InFlight, hosts: Option<usize>, rank: usize) -> u32 {
    let usable = usable_slots(slots);
    let hosts = hosts.and_then(|hosts| u32::try_from(hosts).ok());
    let even = hosts.map_or(0, |hosts| usable / hosts.max(1));
    let share = match rank < usable as usize {
        true => even.max(1),
        false => even,
    };
    let open = match hosts {
        Some(hosts) if hosts <= MAX_SMALL_FLEET => (f64::from(slots) * OPEN_FRACTION) as u32,
        Some(_) | None => 0,
    };
    let own = share.saturating_sub(in_flight.own);
    own.max(open.saturating_sub(in_flight.total))
}

/// Returns how long a host sends nothing to an upstream that turned away one of its requests, and
/// that may turn away `limit` a second.
pub fn pause(limit: u32, hosts: Option<usize>) -> Duration {
    let rate = f64::from(limit) * REJECTED_FRACTION;
    match hosts {
        Some(hosts) if rate > 0.0 => {
            let seconds = hosts as f64 / rate;
            Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())).max(MIN_PAUSE)
        }
        Some(_) | None => MAX_PAUSE,
    }
}

fn usable_slots(slots: u32) -> u32 {
    ((f64::from(slots) * USED_FRACTION) as u32).max(1)
}
