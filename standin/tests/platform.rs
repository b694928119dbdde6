//! The simulated platform serves values and watches, and injects its faults.

mod common;

use std::time::Duration;

use common::Client;
use http::StatusCode;
use standin::fault::Reachability;
use standin::platform::fault::Plan;

const FIRST: &str = "revision = 1\n";
const SECOND: &str = "revision = 2\n";

#[tokio::test]
async fn a_value_is_read_with_its_revision() {
    let platform = common::platform(None).await;
    let mut client = Client::connect(platform.address).await;
    let missing = client.get("/v1/values/rules").await.unwrap();
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    platform.handle.publish("rules", FIRST);
    let value = client.get("/v1/values/rules").await.unwrap();
    assert_eq!(value.revision.as_deref(), Some("1"));
    assert_eq!(value.body, FIRST);
}

#[tokio::test]
async fn a_watch_ends_at_the_next_revision() {
    let platform = common::platform(None).await;
    platform.handle.publish("rules", FIRST);
    let mut client = Client::connect(platform.address).await;
    let path = "/v1/values/rules?after=1&wait_ms=20";
    let same = client.get(path).await.unwrap();
    assert_eq!(same.status, StatusCode::NOT_MODIFIED);
    let watch = client.get("/v1/values/rules?after=1&wait_ms=5000");
    let publish = async {
        common::until(|| platform.handle.calls().waiting == 1).await;
        platform.handle.publish("rules", SECOND);
    };
    let (value, ()) = tokio::join!(watch, publish);
    assert_eq!(value.unwrap().revision.as_deref(), Some("2"));
    assert_eq!(platform.handle.calls().watches, 2);
}

#[tokio::test]
async fn files_are_published_again_when_they_change() {
    let dir = common::Dir::new();
    dir.write("rules.toml", FIRST);
    dir.write("workspaces/1.toml", FIRST);
    dir.write("hosts.json", r#"[{"host":"e1","state":"leaving"}]"#);
    let platform = common::platform(Some(dir.path())).await;
    let mut client = Client::connect(platform.address).await;
    common::until_accepted(platform.address).await;
    let hosts = client.get("/v1/hosts").await.unwrap();
    assert_eq!(hosts.body, r#"[{"host":"e1","state":"leaving"}]"#);
    let value = client.get("/v1/values/workspaces/1").await.unwrap();
    assert_eq!(value.body, FIRST);
    tokio::time::sleep(Duration::from_millis(20)).await;
    dir.write("rules.toml", SECOND);
    let path = "/v1/values/rules?after=1&wait_ms=5000";
    let value = client.get(path).await.unwrap();
    assert_eq!(value.body, SECOND);
}

#[tokio::test]
async fn a_stale_platform_returns_older_values() {
    let platform = common::platform(None).await;
    platform.handle.publish("rules", FIRST);
    platform.handle.publish("rules", SECOND);
    platform.handle.set_plan(Plan {
        stale: 1,
        ..Plan::default()
    });
    let mut client = Client::connect(platform.address).await;
    let value = client.get("/v1/values/rules").await.unwrap();
    assert_eq!(value.body, FIRST);
    platform.handle.set_plan(Plan {
        stale: 1,
        flapping: true,
        ..Plan::default()
    });
    let one = client.get("/v1/values/rules").await.unwrap().body;
    let two = client.get("/v1/values/rules").await.unwrap().body;
    assert_ne!(one, two);
}

#[tokio::test]
async fn a_platform_that_is_down_refuses_connections() {
    let platform = common::platform(None).await;
    let mut open = Client::connect(platform.address).await;
    open.get("/v1/hosts").await.unwrap();
    platform
        .handle
        .shared
        .fault
        .set_reachability(Reachability::Down);
    common::until_refused(platform.address).await;
    assert!(open.get("/v1/hosts").await.is_err());
    platform
        .handle
        .shared
        .fault
        .set_reachability(Reachability::Up);
    common::until_accepted(platform.address).await;
}
