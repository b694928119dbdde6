//! Settings that change while a gateway runs.

use std::path::PathBuf;
use std::time::Duration;

use masticmoor::gateway::reload;
use masticmoor::gateway::reload::Change;
use masticmoor::gateway::table::Kind;
use masticmoor::options::Options;
use rstest::rstest;

use crate::host;
use crate::host::Host;

const REVOCATION: &str = "revocation_ms = 4000";

/// Returns the settings of the tests' gateway with something else in place of one
/// line.
fn settings(instead: &str) -> String {
    let text = host::SETTINGS.replace(REVOCATION, instead);
    assert_ne!(text, host::SETTINGS);
    text
}

/// A file that is removed at the end.
struct File(PathBuf);

impl File {
    fn new(name: &str) -> Self {
        let path = format!("masticmoor-{name}-{}.toml", std::process::id());
        let file = Self(std::env::temp_dir().join(path));
        file.write(host::SETTINGS);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }
}

impl Drop for File {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).unwrap();
    }
}

#[tokio::test]
async fn a_file_that_changes_is_in_force_at_the_next_look() {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let file = File::new("changed");
    let mut file_state = reload::File::new(file.0.clone(), host::SETTINGS.to_owned());
    file.write(&settings("revocation_ms = 2500"));
    assert_eq!(host.state.live_options().revocation, Duration::from_secs(4));
    file_state.poll(&host.state);
    assert_eq!(
        host.state.live_options().revocation,
        Duration::from_millis(2_500)
    );
}

/// The file may be written in part, or be away for a moment.
#[tokio::test]
async fn a_file_with_faults_changes_nothing_and_the_next_whole_one_counts() {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let file = File::new("faulty");
    let mut file_state = reload::File::new(file.0.clone(), host::SETTINGS.to_owned());
    let before = host.state.live_options();
    for faulty in ["", "[host]\nname =", &settings("revocation_ms = -1")] {
        file.write(faulty);
        file_state.poll(&host.state);
        assert_eq!(host.state.live_options(), before, "{faulty}");
    }
    std::fs::remove_file(&file.0).unwrap();
    file_state.poll(&host.state);
    assert_eq!(host.state.live_options(), before);
    file.write(&settings("retry_slack = 7.0"));
    file_state.poll(&host.state);
    assert!((host.state.live_options().retry_slack - 7.0).abs() < f64::EPSILON);
}

#[rstest]
#[case::bound("retry_ratio = 0.5", &["gateway"], &[])]
#[case::path("ready_path = \"/other\"", &["gateway"], &["gateway.ready_path"])]
#[case::seeds("[peer]\nseeds = [\"10.0.0.9:7400\"]", &["gateway", "peer.seeds"], &[])]
#[case::log("[log]\nlevel = \"warn\"", &["gateway"], &["log"])]
#[tokio::test]
async fn what_waits_for_the_next_start_is_told(
    #[case] instead: &str,
    #[case] applied: &[&'static str],
    #[case] deferred: &[&'static str],
) {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let before = host.state.live_options();
    let new = Options::parse(&settings(instead)).unwrap();
    let change = reload::apply(&host.state, &new);
    assert_eq!(change.applied, applied);
    // The tests' gateway was opened at another port than the settings name.
    let deferred: Vec<_> = deferred.iter().chain(&["gateway.gossip_port"]).collect();
    let found: Vec<_> = change.deferred.iter().collect();
    assert_eq!(found, deferred);
    assert_eq!(host.state.live_options().ready_path, before.ready_path);
    let again = reload::apply(&host.state, &new);
    assert_eq!(
        again,
        Change {
            applied: Vec::new(),
            ..change
        }
    );
}
