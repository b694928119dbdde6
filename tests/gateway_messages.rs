//! What a message to other hosts holds when there is more to say than it has room for.

use masticmoor::gateway::datagram::DATAGRAM_BYTES;
use masticmoor::gateway::datagram::List;
use masticmoor::gateway::datagram::Message;
use masticmoor::gateway::datagram::Report;
use masticmoor::gateway::datagram::Sender;
use masticmoor::gateway::load;
use masticmoor::gateway::notice;
use masticmoor::gateway::peers;
use masticmoor::ident;
use masticmoor::mirror::wire;
use masticmoor::mirror::wire::Reply;
use masticmoor::policy::crash;
use masticmoor::policy::quarantine;
use strum::VariantArray;
use tokio::time::Instant;

fn id(number: u32) -> ident::Upstream {
    format!("i-{number:010x}").as_str().into()
}

/// Returns the message of a host of a fleet with 140 upstreams, many of which say something of
/// themselves, can't be reached or have crashed.
fn message(loads: u32, suspects: u32, segments: u64) -> Message {
    let crash = |number| quarantine::Crash {
        upstream: id(number),
        workspace: 7,
        age_ms: 100_000,
        run_ms: 300,
    };
    let notice = |number| notice::Report {
        upstream: id(number),
        started_ms: Some(1_796_400_000_000),
        is_leaving: false,
        limit: Some(2.75),
        rejection_limit: Some(6),
        age_ms: 1_000,
        is_partial: false,
    };
    Message {
        sender: Sender {
            process: u64::MAX,
            zone: "rufisque".into(),
            is_leaving: false,
            progress: peers::Progress::default(),
            has_joined: true,
            age_ms: Some(250),
            link_mbps: 200,
            is_informed: true,
            fleet_size: Some(73),
            unreachable: Vec::new(),
        },
        is_settling: false,
        report: Report {
            loads: (0..loads).map(|it| (id(it), 2)).collect(),
            suspects: (0..suspects).map(|it| (id(it), 3_000, true)).collect(),
            crashes: (0..8)
                .map(|it| crash::Crash {
                    fingerprint: u64::MAX,
                    upstream: id(it),
                    left_ms: 59_000,
                })
                .collect(),
            segments: (0..segments)
                .map(|segment| quarantine::Report {
                    segment: u64::MAX - segment,
                    crashes: (0..6).map(crash).collect(),
                    answer_age_ms: None,
                })
                .collect(),
            notices: (0..12).map(notice).collect(),
            placements: (0..20).map(|it| (u64::from(it), id(it))).collect(),
            contacts: Vec::new(),
        },
    }
}

/// A report of loads replaces the one before: a load that is left out counts as ended, and the
/// upstream gets more than it should.
#[test]
fn suspects_do_not_crowd_out_loads() {
    let mut message = message(28, 140, 0);
    let bytes = message.encode().unwrap();
    assert!(bytes.len() <= DATAGRAM_BYTES);
    assert_eq!(message.report.loads.len(), 28);
    // The next message begins 8 suspects later.
    assert!(message.report.suspects.len() >= 8);
}

/// On days on which many upstreams crash, the news of other kinds must get through too.
#[test]
fn no_list_of_a_full_message_is_left_empty() {
    let mut message = message(28, 140, 5);
    let full = message.report.clone();
    let bytes = message.encode().unwrap();
    assert!(bytes.len() <= DATAGRAM_BYTES);
    for list in List::VARIANTS {
        let is_kept = message.report.len(*list) > 0 || full.len(*list) == 0;
        assert!(is_kept, "{list:?}");
    }
    assert_eq!(message.report.loads, full.loads);
}

#[test]
fn loads_are_cut_last() {
    let mut message = message(300, 140, 5);
    let bytes = message.encode().unwrap();
    assert!(bytes.len() <= DATAGRAM_BYTES);
    assert!(message.report.loads.len() >= 60);
    let others = List::VARIANTS.iter().filter(|it| **it != List::Loads);
    assert!(
        others
            .into_iter()
            .all(|list| message.report.len(*list) == 0)
    );
}

/// A count that overflows would end the task that reads messages.
#[tokio::test(start_paused = true)]
async fn loads_that_are_too_large_to_add_up_do_not_overflow() {
    let mut loads = load::Table::default();
    let now = Instant::now();
    loads.begin(&id(1));
    for host in 0..3 {
        loads.report(now, load::Source::Host(host), [(id(1), u32::MAX)].into());
    }
    assert_eq!(loads.total(&id(1)), u32::MAX);
    assert_eq!(loads.host_totals(), [(id(1), u32::MAX)].into());
    for host in 0..3 {
        loads.report(now, load::Source::Host(host), load::Counts::new());
    }
    loads.end(&id(1));
    assert_eq!(loads.total(&id(1)), 0);
}

/// Not even the memory for such a reply may be taken.
#[test]
fn a_reply_that_states_an_absurd_size_is_refused() {
    let bytes = [&u32::MAX.to_le_bytes()[..], &[0; 64]].concat();
    let reply: Result<Reply, _> = wire::decode(&bytes);
    assert!(matches!(reply, Err(wire::Error::TooLarge(_))), "{reply:?}");
}
