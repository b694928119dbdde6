//! The operations of a random schedule, and what the model records of an
//! upstream.

use std::collections::BTreeSet;

use masticmoor::class::Class;
use masticmoor::home::admission::Permit;
use proptest::prelude::*;
use tokio::time::Instant;

pub const UPSTREAMS: usize = 3;
pub const CHATS: u64 = 5;

#[derive(Clone, Debug)]
pub enum Op {
    Submit(usize, u8, Class, bool, u64, Option<u64>),
    End(usize, u8),
    Tick(u64),
    RemoteMean(u64, u32),
    Restart(usize),
    Release(usize),
    TakeOver(usize, u32),
    PredecessorGone(usize),
    Cancel(usize),
}

pub fn op() -> impl Strategy<Value = Op> {
    let class = prop_oneof![
        Just(Class::Urgent),
        Just(Class::Interactive),
        Just(Class::Batch)
    ];
    let warm = prop_oneof![3 => Just(None), 1 => (0..CHATS).prop_map(Some)];
    prop_oneof![
        12 => (0..UPSTREAMS, 0..4_u8, class, any::<bool>(), 1..4000_u64, warm)
            .prop_map(|(upstream, workspace, class, bypass, wait_ms, chat)|
                Op::Submit(upstream, workspace, class, bypass, wait_ms, chat)),
        12 => (any::<usize>(), 0..8_u8).prop_map(|(pick, kind)| Op::End(pick, kind)),
        3 => (1..1500_u64).prop_map(Op::Tick),
        2 => (0..40_u64, 1..6_u32).prop_map(|(sum, count)| Op::RemoteMean(sum, count)),
        1 => (0..UPSTREAMS).prop_map(Op::Restart),
        1 => (0..UPSTREAMS).prop_map(Op::Release),
        2 => (0..UPSTREAMS, 0..6_u32).prop_map(|(upstream, share)| Op::TakeOver(upstream, share)),
        1 => (0..UPSTREAMS).prop_map(Op::PredecessorGone),
        2 => any::<usize>().prop_map(Op::Cancel),
    ]
}

/// The state of one upstream, counted independently of the scheduler.
#[derive(Default)]
pub struct State {
    pub home: bool,
    /// The running requests: the permit, whether the request began since the
    /// last cold start, and its chat.
    pub running: Vec<(Permit, bool, u64)>,
    /// The number of complete responses since the last cold start.
    pub good: u32,
    pub failing: bool,
    /// The chats answered since the last cold start.
    pub chats: BTreeSet<u64>,
    pub share: u32,
    pub lease: Option<Instant>,
}

impl State {
    pub fn reset(&mut self) {
        self.good = 0;
        self.chats.clear();
        self.running.iter_mut().for_each(|run| run.1 = false);
    }
}
