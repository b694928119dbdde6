//! The control traffic of a host in bytes, as docs/CAPACITY-control.md states
//! it.

use std::net::SocketAddr;
use std::time::Duration;

use masticmoor::ident;
use masticmoor::member::config_state::ConfigState;
use masticmoor::member::heartbeat::Report;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::member::load;
use masticmoor::member::timing::Timing;
use masticmoor::member::view::View;
use masticmoor::register::Register;
use masticmoor::register::host;
use masticmoor::register::zone;
use masticmoor::revision::Revision;
use rstest::rstest;
use tokio::time::Instant;

/// The IPv4 and UDP headers of a datagram.
const HEADERS_BYTES: usize = 28;

/// The limit of a host's control traffic, both directions together.
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

fn view(zones: u8, hosts: u16) -> View {
    let mut register = Register::default();
    for number in 0..zones {
        let zone = ident::Zone::from(format!("zone-{number}").as_str());
        register.zones.insert(zone.clone(), zone::Spec::default());
        for host in 0..hosts {
            let name = ident::Host::from(format!("entry-{number}-{host:03}").as_str());
            let [high, low] = host.to_be_bytes();
            let peer = SocketAddr::from(([10, number, high, low], 7_000));
            let spec = host::Spec {
                zone: zone.clone(),
                peer,
            };
            register.hosts.insert(name, spec);
        }
    }
    let own = Incarnation {
        host: ident::Host::from("entry-0-000"),
        start: u64::MAX,
    };
    let now = Instant::now();
    let mut view = View::new(now, own, Timing::default());
    view.apply_register(now, &register);
    view
}

/// The report of a home under load after some months of operation.
fn report(upstreams: u16) -> Report {
    Report {
        config: ConfigState {
            register: Revision(4_000_000),
            rules: Revision(70_000),
            workspaces: 9_000_000,
            hash: u32::MAX,
        },
        pools: (0..4)
            .map(|pool| load::Total {
                key: 60_000 + pool,
                in_flight: 60,
                upstreams: 3,
            })
            .collect(),
        upstreams: (0..upstreams)
            .map(|number| load::Upstream {
                key: u32::MAX - u32::from(number),
                in_flight: 20,
                queued: 2,
                cap: 32,
                allowance: 32,
            })
            .collect(),
        crashes: Vec::new(),
        segments: Vec::new(),
    }
}

#[rstest]
#[case(9, [4, 11, 40], 190)]
#[case(42, [4, 11, 40], 200)]
#[case(100, [4, 11, 40], 215)]
#[case(380, [4, 11, 40], 290)]
fn heartbeat_traffic_does_not_grow_with_the_zone(
    #[case] hosts: u16,
    #[case] upstreams: [u16; 3],
    #[case] limit: usize,
) {
    let mut view = view(1, hosts);
    view.digest(&report(0));
    let heartbeat = view.timing().heartbeat.as_secs_f64();
    for upstreams in upstreams {
        let bytes = view.digest(&report(upstreams)).encode().unwrap().len();
        let sent = f64::from(hosts - 1) * (bytes + HEADERS_BYTES) as f64 / heartbeat;
        println!(
            "{hosts} hosts, {upstreams} upstreams: {bytes} bytes each {heartbeat:.2} s, \
             {sent:.0} bytes/s sent and as many received"
        );
        if upstreams == 11 {
            assert!(bytes < limit, "{bytes}");
        }
        // A zone of 380 hosts exceeds the limit: it would need a longer
        // heartbeat interval.
        if upstreams == 11 && hosts <= 100 {
            assert!(sent * 2.0 < MAX_BYTES_PER_SECOND, "{sent}");
        }
    }
}

/// Two hosts of each zone send a summary to two hosts of each other zone. Each of
/// the receivers relays one summary per zone with its next heartbeat.
#[test]
fn traffic_between_zones_stays_below_a_quarter_of_the_limit() {
    let (zones, hosts) = (9_u8, 42_u16);
    let mut view = view(zones, hosts);
    let timing = *view.timing();
    let bytes = view.summary(&report(11)).unwrap().encode().unwrap().len();
    let others = f64::from(zones - 1);
    let links = others * 4.0 * (bytes + HEADERS_BYTES) as f64;
    let relays = others * 2.0 * bytes as f64 * f64::from(hosts - 1);
    // Summaries are sent with every second heartbeat.
    let interval = timing.heartbeat.as_secs_f64() * 2.0;
    let share = |bytes: f64| bytes / interval / f64::from(hosts);
    let (links, relays) = (share(links), share(relays));
    println!("summary of {bytes} bytes: links {links:.0}, relays {relays:.0} bytes/s a host");
    assert!(links + relays < MAX_BYTES_PER_SECOND / 4.0);
    assert!(timing.lease >= timing.heartbeat * 4 - Duration::from_millis(1));
}
