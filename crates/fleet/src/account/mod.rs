//! The quota account: one limit at one router.
//!
//! Units come from the leased quotas of nodes (this router's own, and those that it is steward of), from
//! loans, and from a reserve of its own quota that never expires. All but the reserve can be lent. Each limit
//! has a coordinator, found by rendezvous hashing over the alive routers: routers lend it their surplus, and
//! it lends to those that have more demand than units. Who the coordinator is matters for how well units are
//! used, never for how many there are: two routers that disagree on it are only served worse.

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

/// Demand as a multiple of the request rate while the token bucket is empty.
const DEMAND_FACTOR_EMPTY: f64 = 1.3;
/// How much the multiple falls until the bucket is full: tokens that are there are used first.
const DEMAND_FACTOR_DROP: f64 = 0.6;
/// Slots requested beyond those in use and those that were missing.
const SPARE_SLOTS: u64 = 1;
/// With less headroom than this many tokens, a low fill level counts as scarcity.
const SCARCE_HEADROOM_TOKENS: f64 = 0.5;

/// How much of the limits on a request is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Availability {
    /// The fill level of the token bucket that has least: zero if one has no token, one if nothing
    /// limits the request.
    pub fraction: f64,
    /// When there will be a token if the request is rejected, from now.
    pub retry_after: Time,
}

impl Availability {
    /// Of requests that no limit counts.
    pub const UNLIMITED: Availability = Availability { fraction: 1.0, retry_after: Time(0) };

    /// Of a request that two limits count.
    pub fn and(self, other: Availability) -> Availability {
        Availability {
            fraction: self.fraction.min(other.fraction),
            retry_after: self.retry_after.max(other.retry_after),
        }
    }
}

/// What an account is opened with.
#[derive(Clone, Copy, Debug)]
pub struct AccountConfig {
    /// What it is the account of.
    pub key: LimitKey,
    /// The limit's bounds, over all routers.
    pub bounds: Bounds,
    /// Units of its own quota that this router always keeps.
    pub reserved_units: u64,
    /// From when on the reserve counts: before, what an earlier incarnation used of it may still be in use.
    pub reserve_from: Time,
    /// Whether one token at least is always in demand: nobody requests tokens of a budget before they are
    /// there.
    pub has_standing_demand: bool,
    /// The number from which requests for loans count.
    pub first_loan_number: u32,
    /// How long loans are valid.
    pub timing: Timing,
}

/// One limit at one router.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    config: AccountConfig,
    ledger: Ledger,
    leases: LeasedQuotas,
    borrowed: BTreeMap<NodeId, Borrowing>,
    lent: BTreeMap<NodeId, Lending>,
    /// The coordinator's request that the next report answers.
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

/// The figures of an account in the status output. Those without a unit are in units of the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountStats {
    /// The limit over all routers.
    pub total: u64,
    /// Reserved for this router.
    pub reserved: u64,
    /// From leased quotas.
    pub leased: u64,
    /// Borrowed from other routers.
    pub borrowed: u64,
    /// Lent to other routers.
    pub lent: u64,
    /// Usable by this router now.
    pub usable: u64,
    /// This router's demand.
    pub demand: u64,
    /// Slots in use.
    pub in_use: u64,
    /// Requests admitted, or slots occupied, since the start.
    pub admitted: u64,
    /// Requests rejected, or slots missing, since the start.
    pub rejected: u64,
    /// When units expire or come back next.
    pub next_expiry: Option<Time>,
}

impl QuotaAccount {
    /// An account that has nothing but its reserve.
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

    /// The reserved units that count at a time.
    fn reserve(&self, now: Time) -> u64 {
        if now >= self.config.reserve_from {
            self.config.reserved_units
        } else {
            0
        }
    }

    /// Brings the account up to `now`. Must be called before anything else is done at a time.
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

    /// Adds a node's leased quota, or replaces it.
    pub fn add_lease(&mut self, owner: NodeId, units: u64, until: Time) {
        self.leases.add(owner, units, until, &mut self.ledger);
    }

    /// The units of a node's quota that is leased, or was.
    pub fn leased_units(&self, owner: NodeId) -> Option<u64> {
        self.leases.units_of(owner)
    }

    /// Marks a node's quota as one that is to be released, or to be used again.
    pub fn set_releasing(&mut self, owner: NodeId, releasing: bool) {
        self.leases.set_releasing(owner, releasing);
    }

    /// Whether a node's quota can be released now: nothing that is lent or in use relies on it.
    pub fn can_release(&self, now: Time, owner: NodeId) -> bool {
        self.leases.can_release(now, owner, &self.ledger)
    }

    /// Releases a node's quota.
    pub fn release_lease(&mut self, owner: NodeId) {
        self.leases.release(owner, &mut self.ledger);
    }

    /// Units of the ledger that this router may use now.
    fn usable_ledger_units(&self, now: Time) -> i64 {
        let units = self.ledger.current(now);
        match self.coordination.own_cap {
            Some(cap) => units.min(cap as i64),
            None => units,
        }
    }

    /// The units that can be used now.
    pub fn usable_units(&self, now: Time) -> u64 {
        (self.reserve(now) as i64 + self.ledger.current(now)).max(0) as u64
    }

    /// What is open for a request that arrives now. It counts as demand.
    pub fn availability(&mut self, now: Time) -> Availability {
        self.demand.record_request();
        let Some(tokens) = &self.tokens else { return Availability::UNLIMITED };
        // While all routers get what they want and more, few tokens are no sign of scarcity.
        let is_scarce = tokens.capacity_of(self.coordination.headroom) < SCARCE_HEADROOM_TOKENS;
        let level = tokens.admission_level();
        let fraction = if level > 0.0 && !is_scarce { 1.0 } else { level };
        let retry_after = tokens.retry_after(self.reserve(now), self.usable_ledger_units(now));
        Availability { fraction, retry_after }
    }

    /// Records demand for a token that was not there.
    pub fn record_missing_token(&mut self) {
        self.demand.record_request();
    }

    /// The tokens that can be spent now.
    pub fn tokens_left(&self) -> u32 {
        self.tokens.as_ref().map_or(u32::MAX, TokenBucket::available)
    }

    /// Records demand for a token and spends it if it is there. Returns whether it is.
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

    /// Spends a token on a request that is admitted.
    pub fn spend(&mut self) {
        self.admitted += 1;
        if let Some(tokens) = &mut self.tokens {
            tokens.spend();
        }
    }

    /// The slots that can be occupied now for a span.
    pub fn free_slots(&self, now: Time, span: Time) -> u64 {
        let reserve = self.reserve(now) as i64 - self.leases.releasing_units(now) as i64;
        (reserve + self.ledger.minimum(now, now.plus(span))).max(0) as u64
    }

    /// Occupies a slot, until a time at the latest.
    pub fn occupy_slot(&mut self, number: u64, until: Time) {
        self.admitted += 1;
        self.slots.occupy(number, until, &mut self.ledger);
        self.demand.record_slots(self.slots.count());
    }

    /// Releases a slot.
    pub fn release_slot(&mut self, number: u64) {
        self.slots.release(number, &mut self.ledger);
    }

    /// Records demand for a slot that was not there.
    pub fn record_missing_slot(&mut self) {
        self.rejected += 1;
        self.demand.record_missing_slot(self.slots.count());
    }

    /// The units that this router wants in all, its reserve among them.
    pub fn demand_units(&self) -> u64 {
        match self.config.bounds {
            Bounds::Rate { per_s, burst } => self.rate_demand(per_s, burst),
            Bounds::Concurrent(slots) => self.slot_demand(u64::from(slots)),
        }
    }

    fn rate_demand(&self, per_s: f64, burst: f64) -> u64 {
        let fill_level = self.tokens.as_ref().map_or(0.0, TokenBucket::fill_level);
        let request_rate = self.demand.request_rate(fill_level);
        let is_quiet = request_rate < MIN_RATE_PER_S;
        if is_quiet && !self.config.has_standing_demand {
            return 0;
        }
        let headroom = if is_quiet { 0 } else { self.coordination.headroom };
        let wanted_rate = request_rate * (DEMAND_FACTOR_EMPTY - DEMAND_FACTOR_DROP * fill_level);
        let wanted_units = (wanted_rate / per_s * RATE_UNITS as f64) as u64;
        // Fewer units than one request of the burst are of no use.
        let least_units = (RATE_UNITS as f64 / burst).ceil() as u64;
        (wanted_units.max(least_units) + headroom).min(RATE_UNITS)
    }

    fn slot_demand(&self, total_slots: u64) -> u64 {
        match self.demand.peak_slots() {
            0 => 0,
            peak => (peak + SPARE_SLOTS).min(total_slots),
        }
    }

    /// Forgets a router that has restarted or left the roster. What was lent to it expires in the ledger; its
    /// new incarnation numbers its requests anew.
    pub fn forget_peer(&mut self, peer: NodeId) {
        self.lent.remove(&peer);
        self.coordination.forget_peer(peer);
        self.deposit_request = self.deposit_request.filter(|request| request.coordinator != peer);
    }

    /// The figures for the status output.
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

    /// Whether nothing is lent, borrowed, in use or in demand.
    pub fn is_idle(&self, now: Time) -> bool {
        let nothing_lent = self.lent.values().all(|loan| loan.units_at(now) == 0);
        let nothing_borrowed = self.borrowed.values().all(|loan| loan.units_at(now) == 0);
        nothing_lent && nothing_borrowed && self.slots.count() == 0 && self.demand_units() == 0
    }
}
