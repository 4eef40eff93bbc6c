//! Model checking of the safety of loans and leases in small fleets. The checker explores every order of
//! events, with clocks that run at different rates, datagrams that are lost, delayed or duplicated, and
//! crashes. The models run the production code of `lease`, `loan` and `ledger`.

mod leases;
mod loans;

use basalthill_fleet::Timing;
use basalthill_policy::api::Time;
use stateright::{Checker, Model};
use std::fmt::Debug;
use std::hash::Hash;

/// The time by which a clock advances in one step of true time, in nanoseconds, at the two extreme rates that
/// [`DRIFT`] allows: two thirds and four thirds of the true rate.
const CLOCK_STEPS_NS: [u64; 2] = [20_000_000, 40_000_000];
const DRIFT: f64 = 1.0 / 3.0;
/// The span of loans and votes, by the clock of the borrower or the candidate.
const SPAN: Time = Time::ms(60);
/// The number of states that a checked model has to exceed. A model with fewer states is bounded too narrowly
/// to cover the orders of events that matter.
const MIN_STATES: usize = 100_000;

/// Explores all states of a model and asserts its properties.
fn assert_properties<M>(name: &str, model: M)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync,
    M::Action: Clone + Debug + PartialEq,
{
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{name}: {} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > MIN_STATES,
        "{name}: only {} states, expected more than {MIN_STATES}",
        checker.unique_state_count()
    );
}

fn timing() -> Timing {
    Timing { drift: DRIFT, period: Time::ms(10), grant_span: SPAN, deposit_span: SPAN, lease_span: SPAN }
}

/// Returns a clock's time after one step of true time, at the rate with this index.
fn advance(clock: Time, rate: usize) -> Time {
    clock.plus(Time(CLOCK_STEPS_NS[rate]))
}
