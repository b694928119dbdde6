//! Sends the sums of a period to a StatsD server over UDP.
//!
//! Sending never waits: lines go through a bounded queue, and those that find
//! it full are lost and counted.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::MetricError;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;

use super::Line;
use super::Period;
use super::Row;
use super::Snapshot;
use crate::token;

/// The most lines that wait to be sent.
const QUEUE_LINES: usize = 16_384;

/// Why sums can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No socket could be opened.
    #[error("no socket to reach the StatsD server {address}")]
    Socket {
        /// The address of the server.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The client library refused the address.
    #[error("no way to send to the StatsD server {address}")]
    Sink {
        /// The address of the server.
        address: SocketAddr,
        /// What the library said.
        source: MetricError,
    },
}

/// A client of a StatsD server.
#[derive(Debug)]
pub struct Client {
    statsd: StatsdClient,
}

impl Client {
    /// Makes a client that sends to an address, with names that begin with a
    /// prefix.
    pub fn new(address: SocketAddr, prefix: &str) -> Result<Self, Error> {
        let socket = open(address).map_err(|source| Error::Socket { address, source })?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|source| Error::Sink { address, source })?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
        Ok(Self {
            statsd: StatsdClient::from_sink(prefix, queue),
        })
    }

    /// Sends the sums of a period, and returns how many lines were lost.
    pub fn send(&self, period: &Period) -> u64 {
        let mut lost = 0;
        for line in &period.lines {
            let name = format!("{}.{}", line.class, line.phase);
            lost += self.count(&format!("{name}.count"), line.summary.count);
            lost += self.figures(&name, line);
        }
        for (code, count) in &period.refusals {
            lost += self.count(&format!("refused.{code}"), *count);
        }
        for (kind, traffic) in &period.traffic {
            lost += self.count(&format!("control.{kind}.sent"), traffic.sent);
            lost += self.count(&format!("control.{kind}.received"), traffic.received);
        }
        lost
    }

    /// Sends the figures of workspaces since each has its row, and returns how
    /// many lines were lost.
    pub fn send_rows(&self, snapshot: &Snapshot) -> u64 {
        snapshot.rows.iter().map(|row| self.row(row)).sum()
    }

    /// Sends what became of tokens since the start, and returns how many lines
    /// were lost.
    pub fn send_tokens(&self, counters: &token::Counters) -> u64 {
        [
            ("issued", counters.issued),
            ("spent", counters.spent),
            ("joined", counters.joined),
            ("replayed", counters.replayed),
            ("not-run", counters.not_run),
            ("unknown", counters.unknown),
        ]
        .into_iter()
        .map(|(name, count)| self.gauge(&format!("token.{name}"), count))
        .sum()
    }

    /// Sends what is left of the last packet, and tells whether it went out.
    pub fn flush(&self) -> bool {
        self.statsd.flush().is_ok()
    }

    fn row(&self, row: &Row) -> u64 {
        let Some(workspace) = &row.workspace else {
            return 0;
        };
        let workspace = safe(workspace.as_str());
        row.lines
            .iter()
            .map(|line| {
                let name = format!("workspace.{workspace}.{}.{}", line.class, line.phase);
                self.gauge(&format!("{name}.count"), line.summary.count) + self.figures(&name, line)
            })
            .sum()
    }

    fn figures(&self, name: &str, line: &Line) -> u64 {
        [
            ("p50", line.summary.p50),
            ("p99", line.summary.p99),
            ("max", line.summary.max),
        ]
        .into_iter()
        .map(|(figure, micros)| self.gauge(&format!("{name}.{figure}-us"), micros))
        .sum()
    }

    fn count(&self, name: &str, count: u64) -> u64 {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        u64::from(self.statsd.count(name, count).is_err())
    }

    fn gauge(&self, name: &str, value: u64) -> u64 {
        u64::from(self.statsd.gauge(name, value).is_err())
    }
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let any = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Returns a name in which StatsD finds no separator.
fn safe(name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    name.chars()
        .map(|c| if plain(c) { c } else { '_' })
        .collect()
}
