//! Wire format of gossip datagrams.
//!
//! A [`Message`] describes one host. In a large fleet, a [`Summary`] describes a whole
//! zone to another one; the host that receives it forwards it unchanged to the hosts of
//! its own zone. [`Origins`] go to few hosts, apart from the rounds of messages. A
//! datagram is a version byte and a MessagePack value.
//!
//! Hosts of different builds run side by side while a fleet is upgraded, so version
//! [`VERSION`] and its structures stay as they are. What is new is appended to a datagram as
//! one more MessagePack value, a map whose keys are names: builds ignore what follows the
//! first value, and names that they don't know. Datagrams of older versions are read and
//! sent too, see [`format`].

pub mod format;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::VariantArray;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::capacity::exchange;
use crate::gateway::capacity::exchange::Reading;
use crate::gateway::load;
use crate::gateway::notice;
use crate::gateway::peers;
use crate::gateway::peers::Contact;
use crate::ident;
use crate::log::millis;
use crate::policy::crash::Crash;
use crate::policy::quarantine;

/// Version of the format in which this build sends. Older builds can't read a later one.
pub const VERSION: u8 = 10;

/// Maximum size of a datagram that is not fragmented.
pub const DATAGRAM_BYTES: usize = 1_400;

/// Number of upstreams per shard of a summary, unless their names are long.
const UPSTREAMS_PER_SHARD: usize = 48;

/// Prompts by hash, each with an upstream that it was sent to.
pub type Placements = Vec<(u64, ident::Upstream)>;

/// The host that a datagram comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Random identifier of the run of its process.
    pub process: u64,
    /// Its zone.
    pub zone: ident::Zone,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How far its knowledge of the store has come.
    pub progress: peers::Progress,
    /// Whether it has compared its route table with those of others since its start.
    pub has_joined: bool,
    /// Age of its copy of the store in milliseconds, if it has one.
    pub age_ms: Option<u64>,
    /// Speed of its link in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
    /// Number of hosts that it counted, if it may know all of them.
    pub fleet_size: Option<usize>,
    /// Services whose upstreams it can't connect to.
    pub unreachable: Vec<ident::Service>,
}

/// State of upstreams, requests and hosts as the sender knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in flight by upstream, of the host or of the whole zone.
    pub loads: Vec<(ident::Upstream, u32)>,
    /// Suspect upstreams, each with the remaining time in milliseconds and whether it
    /// is unreachable.
    pub suspects: Vec<(ident::Upstream, u64, bool)>,
    /// Requests that crashed upstreams.
    #[serde(rename = "strikes")]
    pub crashes: Vec<Crash>,
    /// Prompt segments that crashed upstreams.
    pub segments: Vec<quarantine::Report>,
    /// What upstreams announced of themselves.
    pub notices: Vec<notice::Report>,
    /// Prompt placements.
    #[serde(rename = "prompts")]
    pub placements: Placements,
    /// Hosts that the sender knows.
    pub contacts: Vec<Contact>,
}

/// A host's message about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The host that sent it.
    pub sender: Sender,
    /// Whether the sender has just started and may not know the hosts of its zone.
    pub is_settling: bool,
    /// State as the sender knows it.
    pub report: Report,
}

/// One shard of a zone's summary for another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The relay that sent it to the other zone.
    pub sender: Sender,
    /// The relay's address.
    pub address: Ipv4Addr,
    /// Index of the shard whose loads it contains, and the number of shards. Both are
    /// equal in a datagram that contains only placements.
    #[serde(rename = "part")]
    pub shard: (u32, u32),
    /// State of the zone.
    pub report: Report,
}

/// Versions that began streams, for hosts at which callers may resume them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Origins {
    /// Streams by key, each with the version that began it.
    pub streams: Vec<(u64, ident::Version)>,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A message of one host.
    Message(Message),
    /// A shard of a zone's summary.
    Summary(Summary),
    /// Versions that began streams.
    Origins(Origins),
}

/// Reason why a datagram could not be decoded.
#[derive(Debug, strum::IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The format has another version.
    #[error("datagram has format version {0}, expected {oldest} to {VERSION}", oldest = format::OLDEST)]
    Version(u8),
    /// The datagram has no content.
    #[error("datagram is empty")]
    Empty,
    /// The content is not a valid datagram of this version.
    #[error("datagram can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The content is not valid MessagePack.
    #[error("datagram of another format can't be read: {0}")]
    Read(#[from] rmpv::decode::Error),
    /// What the sender appends can't be encoded.
    #[error("datagram can't be extended: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The content can't be encoded in another format.
    #[error("datagram can't be encoded in another format: {0}")]
    Write(#[from] rmpv::encode::Error),
}

impl Sender {
    /// Returns the sender's entry for the peer table, with the format of its datagrams.
    pub fn announcement(&self, format: u8) -> peers::Announcement {
        peers::Announcement {
            format,
            zone: self.zone.clone(),
            process: self.process,
            is_leaving: self.is_leaving,
            progress: self.progress,
            has_joined: self.has_joined,
            age: self.age_ms.map(Duration::from_millis),
            link_mbps: self.link_mbps,
            is_informed: self.is_informed,
            fleet_size: self.fleet_size,
            unreachable: self.unreachable.clone(),
        }
    }
}

/// A list of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum List {
    /// [`Report::loads`].
    Loads,
    /// [`Report::suspects`].
    Suspects,
    /// [`Report::crashes`].
    Crashes,
    /// [`Report::segments`].
    Segments,
    /// [`Report::notices`].
    Notices,
    /// [`Report::placements`].
    Placements,
    /// [`Report::contacts`].
    Contacts,
}

impl Report {
    /// Returns the number of items of a list.
    pub fn len(&self, list: List) -> usize {
        match list {
            List::Loads => self.loads.len(),
            List::Suspects => self.suspects.len(),
            List::Crashes => self.crashes.len(),
            List::Segments => self.segments.len(),
            List::Notices => self.notices.len(),
            List::Placements => self.placements.len(),
            List::Contacts => self.contacts.len(),
        }
    }

    /// Returns the encoded size of a list.
    fn size(&self, list: List) -> Result<usize, rmp_serde::encode::Error> {
        let bytes = match list {
            List::Loads => rmp_serde::to_vec(&self.loads),
            List::Suspects => rmp_serde::to_vec(&self.suspects),
            List::Crashes => rmp_serde::to_vec(&self.crashes),
            List::Segments => rmp_serde::to_vec(&self.segments),
            List::Notices => rmp_serde::to_vec(&self.notices),
            List::Placements => rmp_serde::to_vec(&self.placements),
            List::Contacts => rmp_serde::to_vec(&self.contacts),
        };
        Ok(bytes?.len())
    }

    fn truncate(&mut self, list: List, length: usize) {
        match list {
            List::Loads => self.loads.truncate(length),
            List::Suspects => self.suspects.truncate(length),
            List::Crashes => self.crashes.truncate(length),
            List::Segments => self.segments.truncate(length),
            List::Notices => self.notices.truncate(length),
            List::Placements => self.placements.truncate(length),
            List::Contacts => self.contacts.truncate(length),
        }
    }

    /// Shortens the largest list, so that none is crowded out. Loads go last: a report of loads
    /// replaces the one before, and a load that is left out counts as ended. Returns `false` if
    /// there is nothing left to remove.
    fn shorten(&mut self, may_cut_loads: bool) -> Result<bool, rmp_serde::encode::Error> {
        let mut largest = None;
        for list in List::VARIANTS {
            if *list != List::Loads && self.len(*list) > 0 {
                largest = largest.max(Some((self.size(*list)?, *list as usize)));
            }
        }
        let list = largest.and_then(|(_, index)| List::VARIANTS.get(index));
        let list = match list {
            Some(list) => *list,
            None if may_cut_loads && !self.loads.is_empty() => List::Loads,
            None => return Ok(false),
        };
        let length = self.len(list);
        self.truncate(list, length - length.div_ceil(8));
        Ok(true)
    }
}

impl Message {
    /// Encodes a message. Removes items until it fits a datagram, loads last, since they
    /// matter most.
    pub fn encode(&mut self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        loop {
            let bytes = encode(&Datagram::Message(self.clone()))?;
            if bytes.len() <= DATAGRAM_BYTES || !self.report.shorten(true)? {
                return Ok(bytes);
            }
        }
    }
}

impl Origins {
    /// Encodes streams as datagrams that each fit, unless a single version is too long.
    pub fn encode(self) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
        let bytes = encode(&Datagram::Origins(self.clone()))?;
        match self.streams.split_at(self.streams.len() / 2) {
            (first, second) if bytes.len() > DATAGRAM_BYTES && !first.is_empty() => {
                let mut datagrams = Vec::new();
                for half in [first, second] {
                    let streams = half.to_vec();
                    datagrams.extend(Self { streams }.encode()?);
                }
                Ok(datagrams)
            }
            _ => Ok(vec![bytes]),
        }
    }
}

impl Summary {
    /// Returns the source of the summary's loads. They replace those that the same
    /// source reported before.
    pub fn source(&self) -> load::Source {
        let zone = xxh3_64(self.sender.zone.as_str().as_bytes());
        load::Source::Zone(zone, self.shard.0, self.shard.1)
    }

    /// Encodes a summary as shards that each fit a datagram. Removes items that don't fit the
    /// first one.
    ///
    /// The number of shards is a power of two, so that an upstream stays in the same
    /// shard unless the number of upstreams in use changes much.
    pub fn encode(&mut self) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
        let placements = std::mem::take(&mut self.report.placements);
        let shards = self.report.loads.len().div_ceil(UPSTREAMS_PER_SHARD);
        let mut shards = u32::try_from(shards.max(1).next_power_of_two()).unwrap_or(u32::MAX);
        let max_shards = u32::try_from(self.report.loads.len()).unwrap_or(u32::MAX);
        let mut datagrams = loop {
            let (datagrams, report) = self.encode_loads(shards)?;
            let fits = datagrams.iter().all(|bytes| bytes.len() <= DATAGRAM_BYTES);
            // Upstreams with long names need more shards.
            match fits || shards > max_shards {
                true => {
                    self.report = report;
                    break datagrams;
                }
                false => shards = shards.saturating_mul(2),
            }
        };
        let rest = Self {
            shard: (shards, shards),
            report: Report::default(),
            ..self.clone()
        };
        rest.encode_placements(&placements, &mut datagrams)?;
        Ok(datagrams)
    }

    /// Returns the datagrams of all shards, and what is left of the report's other items.
    fn encode_loads(
        &self,
        shards: u32,
    ) -> Result<(Vec<Vec<u8>>, Report), rmp_serde::encode::Error> {
        let mut left = Report::default();
        let mut loads: BTreeMap<u64, Vec<_>> = BTreeMap::new();
        for (upstream, count) in &self.report.loads {
            let shard = xxh3_64(upstream.as_str().as_bytes()) % u64::from(shards);
            let loads = loads.entry(shard).or_default();
            loads.push((upstream.clone(), *count));
        }
        let datagrams = (0..shards).map(|shard| {
            let loads = loads.remove(&u64::from(shard)).unwrap_or_default();
            let report = match shard {
                // Items that belong to no shard are sent once, with the first one.
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
                shard: (shard, shards),
                report,
                sender: self.sender.clone(),
                address: self.address,
            };
            let bytes = summary.encode_shard();
            if shard == 0 {
                left = Report {
                    loads: self.report.loads.clone(),
                    ..summary.report
                };
            }
            bytes
        });
        let datagrams: Result<_, _> = datagrams.collect();
        Ok((datagrams?, left))
    }

    /// Appends datagrams with placements, halving the list until each half fits.
    fn encode_placements(
        &self,
        placements: &[(u64, ident::Upstream)],
        datagrams: &mut Vec<Vec<u8>>,
    ) -> Result<(), rmp_serde::encode::Error> {
        if placements.is_empty() {
            return Ok(());
        }
        let mut summary = self.clone();
        summary.report.placements = placements.to_vec();
        let bytes = encode(&Datagram::Summary(summary))?;
        match placements.split_at(placements.len() / 2) {
            (first, second) if bytes.len() > DATAGRAM_BYTES && !first.is_empty() => {
                self.encode_placements(first, datagrams)?;
                self.encode_placements(second, datagrams)
            }
            _ => {
                datagrams.push(bytes);
                Ok(())
            }
        }
    }

    /// Encodes one shard. Removes items other than loads until it fits a datagram.
    fn encode_shard(&mut self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        loop {
            let bytes = encode(&Datagram::Summary(self.clone()))?;
            if bytes.len() <= DATAGRAM_BYTES || !self.report.shorten(false)? {
                return Ok(bytes);
            }
        }
    }
}

fn encode(datagram: &Datagram) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, datagram)?;
    Ok(bytes)
}

/// A datagram as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// Its content.
    pub datagram: Datagram,
    /// Newest format that its sender reads. One that looks for hosts of any build sends older
    /// formats too.
    pub format: u8,
    /// Slowdowns that upstreams stated to other hosts.
    pub readings: Vec<Reading>,
}

/// Decodes a datagram of this format or of an older one.
pub fn decode(bytes: &[u8]) -> Result<Received, Fault> {
    let (version, body) = bytes.split_first().ok_or(Fault::Empty)?;
    let (datagram, rest) = match *version {
        VERSION => {
            let mut rest = body;
            (rmp_serde::from_read(&mut rest)?, rest)
        }
        older if format::is_known(older) => {
            let (body, rest) = format::complete(older, body)?;
            let mut datagram = rmp_serde::from_slice(&body)?;
            if !format::has_all_notices(older) {
                mark_partial(&mut datagram);
            }
            (datagram, rest)
        }
        unknown => return Err(Fault::Version(unknown)),
    };
    let extension = format::Extension::read(rest)?;
    let newest = extension.newest.unwrap_or_default();
    Ok(Received {
        datagram,
        format: newest.clamp(*version, VERSION),
        readings: exchange::decode(&extension.capacity),
    })
}

/// Marks notices from a format that can't name all that an upstream announces.
fn mark_partial(datagram: &mut Datagram) {
    let report = match datagram {
        Datagram::Message(message) => &mut message.report,
        Datagram::Summary(summary) => &mut summary.report,
        Datagram::Origins(_) => return,
    };
    for notice in &mut report.notices {
        notice.is_partial = true;
    }
}

/// Converts suspect upstreams to their form in a datagram.
pub fn suspects(
    suspects: Vec<(ident::Upstream, Duration, bool)>,
) -> Vec<(ident::Upstream, u64, bool)> {
    let suspects = suspects.into_iter();
    suspects
        .map(|(upstream, left, is_down)| (upstream, millis(left), is_down))
        .collect()
}
