//! The steps of a schedule, and how often each is generated.

use proptest::prelude::*;

use crate::world::CALLERS;
use crate::world::ISSUERS;

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum Step {
    /// The caller requests a token from an issuer, if it has none.
    RequestToken(usize, usize),
    /// The caller sends its request through this many entries concurrently.
    Send(usize, usize),
    /// The caller's token is sent with another request.
    ReuseToken(usize),
    /// A message in flight arrives; its response may be lost.
    Arrive(usize, bool),
    /// A running request ends.
    End(usize, End),
    /// The issuer is replaced by a new incarnation at the same address.
    Replace(usize),
    /// The issuer is suspended, or resumed if it was.
    Suspend(usize),
    /// The issuer is partitioned, or reconnected if it was.
    Partition(usize),
    /// This many seconds pass.
    Wait(u64),
    /// The issuer removes its old tokens.
    Sweep(usize),
}

/// How a running request ends.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// The upstream answers with a body of this many extra bytes.
    Answered(usize),
    /// The request is proven not to have run.
    NotRun,
    /// The upstream is lost while it runs the request.
    Lost,
}

/// Generates a step.
pub fn any_step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        3 => (0..400_usize).prop_map(End::Answered),
        2 => Just(End::NotRun),
        1 => Just(End::Lost),
    ];
    prop_oneof![
        4 => (0..CALLERS, 0..ISSUERS).prop_map(|(caller, issuer)| Step::RequestToken(caller, issuer)),
        5 => (0..CALLERS, 1..4_usize).prop_map(|(caller, entries)| Step::Send(caller, entries)),
        1 => (0..CALLERS).prop_map(Step::ReuseToken),
        12 => (0..64_usize, any::<bool>()).prop_map(|(at, lost)| Step::Arrive(at, lost)),
        8 => (0..64_usize, end).prop_map(|(at, end)| Step::End(at, end)),
        1 => (0..ISSUERS).prop_map(Step::Replace),
        2 => (0..ISSUERS).prop_map(Step::Suspend),
        2 => (0..ISSUERS).prop_map(Step::Partition),
        2 => (0..20_u64).prop_map(Step::Wait),
        2 => (0..ISSUERS).prop_map(Step::Sweep),
    ]
}
