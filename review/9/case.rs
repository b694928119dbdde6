//! A stream that a leaving runner completes is cut.

use std::io;
use std::thread;
use std::time::Duration;

use crate::fleet::*;
use crate::*;

/// A runner leaves: its entry is removed, and it serves on until its streams are complete. Meanwhile
/// the machine that passes them on is stopped by SIGTERM. The streams have no length and end with
/// their connections.
pub fn play(fleet: &Fleet, has_trouble: bool) -> io::Result<bool> {
    let record = &fleet.record;
    fleet.store.put("op/config", config(7));
    let runners = runners(fleet, 4, "stream:pause=150")?;
    let gateways = gateways(fleet, 9)?;
    let gateway = fleet.address(11, 0);
    // The longest of them last for 5.7 s.
    let events = |number: u32| 15 + u64::from(number);
    let consumers = (0..24).map(|number| {
        (
            number,
            stream(record, gateway, STREAM, number, events(number)),
        )
    });
    let consumers: Vec<_> = consumers.collect();
    if has_trouble {
        thread::sleep(Duration::from_millis(1_800));
        record.line("gateway edge-11 gets SIGTERM");
        gateways[0].signal(SIGTERM);
        thread::sleep(Duration::from_millis(700));
        record.line("runner i-7f3a91c1 removes its entry, and serves on");
        runners[0].1.remove();
    }
    let mut lost = 0;
    for (number, consumer) in consumers {
        let ended = consumer
            .join()
            .map_err(|_| io::Error::other("a consumer failed"))?;
        lost += u32::from(!ended.is_complete || ended.last < events(number));
    }
    record.line(format!(
        "streams whose connection ended without a complete answer: {lost}"
    ));
    Ok(lost > 0)
}
