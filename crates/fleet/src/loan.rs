//! Loans of units between two routers, over links that lose, delay, duplicate and reorder datagrams.
//!
//! The borrower sends requests with rising numbers. Each says how many units of the loan so far it retains;
//! it has cut down to them before the request is sent. The lender answers the latest request. The borrower
//! measures the loan's span from when it sent the request, the lender from when it answered, which is later;
//! the lender's span is longer by what their clocks may differ. Both record the same schedule: from a request
//! on, no more than what is retained; from a grant on, what was granted until its end, and what was retained
//! beyond that until its own end. The lender does so first, whether or not its answer arrives, and each of
//! its ends comes later. So at any time the borrower uses no more units than the lender has written off.
//!
//! The borrower ignores an answer to any but its latest request; the lender ignores a request that is not
//! newer than the last one. A borrower that restarts has forgotten its loans, and they expire. One that was
//! suspended finds them expired by its own clock.

use crate::ledger::Ledger;
use basalthill_policy::api::Time;
use serde::{Deserialize, Serialize};

/// Units that are there until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    ends_at: Time,
    units: u64,
}

/// A number of units that falls in steps as time passes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct StepSchedule {
    /// The ends rise, the units fall.
    steps: Vec<Step>,
}

impl StepSchedule {
    /// The units at a time.
    fn units_at(&self, at: Time) -> u64 {
        self.steps.iter().find(|step| step.ends_at > at).map_or(0, |step| step.units)
    }

    /// Cuts all steps down to `max_units`.
    fn cap(&mut self, max_units: u64) {
        for step in &mut self.steps {
            step.units = step.units.min(max_units);
        }
        self.normalize();
    }

    /// Raises the units to at least `units` until a time.
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

    /// Removes steps that are no higher than the next one, or at zero.
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

    /// Whether a step has ended.
    fn has_expired(&self, now: Time) -> bool {
        self.steps.first().is_some_and(|step| step.ends_at <= now)
    }

    /// The units that end at each step's end.
    fn drops(&self) -> impl Iterator<Item = Step> + '_ {
        let next_units = self.steps.iter().skip(1).map(|step| step.units).chain([0]);
        self.steps.iter().zip(next_units).map(|(step, next)| Step { units: step.units - next, ..*step })
    }

    /// Changes the schedule, and posts it to the ledger anew.
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

/// How a schedule's units are posted to a ledger, and how that is taken back.
struct LedgerSide {
    post: fn(&mut Ledger, u64, Time),
    cancel: fn(&mut Ledger, u64, Time),
}

/// The borrower's side.
const CREDIT: LedgerSide = LedgerSide { post: Ledger::credit, cancel: Ledger::cancel_credit };
/// The lender's side.
const DEBIT: LedgerSide = LedgerSide { post: Ledger::debit, cancel: Ledger::cancel_debit };

/// A borrower's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Rises with each request.
    pub number: u32,
    /// Units of the loan so far that the borrower retains. It uses no more from now on, until an answer
    /// arrives.
    pub retained: u64,
}

/// What a router has borrowed from one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Borrowing {
    /// The number of the latest request.
    number: u32,
    /// When it was sent, until it is answered.
    requested_at: Option<Time>,
    last_granted: u64,
    schedule: StepSchedule,
}

impl Borrowing {
    /// A borrowing whose requests are numbered from `number` on.
    pub fn numbered_from(number: u32) -> Borrowing {
        Borrowing { number, ..Borrowing::default() }
    }

    /// Requests a new grant and retains no more than `max_retained` units of the loan so far. What is given
    /// up leaves the ledger.
    pub fn request(&mut self, now: Time, max_retained: u64, ledger: &mut Ledger) -> LoanRequest {
        self.change(ledger, |schedule| {
            schedule.expire(now);
            schedule.cap(max_retained);
        });
        self.number += 1;
        self.requested_at = Some(now);
        LoanRequest { number: self.number, retained: self.schedule.units_at(now) }
    }

    /// Takes an answer: `units` for `span`, measured from when the request was sent. Ignored if it does not
    /// answer the latest request, or answers it again.
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

    /// Removes what has expired.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.schedule.has_expired(now) {
            self.change(ledger, |schedule| schedule.expire(now));
        }
    }

    /// The units of the latest grant.
    pub fn last_granted(&self) -> u64 {
        self.last_granted
    }

    /// The units that are borrowed at a time.
    pub fn units_at(&self, at: Time) -> u64 {
        self.schedule.units_at(at)
    }
}

/// What a router has lent to one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lending {
    /// The number of the latest request.
    number: u32,
    last_granted: u64,
    schedule: StepSchedule,
}

/// What a lender makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestReceipt {
    /// It is new: it is to be answered by [`Lending::grant`].
    New,
    /// It has been answered with these units before.
    Duplicate(u64),
    /// It is older than the latest one.
    Stale,
}

impl Lending {
    /// Receives a request. If it is new, the borrower has cut down to what it retains and the rest is back.
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

    /// Answers the latest request with units until a time by this clock: no more than [`Lending::available`]
    /// for that time.
    pub fn grant(&mut self, units: u64, until: Time, ledger: &mut Ledger) {
        self.last_granted = units;
        self.change(ledger, |schedule| schedule.raise(units, until));
    }

    /// The most units that can be granted until a time: what is there, and what the borrower has retained,
    /// which counts once.
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

    /// Removes what has expired.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.schedule.has_expired(now) {
            // The ledger rounds the end up to a tick: there it expires a moment later.
            self.change(ledger, |schedule| schedule.expire(now));
        }
    }

    /// The units that the borrower may have in use at a time.
    pub fn units_at(&self, at: Time) -> u64 {
        self.schedule.units_at(at)
    }
}

#[cfg(test)]
mod tests;
