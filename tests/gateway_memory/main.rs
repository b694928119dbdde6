//! Memory of a gateway whose upstreams send bytes without end. The only test of this
//! process, since it measures it.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "a test may panic"
)]

#[expect(dead_code, reason = "shared with other tests")]
#[path = "../gateway_path/caller.rs"]
mod caller;
#[expect(dead_code, reason = "shared with other tests")]
#[path = "../truncation/end.rs"]
mod end;
#[expect(dead_code, reason = "shared with other tests")]
#[path = "../gateway_path/host.rs"]
mod host;
#[expect(dead_code, reason = "shared with other tests")]
#[path = "../gateway_path/link.rs"]
mod link;
#[path = "../gateway_path/store.rs"]
mod store;
#[expect(dead_code, reason = "shared with other tests")]
#[path = "../gateway_path/upstream.rs"]
mod upstream;

use std::fs;
use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::gateway::table::Kind;

use crate::host::Host;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Timeout of each wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum growth of this process. The smallest hosts have 160 MB.
const MAX_GROWTH_KB: usize = 120 << 10;

/// Beginning of a response that ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 X\r\n{echo}connection: close\r\n\r\n";

/// Beginning of a response whose head doesn't end.
const OPEN_HEADER: &str = "HTTP/1.1 200 X\r\n{echo}x-long: ";

/// Beginning of a stream whose first event doesn't end.
const OPEN_EVENT: &str = "HTTP/1.1 200 X\r\n{echo}connection: close\r\n\r\nid: 0\ndata: ";

/// Number of requests at once.
const REQUESTS: usize = 64;

/// How long callers don't read.
const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Returns the largest resident size of this process so far.
fn peak_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.unwrap().parse().unwrap()
}

/// Responses without end: the kind of their requests, how they begin and what they repeat.
const ENDLESS: [(Kind, &str, &str); 5] = [
    (Kind::NonIdempotent, UNFRAMED, "some text "),
    (Kind::NonIdempotent, OPEN_HEADER, "a"),
    (Kind::Stream, OPEN_HEADER, "a\r\nx: y"),
    (Kind::Stream, OPEN_EVENT, "a"),
    (Kind::ResumableStream, OPEN_EVENT, "a\ndata: a"),
];

/// Guards against hosts that run out of memory: each response alone is within its limit.
#[tokio::test]
async fn many_responses_without_end_take_bounded_memory() {
    let before = peak_kb();
    for (kind, head, text) in ENDLESS {
        let burst = 7 << 20;
        let (_upstreams, host) = start(kind, Step::Endless { head, text, burst }).await;
        let attempts: Vec<_> = (0..REQUESTS).map(|number| format!("a{number}")).collect();
        let sent = attempts
            .iter()
            .map(|attempt| caller::send(host.caller, attempt, &[]));
        for reply in join_all(sent).await {
            assert!(reply.status >= 500, "{}", reply.status);
        }
        let growth = peak_kb() - before;
        assert!(growth < MAX_GROWTH_KB, "{growth} KB, {kind} {text:?}");
    }
    let burst = usize::MAX;
    let endless = Step::Endless {
        head: UNFRAMED,
        text: ": a\n\n",
        burst,
    };
    let (_upstreams, host) = start(Kind::Stream, endless).await;
    let callers = (0..REQUESTS).map(|number| async move {
        let attempt = format!("b{number}");
        caller::send_unread(host.caller, &attempt, UNREAD_TIME).await;
    });
    join_all(callers).await;
    let growth = peak_kb() - before;
    assert!(
        growth < MAX_GROWTH_KB,
        "{growth} KB, callers that don't read"
    );
}

async fn start(kind: Kind, step: Step) -> (Vec<Upstream>, Host) {
    let ids = ["u1", "u2", "u3", "u4"];
    let upstreams = join_all(ids.map(|id| Upstream::start(id, move |_| step))).await;
    let host = Host::start(kind, &upstreams.iter().collect::<Vec<_>>()).await;
    (upstreams, host)
}
