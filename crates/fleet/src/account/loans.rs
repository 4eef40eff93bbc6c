//! An account's loans from and to the coordinator, as the router that is not the coordinator sees them.

use super::{DepositRequest, QuotaAccount};
use crate::loan::{Borrowing, Lending, LoanRequest, RequestReceipt};
use crate::packet::{QuotaReply, QuotaReport, SurplusOffer};
use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// A router without demand sends a report once in so many rounds: often enough to renew its deposit.
const IDLE_REPORT_ROUNDS: u64 = 3;

/// Borrowed units that go back to their lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The lender.
    pub lender: NodeId,
    /// The request by which the loan shrinks.
    pub request: LoanRequest,
}

impl QuotaAccount {
    /// Runs a round, once a period: takes stock of demand and returns the report to the coordinator. There is
    /// none if this router is the coordinator, or has nothing to report.
    pub fn run_round(&mut self, now: Time, me: NodeId, coordinator: NodeId) -> Option<QuotaReport> {
        self.rounds += 1;
        self.demand.end_round(self.config.timing.period.secs(), self.slots.count());
        let demand = self.demand_units().saturating_sub(self.reserve(now));
        self.coordination.expire_demands(now, self.config.timing.period);
        if coordinator == me {
            self.coordinate(now, demand);
            return None;
        }
        self.coordination.own_cap = None;
        self.report(now, me, coordinator, demand)
    }

    /// The report to the coordinator, at a demand of so many units beyond the reserve.
    fn report(&mut self, now: Time, me: NodeId, coordinator: NodeId, demand: u64) -> Option<QuotaReport> {
        let own_units = self.units_without_loan(now, coordinator);
        let missing = demand.saturating_sub(own_units);
        let borrowed = self.borrowed.get(&coordinator).map_or(0, |loan| loan.units_at(now));
        let is_idle = missing == 0 && borrowed == 0 && demand == 0;
        let is_idle_report_due = self.rounds % IDLE_REPORT_ROUNDS == me.0 % IDLE_REPORT_ROUNDS;
        if is_idle && (own_units == 0 || !is_idle_report_due) {
            return None;
        }
        let surplus = self.offer_surplus(now, coordinator, own_units.saturating_sub(demand));
        let first_number = self.config.first_loan_number;
        let loan = self.borrowed.entry(coordinator).or_insert_with(|| Borrowing::numbered_from(first_number));
        // What the coordinator has cut is given back at once, or it would stay lent for its span.
        let request = loan.request(now, missing.min(loan.last_granted()), &mut self.ledger);
        Some(QuotaReport { key: self.config.key, request, demand: missing, surplus })
    }

    /// The units that there are, for a deposit's span, without the coordinator's loan.
    fn units_without_loan(&mut self, now: Time, coordinator: NodeId) -> u64 {
        let until = now.plus(self.config.timing.lender_span(self.config.timing.deposit));
        let deposit = self.lent.entry(coordinator).or_default();
        let available = deposit.available(now, until, &self.ledger);
        let last_moment = until.minus(Time(1));
        let borrowed = self.borrowed.get(&coordinator).map_or(0, |loan| loan.units_at(last_moment));
        available.saturating_sub(borrowed)
    }

    /// Lends up to so many units to the coordinator, if it has requested a deposit.
    fn offer_surplus(&mut self, now: Time, coordinator: NodeId, units: u64) -> Option<SurplusOffer> {
        let request = self.deposit_request.take().filter(|request| request.coordinator == coordinator)?;
        let until = now.plus(self.config.timing.lender_span(self.config.timing.deposit));
        let releasing = self.leases.releasing_units(now);
        let deposit = self.lent.entry(coordinator).or_default();
        let available = deposit.available(now, until, &self.ledger).saturating_sub(releasing);
        let units = units.min(available);
        deposit.grant(units, until, &mut self.ledger);
        Some(SurplusOffer { number: request.number, units })
    }

    /// Takes the coordinator's reply. What it gives back of a deposit counts at once; its request for a new
    /// deposit is answered with the next report.
    pub fn receive_reply(&mut self, now: Time, coordinator: NodeId, reply: &QuotaReply) {
        if let Some(loan) = self.borrowed.get_mut(&coordinator) {
            loan.receive_grant(reply.number, reply.granted, self.config.timing.grant, &mut self.ledger);
        }
        self.coordination.headroom = reply.headroom;
        let deposit = self.lent.entry(coordinator).or_default();
        let receipt = deposit.receive_request(now, reply.deposit_request, &mut self.ledger);
        if receipt == RequestReceipt::New {
            let number = reply.deposit_request.number;
            self.deposit_request = Some(DepositRequest { coordinator, number });
        }
    }

    /// Gives units back that this router has borrowed from others than the coordinator and does not need: a
    /// router that was the coordinator until now has many deposits.
    pub fn return_surplus(&mut self, now: Time, coordinator: NodeId) -> Vec<LoanReturn> {
        let usable = self.ledger.minimum(now, now.plus(self.config.timing.grant)).max(0) as u64;
        let usable = usable.saturating_sub(self.leases.releasing_units(now));
        let demand = self.demand_units().saturating_sub(self.reserve(now));
        let mut surplus = usable.saturating_sub(demand);
        let mut returns = Vec::new();
        for (lender, loan) in self.borrowed.iter_mut().filter(|(lender, _)| **lender != coordinator) {
            let borrowed = loan.units_at(now);
            let returned = borrowed.min(surplus);
            if returned > 0 {
                surplus -= returned;
                let request = loan.request(now, borrowed - returned, &mut self.ledger);
                returns.push(LoanReturn { lender: *lender, request });
            }
        }
        returns
    }

    /// A borrower gives units back.
    pub fn receive_return(&mut self, now: Time, borrower: NodeId, request: LoanRequest) {
        let loan: &mut Lending = self.lent.entry(borrower).or_default();
        loan.receive_request(now, request, &mut self.ledger);
    }
}
