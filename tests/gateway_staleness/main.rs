//! The load of engines in fleets so large that each host knows it from late counts alone.

#![expect(clippy::indexing_slicing, reason = "a test may panic")]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::Shape;
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(12);

/// Requests in a hundred that users allow at engines above twice the mean load plus three.
const MAX_ABOVE: f64 = 3.0;

/// Requests with a long prompt in a hundred that may go to an engine that doesn't hold it: three of
/// four find their prompt.
const MAX_PREFILLED: f64 = 25.0;

/// Requests in a hundred that may have to wait although most engines have free slots.
const MAX_WAITS: f64 = 0.1;

const LARGE: Shape = Shape {
    zones: 6,
    hosts: 49,
    engines: 34,
    slots: 16,
    rate: 6.4,
    shared: 0.0,
    is_evacuated: false,
    loss: 0.0,
};

/// Half of the long prompts are one and the same, so that its holders fill up.
const SHARED: Shape = Shape {
    shared: 0.5,
    ..LARGE
};

#[rstest]
#[case::even(LARGE)]
#[case::shared(SHARED)]
#[case::evacuated(Shape { is_evacuated: true, ..SHARED })]
#[case::datagrams_lost(Shape { loss: 0.1, ..SHARED })]
#[case::size_to_design_for(Shape { zones: 9, hosts: 42, engines: 46, ..SHARED })]
fn hosts_with_late_counts_do_not_overload_the_engines_that_hold_a_prompt(#[case] shape: Shape) {
    let outcome = Fleet::new(shape, 1).run(LENGTH);
    assert!(outcome.above <= MAX_ABOVE, "{outcome:?}");
    assert!(outcome.prefilled <= MAX_PREFILLED, "{outcome:?}");
    assert!(outcome.waits <= MAX_WAITS, "{outcome:?}");
}
