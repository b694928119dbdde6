//! A published value is applied on every host within seconds and is never
//! replaced by an older one, whatever the platform or the network does.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use masticmoor::config::key::Key;
use masticmoor::lock::lock;
use rstest::rstest;
use standin::fault::Reachability;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::shape::Shape;
use standin::fleet::until;
use standin::platform::fault::Plan;

/// The time limit for an accepted value to be applied on every host.
const APPLY_LIMIT: Duration = Duration::from_secs(11);

async fn start(shape: Shape) -> Fleet {
    let fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet
}

/// Sets the default heartbeats and leases instead of the short ones of tests.
fn default_timing(options: &mut masticmoor::options::Options) {
    options.peer = masticmoor::options::peer::Peer::default();
}

fn publish_change(fleet: &mut Fleet) -> u64 {
    fleet.set_rules(|rules| rules.floor += 1);
    fleet.shape.rules.revision
}

/// Waits until the rules of a revision are applied on every host, and checks
/// that no host reverts to an older revision meanwhile.
async fn wait_applied(fleet: &Fleet, revision: u64) {
    let mut latest = std::collections::BTreeMap::new();
    until("rules applied", APPLY_LIMIT, || {
        for (name, host) in &fleet.hosts {
            let now = host.state.plan().rules.revision;
            let before = latest.insert(name.clone(), now).unwrap_or(now);
            assert!(now >= before, "{name} reverted from {before} to {now}");
        }
        fleet.has_rules(revision)
    })
    .await
    .unwrap();
}

/// A platform restored from a backup, or a lagging replica, shows old revisions.
#[rstest]
#[case::old_after_new(Plan { stale: 3, ..Plan::default() })]
#[case::replicas_that_disagree(Plan { stale: 3, flapping: true, ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_platform_does_not_revert_applied_rules(#[case] plan: Plan) {
    let mut fleet = start(Shape {
        tune: default_timing,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await;
    for _ in 0..3 {
        publish_change(&mut fleet);
    }
    wait_applied(&fleet, 4).await;
    fleet.platform.set_plan(plan);
    let began = tokio::time::Instant::now();
    until("a while passes", APPLY_LIMIT, || {
        assert!(fleet.has_rules(4));
        began.elapsed() > Duration::from_secs(3)
    })
    .await
    .unwrap();
    if plan.flapping {
        let revision = publish_change(&mut fleet);
        wait_applied(&fleet, revision).await;
    }
    fleet.platform.set_plan(Plan::default());
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
}

/// A host that polled only the stale replica would never see the change.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_replica_does_not_delay_a_change() {
    let mut shape = Shape::zones(2, 2, 0, 1);
    shape.tune = default_timing;
    let mut fleet = Fleet::start_with_replica(shape).await.unwrap();
    fleet.ready().await.unwrap();
    // The first replica is stale; only the second has the change.
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_a_long_outage_is_applied_in_time() {
    let mut fleet = start(Shape::zones(1, 1, 0, 1)).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    // Long enough for the backoff of the poll to grow.
    tokio::time::sleep(Duration::from_secs(16)).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Up);
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_restarted_during_an_outage_get_the_rules_from_their_peers() {
    let mut fleet = Fleet::start(Shape {
        seeds: true,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await
    .unwrap();
    fleet.ready().await.unwrap();
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let names: Vec<_> = fleet.hosts.keys().cloned().collect();
    for name in names {
        fleet.kill(&name).unwrap();
        fleet.restart(&name).await.unwrap();
        wait_applied(&fleet, revision).await;
        fleet.ready().await.unwrap();
    }
    let at = fleet.caller("z1-h1").unwrap();
    let answer = client::send(at, client::lookup(1).unwrap()).await.unwrap();
    assert_eq!(answer.outcome(), "answered");
}

/// The host must wait for the newer revision that its peers have.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_started_on_a_stale_platform_never_applies_old_rules() {
    let mut fleet = start(Shape::zones(1, 3, 0, 1)).await;
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
    fleet.platform.set_plan(Plan {
        stale: 3,
        ..Plan::default()
    });
    fleet.kill("z1-h1").unwrap();
    fleet.restart("z1-h1").await.unwrap();
    let host = &fleet.hosts["z1-h1"];
    until("rules applied", APPLY_LIMIT, || {
        let plan = host.state.plan();
        assert!(!plan.is_ready() || plan.rules.revision.0 >= revision);
        plan.is_ready()
    })
    .await
    .unwrap();
}

/// A later valid revision must be applied and clear the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_value_is_refused_and_the_last_valid_one_stays() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet
        .platform
        .publish("rules", "revision = 2\ndraining = 7\n");
    let refused = |host: &standin::fleet::host::Host| {
        let store = lock(&host.state.store);
        let refused = store.refused().find(|it| it.0 == Key::Rules);
        refused.map(|(_, refused)| refused.reason.to_string())
    };
    until("a host refused it", APPLY_LIMIT, || {
        fleet.hosts.values().any(|host| refused(host).is_some())
    })
    .await
    .unwrap();
    for host in fleet.hosts.values() {
        assert_eq!(host.state.plan().rules.revision.0, 1);
        if let Some(reason) = refused(host) {
            assert!(reason.contains("draining"), "{reason}");
        }
    }
    fleet.shape.rules.revision = 2;
    let revision = publish_change(&mut fleet);
    wait_applied(&fleet, revision).await;
    assert!(fleet.hosts.values().all(|host| refused(host).is_none()));
}

/// Register and rules are published separately, so the rules can arrive first.
/// They must apply to the upstream as soon as it is listed.
#[tokio::test(flavor = "multi_thread")]
async fn rules_may_name_an_upstream_before_the_register_lists_it() {
    let shape = Shape::zones(1, 2, 0, 2);
    let mut fleet = start(shape).await;
    let unlisted = fleet.shape.upstreams.remove("z1-t2").unwrap();
    fleet.set_register(|_| {});
    fleet.set_rules(|rules| rules.leaving = ["z1-t2".to_owned()].into());
    wait_applied(&fleet, 2).await;
    let before = fleet.started(|name| name == "z1-t2");
    fleet.set_register(|shape| {
        shape.upstreams.insert("z1-t2".to_owned(), unlisted);
    });
    let at = fleet.caller("z1-h1").unwrap();
    until("register applied", APPLY_LIMIT, || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.state.plan().register.revision.0 == 3)
    })
    .await
    .unwrap();
    for seat in 0..50 {
        let answer = client::send(at, client::lookup(seat).unwrap())
            .await
            .unwrap();
        assert_eq!(answer.outcome(), "answered");
    }
    assert_eq!(fleet.started(|name| name == "z1-t2"), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_register_of_nearly_a_megabyte_is_applied_in_time() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet.set_register(|shape| {
        for at in 0..16_000 {
            shape.workspaces.insert(format!("workspace-{at:06}"), 1);
        }
    });
    let bytes = fleet.shape.register().len();
    assert!((700_000..1_000_000).contains(&bytes), "{bytes} bytes");
    until("register applied", APPLY_LIMIT, || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.state.plan().register.revision.0 == 2)
    })
    .await
    .unwrap();
    fleet.ready().await.unwrap();
}

/// Each side has the newer revision of one value, so neither can simply take over
/// the state of the other.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_with_different_newer_values_converge_after_a_partition() {
    let mut fleet = start(Shape {
        tune: default_timing,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    fleet.partition(|host| host.starts_with("z1"));
    // The values are not published, so each is known to one host only.
    fleet.shape.workspaces.insert("late".to_owned(), 3);
    fleet.shape.revision += 1;
    fleet.shape.rules.revision += 1;
    let register = fleet.hosts["z1-h1"].inject(Key::Register, &fleet.shape.register());
    let revision = fleet.shape.rules.revision;
    let rules = fleet.hosts["z2-h2"].inject(Key::Rules, &fleet.shape.rules());
    assert!(register.is_change() && rules.is_change());
    fleet.heal();
    until("both applied", APPLY_LIMIT, || {
        fleet.hosts.values().all(|host| {
            let plan = host.state.plan();
            (plan.register.revision.0, plan.rules.revision.0) == (2, revision)
        })
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_to_a_workspace_part_is_applied_in_time() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet.set_register(|shape| shape.workspace_parts = 2);
    for revision in 1..4 {
        for part in 0..2 {
            let text = format!(
                "revision = {revision}\n[[workspace]]\nname = \"part-{part}\"\nweight = {revision}\n"
            );
            fleet.platform.publish(&format!("workspaces/{part}"), &text);
        }
        until("parts applied", APPLY_LIMIT, || {
            fleet.hosts.values().all(|host| {
                let plan = host.state.plan();
                let weight = |part| {
                    plan.register
                        .weight(&masticmoor::ident::Workspace::from(part))
                };
                [weight("part-0"), weight("part-1")] == [revision; 2]
            })
        })
        .await
        .unwrap();
    }
}

/// Plans are computed concurrently, and a slow one could overwrite a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_never_applied_after_a_newer_one() {
    let mut fleet = start(Shape::zones(1, 1, 0, 1)).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    for _ in 0..100 {
        let texts = [(); 8].map(|()| {
            fleet.shape.rules.revision += 1;
            fleet.shape.rules()
        });
        let latest = fleet.shape.rules.revision;
        let host = &fleet.hosts["z1-h1"];
        std::thread::scope(|scope| {
            // Holding the scheduler delays applying, so that all plans are
            // computed before the first one is applied.
            let scheduler = lock(&host.state.scheduler);
            for text in &texts {
                scope.spawn(move || host.inject(Key::Rules, text));
                std::thread::sleep(Duration::from_millis(1));
            }
            drop(scheduler);
        });
        let now = host.state.plan().rules.revision.0;
        assert_eq!(now, latest, "reverted");
    }
}
