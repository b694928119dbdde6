//! Parses the settings of a host from TOML.

use std::net::SocketAddr;

use crate::border::settings as border;
use crate::check::Fault;
use crate::check::Kind;
use crate::check::cross;
use crate::check::document::Document;
use crate::check::locate;
use crate::check::tree::Node;
use crate::options::Options;
use crate::options::pair;

const SETTINGS: &str = include_str!("../../schema/settings.json");
const LISTEN_KEYS: [&str; 3] = ["caller", "peer", "operator"];

/// Parses settings. Returns all faults if there are any.
pub fn options(text: &str) -> Result<Options, Vec<Fault>> {
    let mut document = Document::read(text, SETTINGS)?;
    let faults = faults(&document.root());
    document.add(faults);
    let settings: border::Settings = document.convert()?;
    Ok(Options::from(settings))
}

/// Adds positions in the text to faults that were found by comparison with the register.
pub fn locate(text: &str, faults: Vec<Fault>) -> Vec<Fault> {
    locate::locate(text, faults, |root| {
        let host = root.get("host");
        let keys = ["name", "zone"].iter();
        keys.filter_map(|key| host.as_ref()?.get(key)).collect()
    })
}

fn faults(root: &Node<'_>) -> Vec<Fault> {
    let platform_addresses = items(root, "platform", "addresses");
    let seeds = items(root, "peer", "seeds");
    let no_source = match platform_addresses.is_empty() && seeds.is_empty() {
        true => Some(root.fault(Kind::NoSource)),
        false => None,
    };
    no_source
        .into_iter()
        .chain(cross::duplicates_by(&platform_addresses, address))
        .chain(cross::duplicates_by(&seeds, address))
        .chain(duplicate_listeners(root))
        .chain(pair::faults(root))
        .collect()
}

fn items<'t>(root: &Node<'t>, section: &str, key: &str) -> Vec<Node<'t>> {
    let section = root.get(section);
    section.map(|section| section.list(key)).unwrap_or_default()
}

fn duplicate_listeners(root: &Node<'_>) -> Vec<Fault> {
    let host = root.get("host");
    let keys = LISTEN_KEYS.iter();
    let nodes: Vec<_> = keys.filter_map(|key| host.as_ref()?.get(key)).collect();
    cross::duplicates_by(&nodes, fixed_address)
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Returns an address unless its port is 0, for which the system assigns a different port
/// to each listener.
fn fixed_address(text: &str) -> Option<SocketAddr> {
    address(text).filter(|address| address.port() != 0)
}

impl From<border::Settings> for Options {
    fn from(from: border::Settings) -> Self {
        Self {
            host: from.host.into(),
            platform: from.platform.map(Into::into).unwrap_or_default(),
            peer: from.peer.map(Into::into).unwrap_or_default(),
            caller: from.caller.map(Into::into).unwrap_or_default(),
            upstream: from.upstream.map(Into::into).unwrap_or_default(),
            queue: from.queue.map(Into::into).unwrap_or_default(),
            retry: from.retry.map(Into::into).unwrap_or_default(),
            token: from.token.map(Into::into).unwrap_or_default(),
            strike: from.strike.map(Into::into).unwrap_or_default(),
            drain: from.drain.map(Into::into).unwrap_or_default(),
            log: from.log.map(Into::into).unwrap_or_default(),
            metric: from.metric.map(Into::into).unwrap_or_default(),
            gateway: from.gateway.map(Into::into).unwrap_or_default(),
        }
    }
}
