//! Rights passed on between two routers, over links that lose, delay, repeat and reorder.
//!
//! The borrower asks, by rising numbers, and says how much it keeps of what it has; it has cut down to
//! that before the question goes out. The lender answers the newest question. The borrower counts its
//! span from when it asked, the lender from when it answered, which is later; the lender's span is longer
//! by what their clocks may differ. Both write down the same: from a question on, no more than what is
//! kept; from an answer on, what was answered until its end, and what was kept beyond that until its own.
//! The lender does so first, whether or not its answer arrives, and each of its ends comes later. So at
//! any time the borrower uses no more than the lender has written off.
//!
//! An answer to any but the newest question is passed over by the borrower, a question that is not newer
//! than the last by the lender. A borrower that restarts has forgotten its loans; they lapse. One that
//! was frozen finds them lapsed by its own clock.

use crate::ledger::Ledger;
use basalthill_policy::api::Time;

/// Units that go down as time passes: up to each end, so many.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct StepSchedule {
    /// The ends rise, the units fall.
    steps: Vec<(Time, u64)>,
}

impl StepSchedule {
    /// Units at a time.
    fn units(&self, at: Time) -> u64 {
        self.steps.iter().find(|s| s.0 > at).map_or(0, |s| s.1)
    }

    /// No more than so many from now on.
    fn cap(&mut self, most: u64) {
        self.steps.iter_mut().for_each(|s| s.1 = s.1.min(most));
        self.normalize();
    }

    /// At least so many until a time.
    fn raise(&mut self, units: u64, until: Time) {
        self.steps.iter_mut().filter(|s| s.0 <= until).for_each(|s| s.1 = s.1.max(units));
        let at = self.steps.partition_point(|s| s.0 <= until);
        if self.steps.get(at).is_none_or(|s| s.1 < units) {
            self.steps.insert(at, (until, units));
        }
        self.normalize();
    }

    /// Steps that go no further down than the next say nothing; nor do those at nothing.
    fn normalize(&mut self) {
        let mut next = 0;
        self.steps.reverse();
        self.steps.retain(|s| {
            let says = s.1 > next;
            next = next.max(s.1);
            says
        });
        self.steps.reverse();
    }

    fn expire(&mut self, now: Time) {
        self.steps.retain(|s| s.0 > now);
    }

    /// How many units go at each end.
    fn segments(&self) -> impl Iterator<Item = (u64, Time)> + '_ {
        let next = self.steps.iter().skip(1).map(|s| s.1).chain([0]);
        self.steps.iter().zip(next).map(|(s, next)| (s.1 - next, s.0))
    }
}

/// What a router has borrowed from one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Borrowing {
    number: u32,
    asked: Option<Time>,
    answer: u64,
    there: StepSchedule,
}

/// A question: the number, and how many units of the earlier loan are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoanRequest {
    /// Rises with each question.
    pub number: u32,
    /// No more than these are used from now on, until an answer comes.
    pub keep: u64,
}

impl Borrowing {
    /// A line whose questions count from a number on.
    pub fn counting_from(number: u32) -> Borrowing {
        Borrowing { number, ..Borrowing::default() }
    }

    /// Asks anew and keeps no more than `keep` of what is there. What is given up leaves the ledger.
    pub fn request(&mut self, now: Time, keep: u64, ledger: &mut Ledger) -> LoanRequest {
        self.change(ledger, |there| {
            there.expire(now);
            there.cap(keep);
        });
        self.number += 1;
        self.asked = Some(now);
        LoanRequest { number: self.number, keep: self.there.units(now) }
    }

    /// An answer has come: these units, for a span from when the question went out.
    pub fn receive_grant(&mut self, number: u32, units: u64, span: Time, ledger: &mut Ledger) {
        if number != self.number {
            return;
        }
        if let Some(asked) = self.asked.take() {
            self.answer = units;
            self.change(ledger, |there| there.raise(units, asked.plus(span)));
        }
    }

    fn change(&mut self, ledger: &mut Ledger, f: impl FnOnce(&mut StepSchedule)) {
        self.there.segments().for_each(|(units, until)| ledger.cancel_credit(units, until));
        f(&mut self.there);
        self.there.segments().for_each(|(units, until)| ledger.credit(units, until));
    }

    /// Forgets what has lapsed.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.there.steps.first().is_some_and(|s| s.0 <= now) {
            self.change(ledger, |there| there.expire(now));
        }
    }

    /// Units of the newest answer.
    pub fn last_granted(&self) -> u64 {
        self.answer
    }

    /// Units that are there at a time.
    pub fn units(&self, at: Time) -> u64 {
        self.there.units(at)
    }
}

/// What a router has lent to one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lending {
    number: u32,
    answer: u64,
    out: StepSchedule,
}

/// What is to be made of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It is new: it is to be answered by [`Lending::grant`].
    New,
    /// It has been answered, so.
    Duplicate(u64),
    /// It is old.
    Stale,
}

impl Lending {
    /// A question has come. If it is new, the borrower has cut down to what it keeps; the rest is back.
    pub fn receive_request(&mut self, now: Time, question: LoanRequest, ledger: &mut Ledger) -> Receipt {
        if question.number < self.number {
            return Receipt::Stale;
        }
        if question.number == self.number {
            return Receipt::Duplicate(self.answer);
        }
        self.number = question.number;
        self.answer = 0;
        self.change(ledger, |out| {
            out.expire(now);
            out.cap(question.keep);
        });
        Receipt::New
    }

    /// Answers the question with units until a time by this clock: no more than [`Lending::available`] for
    /// that time.
    pub fn grant(&mut self, units: u64, until: Time, ledger: &mut Ledger) {
        self.answer = units;
        self.change(ledger, |out| out.raise(units, until));
    }

    /// The most that can be answered with until a time: what is there, and what the borrower has kept, which
    /// counts once.
    pub fn available(&self, now: Time, until: Time, ledger: &Ledger) -> u64 {
        let mut without = ledger.clone();
        self.out.segments().for_each(|(units, until)| without.cancel_debit(units, until));
        without.minimum(now, until).max(0) as u64
    }

    fn change(&mut self, ledger: &mut Ledger, f: impl FnOnce(&mut StepSchedule)) {
        self.out.segments().for_each(|(units, until)| ledger.cancel_debit(units, until));
        f(&mut self.out);
        self.out.segments().for_each(|(units, until)| ledger.debit(units, until));
    }

    /// Forgets what has lapsed.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        if self.out.steps.first().is_some_and(|s| s.0 <= now) {
            // In the ledger it stands at its tick until that forgets it, a moment later.
            self.change(ledger, |out| out.expire(now));
        }
    }

    /// Units that may be in use by the borrower at a time.
    pub fn units(&self, at: Time) -> u64 {
        self.out.units(at)
    }
}

#[cfg(test)]
mod tests;
