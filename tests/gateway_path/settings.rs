//! Reload of the settings file of a running gateway.

use std::path::PathBuf;
use std::time::Duration;

use masticmoor::gateway::reload;
use masticmoor::gateway::reload::Change;
use masticmoor::gateway::table::Kind;
use masticmoor::options::Options;
use rstest::rstest;

use crate::host;
use crate::host::Host;

/// Line of the settings that the tests replace.
const REPLACED_LINE: &str = "revocation_ms = 4000";

/// Returns the settings of the tests' gateway with one line replaced.
fn settings(replacement: &str) -> String {
    let text = host::SETTINGS.replace(REPLACED_LINE, replacement);
    assert_ne!(text, host::SETTINGS);
    text
}

/// A temporary settings file that is removed on drop.
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
async fn a_changed_file_takes_effect_at_the_next_poll() {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let file = File::new("changed");
    let mut reloaded = reload::File::new(file.0.clone(), host::SETTINGS.to_owned());
    file.write(&settings("revocation_ms = 2500"));
    assert_eq!(host.state.live_options().revocation, Duration::from_secs(4));
    reloaded.poll(&host.state);
    assert_eq!(
        host.state.live_options().revocation,
        Duration::from_millis(2_500)
    );
}

/// Guards against losing settings while the file is replaced: a poll may find it
/// incomplete, invalid or missing.
#[tokio::test]
async fn an_invalid_file_changes_nothing_and_the_next_valid_one_takes_effect() {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let file = File::new("faulty");
    let mut reloaded = reload::File::new(file.0.clone(), host::SETTINGS.to_owned());
    let before = host.state.live_options();
    for invalid in ["", "[host]\nname =", &settings("revocation_ms = -1")] {
        file.write(invalid);
        reloaded.poll(&host.state);
        assert_eq!(host.state.live_options(), before, "{invalid}");
    }
    std::fs::remove_file(&file.0).unwrap();
    reloaded.poll(&host.state);
    assert_eq!(host.state.live_options(), before);
    file.write(&settings("retry_slack = 7.0"));
    reloaded.poll(&host.state);
    assert!((host.state.live_options().retry_slack - 7.0).abs() < f64::EPSILON);
}

/// Guards against a running host that takes a part of invalid settings: a bound that it can't read
/// leaves all of them as they were, and one that is a fraction takes effect.
#[tokio::test]
async fn a_bound_that_is_refused_changes_nothing_and_a_fraction_takes_effect() {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let file = File::new("bounds");
    let mut reloaded = reload::File::new(file.0.clone(), host::SETTINGS.to_owned());
    let before = host.state.live_options();
    for refused in [
        "grace_s = \"-1\"",
        "grace_s = \"1e300\"",
        "retry_window_s = \"0\"",
        "revocation_ms = \"soon\"",
        "grace_ms = 8000\ngrace_s = 7.5",
        "link_mbps = \"-0.5\"",
    ] {
        file.write(&settings(&format!("retry_ratio = 0.7\n{refused}")));
        reloaded.poll(&host.state);
        assert_eq!(host.state.live_options(), before, "{refused}");
    }
    file.write(&settings("grace_s = \"7.5\"\nretry_window_s = 2.25"));
    reloaded.poll(&host.state);
    let options = host.state.live_options();
    assert_eq!(options.grace, Duration::from_millis(7_500));
    assert_eq!(options.retry_window, Duration::from_millis(2_250));
}

#[rstest]
#[case::bound("retry_ratio = 0.5", &["gateway"], &[])]
#[case::path("ready_path = \"/other\"", &["gateway"], &["gateway.ready_path"])]
#[case::seeds("[peer]\nseeds = [\"10.0.0.9:7400\"]", &["gateway", "peer.seeds"], &[])]
#[case::log("[log]\nlevel = \"warn\"", &["gateway"], &["log"])]
#[tokio::test]
async fn changes_that_need_a_restart_are_reported_as_deferred(
    #[case] replacement: &str,
    #[case] applied: &[&'static str],
    #[case] deferred: &[&'static str],
) {
    let host = Host::start(Kind::Idempotent, &[]).await;
    let before = host.state.live_options();
    let new = Options::parse(&settings(replacement)).unwrap();
    let change = reload::apply(&host.state, &new);
    assert_eq!(change.applied, applied);
    // The tests' gateway uses another port for gossip than its settings say.
    let expected: Vec<_> = deferred.iter().chain(&["gateway.gossip_port"]).collect();
    let deferred: Vec<_> = change.deferred.iter().collect();
    assert_eq!(deferred, expected);
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
