//! The coordinator's part of an account: dividing the units that other routers deposit among the routers with
//! demand.

use super::QuotaAccount;
use crate::limit::{Bounds, RATE_UNITS};
use crate::loan::{Borrowing, LoanRequest, RequestReceipt};
use crate::packet::{QuotaReport, QuotaResponse};
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// The number of periods after which a reported demand of a peer no longer counts.
const DEMAND_VALID_PERIODS: f64 = 5.0;
/// The largest headroom of a router: the units that allow this number of requests of the burst.
const MAX_HEADROOM_REQUESTS: f64 = 4.0;

/// The demand that a peer has reported.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    units: u64,
    reported_at: Time,
}

/// The state of the coordinator of a limit.
#[derive(Clone, Debug, Default)]
pub struct Coordination {
    /// The demand that each peer has reported, in units beyond those that it has without a loan.
    peer_demands: BTreeMap<NodeId, PeerDemand>,
    /// The most units of the ledger that the coordinator uses itself, so that the peers get their allotments;
    /// `None` while no peer has demand, and at a router that is not the coordinator.
    pub own_cap: Option<u64>,
    /// Units that each router with requests may use beyond its demand, as decided by the coordinator. The
    /// coordinator shrinks the headroom to zero while some routers get less than their demand.
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

    /// Removes a peer's demand.
    pub fn forget_peer(&mut self, peer: NodeId) {
        self.peer_demands.remove(&peer);
    }
}

/// A router's part of the available units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allotment {
    units: u64,
    /// The units that remain when all demands are met; `None` if some are not met.
    remaining: Option<u64>,
}

/// Divides `available` units by max-min fairness (water-filling): each demand is met up to a common level, at
/// which the available units are used up. Returns the allotment for one of the demands.
fn allot(available: u64, demands: impl Iterator<Item = u64>, demand: u64) -> Allotment {
    let mut demands: Vec<u64> = demands.filter(|units| *units > 0).collect();
    demands.sort_unstable();
    let mut remaining = available;
    let mut unmet = demands.len() as u64;
    for units in demands {
        let level = remaining / unmet;
        if units > level {
            return Allotment { units: demand.min(level), remaining: None };
        }
        remaining -= units;
        unmet -= 1;
    }
    Allotment { units: demand, remaining: Some(remaining) }
}

impl QuotaAccount {
    /// Runs a round as the coordinator. `demand` is the router's own demand beyond its reserve.
    pub(super) fn coordinate(&mut self, now: Time, demand: u64) {
        let own_use = self.own_leased_use(now);
        let allotment = self.allot(now, demand - own_use);
        let has_peer_demand = !self.coordination.peer_demands.is_empty();
        self.coordination.own_cap = has_peer_demand.then_some(own_use + allotment.units);
        self.adjust_headroom(allotment.remaining);
    }

    /// Raises the headroom of each router by half of its part of the remaining units, up to
    /// `MAX_HEADROOM_REQUESTS`. While some demands are not met, halves the headroom, so that units granted
    /// beyond demand are returned soon.
    fn adjust_headroom(&mut self, remaining: Option<u64>) {
        let Bounds::Rate { burst, .. } = self.config.bounds else { return };
        let max_headroom = (RATE_UNITS as f64 / burst * MAX_HEADROOM_REQUESTS) as u64;
        let headroom = self.coordination.headroom;
        self.coordination.headroom = match remaining {
            None => headroom / 2,
            Some(remaining) => {
                let routers = self.lent.len() as u64 + 1;
                (headroom + remaining / (2 * routers)).min(max_headroom)
            }
        };
    }

    /// Handles a report from a peer that considers this router the coordinator. Returns the response, or
    /// `None` if the report is outdated.
    pub fn receive_report(&mut self, now: Time, from: NodeId, report: &QuotaReport) -> Option<QuotaResponse> {
        let number_base = self.config.loan_number_base;
        let deposit = self.borrowed.entry(from).or_insert_with(|| Borrowing::numbered_from(number_base));
        if let Some(offer) = report.surplus {
            let span = self.config.timing.deposit_span;
            deposit.receive_grant(offer.number, offer.units, span, &mut self.ledger);
        }
        let loan = self.lent.entry(from).or_default();
        let granted = match loan.receive_request(now, report.request, &mut self.ledger) {
            RequestReceipt::Stale => return None,
            RequestReceipt::Duplicate(units) => units,
            RequestReceipt::New => self.grant(now, from, report.demand),
        };
        Some(QuotaResponse {
            key: self.config.key,
            number: report.request.number,
            granted,
            deposit_request: self.request_deposit(now, from),
            headroom: self.coordination.headroom,
        })
    }

    /// Grants a peer its allotment, as far as units are available.
    fn grant(&mut self, now: Time, peer: NodeId, demand: u64) -> u64 {
        self.coordination.record_demand(now, peer, demand);
        let allotted = self.allot(now, demand).units;
        let until = now.plus(self.config.timing.lender_span(self.config.timing.grant_span));
        let releasing = self.leases.releasing_units(now);
        let loan = self.lent.entry(peer).or_default();
        let available = loan.available(now, until, &self.ledger).saturating_sub(releasing);
        let units = demand.min(allotted).min(available);
        loan.grant(units, until, &mut self.ledger);
        units
    }

    /// Requests a new deposit from a peer. Units held beyond the peer's latest deposit are returned as far as
    /// they are not in use.
    fn request_deposit(&mut self, now: Time, peer: NodeId) -> LoanRequest {
        let free = self.ledger.minimum(now, now.plus(self.config.timing.grant_span)).max(0) as u64;
        let number_base = self.config.loan_number_base;
        let deposit = self.borrowed.entry(peer).or_insert_with(|| Borrowing::numbered_from(number_base));
        let units = deposit.units_at(now);
        let excess = units.saturating_sub(deposit.last_granted());
        deposit.request(now, units - excess.min(free), &mut self.ledger)
    }

    /// Returns the units of leased quotas that this router uses for its own demand.
    fn own_leased_use(&self, now: Time) -> u64 {
        let demand = self.demand_units().saturating_sub(self.reserve(now));
        self.leases.active_units(now).min(demand)
    }

    /// Returns the allotment of a router whose demand beyond its own units is `demand`.
    fn allot(&self, now: Time, demand: u64) -> Allotment {
        let until = now.plus(self.config.timing.lender_span(self.config.timing.grant_span));
        let lent: u64 = self.lent.values().map(|loan| loan.units_at(now)).sum();
        let own_use = self.own_leased_use(now);
        let withheld = own_use + self.leases.releasing_units(now);
        let available = self.ledger.minimum(now, until) + lent as i64 - withheld as i64;
        let own_demand = self.demand_units().saturating_sub(self.reserve(now)) - own_use;
        let demands = self.coordination.peer_demands.values().map(|demand| demand.units).chain([own_demand]);
        allot(available.max(0) as u64, demands, demand)
    }
}
