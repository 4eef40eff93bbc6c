//! Loans of units between two routers, over links that lose, delay, duplicate and reorder datagrams.
//!
//! The borrower sends requests with increasing numbers. Each states how many units of the current loan the
//! borrower retains; the borrower stops using the others before it sends the request. The lender responds to
//! the latest request. The borrower measures the span of a loan from the time at which it sent the request,
//! the lender from the later time at which it responded; the lender's span is also longer by the largest
//! difference that the drift of their clocks allows. Both record the same schedule: after a request, no more
//! than the retained units; after a grant, the granted units until the end of the grant, and retained units
//! beyond those until their own end. The lender records a grant first, whether or not its response arrives,
//! and each end time in the lender's schedule is later. So at any time the borrower uses no more units than
//! the lender has deducted.
//!
//! The borrower ignores responses to all requests but its latest. The lender ignores requests that are not
//! newer than the last one. A borrower that restarts has lost its loans, and they expire at the lender. A
//! borrower that was suspended finds its loans expired by its own clock.

use crate::ledger::Ledger;
use basalthill_policy::api::Time;
use serde::{Deserialize, Serialize};

/// Units that are available until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    ends_at: Time,
    units: u64,
}

/// A number of units that decreases in steps over time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct StepSchedule {
    /// In the order of `ends_at`; `units` decreases strictly.
    steps: Vec<Step>,
}

impl StepSchedule {
    /// Returns the units at a time.
    fn units_at(&self, at: Time) -> u64 {
        self.steps.iter().find(|step| step.ends_at > at).map_or(0, |step| step.units)
    }

    /// Limits all steps to `max_units`.
    fn cap(&mut self, max_units: u64) {
        for step in &mut self.steps {
            step.units = step.units.min(max_units);
        }
        self.normalize();
    }

    /// Raises the units to at least `units` until `until`.
    fn raise(&mut self, units: u64, until: Time) {
        let later = self.steps.partition_point(|step| step.ends_at <= until);
        for step in &mut self.steps[..later] {
            step.units = step.units.max(units);
        }
        if self.steps.get(later).is_none_or(|step| step.units < units) {
            self.steps.insert(later, Step { ends_at: until, units });
        }
        self.normalize();
    }

    /// Removes steps that have no more units than the next step, and steps without units.
    fn normalize(&mut self) {
        let mut next_units = 0;
        self.steps.reverse();
        self.steps.retain(|step| {
            let is_higher = step.units > next_units;
            next_units = next_units.max(step.units);
            is_higher
        });
        self.steps.reverse();
    }

    /// Removes steps that have ended.
    fn expire(&mut self, now: Time) {
        self.steps.retain(|step| step.ends_at > now);
    }

    /// Returns whether a step has ended.
    fn has_expired(&self, now: Time) -> bool {
        self.steps.first().is_some_and(|step| step.ends_at <= now)
    }

    /// Returns, for each step, its end and the units by which the schedule decreases there.
    fn drops(&self) -> impl Iterator<Item = Step> + '_ {
        let next_units = self.steps.iter().skip(1).map(|step| step.units).chain([0]);
        self.steps.iter().zip(next_units).map(|(step, next)| Step { units: step.units - next, ..*step })
    }

    /// Changes the schedule, and replaces its entries in the ledger accordingly.
    fn change_posted(&mut self, ledger: &mut Ledger, side: &LedgerSide, change: impl FnOnce(&mut Self)) {
        for drop in self.drops() {
            (side.cancel)(ledger, drop.units, drop.ends_at);
        }
        change(self);
        for drop in self.drops() {
            (side.post)(ledger, drop.units, drop.ends_at);
        }
    }
}

/// The operations by which a schedule's units are entered in a ledger and removed from it.
struct LedgerSide {
    post: fn(&mut Ledger, u64, Time),
    cancel: fn(&mut Ledger, u64, Time),
}

/// The borrower's operations: borrowed units are added to its ledger.
const CREDIT: LedgerSide = LedgerSide { post: Ledger::credit, cancel: Ledger::cancel_credit };
/// The lender's operations: lent units are deducted from its ledger.
const DEBIT: LedgerSide = LedgerSide { post: Ledger::debit, cancel: Ledger::cancel_debit };

/// A borrower's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Increases with each request.
    pub number: u32,
    /// Units of the current loan that the borrower retains. It uses no more of the loan until a
    /// response arrives.
    pub retained: u64,
}

/// The units that a router has borrowed from one other router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Borrowing {
    /// The number of the latest request.
    number: u32,
    /// When the latest request was sent; `None` once a response has arrived.
    requested_at: Option<Time>,
    last_granted: u64,
    schedule: StepSchedule,
}

impl Borrowing {
    /// Creates an empty borrowing whose first request has the number `number + 1`.
    pub fn numbered_from(number: u32) -> Borrowing {
        Borrowing { number, ..Borrowing::default() }
    }

    /// Requests a new grant, and retains at most `max_retained` units of the current loan. The other units
    /// are removed from the ledger.
    pub fn request(&mut self, now: Time, max_retained: u64, ledger: &mut Ledger) -> LoanRequest {
        self.change(ledger, |schedule| {
            schedule.expire(now);
            schedule.cap(max_retained);
        });
        self.number += 1;
        self.requested_at = Some(now);
        LoanRequest { number: self.number, retained: self.schedule.units_at(now) }
    }

    /// Handles a response that grants `units` for `span`, measured from when the request was sent. Ignored if
    /// `number` is not that of the latest request, or if a response to that request has arrived before.
    pub fn receive_grant(&mut self, number: u32, units: u64, span: Time, ledger: &mut Ledger) {
        if number != self.number {
            return;
        }
        if let Some(requested_at) = self.requested_at.take() {
            self.last_granted = units;
            self.change(ledger, |schedule| schedule.raise(units, requested_at.plus(span)));
        }
    }

    fn change(&mut self, ledger: &mut Ledger, change: impl FnOnce(&mut StepSchedule)) {
        self.schedule.change_posted(ledger, &CREDIT, change);
    }

    /// Removes borrowed units that have expired.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.schedule.has_expired(now) {
            self.change(ledger, |schedule| schedule.expire(now));
        }
    }

    /// Returns how many units of the loan can't be returned, because the ledger has fewer units left at some
    /// time until the loan's end: slots are occupied, or units are lent, until then.
    pub fn units_in_use(&self, now: Time, ledger: &Ledger) -> u64 {
        let mut from = now;
        let mut in_use = 0;
        for step in self.schedule.steps.iter().filter(|step| step.ends_at > now) {
            // The ledger counts borrowed units up to the last tick before their end.
            let until = Ledger::last_tick_before(step.ends_at).max(from);
            let unused = ledger.minimum(from, until).max(0) as u64;
            in_use = step.units.saturating_sub(unused).max(in_use);
            from = until;
        }
        in_use
    }

    /// Returns the units of the latest grant.
    pub fn last_granted(&self) -> u64 {
        self.last_granted
    }

    /// Returns the units that are borrowed at a time.
    pub fn units_at(&self, at: Time) -> u64 {
        self.schedule.units_at(at)
    }
}

/// The units that a router has lent to one other router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lending {
    /// The number of the latest request.
    number: u32,
    last_granted: u64,
    schedule: StepSchedule,
}

/// The result of receiving a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestReceipt {
    /// The request is new; [`Lending::grant`] has to be called for it.
    New,
    /// The request is the latest one received, for which this number of units was granted.
    Duplicate(u64),
    /// The request is older than the latest one.
    Stale,
}

impl Lending {
    /// Handles a request. If it is new, the borrower uses only the units that it retains, and the others are
    /// available to the lender again.
    pub fn receive_request(
        &mut self,
        now: Time,
        request: LoanRequest,
        ledger: &mut Ledger,
    ) -> RequestReceipt {
        if request.number < self.number {
            return RequestReceipt::Stale;
        }
        if request.number == self.number {
            return RequestReceipt::Duplicate(self.last_granted);
        }
        self.number = request.number;
        self.last_granted = 0;
        self.change(ledger, |schedule| {
            schedule.expire(now);
            schedule.cap(request.retained);
        });
        RequestReceipt::New
    }

    /// Records the response to the latest request: `units` until `until` by this router's clock. `units` must
    /// not exceed [`Lending::available`] for that time.
    pub fn grant(&mut self, units: u64, until: Time, ledger: &mut Ledger) {
        self.last_granted = units;
        self.change(ledger, |schedule| schedule.raise(units, until));
    }

    /// Returns the most units that can be granted until a time: the units in the ledger, and those that the
    /// borrower retains, which a new grant includes.
    pub fn available(&self, now: Time, until: Time, ledger: &Ledger) -> u64 {
        let mut without_loan = ledger.clone();
        for drop in self.schedule.drops() {
            without_loan.cancel_debit(drop.units, drop.ends_at);
        }
        without_loan.minimum(now, until).max(0) as u64
    }

    fn change(&mut self, ledger: &mut Ledger, change: impl FnOnce(&mut StepSchedule)) {
        self.schedule.change_posted(ledger, &DEBIT, change);
    }

    /// Removes loans that have expired.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.schedule.has_expired(now) {
            // Cancelling the debit makes the units available now. The ledger rounds the end of a debit up to
            // a tick, so without this they would become available up to one tick later.
            self.change(ledger, |schedule| schedule.expire(now));
        }
    }

    /// Returns the units that the borrower may be using at a time.
    pub fn units_at(&self, at: Time) -> u64 {
        self.schedule.units_at(at)
    }
}

#[cfg(test)]
mod tests;
