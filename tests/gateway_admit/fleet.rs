//! Fairness among hosts that hold about two waiting requests each, and know of each other by
//! reports that are 0.1 to 3 s old.

use std::sync::Arc;
use std::time::Duration;

use masticmoor::gateway::admit::Queues;
use rstest::rstest;
use tokio::time::sleep;

use crate::simulation::Fleet;

const WARM_UP: Duration = Duration::from_secs(4);

/// Returns how long requests are counted: enough of them in a small fleet.
fn time(hosts: usize) -> Duration {
    Duration::from_secs(if hosts < 20 { 30 } else { 6 })
}

/// Each host's share of the slots serves 10 requests a second.
fn fleet(hosts: usize) -> Arc<Fleet> {
    Fleet::new(hosts, hosts * 2, Duration::from_millis(200))
}

/// Lets the fleet run, and returns how much was served of what the slots can serve.
async fn run(fleet: &Fleet) -> f64 {
    sleep(WARM_UP).await;
    fleet.reset();
    sleep(time(fleet.hosts.len())).await;
    let served: usize = (0..5).map(|it| fleet.served(it)).sum();
    served as f64 / (fleet.hosts.len() as f64 * 10.0 * time(fleet.hosts.len()).as_secs_f64())
}

/// Workspaces of equal demand, one of them at a third of the hosts only, must get equal service, and
/// slots must not be idle. The requirement is half of the mean; without a disturbance, half of that
/// deviation is allowed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn equal_demand_gets_equal_service(
    #[values(9, 81, 295)] hosts: usize,
    #[values(false, true)] is_disturbed: bool,
) {
    let fleet = fleet(hosts);
    for host in 0..hosts {
        for workspace in 1..4 {
            fleet.send(host, workspace, 0, 4.0, WARM_UP + time(hosts));
        }
        if host % 3 == 0 {
            fleet.send(host, 0, 0, 12.0, WARM_UP + time(hosts));
        }
    }
    // A fifth of the hosts hears nothing, and others restart.
    fleet.gossip(|host| is_disturbed && host % 5 == 4);
    if is_disturbed {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            for host in (0..).map(|it| it * 7 % hosts) {
                sleep(Duration::from_secs(20) / hosts as u32).await;
                *fleet.hosts[host].queues.lock().unwrap() = Arc::new(Queues::default());
            }
        });
    }
    let used = run(&fleet).await;
    let served: Vec<_> = (0..4).map(|it| fleet.served(it)).collect();
    let mean = served.iter().sum::<usize>() / 4;
    assert!(used >= 0.9, "{used} of the slots were used");
    let least = if is_disturbed { mean / 2 } else { mean * 3 / 4 };
    assert!(served.iter().all(|it| *it >= least), "{served:?}");
}

/// A workspace at ten times its usual rate must not cost the others what they would have got.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_surge_costs_other_workspaces_nothing(#[values(9, 81, 295)] hosts: usize) {
    let fleet = fleet(hosts);
    for host in 0..hosts {
        for workspace in 1..4 {
            fleet.send(host, workspace, 0, 1.3, WARM_UP + time(hosts));
        }
        fleet.send(host, 0, 0, 13.0, WARM_UP + time(hosts));
    }
    fleet.gossip(|_| false);
    let used = run(&fleet).await;
    for workspace in 1..4 {
        let (sent, served) = (fleet.sent(|it| it.1 == workspace), fleet.served(workspace));
        assert!(
            served * 100 >= sent * 98,
            "workspace {workspace}: {served} of {sent}"
        );
    }
    assert!(used >= 0.9, "{used} of the slots were used");
}
