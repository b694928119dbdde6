//! Whether the end of a response that ends with its connection is believed, by what is known of its
//! upstream's process.

use std::time::Duration;

use masticmoor::boot;
use masticmoor::gateway::liveness::Doubt;
use masticmoor::gateway::liveness::Evidence;
use masticmoor::gateway::liveness::Listing;
use masticmoor::gateway::liveness::Probe;
use masticmoor::gateway::pulse::MIN_SUSPENSION;
use masticmoor::gateway::pulse::Pulse;
use masticmoor::gateway::witness::Status;
use rstest::rstest;

const SAME: Option<Listing> = Some(Listing::Same);
const REPLACED: Option<Listing> = Some(Listing::Replaced);
const MISSING: Option<Listing> = Some(Listing::Missing);

fn evidence(probe: Probe, witness: Status, listing: Option<Listing>) -> Evidence {
    Evidence {
        probe,
        witness,
        was_suspended: false,
        is_leaving: false,
        listing,
    }
}

/// A connection that was open before the end and is open after it is to the process that responded.
#[rstest]
fn an_open_witness_goes_before_what_the_platform_lists(
    #[values(Probe::Held, Probe::Closed, Probe::Reset, Probe::AtLimit)] probe: Probe,
    #[values(SAME, REPLACED, MISSING, None)] listing: Option<Listing>,
    #[values(false, true)] was_suspended: bool,
) {
    let evidence = Evidence {
        was_suspended,
        ..evidence(probe, Status::Open, listing)
    };
    assert_eq!(evidence.judge(), Ok(()));
}

/// Guards against an end that is believed because some process accepts connections (ORDER).
#[rstest]
#[case::ended(Probe::Refused, Status::Closed, SAME, Doubt::Refused)]
#[case::ended_unseen(Probe::Refused, Status::Open, SAME, Doubt::Refused)]
#[case::ending(Probe::Closed, Status::Missing, SAME, Doubt::Closed)]
#[case::ending_with_a_reset(Probe::Reset, Status::Missing, SAME, Doubt::Closed)]
#[case::unreachable(Probe::Timeout, Status::Open, SAME, Doubt::Timeout)]
#[case::started_again(Probe::Held, Status::Closed, REPLACED, Doubt::Replaced)]
#[case::address_used_again(Probe::Held, Status::Missing, REPLACED, Doubt::Replaced)]
#[case::not_listed_and_ended(Probe::Held, Status::Closed, MISSING, Doubt::NotListed)]
#[case::old_copy(Probe::Held, Status::Closed, None, Doubt::Outdated)]
#[case::replaced_at_limit(Probe::AtLimit, Status::Missing, REPLACED, Doubt::Replaced)]
#[case::ended_at_limit(Probe::AtLimit, Status::Closed, MISSING, Doubt::NotListed)]
fn the_end_of_another_process_is_not_believed(
    #[case] probe: Probe,
    #[case] witness: Status,
    #[case] listing: Option<Listing>,
    #[case] expected: Doubt,
) {
    assert_eq!(evidence(probe, witness, listing).judge(), Err(expected));
}

/// Guards against a sound end that is doubted because the upstream has no entry (LOST), and against
/// one that a suspended host believes without a witness.
#[rstest]
#[case::in_time(false, Ok(()))]
#[case::late(true, Err(Doubt::NotListed))]
fn an_unlisted_upstream_without_a_witness_is_believed_by_a_host_that_runs(
    #[case] was_suspended: bool,
    #[case] expected: Result<(), Doubt>,
) {
    let evidence = Evidence {
        was_suspended,
        ..evidence(Probe::Held, Status::Missing, MISSING)
    };
    assert_eq!(evidence.judge(), expected);
}

/// Guards against sound ends that are doubted because the upstream takes no more connections (LOST).
#[rstest]
fn an_upstream_at_its_limit_of_connections_is_alive(
    #[values(SAME, MISSING)] listing: Option<Listing>,
) {
    let evidence = evidence(Probe::AtLimit, Status::Missing, listing);
    assert_eq!(evidence.judge(), Ok(()));
}

/// One that leaves may complete its last responses when it accepts no connections any more.
#[test]
fn a_leaving_upstream_that_refuses_connections_is_believed_by_its_witness() {
    let leaving = |witness| Evidence {
        is_leaving: true,
        ..evidence(Probe::Refused, witness, SAME)
    };
    assert_eq!(leaving(Status::Open).judge(), Ok(()));
    assert_eq!(leaving(Status::Closed).judge(), Err(Doubt::Refused));
    assert_eq!(leaving(Status::Missing).judge(), Err(Doubt::Refused));
}

#[test]
fn a_host_knows_that_it_was_suspended_before_and_after_its_first_beat() {
    let at = |ms| boot::Instant::at(Duration::from_millis(ms));
    let mut pulse = Pulse::new(at(1_000));
    pulse.beat(at(1_100));
    assert!(!pulse.was_suspended(at(1_200), at(0)));
    let resumed = 1_100 + u64::try_from(MIN_SUSPENSION.as_millis()).unwrap_or_default();
    assert!(pulse.was_suspended(at(resumed), at(1_000)));
    pulse.beat(at(resumed));
    pulse.beat(at(resumed + 100));
    assert!(pulse.was_suspended(at(resumed + 110), at(1_000)));
    // What was sent after it arrived in time.
    assert!(!pulse.was_suspended(at(resumed + 110), at(resumed + 50)));
}
