//! Model checking of the safety of loans and leases in small fleets: every order of events, under clocks that
//! run at different rates, datagrams that are lost, delayed or duplicated, and crashes. The cores are the
//! real ones.

mod leases;
mod loans;

use basalthill_fleet::Timing;
use basalthill_policy::api::Time;
use stateright::{Checker, Model};
use std::fmt::Debug;
use std::hash::Hash;

/// The steps of a clock, in nanoseconds, in one step of true time, at the rates that [`DRIFT`] allows: two
/// thirds and four thirds.
const CLOCK_STEPS_NS: [u64; 2] = [20_000_000, 40_000_000];
const DRIFT: f64 = 1.0 / 3.0;
/// The span of loans and votes, by the borrower's and the claimant's clock.
const SPAN: Time = Time::ms(60);
/// A model that is checked has more states than this, or its bounds are too narrow to show anything.
const MIN_STATES: usize = 100_000;

/// Visits all states of a model and asserts its properties.
fn assert_properties<M>(name: &str, model: M)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync,
    M::Action: Clone + Debug + PartialEq,
{
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{name}: {} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > MIN_STATES, "{} states", checker.unique_state_count());
}

fn timing() -> Timing {
    Timing { drift: DRIFT, period: Time::ms(10), grant: SPAN, deposit: SPAN, lease: SPAN }
}

/// A clock's time after one step of true time, at one of the rates.
fn advance(clock: Time, rate: usize) -> Time {
    clock.plus(Time(CLOCK_STEPS_NS[rate]))
}
