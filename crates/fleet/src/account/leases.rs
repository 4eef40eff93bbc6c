//! The leased quotas in an account: the router's own, and those of unavailable routers whose successor it is.

use crate::ledger::Ledger;
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A leased quota.
#[derive(Clone, Copy, Debug)]
struct LeasedQuota {
    units: u64,
    expires_at: Time,
}

/// Leased quotas, by their owner.
#[derive(Clone, Debug, Default)]
pub struct LeasedQuotas {
    quotas: BTreeMap<NodeId, LeasedQuota>,
    /// Owners whose quotas are to be released. Their units are not available for new loans or new slots.
    releasing: BTreeSet<NodeId>,
}

impl LeasedQuotas {
    /// Adds the leased quota of `owner`, or replaces it.
    pub fn add(&mut self, owner: NodeId, units: u64, expires_at: Time, ledger: &mut Ledger) {
        if let Some(previous) = self.quotas.insert(owner, LeasedQuota { units, expires_at }) {
            ledger.cancel_credit(previous.units, previous.expires_at);
        }
        ledger.credit(units, expires_at);
    }

    /// Returns the units of the quota of `owner` if it is leased, or was leased and has not been released.
    pub fn units_of(&self, owner: NodeId) -> Option<u64> {
        self.quotas.get(&owner).map(|quota| quota.units)
    }

    /// Sets whether the quota of `owner` is to be released.
    pub fn set_releasing(&mut self, owner: NodeId, releasing: bool) {
        if releasing {
            self.releasing.insert(owner);
        } else {
            self.releasing.remove(&owner);
        }
    }

    /// Returns the units of quotas that are to be released and whose leases have not expired.
    pub fn releasing_units(&self, now: Time) -> u64 {
        let quotas = self.releasing.iter().filter_map(|owner| self.quotas.get(owner));
        quotas.filter(|quota| quota.expires_at > now).map(|quota| quota.units).sum()
    }

    /// Returns the units of all quotas whose leases have not expired.
    pub fn active_units(&self, now: Time) -> u64 {
        self.quotas.values().filter(|quota| quota.expires_at > now).map(|quota| quota.units).sum()
    }

    /// Returns whether the quota of `owner` can be released now: its lease has expired, or the ledger has its
    /// units available until the lease expires.
    pub fn can_release(&self, now: Time, owner: NodeId, ledger: &Ledger) -> bool {
        let Some(quota) = self.quotas.get(&owner) else { return true };
        let is_expired = quota.expires_at <= now;
        is_expired || ledger.minimum(now, quota.expires_at).max(0) as u64 >= quota.units
    }

    /// Releases the quota of `owner`.
    pub fn release(&mut self, owner: NodeId, ledger: &mut Ledger) {
        self.releasing.remove(&owner);
        if let Some(quota) = self.quotas.remove(&owner) {
            ledger.cancel_credit(quota.units, quota.expires_at);
        }
    }
}
