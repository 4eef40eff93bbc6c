//! An account's loans from and to the coordinator, at a router that is not the coordinator.

use super::{DepositRequest, QuotaAccount};
use crate::loan::{Borrowing, Lending, LoanRequest, RequestReceipt};
use crate::packet::{QuotaReport, QuotaResponse, SurplusOffer};
use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// A router without demand reports once in this many rounds, which is often enough to renew its deposit
/// before it expires.
const IDLE_REPORT_ROUNDS: u64 = 3;

/// Borrowed units that are returned to their lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The lender.
    pub lender: NodeId,
    /// The request that reduces the loan to the units that are kept.
    pub request: LoanRequest,
}

impl QuotaAccount {
    /// Runs a round, which is due once per [`Timing::period`](crate::Timing::period): updates the demand, and
    /// returns the report to the coordinator. Returns `None` if this router is the coordinator or has nothing
    /// to report.
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

    /// Returns the report to the coordinator. `demand` is the demand in units beyond the reserve.
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
        let number_base = self.config.loan_number_base;
        let loan = self.borrowed.entry(coordinator).or_insert_with(|| Borrowing::numbered_from(number_base));
        // Units that the coordinator no longer grants are returned at once, except for those in use.
        // Otherwise they would stay lent until the end of their span.
        let retained = missing.min(loan.last_granted()).max(loan.units_in_use(now, &self.ledger));
        let request = loan.request(now, retained, &mut self.ledger);
        Some(QuotaReport { key: self.config.key, request, demand: missing, surplus })
    }

    /// Returns the units that this router has for the whole span of a deposit, without those borrowed from
    /// the coordinator and including those now lent to it.
    fn units_without_loan(&mut self, now: Time, coordinator: NodeId) -> u64 {
        let until = now.plus(self.config.timing.lender_span(self.config.timing.deposit_span));
        let deposit = self.lent.entry(coordinator).or_default();
        let available = deposit.available(now, until, &self.ledger);
        let just_before_end = until.minus(Time(1));
        let borrowed = self.borrowed.get(&coordinator).map_or(0, |loan| loan.units_at(just_before_end));
        available.saturating_sub(borrowed)
    }

    /// Lends up to `units` to the coordinator, if it has requested a deposit.
    fn offer_surplus(&mut self, now: Time, coordinator: NodeId, units: u64) -> Option<SurplusOffer> {
        let request = self.deposit_request.take().filter(|request| request.coordinator == coordinator)?;
        let until = now.plus(self.config.timing.lender_span(self.config.timing.deposit_span));
        let releasing = self.leases.releasing_units(now);
        let deposit = self.lent.entry(coordinator).or_default();
        let available = deposit.available(now, until, &self.ledger).saturating_sub(releasing);
        let units = units.min(available);
        deposit.grant(units, until, &mut self.ledger);
        Some(SurplusOffer { number: request.number, units })
    }

    /// Handles the coordinator's response. Units that it returns of a deposit are available at once; its
    /// request for a new deposit is answered with the next report.
    pub fn receive_response(&mut self, now: Time, coordinator: NodeId, response: &QuotaResponse) {
        if let Some(loan) = self.borrowed.get_mut(&coordinator) {
            loan.receive_grant(
                response.number,
                response.granted,
                self.config.timing.grant_span,
                &mut self.ledger,
            );
        }
        self.coordination.headroom = response.headroom;
        let deposit = self.lent.entry(coordinator).or_default();
        let receipt = deposit.receive_request(now, response.deposit_request, &mut self.ledger);
        if receipt == RequestReceipt::New {
            let number = response.deposit_request.number;
            self.deposit_request = Some(DepositRequest { coordinator, number });
        }
    }

    /// Reduces the loans from routers other than the coordinator by the units that this router does not need,
    /// such as the deposits that a former coordinator still holds. Returns the reductions to be sent to the
    /// lenders.
    pub fn return_surplus(&mut self, now: Time, coordinator: NodeId) -> Vec<LoanReturn> {
        let usable = self.ledger.minimum(now, now.plus(self.config.timing.grant_span)).max(0) as u64;
        let usable = usable.saturating_sub(self.leases.releasing_units(now));
        let demand = self.demand_units().saturating_sub(self.reserve(now));
        let mut surplus = usable.saturating_sub(demand);
        let mut returns = Vec::new();
        for (lender, loan) in self.borrowed.iter_mut().filter(|(lender, _)| **lender != coordinator) {
            let borrowed = loan.units_at(now);
            let returned = borrowed.saturating_sub(loan.units_in_use(now, &self.ledger)).min(surplus);
            if returned > 0 {
                surplus -= returned;
                let request = loan.request(now, borrowed - returned, &mut self.ledger);
                returns.push(LoanReturn { lender: *lender, request });
            }
        }
        returns
    }

    /// Handles a borrower's request that reduces its loan.
    pub fn receive_return(&mut self, now: Time, borrower: NodeId, request: LoanRequest) {
        let loan: &mut Lending = self.lent.entry(borrower).or_default();
        loan.receive_request(now, request, &mut self.ledger);
    }
}
