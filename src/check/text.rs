//! Checks strings by their format.

use std::net::SocketAddr;

use crate::check::Kind;
use crate::check::schema::Format;

/// The largest amount.
pub const MAX_AMOUNT: f64 = 1e9;

/// Texts that a template may have in place of an amount that isn't known.
const UNKNOWN_AMOUNTS: [&str; 2] = ["", "null"];

/// The maximum length of a name.
pub const MAX_NAME_CHARS: usize = 128;

/// Returns the fault of a string with respect to its format, if any.
pub fn fault(format: Format, text: &str) -> Option<Kind> {
    let value = || text.to_owned();
    match format {
        Format::Amount => amount(text).err(),
        Format::Address if !is_address(text) => Some(Kind::BadAddress { value: value() }),
        Format::Listen if !is_listen(text) => Some(Kind::BadAddress { value: value() }),
        Format::Name if text.is_empty() => Some(Kind::Empty),
        Format::Name if !is_name(text) => Some(Kind::BadName {
            value: value(),
            max: MAX_NAME_CHARS,
        }),
        Format::Path if !is_path(text) => Some(Kind::BadPath { value: value() }),
        _ => None,
    }
}

/// Parses an amount: a number from 1 to [`MAX_AMOUNT`], or `None` if it is unknown.
pub fn amount(text: &str) -> Result<Option<f64>, Kind> {
    let text = text.trim();
    if UNKNOWN_AMOUNTS.contains(&text) {
        return Ok(None);
    }
    let amount = text.parse().ok();
    match amount.filter(|amount| (1.0..=MAX_AMOUNT).contains(amount)) {
        Some(amount) => Ok(Some(amount)),
        None => Err(Kind::BadAmount {
            value: text.to_owned(),
            max: MAX_AMOUNT,
        }),
    }
}

fn is_listen(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn is_address(text: &str) -> bool {
    match text.parse::<SocketAddr>() {
        Ok(address) => address.port() != 0 && !address.ip().is_unspecified(),
        Err(_) => false,
    }
}

fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_CHARS && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether a string is a valid path. Paths are compared byte by byte, so paths
/// that can be spelled in several ways, such as `/a/../b` or `/%61`, are refused.
pub fn is_path(text: &str) -> bool {
    match text.strip_prefix('/') {
        Some(rest) => rest.split('/').all(is_segment),
        None => false,
    }
}

fn is_segment(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte);
    !matches!(text, "" | "." | "..") && text.bytes().all(is_plain)
}
