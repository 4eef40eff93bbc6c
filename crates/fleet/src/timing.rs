//! Validity spans of leases and loans, for lenders and borrowers whose clocks run at different rates.

use basalthill_policy::api::Time;

/// The time spans of a fleet, derived from the longest use of a unit and from the drift of the clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The largest deviation of any clock's rate from true time, as a fraction: 0.01 is one percent.
    pub drift: f64,
    /// The time between two rounds. In each, a router reports its demand.
    pub period: Time,
    /// The span of a loan from a coordinator to a router with demand, by the borrower's clock.
    pub grant_span: Time,
    /// The span of a deposit, a loan of a router's surplus to the coordinator, by the coordinator's clock.
    pub deposit_span: Time,
    /// The span of the lease on an owner's quotas, by the clock of the router that holds it.
    pub lease_span: Time,
}

/// The time between two rounds.
const ROUND_PERIOD: Time = Time::ms(200);
/// The span of a grant beyond the longest use of a unit: four and a half rounds.
const GRANT_MARGIN: Time = Time::ms(900);
/// The rounds by which a deposit is longer than the grants that are made from it.
const DEPOSIT_MARGIN_ROUNDS: f64 = 8.0;
/// The rounds by which a lease is longer than the deposits that are made from it.
const LEASE_MARGIN_ROUNDS: f64 = 6.0;

impl Timing {
    /// Returns the spans for units that stay in use for at most `max_use`, which is zero for units that are
    /// spent at once. Each kind of lease or loan is some rounds longer than the loans that are made from it,
    /// so that one lost datagram does not interrupt the use of units.
    pub fn new(drift: f64, max_use: Time) -> Timing {
        let grant_span = max_use.plus(GRANT_MARGIN);
        let deposit_span = grant_span.plus(ROUND_PERIOD.times(DEPOSIT_MARGIN_ROUNDS));
        let lease_span = deposit_span.plus(ROUND_PERIOD.times(LEASE_MARGIN_ROUNDS));
        Timing { drift, period: ROUND_PERIOD, grant_span, deposit_span, lease_span }
    }

    /// Returns the span for which a lender counts units as lent when the borrower measures `span` by its own
    /// clock. It is `span * (1 + drift) / (1 - drift)`, rounded up, because the lender's clock may be fast by
    /// the drift and the borrower's slow by as much.
    pub fn lender_span(&self, span: Time) -> Time {
        span.times((1.0 + self.drift) / (1.0 - self.drift)).plus(Time(1))
    }

    /// Returns the shortest true time in which this clock can have advanced by `span`.
    pub fn min_elapsed(&self, span: Time) -> Time {
        span.times(1.0 / (1.0 + self.drift))
    }
}
