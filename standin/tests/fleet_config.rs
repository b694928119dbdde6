//! A published value is in force everywhere within seconds, and stays.

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

/// By when an accepted value is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(11);

async fn start(shape: Shape) -> Fleet {
    let fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet
}

/// The timing that hosts have by default.
fn usual(options: &mut masticmoor::options::Options) {
    options.peer = masticmoor::options::peer::Peer::default();
}

fn change(fleet: &mut Fleet) -> u64 {
    fleet.set_rules(|rules| rules.floor += 1);
    fleet.shape.rules.revision
}

/// Waits until the rules of a revision are in force on every host, and checks
/// meanwhile that no host falls back.
async fn in_force(fleet: &Fleet, revision: u64) {
    let mut latest = std::collections::BTreeMap::new();
    until("rules in force", IN_FORCE, || {
        for (name, host) in &fleet.hosts {
            let now = host.state.plan().rules.revision;
            let before = latest.insert(name.clone(), now).unwrap_or(now);
            assert!(now >= before, "{name} fell back from {before} to {now}");
        }
        fleet.has_rules(revision)
    })
    .await
    .unwrap();
}

#[rstest]
#[case::old_after_new(Plan { stale: 3, ..Plan::default() })]
#[case::replicas_that_disagree(Plan { stale: 3, flapping: true, ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_platform_behind_the_times_reverts_nothing(#[case] plan: Plan) {
    let mut fleet = start(Shape {
        tune: usual,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await;
    for _ in 0..3 {
        change(&mut fleet);
    }
    in_force(&fleet, 4).await;
    fleet.platform.set_plan(plan);
    let began = tokio::time::Instant::now();
    until("a while passes", IN_FORCE, || {
        assert!(fleet.has_rules(4));
        began.elapsed() > Duration::from_secs(3)
    })
    .await
    .unwrap();
    if plan.flapping {
        let revision = change(&mut fleet);
        in_force(&fleet, revision).await;
    }
    fleet.platform.set_plan(Plan::default());
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_stays_behind_holds_nothing_up() {
    let mut shape = Shape::zones(2, 2, 0, 1);
    shape.tune = usual;
    let mut fleet = Fleet::start_with_replica(shape).await.unwrap();
    fleet.ready().await.unwrap();
    // The first replica is stuck; only the second shows the change.
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_a_long_outage_is_in_force_in_time() {
    let mut fleet = start(Shape::zones(1, 1, 0, 1)).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    // Long enough for the waits between two tries to grow.
    tokio::time::sleep(Duration::from_secs(16)).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Up);
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_restarted_in_turn_during_an_outage_learn_from_their_peers() {
    let mut fleet = Fleet::start(Shape {
        seeds: true,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await
    .unwrap();
    fleet.ready().await.unwrap();
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let names: Vec<_> = fleet.hosts.keys().cloned().collect();
    for name in names {
        fleet.kill(&name).unwrap();
        fleet.restart(&name).await.unwrap();
        in_force(&fleet, revision).await;
        fleet.ready().await.unwrap();
    }
    let at = fleet.caller("z1-h1").unwrap();
    let answer = client::send(at, client::look_up(1).unwrap()).await.unwrap();
    assert_eq!(answer.outcome(), "answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_on_a_stale_platform_never_acts_on_the_old_rules() {
    let mut fleet = start(Shape::zones(1, 3, 0, 1)).await;
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
    fleet.platform.set_plan(Plan {
        stale: 3,
        ..Plan::default()
    });
    fleet.kill("z1-h1").unwrap();
    fleet.restart("z1-h1").await.unwrap();
    let host = &fleet.hosts["z1-h1"];
    until("rules in force", IN_FORCE, || {
        let plan = host.state.plan();
        assert!(!plan.is_ready() || plan.rules.revision.0 >= revision);
        plan.is_ready()
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_value_is_refused_and_the_last_good_one_stays() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet
        .platform
        .publish("rules", "revision = 2\ndraining = 7\n");
    let refused = |host: &standin::fleet::host::Host| {
        let store = lock(&host.state.store);
        let refused = store.refused().find(|it| it.0 == Key::Rules);
        refused.map(|(_, refused)| refused.reason.to_string())
    };
    until("a host refused it", IN_FORCE, || {
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
    let revision = change(&mut fleet);
    in_force(&fleet, revision).await;
    assert!(fleet.hosts.values().all(|host| refused(host).is_none()));
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_may_name_an_upstream_before_the_register_lists_it() {
    let shape = Shape::zones(1, 2, 0, 2);
    let mut fleet = start(shape).await;
    let late = fleet.shape.upstreams.remove("z1-t2").unwrap();
    fleet.set_register(|_| {});
    fleet.set_rules(|rules| rules.leaving = ["z1-t2".to_owned()].into());
    in_force(&fleet, 2).await;
    let before = fleet.started(|name| name == "z1-t2");
    fleet.set_register(|shape| {
        shape.upstreams.insert("z1-t2".to_owned(), late);
    });
    let at = fleet.caller("z1-h1").unwrap();
    until("register in force", IN_FORCE, || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.state.plan().register.revision.0 == 3)
    })
    .await
    .unwrap();
    for seat in 0..50 {
        let answer = client::send(at, client::look_up(seat).unwrap())
            .await
            .unwrap();
        assert_eq!(answer.outcome(), "answered");
    }
    assert_eq!(fleet.started(|name| name == "z1-t2"), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_register_of_nearly_a_megabyte_is_in_force_in_time() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet.set_register(|shape| {
        for at in 0..16_000 {
            shape.workspaces.insert(format!("workspace-{at:06}"), 1);
        }
    });
    let bytes = fleet.shape.register().len();
    assert!((700_000..1_000_000).contains(&bytes), "{bytes} bytes");
    until("register in force", IN_FORCE, || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.state.plan().register.revision.0 == 2)
    })
    .await
    .unwrap();
    fleet.ready().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn sides_ahead_in_different_values_agree_when_a_partition_heals() {
    let mut fleet = start(Shape {
        tune: usual,
        ..Shape::zones(2, 2, 0, 1)
    })
    .await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    fleet.cut(|host| host.starts_with("z1"));
    // Not published, so that each is known to one host only.
    fleet.shape.workspaces.insert("late".to_owned(), 3);
    fleet.shape.revision += 1;
    fleet.shape.rules.revision += 1;
    let register = fleet.hosts["z1-h1"].read(Key::Register, &fleet.shape.register());
    let revision = fleet.shape.rules.revision;
    let rules = fleet.hosts["z2-h2"].read(Key::Rules, &fleet.shape.rules());
    assert!(register.is_change() && rules.is_change());
    fleet.heal();
    until("both in force", IN_FORCE, || {
        fleet.hosts.values().all(|host| {
            let plan = host.state.plan();
            (plan.register.revision.0, plan.rules.revision.0) == (2, revision)
        })
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_the_list_of_workspaces_is_in_force_in_time() {
    let mut fleet = start(Shape::zones(2, 2, 0, 1)).await;
    fleet.set_register(|shape| shape.workspace_parts = 2);
    for revision in 1..4 {
        for part in 0..2 {
            let text = format!(
                "revision = {revision}\n[[workspace]]\nname = \"part-{part}\"\nweight = {revision}\n"
            );
            fleet.platform.publish(&format!("workspaces/{part}"), &text);
        }
        until("parts in force", IN_FORCE, || {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_never_put_in_force_after_a_later_one() {
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
            // All are worked out before any can be put in force.
            let desk = lock(&host.state.scheduler);
            for text in &texts {
                scope.spawn(move || host.read(Key::Rules, text));
                std::thread::sleep(Duration::from_millis(1));
            }
            drop(desk);
        });
        let now = host.state.plan().rules.revision.0;
        assert_eq!(now, latest, "fell back");
    }
}
