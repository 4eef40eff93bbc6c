//! The quota account: the state of one limit at one router.
//!
//! Units come from leased quotas (the router's own, and those of unavailable routers whose successor it is),
//! from loans, and from a reserve, a part of the router's own quota that never expires. All units but the
//! reserve can be lent. Each limit has a coordinator, chosen by rendezvous hashing over the alive routers.
//! Routers lend their surplus to it, and it lends to routers whose demand exceeds their units. The choice of
//! the coordinator affects only how well the units are used, not how many there are: routers that disagree on
//! the coordinator may get fewer units than they could, but the limit holds.

mod coordinator;
mod demand;
mod leases;
mod loans;

use crate::ledger::Ledger;
use crate::limit::{Bounds, LimitKey, RATE_UNITS};
use crate::loan::{Borrowing, Lending};
use crate::roster::NodeId;
use crate::slots::OccupiedSlots;
use crate::timing::Timing;
use crate::token_bucket::TokenBucket;
use basalthill_policy::api::Time;
use coordinator::Coordination;
use demand::{Demand, MIN_RATE_PER_S};
use leases::LeasedQuotas;
use std::collections::BTreeMap;

pub use loans::LoanReturn;

/// The demanded rate as a multiple of the request rate while the token bucket is empty.
const DEMAND_FACTOR_EMPTY: f64 = 1.3;
/// The amount by which the demanded rate, as a multiple of the request rate, is lower while the token bucket
/// is full than while it is empty, because the tokens in the bucket are used first.
const DEMAND_FACTOR_DROP: f64 = 0.6;
/// Slots demanded beyond the peak number of slots in use or missing.
const SPARE_SLOTS: u64 = 1;
/// The headroom, in tokens, below which a low fill level counts as scarcity.
const SCARCE_HEADROOM_TOKENS: f64 = 0.5;

/// The capacity that is available to a request under the limits that count it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Availability {
    /// The lowest fill level of the token buckets of these limits. A bucket with a token counts as full while
    /// the units of its limit are not scarce. Zero if a bucket has no token, one if no limit counts the
    /// request.
    pub fraction: f64,
    /// The time, from now, after which the request may be retried if it is rejected.
    pub retry_after: Time,
}

impl Availability {
    /// The availability for a request that no limit counts.
    pub const UNLIMITED: Availability = Availability { fraction: 1.0, retry_after: Time(0) };

    /// Returns the availability for a request that both limits count.
    pub fn and(self, other: Availability) -> Availability {
        Availability {
            fraction: self.fraction.min(other.fraction),
            retry_after: self.retry_after.max(other.retry_after),
        }
    }
}

/// The parameters of an account.
#[derive(Clone, Copy, Debug)]
pub struct AccountConfig {
    /// The limit, and the member if the limit is counted at each member.
    pub key: LimitKey,
    /// The limit's bounds, over all routers.
    pub bounds: Bounds,
    /// The reserve: units that this router always keeps of its own quota.
    pub reserved_units: u64,
    /// The time from which the reserve counts. Before it, units of the reserve may still be used by an
    /// earlier incarnation.
    pub reserve_from: Time,
    /// Whether there is always demand for at least one token. Budgets need it, because their tokens are
    /// requested only once they are available.
    pub has_standing_demand: bool,
    /// The first loan request has the number after this one.
    pub loan_number_base: u32,
    /// How long loans are valid.
    pub timing: Timing,
}

/// The state of one limit at one router.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    config: AccountConfig,
    ledger: Ledger,
    leases: LeasedQuotas,
    borrowed: BTreeMap<NodeId, Borrowing>,
    lent: BTreeMap<NodeId, Lending>,
    /// The coordinator's deposit request, which the next report answers.
    deposit_request: Option<DepositRequest>,
    coordination: Coordination,
    demand: Demand,
    tokens: Option<TokenBucket>,
    slots: OccupiedSlots,
    rounds: u64,
    admitted: u64,
    rejected: u64,
}

/// A coordinator's request for a deposit.
#[derive(Clone, Copy, Debug)]
struct DepositRequest {
    coordinator: NodeId,
    number: u32,
}

/// The statistics of an account in the status output. Numbers are in units of the limit unless stated
/// otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountStats {
    /// The units over all routers.
    pub total: u64,
    /// Units reserved for this router.
    pub reserved: u64,
    /// Units of leased quotas.
    pub leased: u64,
    /// Units borrowed from other routers.
    pub borrowed: u64,
    /// Units lent to other routers.
    pub lent: u64,
    /// Units that this router has now: its reserve and the units of its ledger.
    pub usable: u64,
    /// The demand of this router.
    pub demand: u64,
    /// Slots in use.
    pub in_use: u64,
    /// Requests admitted, or slots occupied, since the account was opened.
    pub admitted: u64,
    /// Requests rejected, or attempts for which no slot was free, since the account was opened.
    pub rejected: u64,
    /// The next time at which units expire or lent units become available again.
    pub next_expiry: Option<Time>,
}

impl QuotaAccount {
    /// Creates an account without any units but its reserve.
    pub fn new(now: Time, config: AccountConfig) -> QuotaAccount {
        let tokens = match config.bounds {
            Bounds::Rate { per_s, burst } => Some(TokenBucket::new(now, per_s, burst)),
            Bounds::Concurrent(_) => None,
        };
        QuotaAccount {
            config,
            ledger: Ledger::default(),
            leases: LeasedQuotas::default(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            deposit_request: None,
            coordination: Coordination::default(),
            demand: Demand::default(),
            tokens,
            slots: OccupiedSlots::default(),
            rounds: 0,
            admitted: 0,
            rejected: 0,
        }
    }

    /// Returns the units of the reserve, or zero before the time from which it counts.
    fn reserve(&self, now: Time) -> u64 {
        if now >= self.config.reserve_from {
            self.config.reserved_units
        } else {
            0
        }
    }

    /// Settles the account at `now`: refills tokens and removes expired loans and slots. Must be called
    /// before any other method at a given time.
    pub fn settle(&mut self, now: Time) {
        let reserve = self.reserve(now);
        if let Some(tokens) = &mut self.tokens {
            tokens.refill(now, reserve, &self.ledger, self.coordination.own_cap, &self.config.timing);
        }
        for loan in self.borrowed.values_mut() {
            loan.expire(now, &mut self.ledger);
        }
        for loan in self.lent.values_mut() {
            loan.expire(now, &mut self.ledger);
        }
        self.slots.expire(now, &mut self.ledger);
        self.ledger.discard_expired(now);
    }

    /// Adds the leased quota of `owner`, or replaces it.
    pub fn add_lease(&mut self, owner: NodeId, units: u64, until: Time) {
        self.leases.add(owner, units, until, &mut self.ledger);
    }

    /// Returns the units of the quota of `owner` if it is leased, or was leased and has not been released.
    pub fn leased_units(&self, owner: NodeId) -> Option<u64> {
        self.leases.units_of(owner)
    }

    /// Sets whether the quota of `owner` is to be released.
    pub fn set_releasing(&mut self, owner: NodeId, releasing: bool) {
        self.leases.set_releasing(owner, releasing);
    }

    /// Returns whether the quota of `owner` can be released now: no loan and no slot in use depends on it.
    pub fn can_release(&self, now: Time, owner: NodeId) -> bool {
        self.leases.can_release(now, owner, &self.ledger)
    }

    /// Releases the quota of `owner`.
    pub fn release_lease(&mut self, owner: NodeId) {
        self.leases.release(owner, &mut self.ledger);
    }

    /// Returns the units of the ledger that this router may use now. As the coordinator, it may use no more
    /// than `own_cap`.
    fn usable_ledger_units(&self, now: Time) -> i64 {
        let units = self.ledger.current(now);
        match self.coordination.own_cap {
            Some(cap) => units.min(cap as i64),
            None => units,
        }
    }

    /// Returns the units that this router has now: its reserve and the units of the ledger. They are not
    /// limited to the coordinator's `own_cap`.
    pub fn usable_units(&self, now: Time) -> u64 {
        (self.reserve(now) as i64 + self.ledger.current(now)).max(0) as u64
    }

    /// Returns the availability for a request that arrives now, and records the request as demand.
    pub fn availability(&mut self, now: Time) -> Availability {
        self.demand.record_request();
        let Some(tokens) = &self.tokens else { return Availability::UNLIMITED };
        // While all routers get more than their demand, a low fill level is no sign of scarcity.
        let is_scarce = tokens.capacity_of(self.coordination.headroom) < SCARCE_HEADROOM_TOKENS;
        let level = tokens.admission_level();
        let fraction = if level > 0.0 && !is_scarce { 1.0 } else { level };
        let retry_after = tokens.retry_after(self.reserve(now), self.usable_ledger_units(now));
        Availability { fraction, retry_after }
    }

    /// Records demand for a token when none was available.
    pub fn record_missing_token(&mut self) {
        self.demand.record_request();
    }

    /// Returns the number of tokens that can be spent now.
    pub fn tokens_left(&self) -> u32 {
        self.tokens.as_ref().map_or(u32::MAX, TokenBucket::available)
    }

    /// Records demand for a token, and spends a token if one is available. Returns whether one was.
    pub fn take_token(&mut self, now: Time) -> bool {
        let is_available = self.availability(now).fraction > 0.0;
        if is_available {
            self.spend();
        }
        is_available
    }

    /// Records that a request is rejected.
    pub fn record_rejection(&mut self) {
        self.rejected += 1;
        if let Some(tokens) = &mut self.tokens {
            tokens.record_rejection();
        }
    }

    /// Spends a token for a request that is admitted.
    pub fn spend(&mut self) {
        self.admitted += 1;
        if let Some(tokens) = &mut self.tokens {
            tokens.spend();
        }
    }

    /// Returns the number of slots that can be occupied now, each for at most `span`.
    pub fn free_slots(&self, now: Time, span: Time) -> u64 {
        let reserve = self.reserve(now) as i64 - self.leases.releasing_units(now) as i64;
        (reserve + self.ledger.minimum(now, now.plus(span))).max(0) as u64
    }

    /// Occupies the slot `number` until `until` at the latest.
    pub fn occupy_slot(&mut self, number: u64, until: Time) {
        self.admitted += 1;
        self.slots.occupy(number, until, &mut self.ledger);
        self.demand.record_slots(self.slots.count());
    }

    /// Releases a slot.
    pub fn release_slot(&mut self, number: u64) {
        self.slots.release(number, &mut self.ledger);
    }

    /// Records demand for a slot when none was free.
    pub fn record_missing_slot(&mut self) {
        self.rejected += 1;
        self.demand.record_missing_slot(self.slots.count());
    }

    /// Returns the demand of this router in units, including its reserve.
    pub fn demand_units(&self) -> u64 {
        match self.config.bounds {
            Bounds::Rate { per_s, burst } => self.rate_demand(per_s, burst),
            Bounds::Concurrent(slots) => self.slot_demand(u64::from(slots)),
        }
    }

    fn rate_demand(&self, per_s: f64, burst: f64) -> u64 {
        let fill_level = self.tokens.as_ref().map_or(0.0, TokenBucket::fill_level);
        let request_rate = self.demand.request_rate(fill_level);
        let is_idle = request_rate < MIN_RATE_PER_S;
        if is_idle && !self.config.has_standing_demand {
            return 0;
        }
        let headroom = if is_idle { 0 } else { self.coordination.headroom };
        let demanded_rate = request_rate * (DEMAND_FACTOR_EMPTY - DEMAND_FACTOR_DROP * fill_level);
        let demanded_units = (demanded_rate / per_s * RATE_UNITS as f64) as u64;
        // Units for less than one request of the burst are of no use.
        let min_units = (RATE_UNITS as f64 / burst).ceil() as u64;
        (demanded_units.max(min_units) + headroom).min(RATE_UNITS)
    }

    fn slot_demand(&self, total_slots: u64) -> u64 {
        match self.demand.peak_slots() {
            0 => 0,
            peak => (peak + SPARE_SLOTS).min(total_slots),
        }
    }

    /// Removes the state of a peer that has restarted or is no longer on the roster. Units lent to it remain
    /// deducted from the ledger until they expire. A new incarnation numbers its requests from the beginning,
    /// so they must not be compared with those of the earlier incarnation.
    pub fn forget_peer(&mut self, peer: NodeId) {
        self.lent.remove(&peer);
        self.coordination.forget_peer(peer);
        self.deposit_request = self.deposit_request.filter(|request| request.coordinator != peer);
    }

    /// Returns the statistics for the status output.
    pub fn stats(&self, now: Time) -> AccountStats {
        AccountStats {
            total: self.config.bounds.units(),
            reserved: self.reserve(now),
            leased: self.leases.active_units(now),
            borrowed: self.borrowed.values().map(|loan| loan.units_at(now)).sum(),
            lent: self.lent.values().map(|loan| loan.units_at(now)).sum(),
            usable: self.usable_units(now),
            demand: self.demand_units(),
            in_use: self.slots.count(),
            admitted: self.admitted,
            rejected: self.rejected,
            next_expiry: self.ledger.next_change(),
        }
    }

    /// Returns whether nothing is lent, borrowed, in use or in demand.
    pub fn is_idle(&self, now: Time) -> bool {
        let nothing_lent = self.lent.values().all(|loan| loan.units_at(now) == 0);
        let nothing_borrowed = self.borrowed.values().all(|loan| loan.units_at(now) == 0);
        nothing_lent && nothing_borrowed && self.slots.count() == 0 && self.demand_units() == 0
    }
}
