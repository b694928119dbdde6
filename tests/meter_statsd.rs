//! Sending of measurements to a StatsD server.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use masticmoor::class::Class;
use masticmoor::meter::Kind;
use masticmoor::meter::Limits;
use masticmoor::meter::Phase;
use masticmoor::meter::Table;
use masticmoor::meter::statsd::Client;
use masticmoor::outcome::Code;
use masticmoor::token::Counters;
use rstest::rstest;
use tokio::time::Instant;

/// The maximum time for packets over the loopback interface.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

fn receive_lines(server: &UdpSocket, client: &Client, count: usize) -> BTreeSet<String> {
    let mut lines = BTreeSet::new();
    let end = Instant::now() + RECEIVE_TIMEOUT;
    let mut packet = [0; 2_048];
    while lines.len() < count && Instant::now() < end {
        client.flush();
        if let Ok(length) = server.recv(&mut packet) {
            let text = String::from_utf8_lossy(packet.get(..length).unwrap_or_default());
            lines.extend(text.lines().map(str::to_owned));
        }
    }
    lines
}

#[rstest]
fn measurements_of_a_period_reach_the_server() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let wait = Duration::from_millis(20);
    server.set_read_timeout(Some(wait)).expect("a time limit");
    let client =
        Client::new(server.local_addr().expect("an address"), "masticmoor").expect("a client");
    let now = Instant::now();
    let mut table = Table::new(now, Limits::default());
    let duration = Duration::from_millis(10);
    table.record(
        &"dakar.clinic:1".into(),
        Class::Urgent,
        Phase::Total,
        duration,
    );
    table.record_refusal(Code::WorkspaceFull);
    table.record_sent(Kind::Summary, 70);
    let counters = Counters {
        issued: 3,
        ..Counters::default()
    };
    assert_eq!(client.send(&table.take_period(now)), 0);
    assert_eq!(client.send_rows(&table.snapshot(now)), 0);
    assert_eq!(client.send_tokens(&counters), 0);
    let lines = receive_lines(&server, &client, 17);
    for line in [
        "masticmoor.urgent.whole.count:1|c",
        "masticmoor.refused.workspace-full:1|c",
        "masticmoor.control.summary.sent:70|c",
        "masticmoor.control.summary.received:0|c",
        "masticmoor.workspace.dakar_clinic_1.urgent.whole.count:1|g",
        "masticmoor.token.issued:3|g",
    ] {
        assert!(lines.contains(line), "{line} is not in {lines:?}");
    }
}

// Without a bounded queue, a sender would wait for a server that is gone.
#[rstest]
fn an_unreachable_server_does_not_block_the_sender() {
    let closed = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let client = Client::new(closed.expect("a port"), "masticmoor").expect("a client");
    let start = std::time::Instant::now();
    let dropped: u64 = (0..20_000)
        .map(|_| client.send_tokens(&Counters::default()))
        .sum();
    assert!(start.elapsed() < RECEIVE_TIMEOUT);
    assert!(dropped < 20_000 * 6);
}
