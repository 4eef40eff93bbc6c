//! Leased quotas in an account: this router's own, and those that it is steward of.

use crate::ledger::Ledger;
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A node's quota that is leased.
#[derive(Clone, Copy, Debug)]
struct LeasedQuota {
    units: u64,
    expires_at: Time,
}

/// Leased quotas by the node that they belong to.
#[derive(Clone, Debug, Default)]
pub struct LeasedQuotas {
    quotas: BTreeMap<NodeId, LeasedQuota>,
    /// Nodes whose quotas are to be released: nothing new is lent or begun on them.
    releasing: BTreeSet<NodeId>,
}

impl LeasedQuotas {
    /// Adds a node's quota, or replaces it.
    pub fn add(&mut self, owner: NodeId, units: u64, expires_at: Time, ledger: &mut Ledger) {
        if let Some(previous) = self.quotas.insert(owner, LeasedQuota { units, expires_at }) {
            ledger.cancel_credit(previous.units, previous.expires_at);
        }
        ledger.credit(units, expires_at);
    }

    /// The units of a node's quota that is leased, or was.
    pub fn units_of(&self, owner: NodeId) -> Option<u64> {
        self.quotas.get(&owner).map(|quota| quota.units)
    }

    /// Marks a node's quota as one that is to be released, or to be used again.
    pub fn set_releasing(&mut self, owner: NodeId, releasing: bool) {
        if releasing {
            self.releasing.insert(owner);
        } else {
            self.releasing.remove(&owner);
        }
    }

    /// The units of quotas that are to be released.
    pub fn releasing_units(&self, now: Time) -> u64 {
        let quotas = self.releasing.iter().filter_map(|owner| self.quotas.get(owner));
        quotas.filter(|quota| quota.expires_at > now).map(|quota| quota.units).sum()
    }

    /// The units of all quotas whose leases have not expired.
    pub fn active_units(&self, now: Time) -> u64 {
        self.quotas.values().filter(|quota| quota.expires_at > now).map(|quota| quota.units).sum()
    }

    /// Whether a node's quota can be released now: the ledger has its units until its end.
    pub fn can_release(&self, now: Time, owner: NodeId, ledger: &Ledger) -> bool {
        let Some(quota) = self.quotas.get(&owner) else { return true };
        let is_expired = quota.expires_at <= now;
        is_expired || ledger.minimum(now, quota.expires_at).max(0) as u64 >= quota.units
    }

    /// Releases a node's quota.
    pub fn release(&mut self, owner: NodeId, ledger: &mut Ledger) {
        self.releasing.remove(&owner);
        if let Some(quota) = self.quotas.remove(&owner) {
            ledger.cancel_credit(quota.units, quota.expires_at);
        }
    }
}
