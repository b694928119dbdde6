//! A store that comes back from an older copy, in a new era.

use std::time::Duration;

use masticmoor::gateway::table::Kind;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::caller;
use crate::host::Host;
use crate::runs;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Time within which a change is in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// Interval between two looks.
const INTERVAL: Duration = Duration::from_millis(10);

async fn upstream() -> Upstream {
    Upstream::start("u1", |_| Step::Respond(200, "found")).await
}

async fn version_is_in_force(host: &Host, version: u64) -> bool {
    let is_in_force = async {
        while host.table_version() != version {
            tokio::time::sleep(INTERVAL).await;
        }
    };
    timeout(CHANGE_LIMIT, is_in_force).await.is_ok()
}

#[tokio::test]
async fn a_change_at_a_revision_that_was_used_before_is_in_force() {
    let upstream = upstream().await;
    let host = Host::start(Kind::Idempotent, &[&upstream]).await;
    for version in 2..=6 {
        host.publish_version(version).await;
    }
    host.restore_store();
    host.publish_version(7).await;
    assert!(version_is_in_force(&host, 7).await);
}

#[tokio::test]
async fn a_route_table_does_not_go_back_with_the_store() {
    let upstream = upstream().await;
    let host = Host::start(Kind::Idempotent, &[&upstream]).await;
    host.publish_version(2).await;
    host.publish_version(3).await;
    host.restore_store();
    host.publish_version(2).await;
    let until = Instant::now() + Duration::from_millis(500);
    while Instant::now() < until {
        assert_eq!(host.table_version(), 3);
        tokio::time::sleep(INTERVAL).await;
    }
    host.publish_version(4).await;
    assert!(version_is_in_force(&host, 4).await);
}

#[tokio::test]
async fn a_host_stays_ready_while_the_store_comes_back_older() {
    let upstream = upstream().await;
    let host = Host::start(Kind::Idempotent, &[&upstream]).await;
    host.publish_version(2).await;
    host.restore_store();
    tokio::time::sleep(crate::host::MAX_KEY_AGE + Duration::from_millis(500)).await;
    assert!(host.is_ready());
    assert_eq!(caller::send(host.caller, "a1", &[]).await.status, 200);
}

/// The second host reads the older store alone, and would accept keys that were revoked.
#[rstest]
#[case::in_touch(false)]
#[case::cut_off(true)]
#[tokio::test]
async fn a_host_that_starts_accepts_no_key_whose_revocation_the_store_lost(
    #[case] is_cut_off: bool,
) {
    let upstream = upstream().await;
    let hosts = Host::start_around_restored_store(Kind::Idempotent, &[&upstream], is_cut_off).await;
    let [_, second] = &hosts;
    let refused = async {
        while caller::send(second.caller, "a1", &[]).await.status != 401 {
            tokio::time::sleep(INTERVAL).await;
        }
    };
    timeout(CHANGE_LIMIT, refused).await.unwrap();
    for _ in 0..50 {
        for host in &hosts {
            assert_ne!(caller::send(host.caller, "a2", &[]).await.status, 200);
        }
        tokio::time::sleep(INTERVAL).await;
    }
    assert_eq!(runs(&[&upstream]), 0);
}
