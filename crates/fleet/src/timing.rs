//! How long leases and loans are valid, for lenders and borrowers whose clocks run at different rates.

use basalthill_policy::api::Time;

/// The time spans of a fleet, derived from how long a unit stays in use and from the clocks' drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The largest error of any clock's rate against true time, as a fraction: 0.01 is one percent.
    pub drift: f64,
    /// The time between two rounds in which a router reports its demand.
    pub period: Time,
    /// A loan from a coordinator to a router with demand, by the borrower's clock.
    pub grant: Time,
    /// A loan of a router's surplus to the coordinator, by the coordinator's clock.
    pub deposit: Time,
    /// The lease on a node's quotas, by the clock of the router that has it.
    pub lease: Time,
}

/// The time between two rounds.
const ROUND_PERIOD: Time = Time::ms(200);
/// A grant outlasts the longest use of a unit by this: four rounds and half of one.
const GRANT_MARGIN: Time = Time::ms(900);
/// A deposit outlasts the grants that are made from it by this many rounds.
const DEPOSIT_MARGIN_ROUNDS: f64 = 8.0;
/// A lease outlasts the deposits that are made from it by this many rounds.
const LEASE_MARGIN_ROUNDS: f64 = 6.0;

impl Timing {
    /// Time spans for units that stay in use for `max_use` at a time, zero where they are spent at once. Each
    /// kind of loan outlasts the one that is made from it by some rounds, so that one lost datagram costs
    /// nothing.
    pub fn new(drift: f64, max_use: Time) -> Timing {
        let grant = max_use.plus(GRANT_MARGIN);
        let deposit = grant.plus(ROUND_PERIOD.times(DEPOSIT_MARGIN_ROUNDS));
        let lease = deposit.plus(ROUND_PERIOD.times(LEASE_MARGIN_ROUNDS));
        Timing { drift, period: ROUND_PERIOD, grant, deposit, lease }
    }

    /// How long a lender waits for a span that the borrower measures by its own clock. The lender's clock may
    /// run fast by the drift and the borrower's slow: `span * (1 + drift) / (1 - drift)`, rounded up.
    pub fn lender_span(&self, span: Time) -> Time {
        span.times((1.0 + self.drift) / (1.0 - self.drift)).plus(Time(1))
    }

    /// The least true time that can have passed while this clock moved by `span`.
    pub fn min_elapsed(&self, span: Time) -> Time {
        span.times(1.0 / (1.0 + self.drift))
    }
}
