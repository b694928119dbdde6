//! Differences between two versions of a text, by whole lines. Hosts send them
//! to peers that have an earlier version of a value.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::config::VALUE_LIMIT_BYTES;
use crate::config::version::hash;

/// The maximum number of equal lines of the base that are tried as the start of
/// a copy.
const MAX_CANDIDATES: usize = 8;

/// The steps that turn one text, the base, into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The hash of the base.
    pub base: u64,
    /// The hash of the resulting text.
    pub result: u64,
    steps: Vec<Step>,
}

/// New text to insert, followed by a range of the base to copy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    insert: String,
    from: u32,
    length: u32,
}

/// Why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The delta has another base.
    #[error("delta applies to the text with hash {expected:016x}, found {found:016x}")]
    Base {
        /// The hash of the delta's base.
        expected: u64,
        /// The hash of the given text.
        found: u64,
    },
    /// The delta copies a range that exceeds the base or splits a character.
    #[error("delta copies {length} bytes at offset {from}, which is no valid range of the base")]
    Range {
        /// The start of the range, in bytes.
        from: u32,
        /// Its length in bytes.
        length: u32,
    },
    /// The result exceeds the maximum size of a value.
    #[error("result of the delta exceeds the limit of {limit} bytes")]
    Long {
        /// The limit in bytes.
        limit: usize,
    },
    /// The result has another hash than announced.
    #[error("result of the delta has hash {found:016x}, expected {expected:016x}")]
    Result {
        /// The hash announced.
        expected: u64,
        /// The hash of the result.
        found: u64,
    },
}

impl Delta {
    /// Returns the delta that turns `base` into `next`.
    pub fn between(base: &str, next: &str) -> Self {
        let head_len = common_head(base, next);
        let (base_rest, next_rest) = (suffix(base, head_len), suffix(next, head_len));
        let tail_len = common_tail(base_rest, next_rest);
        let base_middle = prefix(base_rest, base_rest.len() - tail_len);
        let next_middle = prefix(next_rest, next_rest.len() - tail_len);
        let mut steps = Steps::default();
        steps.copy(0, head_len);
        append_diff(base_middle, next_middle, head_len, &mut steps);
        steps.copy(base.len() - tail_len, tail_len);
        Self {
            base: hash(base),
            result: hash(next),
            steps: steps.0,
        }
    }

    /// Applies the delta to its base and returns the result. Fails if the base
    /// is another text, a range is invalid, or the result is too long or has
    /// another hash than announced.
    pub fn apply(&self, base: &str) -> Result<String, Error> {
        let found = hash(base);
        if found != self.base {
            return Err(Error::Base {
                expected: self.base,
                found,
            });
        }
        let mut text = String::new();
        for step in &self.steps {
            text.push_str(&step.insert);
            text.push_str(step.copied_range(base)?);
            if text.len() > VALUE_LIMIT_BYTES {
                return Err(Error::Long {
                    limit: VALUE_LIMIT_BYTES,
                });
            }
        }
        match hash(&text) {
            found if found != self.result => Err(Error::Result {
                expected: self.result,
                found,
            }),
            _ => Ok(text),
        }
    }

    /// Returns the approximate size of the delta on the wire, in bytes.
    pub fn cost_bytes(&self) -> usize {
        const HASHES_BYTES: usize = 20;
        const STEP_BYTES: usize = 16;
        let inserted: usize = self.steps.iter().map(|step| step.insert.len()).sum();
        HASHES_BYTES + self.steps.len() * STEP_BYTES + inserted
    }
}

impl Step {
    fn copied_range<'a>(&self, base: &'a str) -> Result<&'a str, Error> {
        let Self { from, length, .. } = *self;
        let end = u64::from(from) + u64::from(length);
        let end = usize::try_from(end).ok();
        let begin = usize::try_from(from).ok();
        begin
            .zip(end)
            .and_then(|(begin, end)| base.get(begin..end))
            .ok_or(Error::Range { from, length })
    }
}

#[derive(Default)]
struct Steps(Vec<Step>);

impl Steps {
    fn insert(&mut self, text: &str) {
        match self.0.last_mut() {
            Some(last) if last.length == 0 => last.insert.push_str(text),
            _ => self.0.push(Step {
                insert: text.to_owned(),
                ..Step::default()
            }),
        }
    }

    fn copy(&mut self, from: usize, length: usize) {
        let (Ok(from), Ok(length)) = (u32::try_from(from), u32::try_from(length)) else {
            return;
        };
        match self.0.last_mut() {
            _ if length == 0 => {}
            Some(last) if last.length > 0 && last.from + last.length == from => {
                last.length += length;
            }
            Some(last) if last.length == 0 => {
                last.from = from;
                last.length = length;
            }
            _ => self.0.push(Step {
                insert: String::new(),
                from,
                length,
            }),
        }
    }
}

/// Appends the steps for the lines between the common head and the common tail:
/// copies each run of lines that the base also has, and inserts the rest.
/// `offset` is the position of the base lines in the whole base, in bytes.
fn append_diff(base: &str, next: &str, offset: usize, steps: &mut Steps) {
    let base_lines: Vec<&str> = base.split_inclusive('\n').collect();
    let next_lines: Vec<&str> = next.split_inclusive('\n').collect();
    let offsets = line_offsets(&base_lines);
    let mut indices: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, line) in base_lines.iter().enumerate() {
        indices.entry(line).or_default().push(index);
    }
    let mut position = 0;
    let mut reached = 0;
    while let Some(line) = next_lines.get(position) {
        let remaining = next_lines.get(position..).unwrap_or_default();
        let candidates = indices.get(line).map(Vec::as_slice).unwrap_or_default();
        match longest_run(&base_lines, remaining, candidates, reached) {
            Some((index, count)) => {
                let begin = offsets.get(index).copied().unwrap_or_default();
                let end = offsets.get(index + count).copied().unwrap_or(base.len());
                steps.copy(offset + begin, end - begin);
                reached = index + count;
                position += count;
            }
            None => {
                steps.insert(line);
                position += 1;
            }
        }
    }
}

/// Returns the index and the length of the longest run of base lines that
/// `next` starts with. Considers the first [`MAX_CANDIDATES`] candidates at or
/// after the index `reached`, or the first ones of all if none follows it.
fn longest_run(
    lines: &[&str],
    next: &[&str],
    indices: &[usize],
    reached: usize,
) -> Option<(usize, usize)> {
    let at_or_after = indices.partition_point(|index| *index < reached);
    let at_or_after = match indices.get(at_or_after..) {
        Some(remaining) if !remaining.is_empty() => remaining,
        _ => indices,
    };
    at_or_after
        .iter()
        .take(MAX_CANDIDATES)
        .map(|at| (*at, run_length(lines.get(*at..).unwrap_or_default(), next)))
        .max_by_key(|(at, count)| (*count, std::cmp::Reverse(*at)))
}

fn run_length(left: &[&str], right: &[&str]) -> usize {
    left.iter()
        .zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

fn line_offsets(lines: &[&str]) -> Vec<usize> {
    lines
        .iter()
        .scan(0, |at, line| {
            let begin = *at;
            *at += line.len();
            Some(begin)
        })
        .collect()
}

/// Returns the length of the whole lines with which both texts begin, in bytes.
fn common_head(left: &str, right: &str) -> usize {
    let same = left
        .bytes()
        .zip(right.bytes())
        .take_while(|(left, right)| left == right)
        .count();
    let same = left.as_bytes().get(..same).unwrap_or_default();
    same.iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |end| end + 1)
}

/// Returns the length of the whole lines with which both texts end, in bytes.
fn common_tail(left: &str, right: &str) -> usize {
    let same = left
        .bytes()
        .rev()
        .zip(right.bytes().rev())
        .take_while(|(left, right)| left == right)
        .count();
    let tail = left.as_bytes().get(left.len() - same..).unwrap_or_default();
    tail.iter()
        .position(|byte| *byte == b'\n')
        .map_or(0, |end| tail.len() - end - 1)
}

fn suffix(text: &str, from: usize) -> &str {
    text.get(from..).unwrap_or_default()
}

fn prefix(text: &str, to: usize) -> &str {
    text.get(..to).unwrap_or_default()
}
