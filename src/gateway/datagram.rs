//! The form of what hosts send each other as datagrams.
//!
//! A host tells its zone about itself in a [`Message`]. In a large fleet a
//! [`Summary`] tells another zone about a whole zone; the host that receives it
//! passes it on unchanged to its own.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load;
use crate::gateway::peers;
use crate::gateway::peers::Contact;
use crate::ident;
use crate::log::millis;
use crate::policy::crash::Crash;

/// The version of the form.
pub const VERSION: u8 = 3;

/// The longest datagram, in bytes: one that isn't sent in fragments.
pub const DATAGRAM_BYTES: usize = 1_400;

/// The upstreams of which one part of a summary tells, where names aren't long.
const SUMMARY_UPSTREAMS: usize = 48;

/// Where prompts were sent.
pub type Prompts = Vec<(u64, ident::Upstream)>;

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// The run of its process.
    pub process: u64,
    /// Its zone.
    pub zone: ident::Zone,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// The revision of the store that it holds.
    pub revision: u64,
    /// The age of what it holds, in milliseconds, if it holds anything.
    pub age_ms: Option<u64>,
    /// The speed of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
}

/// What hosts tell of upstreams, requests and each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests under way, by upstream: of the host, or of the whole zone.
    pub loads: Vec<(ident::Upstream, u32)>,
    /// Suspect upstreams, for how many milliseconds more, and whether they can't be
    /// reached.
    pub suspects: Vec<(ident::Upstream, u64, bool)>,
    /// Requests that lost upstreams.
    pub strikes: Vec<Crash>,
    /// Where prompts were sent.
    pub prompts: Prompts,
    /// Hosts that the sender knows.
    pub contacts: Vec<Contact>,
}

/// What a host tells others of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who tells it.
    pub sender: Sender,
    /// Whether it has just started and may not know its zone.
    pub is_settling: bool,
    /// What it tells.
    pub report: Report,
}

/// A part of what a zone tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The host that sent it to the other zone.
    pub sender: Sender,
    /// Its address.
    pub address: Ipv4Addr,
    /// Which part of the zone's upstreams the loads cover, of how many.
    pub part: (u32, u32),
    /// What the zone tells.
    pub report: Report,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Of one host.
    Message(Message),
    /// Of a zone.
    Summary(Summary),
}

/// Why a datagram can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It has another version.
    #[error("form has version {0}")]
    Version(u8),
    /// It is empty.
    #[error("datagram is empty")]
    Empty,
    /// It isn't what it should be.
    #[error("datagram can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl Sender {
    /// Returns what the table of hosts keeps of it.
    pub fn announcement(&self) -> peers::Announcement {
        peers::Announcement {
            zone: self.zone.clone(),
            process: self.process,
            is_leaving: self.is_leaving,
            revision: self.revision,
            age: self.age_ms.map(Duration::from_millis),
            link_mbps: self.link_mbps,
            is_informed: self.is_informed,
        }
    }
}

impl Report {
    /// Leaves out one thing, if there is one that a later datagram tells again.
    fn shorten(&mut self) -> bool {
        self.contacts.pop().is_some() || self.strikes.pop().is_some()
    }
}

impl Message {
    /// Encodes a message; leaves out what a datagram doesn't hold. Loads matter
    /// most.
    pub fn encode(self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut message = self;
        loop {
            let bytes = encode(&Datagram::Message(message.clone()))?;
            let report = &mut message.report;
            match bytes.len() <= DATAGRAM_BYTES {
                true => return Ok(bytes),
                false if report.shorten() => {}
                false if report.prompts.pop().is_some() => {}
                false if report.loads.pop().is_some() => {}
                false => return Ok(bytes),
            }
        }
    }
}

impl Summary {
    /// Names the part of a zone's loads that the summary replaces.
    pub fn source(&self) -> load::Source {
        let zone = xxh3_64(self.sender.zone.as_str().as_bytes());
        load::Source::Zone(zone, self.part.0, self.part.1)
    }

    /// Encodes a summary as parts that each fit a datagram. Upstreams stay in their
    /// part as long as the number of those in use doesn't change much.
    pub fn encode(mut self) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
        let prompts = std::mem::take(&mut self.report.prompts);
        let parts = self.report.loads.len().div_ceil(SUMMARY_UPSTREAMS);
        let mut parts = u32::try_from(parts.max(1).next_power_of_two()).unwrap_or(u32::MAX);
        let most = u32::try_from(self.report.loads.len()).unwrap_or(u32::MAX);
        let mut datagrams = loop {
            let datagrams = self.encode_loads(parts)?;
            let fits = datagrams.iter().all(|bytes| bytes.len() <= DATAGRAM_BYTES);
            // Long names need more parts.
            match fits || parts > most {
                true => break datagrams,
                false => parts = parts.saturating_mul(2),
            }
        };
        let rest = Self {
            part: (parts, parts),
            report: Report::default(),
            ..self
        };
        rest.encode_prompts(&prompts, &mut datagrams)?;
        Ok(datagrams)
    }

    fn encode_loads(&self, parts: u32) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
        let mut loads: BTreeMap<u64, Vec<_>> = BTreeMap::new();
        for (upstream, count) in &self.report.loads {
            let part = xxh3_64(upstream.as_str().as_bytes()) % u64::from(parts);
            let told = loads.entry(part).or_default();
            told.push((upstream.clone(), *count));
        }
        let datagrams = (0..parts).map(|part| {
            let loads = loads.remove(&u64::from(part)).unwrap_or_default();
            let report = match part {
                // What concerns no part is told once.
                0 => Report {
                    loads,
                    ..self.report.clone()
                },
                _ => Report {
                    loads,
                    ..Report::default()
                },
            };
            let mut summary = Self {
                part: (part, parts),
                report,
                sender: self.sender.clone(),
                address: self.address,
            };
            summary.fit()
        });
        datagrams.collect()
    }

    /// Adds datagrams that tell of prompts, as many in each as fit.
    fn encode_prompts(
        &self,
        prompts: &[(u64, ident::Upstream)],
        datagrams: &mut Vec<Vec<u8>>,
    ) -> Result<(), rmp_serde::encode::Error> {
        if prompts.is_empty() {
            return Ok(());
        }
        let mut summary = self.clone();
        summary.report.prompts = prompts.to_vec();
        let bytes = encode(&Datagram::Summary(summary))?;
        match prompts.split_at(prompts.len() / 2) {
            (first, second) if bytes.len() > DATAGRAM_BYTES && !first.is_empty() => {
                self.encode_prompts(first, datagrams)?;
                self.encode_prompts(second, datagrams)
            }
            _ => {
                datagrams.push(bytes);
                Ok(())
            }
        }
    }

    fn fit(&mut self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        loop {
            let bytes = encode(&Datagram::Summary(self.clone()))?;
            match bytes.len() <= DATAGRAM_BYTES {
                true => return Ok(bytes),
                false if self.report.shorten() => {}
                false if self.report.suspects.pop().is_some() => {}
                false => return Ok(bytes),
            }
        }
    }
}

fn encode(datagram: &Datagram) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, datagram)?;
    Ok(bytes)
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Fault> {
    match bytes {
        [VERSION, body @ ..] => Ok(rmp_serde::from_slice(body)?),
        [version, ..] => Err(Fault::Version(*version)),
        [] => Err(Fault::Empty),
    }
}

/// Returns suspects in the form of a datagram.
pub fn suspects(of: Vec<(ident::Upstream, Duration, bool)>) -> Vec<(ident::Upstream, u64, bool)> {
    let of = of.into_iter();
    of.map(|(upstream, left, is_down)| (upstream, millis(left), is_down))
        .collect()
}
