//! Bounds on bodies and connections of callers: the decisions, without a network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticmoor::gateway::intake;
use masticmoor::gateway::intake::Limits;
use masticmoor::gateway::intake::STALL_TIME;
use masticmoor::gateway::intake::bodies;
use masticmoor::gateway::intake::bodies::Fault;
use masticmoor::gateway::intake::connections;
use masticmoor::gateway::intake::connections::Shed;
use masticmoor::gateway::intake::pace::Pace;
use masticmoor::gateway::intake::pace::Progress;
use masticmoor::options;
use masticmoor::options::Options;
use masticmoor::socket::Guard;
use masticmoor::socket::Socket;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Memory for two large bodies of 100 bytes, and 60 bytes for small ones of up to 30.
const LIMITS: Limits = Limits {
    body_total: 260,
    reserve: 60,
    small: 30,
    body: 100,
    callers: 3,
    hosts: 3,
};

/// Size of a response that doesn't fit in the kernel's buffers, which hold about 10 MB.
const RESPONSE_BYTES: usize = 64 << 20;

type Bodies = Arc<Mutex<bodies::Table>>;

/// Begins a body and sends bytes of it.
fn send(table: &Bodies, now: Instant, size: usize) -> Result<bodies::Lease, Fault> {
    let lease = bodies::Lease::new(table, now, Some(size));
    lease.append(now, &vec![b'x'; size], &LIMITS)?;
    Ok(lease)
}

fn used(table: &Bodies) -> usize {
    table.lock().unwrap().used()
}

/// Guards against small bodies that find no room while large ones fill the memory.
#[test]
fn small_bodies_find_room_beside_large_ones() {
    let (table, now) = (Bodies::default(), Instant::now());
    let large = [
        send(&table, now, 100).unwrap(),
        send(&table, now, 100).unwrap(),
    ];
    assert_eq!(send(&table, now, 40).err(), Some(Fault::NoRoom));
    let small = [
        send(&table, now, 30).unwrap(),
        send(&table, now, 30).unwrap(),
    ];
    assert_eq!(send(&table, now, 10).err(), Some(Fault::NoRoom));
    drop((large, small));
    assert_eq!(used(&table), 0);
}

/// Guards against stalled bodies that keep others out: the one that has stalled longest is ended,
/// and no more of them than needed.
#[tokio::test]
async fn the_body_that_stalled_longest_makes_room() {
    let (table, now) = (Bodies::default(), Instant::now());
    let first = send(&table, now, 100).unwrap();
    let second = send(&table, now + Duration::from_millis(1), 100).unwrap();
    let later = now + STALL_TIME;
    let third = send(&table, later, 100).unwrap();
    first.ended().await;
    assert_eq!(first.complete().err(), Some(Fault::NoRoom));
    assert_eq!(first.append(later, b"x", &LIMITS), Err(Fault::NoRoom));
    assert_eq!(second.complete().unwrap().len(), 100);
    assert_eq!(table.lock().unwrap().evicted(), 1);
    // Neither a complete body nor one that progresses is ended.
    assert_eq!(send(&table, later, 100).err(), Some(Fault::NoRoom));
    assert_eq!(third.complete().unwrap().len(), 100);
    assert_eq!(used(&table), 200);
}

/// Guards against memory that a body takes beyond its content, and that isn't counted.
#[rstest]
#[case(Some(100), 1)]
#[case(None, 1)]
#[case(None, 33)]
fn chunks_are_copied_together(#[case] announced: Option<usize>, #[case] chunk: usize) {
    let (table, now) = (Bodies::default(), Instant::now());
    let lease = bodies::Lease::new(&table, now, announced);
    let content: Vec<u8> = (0..100).collect();
    for piece in content.chunks(chunk) {
        lease.append(now, piece, &LIMITS).unwrap();
    }
    assert_eq!(lease.append(now, b"x", &LIMITS), Err(Fault::TooLarge));
    assert_eq!(lease.complete().unwrap(), content);
    assert_eq!(used(&table), 100);
}

/// Guards against a caller that announces much and sends nothing, and so keeps others out.
#[test]
fn an_announced_body_takes_memory_as_it_arrives() {
    let (table, now) = (Bodies::default(), Instant::now());
    let limits = Limits {
        body: 1 << 20,
        ..LIMITS
    };
    let silent: Vec<_> = (0..100)
        .map(|_| bodies::Lease::new(&table, now, Some(1 << 20)))
        .collect();
    assert_eq!(used(&table), 0);
    let lease = send(&table, now, 100).unwrap();
    lease.complete().unwrap();
    assert_eq!(
        silent.first().unwrap().append(now, &[0; 500], &limits),
        Err(Fault::NoRoom)
    );
}

/// Guards against slow bodies that hold their memory until the deadline, and against legal ones
/// that are ended.
#[rstest]
// Nothing arrives: the pause ends it.
#[case(0, 0, 5_000)]
// The last bytes came late: the pause counts from them.
#[case(9_000, 9_000, 14_000)]
// The rate was too low: 200 bytes cover 2 s after the first 10 s.
#[case(11_000, 200, 12_000)]
// Large and slow: the deadline ends it.
#[case(29_000, 100_000, 30_000)]
fn a_body_that_is_too_slow_is_ended(
    #[case] last_ms: u64,
    #[case] bytes: usize,
    #[case] ends_ms: u64,
) {
    let begun = Instant::now();
    let after = |ms| begun + Duration::from_millis(ms);
    let pace = Pace {
        idle: Duration::from_secs(5),
        bytes_per_second: 100,
        deadline: after(30_000),
    };
    let progress = Progress {
        begun,
        last: after(last_ms),
        bytes,
    };
    assert_eq!(pace.ends_at(&progress), after(ends_ms));
}

/// Guards against connections that keep others out, and against the loss of requests that run.
#[tokio::test]
async fn the_connection_that_waited_longest_makes_room() {
    let (table, now) = (Arc::<Mutex<connections::Table>>::default(), Instant::now());
    let open = |now| connections::Lease::new(&table, now, LIMITS.callers);
    let (running, idle, active) = (open(now), open(now), open(now));
    assert_eq!(open(now).1, Some(Shed::Refused));
    let later = now + STALL_TIME;
    assert!(running.0.as_ref().unwrap().run());
    active.0.as_ref().unwrap().wait(later);
    let (fresh, shed) = open(later);
    assert_eq!(shed, Some(Shed::Closed));
    idle.0.as_ref().unwrap().closed().await;
    assert_eq!(open(later).1, Some(Shed::Refused));
    drop((running, active, fresh, idle));
    assert_eq!(table.lock().unwrap().count(), 0);
    assert_eq!(table.lock().unwrap().take_unlogged(now), Some(3));
    assert_eq!(table.lock().unwrap().take_unlogged(later), None);
}

/// Guards against a request that starts on a connection that has been chosen for closing, and that
/// is then cut.
#[test]
fn no_request_starts_on_a_connection_that_closes() {
    let (table, now) = (Arc::<Mutex<connections::Table>>::default(), Instant::now());
    let open = |now| connections::Lease::new(&table, now, 1).0.unwrap();
    let first = open(now);
    let second = open(now + STALL_TIME);
    assert!(!first.run());
    assert!(second.run());
}

/// Guards against more open sockets than the bound allows for, while connections that were chosen
/// for closing haven't closed.
#[test]
fn connections_that_close_count_until_they_have_closed() {
    let (table, now) = (Arc::<Mutex<connections::Table>>::default(), Instant::now());
    let open = |now| connections::Lease::new(&table, now, 16);
    let mut old: Vec<_> = (0..16).map(|_| open(now).0.unwrap()).collect();
    let later = now + STALL_TIME;
    let new = [open(later), open(later)];
    assert!(new.iter().all(|(_, shed)| *shed == Some(Shed::Closed)));
    assert_eq!(open(later).1, Some(Shed::Refused));
    assert_eq!(table.lock().unwrap().count(), 18);
    assert_eq!(old.iter().filter(|it| !it.run()).count(), 2);
    // Those that closed leave room for others.
    old.retain(connections::Lease::run);
    assert_eq!(table.lock().unwrap().count(), 16);
    assert_eq!(open(later).1, Some(Shed::Refused));
    drop(new);
    assert_eq!(open(later).1, None);
}

/// Guards against callers that send a byte now and then, and so keep others out.
#[tokio::test]
async fn a_body_that_trickles_makes_room() {
    let (table, begun) = (Bodies::default(), Instant::now());
    let connections = Arc::<Mutex<connections::Table>>::default();
    let open = |now| connections::Lease::new(&connections, now, 2);
    let (trickling, steady) = (open(begun).0.unwrap(), open(begun).0.unwrap());
    let bodies = [90, 90].map(|size| send(&table, begun, size).unwrap());
    let mut now = begun;
    for number in 1..=5 {
        now += STALL_TIME * 4 / 5;
        for body in &bodies {
            body.append(now, b"x", &LIMITS).unwrap();
        }
        let progress = |bytes| Progress {
            begun,
            last: now,
            bytes,
        };
        trickling.progress(&progress(number));
        steady.progress(&progress(number * 4_000));
    }
    let (_fresh, shed) = open(now);
    assert_eq!(shed, Some(Shed::Closed));
    trickling.closed().await;
    drop(trickling);
    assert_eq!(open(now).1, Some(Shed::Refused));
    assert!(steady.run());
    let other = send(&table, now, 100).unwrap();
    assert_eq!(other.complete().unwrap().len(), 100);
    assert_eq!(table.lock().unwrap().evicted(), 1);
}

/// Guards against a response that is cut while it is written to a slow caller, and against a caller
/// that is never waited for after it.
#[tokio::test]
async fn a_response_that_is_being_written_keeps_its_connection() {
    let table = Arc::<Mutex<connections::Table>>::default();
    let open = || connections::Lease::new(&table, Instant::now(), 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let lease = Arc::new(open().0.unwrap());
    let socket = Socket::new(stream, &Guard::default()).with_lease(Some(lease.clone()));
    let service = {
        let lease = lease.clone();
        service_fn(move |_request: Request<Incoming>| {
            assert!(lease.run());
            let guard = Finish(lease.clone());
            let body = Full::new(Bytes::from(vec![b'x'; RESPONSE_BYTES]));
            let body = body.map_frame(move |frame| {
                let _guard = &guard;
                frame
            });
            async { Ok::<_, Infallible>(Response::new(body)) }
        })
    };
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let server = tokio::spawn(connection);
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(STALL_TIME * 2).await;
    assert_eq!(open().1, Some(Shed::Refused));
    let mut received = 0;
    let mut buffer = vec![0; 1 << 16];
    while received < RESPONSE_BYTES {
        received += caller.read(&mut buffer).await.unwrap();
    }
    tokio::time::sleep(STALL_TIME * 2).await;
    assert_eq!(open().1, Some(Shed::Closed));
    lease.closed().await;
    server.abort();
}

/// Ends a request on drop, as the HTTP library drops a response.
struct Finish(Arc<connections::Lease>);

impl Drop for Finish {
    fn drop(&mut self) {
        self.0.finish(Instant::now());
    }
}

/// Guards against large bodies that use the memory that is kept for small ones.
#[test]
fn a_body_announced_as_large_is_so_from_its_first_byte() {
    let (table, now) = (Bodies::default(), Instant::now());
    let _large = [
        send(&table, now, 100).unwrap(),
        send(&table, now, 100).unwrap(),
    ];
    let lease = bodies::Lease::new(&table, now, Some(100));
    assert_eq!(lease.append(now, b"x", &LIMITS), Err(Fault::NoRoom));
    let lease = bodies::Lease::new(&table, now, Some(30));
    assert_eq!(lease.append(now, b"x", &LIMITS), Ok(()));
}

/// Guards against hosts that don't start because the platform lacks a value of the machine.
#[rstest]
#[case("", "", (512, 8_192))]
#[case("null", "null", (512, 8_192))]
#[case("160", "4100", (160, 4_100))]
#[case("160.5", "4100.0", (160, 4_100))]
fn the_template_is_valid_with_any_value_of_the_machine(
    #[case] memory_mb: &str,
    #[case] max_fds: &str,
    #[case] expected: (u64, u64),
) {
    let mut text = include_str!("../deploy/settings.toml").to_owned();
    let values = [
        ("{{limits.memoryMb}}", memory_mb),
        ("{{limits.maxFds}}", max_fds),
        ("{{nodeName}}", "h1"),
        ("{{zone}}", "z1"),
        ("{{listen.front}}", "10.0.0.1:1"),
        ("{{listen.control}}", "10.0.0.1:2"),
        ("{{listen.ready}}", "10.0.0.1:3"),
        ("{{platform.address}}", "10.0.0.2:1"),
        ("{{seeds|json}}", "[]"),
        ("{{bootstrap|json}}", "false"),
        ("{{bounds.revokeMs}}", "5000"),
    ];
    for (name, value) in values {
        text = text.replace(name, value);
    }
    // All others are numbers.
    while let Some((before, after)) = text.split_once("{{") {
        let (_, after) = after.split_once("}}").unwrap();
        text = format!("{before}10{after}");
    }
    let options = Options::parse(&text).unwrap();
    assert_eq!(
        (options.gateway.memory_mb, options.gateway.max_fds),
        expected
    );
}

/// Guards against bounds that don't fit in the machine, or that a single legal request reaches.
#[rstest]
#[case(160, 4_100, 1_000_000)]
#[case(512, 8_192, 1_000_000)]
#[case(16, 64, 8 << 20)]
#[case(1, 1, 1)]
#[case(1_000_000_000, 1_000_000_000, 1_000_000)]
fn the_bounds_follow_from_the_machine(
    #[case] memory_mb: u64,
    #[case] max_fds: u64,
    #[case] max_body: usize,
) {
    let options = options::Gateway {
        memory_mb,
        max_fds,
        ..options::Gateway::default()
    };
    let limits = Limits::new(&options, 20_000, max_body);
    let share = usize::try_from(memory_mb << 20).unwrap() / 8;
    assert!(limits.body_total <= share.max(max_body + (1 << 20)));
    assert!(limits.body_total - limits.reserve >= max_body);
    let fds = usize::try_from(max_fds.min(20_000)).unwrap();
    assert!(limits.callers + limits.hosts <= (fds / 2).max(16));
    let retry = intake::retry_after(0.0)..=intake::retry_after(1.0);
    assert!(*retry.start() >= Duration::from_millis(100));
    assert!(retry.contains(&intake::retry_after(0.5)));
}
