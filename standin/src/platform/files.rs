//! Publishes the files of a directory as values: `.toml` files under their path,
//! and the list of hosts from `hosts.json`. Changes are found by polling.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use tokio::fs;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use super::Handle;

/// Interval between polls of the directory.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Name of the file with the list of hosts.
const HOSTS_FILE: &str = "hosts.json";

/// The modification time of each file.
pub(super) type Modified = BTreeMap<PathBuf, SystemTime>;

/// Publishes all files and returns their modification times.
pub(super) async fn read(dir: &Path, handle: &Handle) -> Modified {
    let mut modified = Modified::new();
    poll(dir, handle, &mut modified).await;
    modified
}

/// Publishes files when they change, until the token is cancelled.
pub(super) async fn watch(
    dir: PathBuf,
    mut modified: Modified,
    handle: Handle,
    token: CancellationToken,
) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(POLL_PERIOD) => poll(&dir, &handle, &mut modified).await,
        }
    }
}

async fn poll(dir: &Path, handle: &Handle, modified: &mut Modified) {
    match modification_times(dir).await {
        Ok(times) => {
            for (path, time) in times {
                if modified.insert(path.clone(), time) != Some(time) {
                    publish(dir, &path, handle).await;
                }
            }
        }
        Err(error) => warn!(%error, "platform: failed to read the directory"),
    }
}

async fn publish(dir: &Path, path: &Path, handle: &Handle) {
    let text = match fs::read_to_string(path).await {
        Ok(text) => text,
        Err(error) => return warn!(%error, "platform: failed to read a file"),
    };
    match (path.ends_with(HOSTS_FILE), key(dir, path)) {
        (true, _) => publish_hosts(&text, handle),
        (false, Some(key)) => {
            info!(%key, "platform: value published");
            handle.publish(&key, &text);
        }
        (false, None) => (),
    }
}

fn publish_hosts(text: &str, handle: &Handle) {
    match serde_json::from_str(text) {
        Ok(hosts) => handle.publish_hosts(hosts),
        Err(error) => warn!(%error, "platform: failed to decode the list of hosts"),
    }
}

/// Returns the key of a file, which is its path in the directory without
/// `.toml`, or `None` for other files.
fn key(dir: &Path, path: &Path) -> Option<String> {
    let relative = path.strip_prefix(dir).ok()?;
    relative.to_str()?.strip_suffix(".toml").map(str::to_owned)
}

async fn modification_times(dir: &Path) -> io::Result<Modified> {
    let mut found = Modified::new();
    let mut remaining = vec![dir.to_owned()];
    while let Some(dir) = remaining.pop() {
        let mut entries = fs::read_dir(dir).await?;
        while let Some(entry) = entries.next_entry().await? {
            let metadata = entry.metadata().await?;
            match metadata.is_dir() {
                true => remaining.push(entry.path()),
                false => {
                    found.insert(entry.path(), metadata.modified()?);
                }
            }
        }
    }
    Ok(found)
}
