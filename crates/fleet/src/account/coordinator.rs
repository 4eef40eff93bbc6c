//! An account where its router is the limit's coordinator: it divides what others deposit among those that
//! have demand.

use super::QuotaAccount;
use crate::limit::{Bounds, RATE_UNITS};
use crate::loan::{Borrowing, LoanRequest, RequestReceipt};
use crate::packet::{QuotaReply, QuotaReport};
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// A peer's demand counts for so many periods after it was reported.
const DEMAND_VALID_PERIODS: f64 = 5.0;
/// The headroom of each router is no more than this many requests of the burst.
const MAX_HEADROOM_REQUESTS: f64 = 4.0;

/// What a peer has reported.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    units: u64,
    reported_at: Time,
}

/// What the coordinator of a limit knows and decides.
#[derive(Clone, Debug, Default)]
pub struct Coordination {
    /// The demand of peers beyond what they have of their own.
    peer_demands: BTreeMap<NodeId, PeerDemand>,
    /// The units of the ledger that the coordinator may use itself, so that its peers get theirs.
    pub own_cap: Option<u64>,
    /// Units that each router with requests may have beyond its demand, as the coordinator decides; zero
    /// while some routers get less than their demand.
    pub headroom: u64,
}

impl Coordination {
    /// Removes demands that were reported too long ago.
    pub fn expire_demands(&mut self, now: Time, period: Time) {
        let max_age = period.times(DEMAND_VALID_PERIODS);
        self.peer_demands.retain(|_, demand| now.since(demand.reported_at) < max_age);
    }

    /// Records a peer's demand.
    fn record_demand(&mut self, now: Time, peer: NodeId, units: u64) {
        if units > 0 {
            self.peer_demands.insert(peer, PeerDemand { units, reported_at: now });
        } else {
            self.peer_demands.remove(&peer);
        }
    }

    /// Forgets a peer's demand.
    pub fn forget_peer(&mut self, peer: NodeId) {
        self.peer_demands.remove(&peer);
    }
}

/// What a router gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allotment {
    units: u64,
    /// What is left over when all demands are met; `None` if some are not.
    left_over: Option<u64>,
}

/// Max-min fairness, also known as water-filling: all demands are met up to one level, at which the available
/// units are used up. Returns what one of the demands gets.
fn allot(available: u64, demands: impl Iterator<Item = u64>, demand: u64) -> Allotment {
    let mut demands: Vec<u64> = demands.filter(|units| *units > 0).collect();
    demands.sort_unstable();
    let mut left = available;
    let mut unserved = demands.len() as u64;
    for units in demands {
        let level = left / unserved;
        if units > level {
            return Allotment { units: demand.min(level), left_over: None };
        }
        left -= units;
        unserved -= 1;
    }
    Allotment { units: demand, left_over: Some(left) }
}

impl QuotaAccount {
    /// Runs a round as the coordinator, whose own demand beyond the reserve is `demand`.
    pub(super) fn coordinate(&mut self, now: Time, demand: u64) {
        let own_use = self.own_leased_use(now);
        let allotment = self.allot(now, demand - own_use);
        let has_peer_demand = !self.coordination.peer_demands.is_empty();
        self.coordination.own_cap = has_peer_demand.then_some(own_use + allotment.units);
        self.adjust_headroom(allotment.left_over);
    }

    /// Raises the headroom by a part of what is left over; halves it while some demands are not met, so that
    /// what was granted beyond demand is soon back.
    fn adjust_headroom(&mut self, left_over: Option<u64>) {
        let Bounds::Rate { burst, .. } = self.config.bounds else { return };
        let max_headroom = (RATE_UNITS as f64 / burst * MAX_HEADROOM_REQUESTS) as u64;
        let headroom = self.coordination.headroom;
        self.coordination.headroom = match left_over {
            None => headroom / 2,
            Some(left_over) => {
                let routers = self.lent.len() as u64 + 1;
                (headroom + left_over / (2 * routers)).min(max_headroom)
            }
        };
    }

    /// Receives a report from a router that takes this one for the coordinator.
    pub fn receive_report(&mut self, now: Time, from: NodeId, report: &QuotaReport) -> Option<QuotaReply> {
        let first_number = self.config.first_loan_number;
        let deposit = self.borrowed.entry(from).or_insert_with(|| Borrowing::numbered_from(first_number));
        if let Some(offer) = report.surplus {
            let span = self.config.timing.deposit;
            deposit.receive_grant(offer.number, offer.units, span, &mut self.ledger);
        }
        let loan = self.lent.entry(from).or_default();
        let granted = match loan.receive_request(now, report.request, &mut self.ledger) {
            RequestReceipt::Stale => return None,
            RequestReceipt::Duplicate(units) => units,
            RequestReceipt::New => self.grant(now, from, report.demand),
        };
        Some(QuotaReply {
            key: self.config.key,
            number: report.request.number,
            granted,
            deposit_request: self.request_deposit(now, from),
            headroom: self.coordination.headroom,
        })
    }

    /// Grants a peer its allotment, as far as there are units.
    fn grant(&mut self, now: Time, peer: NodeId, demand: u64) -> u64 {
        self.coordination.record_demand(now, peer, demand);
        let allotted = self.allot(now, demand).units;
        let until = now.plus(self.config.timing.lender_span(self.config.timing.grant));
        let releasing = self.leases.releasing_units(now);
        let loan = self.lent.entry(peer).or_default();
        let available = loan.available(now, until, &self.ledger).saturating_sub(releasing);
        let units = demand.min(allotted).min(available);
        loan.grant(units, until, &mut self.ledger);
        units
    }

    /// Requests a new deposit from a peer. What is not lent on of a deposit that has become smaller goes
    /// back.
    fn request_deposit(&mut self, now: Time, peer: NodeId) -> LoanRequest {
        let free = self.ledger.minimum(now, now.plus(self.config.timing.grant)).max(0) as u64;
        let first_number = self.config.first_loan_number;
        let deposit = self.borrowed.entry(peer).or_insert_with(|| Borrowing::numbered_from(first_number));
        let units = deposit.units_at(now);
        let excess = units.saturating_sub(deposit.last_granted());
        deposit.request(now, units - excess.min(free), &mut self.ledger)
    }

    /// The units of leased quotas that this router needs itself.
    fn own_leased_use(&self, now: Time) -> u64 {
        let demand = self.demand_units().saturating_sub(self.reserve(now));
        self.leases.active_units(now).min(demand)
    }

    /// What a router with so much demand beyond its own units gets.
    fn allot(&self, now: Time, demand: u64) -> Allotment {
        let until = now.plus(self.config.timing.lender_span(self.config.timing.grant));
        let lent: u64 = self.lent.values().map(|loan| loan.units_at(now)).sum();
        let own_use = self.own_leased_use(now);
        let withheld = own_use + self.leases.releasing_units(now);
        let available = self.ledger.minimum(now, until) + lent as i64 - withheld as i64;
        let own_demand = self.demand_units().saturating_sub(self.reserve(now)) - own_use;
        let demands = self.coordination.peer_demands.values().map(|demand| demand.units).chain([own_demand]);
        allot(available.max(0) as u64, demands, demand)
    }
}
