//! A set of hosts, encoded as a bitmap over the sorted hosts of a zone.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use crate::ident;

const BITS_PER_BYTE: usize = 8;

/// A set of hosts of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The short hash of the sorted host names that the bits refer to.
    #[serde(rename = "names")]
    pub hosts_hash: u16,
    bits: ByteBuf,
}

impl Roster {
    /// Returns the set of those hosts of a sorted list that fulfil a condition.
    pub fn of<'a>(
        hosts: impl Iterator<Item = &'a ident::Host> + Clone,
        is_member: impl Fn(&ident::Host) -> bool,
    ) -> Self {
        let hosts_hash = hash(hosts.clone());
        let mut bits = vec![0_u8; hosts.clone().count().div_ceil(BITS_PER_BYTE)];
        let members = hosts.enumerate().filter(|(_, host)| is_member(host));
        for (index, _) in members {
            if let Some(byte) = bits.get_mut(index / BITS_PER_BYTE) {
                *byte |= 1 << (index % BITS_PER_BYTE);
            }
        }
        Self {
            hosts_hash,
            bits: ByteBuf::from(bits),
        }
    }

    /// Tells whether the bits refer to these hosts, in this order.
    pub fn is_over<'a>(&self, hosts: impl Iterator<Item = &'a ident::Host>) -> bool {
        self.hosts_hash == hash(hosts)
    }

    /// Tells whether the set contains the host at this index of the sorted
    /// list.
    pub fn contains(&self, index: usize) -> bool {
        self.bits
            .get(index / BITS_PER_BYTE)
            .is_some_and(|byte| byte & (1 << (index % BITS_PER_BYTE)) != 0)
    }

    /// Returns the number of hosts in the set.
    pub fn len(&self) -> usize {
        self.bits.iter().map(|b| b.count_ones() as usize).sum()
    }

    /// Tells whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn hash<'a>(hosts: impl Iterator<Item = &'a ident::Host>) -> u16 {
    let mut text = String::new();
    for host in hosts {
        text.push_str(host.as_str());
        text.push('\n');
    }
    let [a, b, ..] = xxh3_64(text.as_bytes()).to_le_bytes();
    u16::from_le_bytes([a, b])
}
