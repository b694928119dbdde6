//! Random schedules over several issuers, with concurrent repeats through several
//! entries and issuers that are replaced, suspended beyond the expiry of their
//! tokens, partitioned, or use an old time.
//!
//! Under any schedule, a request runs at most once, even if its caller takes a
//! new token after each "not run"; a request reported as "not run" has not run
//! and never does; and all responses to a request are equal.

#![expect(clippy::indexing_slicing, reason = "issuers are numbered")]

mod step;
mod world;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::step::any_step;
use crate::world::World;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_request_runs_at_most_once(steps in vec(any_step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.check()?;
    }
}
