//! Streams of a service whose upstreams run several versions.

use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::gateway::table::Kind;
use masticmoor::outcome::Outcome;
use tokio::time::Instant;

use crate::caller;
use crate::caller::Reply;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::upstream;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Maximum time until a stream is refused whose beginning no host knows.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of the event after which the first response of each upstream breaks off.
const LAST: u64 = 4;

/// Returns upstreams whose streams end in the middle of the event after [`LAST`].
async fn truncating(versions: &[(&'static str, &'static str)]) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for (id, version) in versions {
        let step = |_| Step::Stream {
            from: 0,
            to: LAST + 1,
            truncated: true,
        };
        upstreams.push(Upstream::start(id, step).await.with_version(version));
    }
    upstreams
}

/// Sets whether resumed streams are complete.
fn complete_resumed(upstreams: &[Upstream], is_complete: bool) {
    for upstream in upstreams {
        upstream.set_resumed_to(if is_complete { 10 } else { 0 });
    }
}

fn forget_requests(upstreams: &[Upstream]) {
    for upstream in upstreams {
        upstream.forget_requests();
    }
}

/// Returns the versions of the upstreams that received requests.
fn used_versions(upstreams: &[Upstream]) -> BTreeSet<&'static str> {
    let used = upstreams.iter().filter(|it| !it.requests().is_empty());
    used.map(|it| it.version).collect()
}

/// Sends the request that resumes the stream that attempt `origin` began.
async fn resume(host: &Host, attempt: &str, origin: &str) -> Reply {
    let last = LAST.to_string();
    let headers = [("x-last", last.as_str()), ("x-origin", origin)];
    caller::send(host.caller, attempt, &headers).await
}

#[tokio::test]
async fn a_truncated_stream_does_not_continue_at_another_version() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(!reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, LAST + 1));
    assert_eq!(used_versions(&upstreams).len(), 1);
    assert!(sent.elapsed() < REFUSAL_TIMEOUT);
}

#[tokio::test]
async fn a_truncated_stream_continues_at_the_version_that_began_it() {
    let versions = [("u1", "v1"), ("u2", "v2"), ("u3", "v1"), ("u4", "v2")];
    let upstreams = truncating(&versions).await;
    complete_resumed(&upstreams, true);
    let all: Vec<&Upstream> = upstreams.iter().collect();
    for prompt in ["1,2", "3,4", "5,6", "7,8", "9,10", "11,12"] {
        let host = Host::start(Kind::ResumableStream, &all).await;
        let reply = caller::send(host.caller, "a1", &[("x-parts", prompt)]).await;
        assert!(reply.is_complete, "{prompt}: {}", reply.text());
        assert_eq!(reply.body, upstream::events(0, 10));
        assert_eq!(used_versions(&upstreams).len(), 1, "{prompt}");
        forget_requests(&upstreams);
    }
}

#[tokio::test]
async fn a_slow_stream_does_not_move_to_another_version() {
    let one = Upstream::start("u1", |_| Step::Stall { at: 3, to: 6 }).await;
    let two = Upstream::start("u2", |_| Step::Stall { at: 3, to: 6 }).await;
    let two = two.with_version("v2");
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for upstream in [&one, &two] {
        upstream.set_resumed_to(6);
    }
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 6));
    assert_eq!(runs(&[&one, &two]), 1);
}

#[tokio::test]
async fn a_response_without_events_is_replaced_by_one_of_another_version() {
    let empty = |_| Step::Stream {
        from: 0,
        to: 0,
        truncated: true,
    };
    let complete = |_| Step::Stream {
        from: 0,
        to: 3,
        truncated: false,
    };
    let one = Upstream::start("u1", empty).await;
    let two = Upstream::start("u2", complete).await.with_version("v2");
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for prompt in ["1,2", "3,4", "5,6", "7,8", "9,10"] {
        let reply = caller::send(host.caller, "a1", &[("x-parts", prompt)]).await;
        assert!(reply.is_complete);
        assert_eq!(reply.body, upstream::events(0, 3));
        assert_eq!(reply.header("x-receipt"), Some("u2"), "{prompt}");
    }
    assert!(runs(&[&one]) > 0);
}

#[tokio::test]
async fn a_stream_that_a_caller_resumes_continues_at_the_version_that_began_it() {
    for origin in ["a1", "a2", "a3", "a4", "a5", "a6"] {
        let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
        let all: Vec<&Upstream> = upstreams.iter().collect();
        let host = Host::start(Kind::ResumableStream, &all).await;
        // Differs from the prompt of the request that resumes the stream.
        let reply = caller::send(host.caller, origin, &[("x-parts", "1,2")]).await;
        assert_eq!(reply.body, upstream::events(0, LAST + 1), "{origin}");
        complete_resumed(&upstreams, true);
        let reply = resume(&host, "next", origin).await;
        assert!(reply.is_complete, "{origin}: {}", reply.text());
        assert_eq!(reply.body, upstream::events(LAST + 1, 10), "{origin}");
        assert_eq!(used_versions(&upstreams).len(), 1, "{origin}");
    }
}

#[tokio::test]
async fn a_stream_of_another_host_continues_at_the_version_that_began_it() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let fleet = Host::start_fleet(3, Kind::ResumableStream, &all).await;
    for (number, begins) in fleet.iter().enumerate() {
        for (other, continues) in fleet.iter().enumerate() {
            let origin = format!("a{number}-{other}");
            complete_resumed(&upstreams, false);
            let reply = caller::send(begins.caller, &origin, &[]).await;
            assert_eq!(reply.body, upstream::events(0, LAST + 1), "{origin}");
            complete_resumed(&upstreams, true);
            let reply = resume(continues, &format!("next-{origin}"), &origin).await;
            assert!(reply.is_complete, "{origin}: {}", reply.text());
            assert_eq!(used_versions(&upstreams).len(), 1, "{origin}");
            forget_requests(&upstreams);
        }
    }
}

#[tokio::test]
async fn a_stream_of_a_killed_host_continues_at_the_version_that_began_it() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let fleet = Host::start_fleet(4, Kind::ResumableStream, &all).await;
    let origins = ["a1", "a2", "a3", "a4"];
    let mut begun = Vec::new();
    for origin in origins {
        let reply = caller::send(fleet[0].caller, origin, &[("x-parts", origin)]).await;
        assert_eq!(reply.body, upstream::events(0, LAST + 1), "{origin}");
        begun.push(used_versions(&upstreams));
        forget_requests(&upstreams);
    }
    // The last callers get their first event some time before they lose the host.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet[0].kill().await;
    complete_resumed(&upstreams, true);
    for (origin, versions) in origins.into_iter().zip(begun) {
        for (number, host) in fleet.iter().enumerate().skip(1) {
            let reply = resume(host, &format!("next{number}-{origin}"), origin).await;
            assert!(reply.is_complete, "{origin}, {number}: {}", reply.text());
            assert_eq!(used_versions(&upstreams), versions, "{origin}, {number}");
            forget_requests(&upstreams);
        }
    }
}

#[tokio::test]
async fn a_stream_whose_beginning_no_host_knows_is_refused_at_once() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    complete_resumed(&upstreams, true);
    let fleet = Host::start_fleet(2, Kind::ResumableStream, &all).await;
    let last = LAST.to_string();
    let unknown = [("x-last", last.as_str()), ("x-origin", "lost")];
    let unnamed = [("x-last", last.as_str())];
    for headers in [&unknown[..], &unnamed[..]] {
        let sent = Instant::now();
        let reply = caller::send(fleet[1].caller, "next", headers).await;
        assert_eq!(reply.status, 503);
        assert_eq!(outcome(&reply), Outcome::NotRun);
        assert!(reply.header("retry-after").is_some());
        assert!(sent.elapsed() < REFUSAL_TIMEOUT);
    }
    assert_eq!(runs(&all), 0);
}

#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let upstreams = truncating(&[("u1", "v1")]).await;
    let host = Host::start(Kind::ResumableStream, &[&upstreams[0]]).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.body, upstream::events(0, LAST + 1));
    let next = truncating(&[("u2", "v2")]).await;
    complete_resumed(&next, true);
    host.replace_upstreams(&[&next[0]]).await;
    let sent = Instant::now();
    let reply = resume(&host, "next", "a1").await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert!(sent.elapsed() < REFUSAL_TIMEOUT);
    assert_eq!(runs(&[&next[0]]), 0);
}

/// Sends a request that resumes a stream, but doesn't name the attempt that began it.
async fn resume_unnamed(host: &Host, attempt: &str) -> Reply {
    let last = LAST.to_string();
    caller::send(host.caller, attempt, &[("x-last", last.as_str())]).await
}

/// All hosts were killed, and the upstreams that began the streams have left.
#[tokio::test]
async fn hosts_that_have_just_started_join_no_text_of_two_versions() {
    let old = truncating(&[("u1", "v1")]).await;
    let begun = Host::start(Kind::ResumableStream, &[&old[0]]).await;
    let reply = caller::send(begun.caller, "a1", &[]).await;
    assert_eq!(reply.body, upstream::events(0, LAST + 1));
    begun.kill().await;
    let new = truncating(&[("u2", "v2"), ("u3", "v2")]).await;
    let all: Vec<&Upstream> = new.iter().collect();
    complete_resumed(&new, true);
    let fleet = Host::start_fleet(2, Kind::ResumableStream, &all).await;
    for host in &fleet {
        for reply in [
            resume(host, "next1", "a1").await,
            resume_unnamed(host, "next2").await,
        ] {
            assert_eq!(reply.status, 503, "{}", reply.text());
            assert_eq!(outcome(&reply), Outcome::NotRun);
        }
    }
    assert_eq!(runs(&all), 0);
}

/// Three times the time limit of the route, and some more.
const LOOKBACK: Duration = Duration::from_millis(15_500);

/// Guards against a host that is cut off: another version may have started since, and
/// begun the stream. Only what the store lists now tells, not whether all hosts answer.
#[tokio::test]
async fn the_only_version_is_not_assumed_by_a_host_that_cannot_read_the_store() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v1")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    complete_resumed(&upstreams, true);
    let fleet = Host::start_fleet(3, Kind::ResumableStream, &all).await;
    tokio::time::sleep(LOOKBACK).await;
    let reply = resume(&fleet[2], "next1", "unknown1").await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(LAST + 1, 10));
    let reply = resume_unnamed(&fleet[2], "next3").await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(LAST + 1, 10));
    // A host that is lost knows no version that the store didn't list.
    fleet[0].kill().await;
    let reply = resume(&fleet[2], "next2", "unknown2").await;
    assert_eq!(reply.text().as_bytes(), upstream::events(LAST + 1, 10));
    fleet[2].silence_store();
    for origin in ["unknown3", "unknown4"] {
        let sent = Instant::now();
        let reply = resume(&fleet[2], &format!("next-{origin}"), origin).await;
        assert_eq!(reply.status, 503, "{}", reply.text());
        assert_eq!(outcome(&reply), Outcome::NotRun);
        assert!(sent.elapsed() < REFUSAL_TIMEOUT);
    }
    let reply = resume_unnamed(&fleet[2], "next5").await;
    assert_eq!(reply.status, 503, "{}", reply.text());
}

/// Guards against a host that is out of step while a version joins: streams may have begun there
/// through other hosts, and all of those that were told may be gone.
#[tokio::test]
async fn a_host_that_has_not_seen_a_version_join_does_not_continue_its_streams_at_another() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v1")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    complete_resumed(&upstreams, true);
    let fleet = Host::start_fleet(2, Kind::ResumableStream, &all).await;
    let joining = truncating(&[("u3", "v2")]).await;
    tokio::time::sleep(LOOKBACK).await;
    fleet[1].add_upstream_unseen(&joining[0]).await;
    let reply = resume(&fleet[1], "next1", "unknown1").await;
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(outcome(&reply), Outcome::NotRun);
    let reply = resume_unnamed(&fleet[1], "next2").await;
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(runs(&all), 0);
}

/// Guards against long answers that end with a host that is restarted, although one that stayed up
/// knows that there has been no other version.
#[tokio::test]
async fn a_restarted_host_learns_from_others_which_versions_there_were() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v1")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    complete_resumed(&upstreams, true);
    let fleet = Host::start_fleet(3, Kind::ResumableStream, &all).await;
    let past = truncating(&[("u3", "v0")]).await;
    tokio::time::sleep(LOOKBACK).await;
    let restarted = fleet[2].restart(3, Kind::ResumableStream, &all).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reply = resume(&restarted, "next1", "unknown1").await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(LAST + 1, 10));
    forget_requests(&upstreams);
    // Another version was in service meanwhile, as only hosts that stayed up know.
    for host in &fleet[..2] {
        host.replace_upstreams(&[all[0], all[1], &past[0]]).await;
        host.replace_upstreams(&all).await;
    }
    let restarted = restarted.restart(3, Kind::ResumableStream, &all).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reply = resume(&restarted, "next2", "unknown2").await;
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(runs(&all), 0);
}

/// Guards against long answers that end with most hosts: the one that is left knows them all, and
/// those that come back ask it.
#[tokio::test]
async fn streams_go_on_when_all_hosts_but_one_are_restarted() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let fleet = Host::start_fleet(6, Kind::ResumableStream, &all).await;
    let origins: Vec<_> = (0..12).map(|it| format!("a{it}")).collect();
    let mut begun = Vec::new();
    for (number, origin) in origins.iter().enumerate() {
        let host = &fleet[number % 5];
        let reply = caller::send(host.caller, origin, &[("x-parts", origin)]).await;
        assert_eq!(reply.body, upstream::events(0, LAST + 1), "{origin}");
        begun.push(used_versions(&upstreams));
        forget_requests(&upstreams);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    complete_resumed(&upstreams, true);
    let mut restarted = Vec::new();
    for (host, number) in fleet[..5].iter().zip(1..) {
        host.kill().await;
        restarted.push(host.restart(number, Kind::ResumableStream, &all).await);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (number, (origin, versions)) in origins.iter().zip(begun).enumerate() {
        let host = &restarted[number % 5];
        let reply = resume(host, &format!("next-{origin}"), origin).await;
        assert!(reply.is_complete, "{origin}: {}", reply.text());
        assert_eq!(used_versions(&upstreams), versions, "{origin}");
        forget_requests(&upstreams);
    }
}

/// Guards against long answers that end with all hosts, after which none was told. The engine that
/// began the stream still lists the segment that only this request has.
#[tokio::test]
async fn a_stream_goes_on_when_all_hosts_are_restarted() {
    let upstreams = truncating(&[("u1", "v1"), ("u2", "v2")]).await;
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    let segments = ("x-parts", "1,2,77");
    let reply = caller::send(host.caller, "a1", &[segments]).await;
    assert_eq!(reply.body, upstream::events(0, LAST + 1));
    let versions = used_versions(&upstreams);
    host.kill().await;
    forget_requests(&upstreams);
    complete_resumed(&upstreams, true);
    let mut begun = all.iter().filter(|it| versions.contains(it.version));
    let cached: [(&Upstream, &[u64]); 1] = [(begun.next().unwrap(), &[1, 2, 77])];
    let restarted = Host::start_with_cache(Kind::ResumableStream, &all, &cached).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let last = LAST.to_string();
    let headers = [segments, ("x-last", last.as_str()), ("x-origin", "a1")];
    let reply = caller::send(restarted.caller, "next", &headers).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(used_versions(&upstreams), versions);
}
