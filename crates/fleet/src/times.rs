//! How long leases and loans count, for lenders and for borrowers whose clocks run at other rates.

use basalthill_policy::api::Time;

/// The times of a fleet, from what requests may take and how far the clocks' rates are off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Largest error of any clock's rate against true time, as a share.
    pub drift: f64,
    /// A router says something to each of its partners this often.
    pub period: Time,
    /// A loan to one who is hungry, by the borrower's clock.
    pub grant: Time,
    /// A loan of what a router does not need to the one that deals it out.
    pub deposit: Time,
    /// The lease on a name's share.
    pub lease: Time,
}

/// Between two rounds of talk about rights.
const PERIOD: Time = Time::ms(200);
/// What a loan outlasts the longest use of a right by.
const SPARE: Time = Time::ms(900);

impl Timing {
    /// Times for rights that are in use for `longest` at a time: zero where rights are spent at once.
    /// Each kind of loan outlasts the one made from it by some rounds, so that one lost datagram costs
    /// nothing.
    pub fn new(drift: f64, longest: Time) -> Timing {
        let grant = longest.plus(SPARE);
        let deposit = grant.plus(PERIOD.times(8.0));
        let lease = deposit.plus(PERIOD.times(6.0));
        Timing { drift, period: PERIOD, grant, deposit, lease }
    }

    /// How long a lender has to wait for a span that the borrower counts by its own clock. The lender's clock
    /// may run fast by the drift, and the borrower's slow: `span (1 + drift) / (1 - drift)`.
    pub fn lender_span(&self, span: Time) -> Time {
        span.times((1.0 + self.drift) / (1.0 - self.drift)).plus(Time(1))
    }

    /// How much of a span of true time has surely passed when this clock has moved by it: rates are filled by
    /// this.
    pub fn surely(&self, span: Time) -> Time {
        span.times(1.0 / (1.0 + self.drift))
    }
}
