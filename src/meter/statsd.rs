//! Sends measurements to a StatsD server over UDP.
//!
//! Sending never blocks: lines go through a bounded queue. When it is full, lines are
//! dropped and counted.

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

/// The capacity of the queue of lines to send.
const QUEUE_LINES: usize = 16_384;

/// Why a client can't be created.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket could not be opened.
    #[error("can't open a socket for the StatsD server {address}")]
    Socket {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The client library refused the address.
    #[error("can't create a client for the StatsD server {address}")]
    Sink {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the client library.
        source: MetricError,
    },
}

/// A client of a StatsD server.
#[derive(Debug)]
pub struct Client {
    statsd: StatsdClient,
}

impl Client {
    /// Creates a client that sends to an address and adds a prefix to all metric names.
    pub fn new(address: SocketAddr, prefix: &str) -> Result<Self, Error> {
        let socket = open_socket(address).map_err(|source| Error::Socket { address, source })?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|source| Error::Sink { address, source })?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
        Ok(Self {
            statsd: StatsdClient::from_sink(prefix, queue),
        })
    }

    /// Sends the measurements of a period and returns the number of lines dropped.
    pub fn send(&self, period: &Period) -> u64 {
        let mut dropped = 0;
        for line in &period.lines {
            let name = format!("{}.{}", line.class, line.phase);
            dropped += self.count(&format!("{name}.count"), line.summary.count);
            dropped += self.send_summary(&name, line);
        }
        for (code, count) in &period.refusals {
            dropped += self.count(&format!("refused.{code}"), *count);
        }
        for (kind, traffic) in &period.traffic {
            dropped += self.count(&format!("control.{kind}.sent"), traffic.sent);
            dropped += self.count(&format!("control.{kind}.received"), traffic.received);
        }
        dropped
    }

    /// Sends the summaries of the workspaces that have a row and returns the number of
    /// lines dropped. A summary covers the time since the workspace got its row.
    pub fn send_rows(&self, snapshot: &Snapshot) -> u64 {
        snapshot.rows.iter().map(|row| self.send_row(row)).sum()
    }

    /// Sends the token counters since the start and returns the number of lines dropped.
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

    /// Sends the last, incomplete packet. Returns whether that succeeded.
    pub fn flush(&self) -> bool {
        self.statsd.flush().is_ok()
    }

    fn send_row(&self, row: &Row) -> u64 {
        let Some(workspace) = &row.workspace else {
            return 0;
        };
        let workspace = sanitize(workspace.as_str());
        row.lines
            .iter()
            .map(|line| {
                let name = format!("workspace.{workspace}.{}.{}", line.class, line.phase);
                self.gauge(&format!("{name}.count"), line.summary.count)
                    + self.send_summary(&name, line)
            })
            .sum()
    }

    fn send_summary(&self, name: &str, line: &Line) -> u64 {
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

fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let unspecified = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(unspecified)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Replaces all characters of a name that StatsD could read as separators.
fn sanitize(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    name.chars()
        .map(|c| if is_plain(c) { c } else { '_' })
        .collect()
}
