//! Checks pairs of settings of which one must not exceed the other, with the defaults of
//! those that are left out.

use std::time::Duration;

use crate::check::Fault;
use crate::check::Kind;
use crate::check::tree::Node;
use crate::options::constants;

/// A numeric setting and its default.
#[derive(Clone, Copy, Debug)]
struct Setting {
    section: &'static str,
    key: &'static str,
    name: &'static str,
    default: u64,
}

/// Two settings of which `lesser` must not exceed `greater`.
#[derive(Clone, Copy, Debug)]
struct Pair {
    lesser: Setting,
    greater: Setting,
}

/// A setting with its value in a file.
#[derive(Clone, Debug)]
struct Reading<'t> {
    setting: Setting,
    node: Option<Node<'t>>,
    value: u64,
}

macro_rules! setting {
    ($section:literal, $key:literal, $default:expr) => {
        Setting {
            section: $section,
            key: $key,
            name: concat!($section, ".", $key),
            default: $default,
        }
    };
}

const HEARTBEAT: Setting = setting!("peer", "beat_ms", millis(constants::PEER_HEARTBEAT));
const LEASE: Setting = setting!("peer", "lease_ms", millis(constants::PEER_LEASE));
const REQUEST_TIMEOUT: Setting = setting!(
    "caller",
    "request_timeout_ms",
    millis(constants::CALLER_REQUEST_TIMEOUT)
);
const DRAIN_LIMIT: Setting = setting!("drain", "limit_ms", millis(constants::DRAIN_LIMIT));

/// A lease must be longer than this number of heartbeat intervals: otherwise one lost
/// heartbeat would end it.
const MIN_LEASE_HEARTBEATS: u64 = 2;

const PAIRS: [Pair; 7] = [
    Pair {
        lesser: setting!(
            "peer",
            "ping_timeout_ms",
            millis(constants::PEER_PING_TIMEOUT)
        ),
        greater: setting!("peer", "ping_ms", millis(constants::PEER_PING)),
    },
    Pair {
        lesser: setting!(
            "caller",
            "body_timeout_ms",
            millis(constants::CALLER_BODY_TIMEOUT)
        ),
        greater: REQUEST_TIMEOUT,
    },
    Pair {
        lesser: setting!("queue", "wait_ms", millis(constants::QUEUE_WAIT)),
        greater: REQUEST_TIMEOUT,
    },
    Pair {
        lesser: setting!(
            "queue",
            "workspace_length",
            constants::QUEUE_WORKSPACE_LENGTH as u64
        ),
        greater: setting!("queue", "length", constants::QUEUE_LENGTH as u64),
    },
    Pair {
        lesser: setting!(
            "token",
            "kept_answer_bytes",
            constants::TOKEN_KEPT_ANSWER_BYTES as u64
        ),
        greater: setting!("token", "kept_bytes", constants::TOKEN_KEPT_BYTES as u64),
    },
    // A shutdown waits for all requests, and for the tokens that the host issued.
    Pair {
        lesser: REQUEST_TIMEOUT,
        greater: DRAIN_LIMIT,
    },
    Pair {
        lesser: setting!("token", "lifetime_ms", millis(constants::TOKEN_LIFETIME)),
        greater: DRAIN_LIMIT,
    },
];

/// A section and two keys of it that set the same thing in different units.
#[derive(Clone, Copy, Debug)]
struct Units {
    section: &'static str,
    millis: &'static str,
    seconds: &'static str,
    /// The first key with its section.
    millis_name: &'static str,
}

const UNITS: [Units; 2] = [
    Units {
        section: "gateway",
        millis: "grace_ms",
        seconds: "grace_s",
        millis_name: "gateway.grace_ms",
    },
    Units {
        section: "gateway",
        millis: "retry_window_ms",
        seconds: "retry_window_s",
        millis_name: "gateway.retry_window_ms",
    },
];

const fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Returns a fault for each pair that is out of order, for a lease that is too short, and for each
/// setting that is given in two units.
pub fn faults(root: &Node<'_>) -> Vec<Fault> {
    let pairs = PAIRS.iter().filter_map(|pair| check_pair(root, pair));
    let twice = UNITS.iter().filter_map(|units| check_units(root, units));
    pairs.chain(check_lease(root)).chain(twice).collect()
}

fn check_units(root: &Node<'_>, units: &Units) -> Option<Fault> {
    let section = root.get(units.section)?;
    section.get(units.millis).filter(is_given)?;
    let seconds = section.get(units.seconds).filter(is_given)?;
    Some(seconds.fault(Kind::GivenTwice {
        other: units.millis_name,
    }))
}

/// Returns whether a number is given: a template leaves an empty text for one that is absent.
fn is_given(node: &Node<'_>) -> bool {
    node.text().is_none_or(|text| !text.trim().is_empty())
}

fn check_pair(root: &Node<'_>, pair: &Pair) -> Option<Fault> {
    let lesser = read(root, pair.lesser)?;
    let greater = read(root, pair.greater)?;
    match (&lesser.node, &greater.node) {
        _ if lesser.value <= greater.value => None,
        (Some(node), _) => Some(node.fault(Kind::Above {
            value: lesser.value,
            other: greater.setting.name,
            max: greater.value,
        })),
        (None, node) => Some(node.as_ref()?.fault(Kind::Below {
            value: greater.value,
            other: lesser.setting.name,
            min: lesser.value,
        })),
    }
}

fn check_lease(root: &Node<'_>) -> Option<Fault> {
    let heartbeat = read(root, HEARTBEAT)?;
    let lease = read(root, LEASE)?;
    let node = lease.node.or(heartbeat.node)?;
    match lease.value <= heartbeat.value.saturating_mul(MIN_LEASE_HEARTBEATS) {
        true => Some(node.fault(Kind::LeaseTooShort {
            lease_ms: lease.value,
            beat_ms: heartbeat.value,
        })),
        false => None,
    }
}

/// Returns a setting and its value, or `None` if the file has a value of the wrong type.
fn read<'t>(root: &Node<'t>, setting: Setting) -> Option<Reading<'t>> {
    let section = root.get(setting.section);
    let node = section.and_then(|section| section.get(setting.key));
    let value = match &node {
        Some(node) => node.integer()?,
        None => setting.default,
    };
    Some(Reading {
        setting,
        node,
        value,
    })
}
