//! Volume limits of the log, and its documentation on the operators' page.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

use masticmoor::log;
use masticmoor::log::Budget;
use masticmoor::log::ROUTINE;
use tokio::time::Instant;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// Writer that blocks until the test drops the sender.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _disconnected = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test(start_paused = true)]
async fn all_lines_are_limited_and_those_on_successful_requests_more_strictly() {
    let budget = Budget::new(Instant::now());
    let admit = |target| budget.admit(Instant::now(), target);
    let calm = (0..10_000).filter(|_| admit(ROUTINE)).count();
    let other = (0..10_000).filter(|_| admit("masticmoor")).count();
    assert!(calm < other && other < 1_000, "{calm} {other}");
    let dropped = budget.take_dropped();
    assert_eq!(dropped, (10_000 - calm as u64, 10_000 - other as u64));
    assert_eq!(budget.take_dropped(), (0, 0));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!((0..10_000).filter(|_| admit(ROUTINE)).count(), calm);
}

/// Guards against a gateway that blocks on its log: a reader that stops reading fills the
/// pipe and then the queue.
#[test]
fn logging_does_not_block_on_a_stalled_reader() {
    let (release, blocked) = mpsc::channel();
    let (mut writer, guard) = log::non_blocking(BlockedWriter(blocked));
    // Far more lines than the queue and any pipe hold.
    let (done, finished) = mpsc::channel();
    std::thread::spawn(move || {
        for _ in 0..100_000 {
            writer
                .write_all(b"{\"message\":\"request: sent\"}\n")
                .unwrap();
        }
        done.send(()).unwrap();
    });
    let result = finished.recv_timeout(Duration::from_secs(30));
    assert_eq!(result, Ok(()));
    drop(release);
    drop(guard);
}

/// Returns the messages of all log lines in the source files of a folder and of those in it.
fn messages(folder: &Path) -> BTreeSet<String> {
    let prefixes = [
        "callers: ",
        "gateway: ",
        "log: ",
        "operators: ",
        "peers: ",
        "request: ",
        "store: ",
        "upstream: ",
        "view: ",
    ];
    let mut found = BTreeSet::new();
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.is_dir() {
            found.extend(messages(&path));
            continue;
        }
        let text = fs::read_to_string(path).unwrap();
        for literal in text.split('"').skip(1).step_by(2) {
            if prefixes.iter().any(|prefix| literal.starts_with(prefix)) {
                found.insert(literal.to_owned());
            }
        }
    }
    found
}

#[test]
fn the_operators_page_documents_each_message() {
    let mut messages = messages(Path::new("src/gateway"));
    assert!(messages.len() > 20, "{messages:?}");
    messages.extend(self::messages(Path::new("platform/src")));
    let missing: Vec<_> = messages
        .iter()
        .filter(|message| !PAGE.contains(&format!("`{message}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
