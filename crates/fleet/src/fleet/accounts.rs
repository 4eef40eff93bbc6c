//! The quota accounts of a router: opening and closing them, applying leases to them, and the coordinator of
//! each limit.

use super::config::FleetConfig;
use super::outbox::Outbox;
use super::quota_leases::ValidLease;
use crate::account::{AccountConfig, QuotaAccount};
use crate::hash::rendezvous_winner;
use crate::limit::{Bounds, Limit, LimitKey, Subject};
use crate::packet::Message;
use crate::roster::NodeId;
use crate::swim::Swim;
use crate::timing::Timing;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Limits the accounts that are opened for members that peers report on but this router does not know. Such
/// an account is opened only while there are fewer accounts than this number plus the number of known
/// members.
const MAX_UNKNOWN_MEMBER_ACCOUNTS: usize = 4096;

/// The loan requests of an account are numbered from the time between the start of the router and the opening
/// of the account, divided by this time in nanoseconds. An account that is closed and opened again therefore
/// begins with a larger number than it has used before: it sends a peer one request per round, and a round is
/// much longer than this time.
const REQUEST_NUMBER_SPAN_NS: u64 = 10_000_000;

/// The coordinator of a limit, valid while the membership version is the same.
#[derive(Clone, Copy, Debug)]
struct ElectedCoordinator {
    membership_version: u64,
    node: NodeId,
}

/// The quota accounts of a router.
#[derive(Debug)]
pub struct AccountTable {
    me: NodeId,
    started_at: Time,
    accounts: BTreeMap<LimitKey, QuotaAccount>,
    /// Accounts that were affected by a change of the settings count no leases before these times.
    leases_from: BTreeMap<LimitKey, Time>,
    members: Vec<String>,
    coordinators: BTreeMap<LimitKey, ElectedCoordinator>,
}

impl AccountTable {
    /// Creates an empty table for a router that starts at `now`.
    pub fn new(now: Time, me: NodeId) -> AccountTable {
        AccountTable {
            me,
            started_at: now,
            accounts: BTreeMap::new(),
            leases_from: BTreeMap::new(),
            members: Vec::new(),
            coordinators: BTreeMap::new(),
        }
    }

    /// Returns the accounts by key.
    pub fn iter(&self) -> impl Iterator<Item = (&LimitKey, &QuotaAccount)> {
        self.accounts.iter()
    }

    /// Returns all accounts.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut QuotaAccount> {
        self.accounts.values_mut()
    }

    /// Returns the account of a key.
    pub fn get(&self, key: LimitKey) -> Option<&QuotaAccount> {
        self.accounts.get(&key)
    }

    /// Returns the account of a key, without settling it.
    pub fn get_mut(&mut self, key: LimitKey) -> Option<&mut QuotaAccount> {
        self.accounts.get_mut(&key)
    }

    /// Returns the account of a key, settled.
    pub fn settled(&mut self, now: Time, key: LimitKey) -> Option<&mut QuotaAccount> {
        let account = self.accounts.get_mut(&key)?;
        account.settle(now);
        Some(account)
    }

    /// Returns the account of a key, settled. If there is no account because this router does not know the
    /// member, one is opened, provided that the key belongs to a limit at each member and that
    /// `MAX_UNKNOWN_MEMBER_ACCOUNTS` allows a further account.
    pub fn settled_or_open(
        &mut self,
        now: Time,
        config: &FleetConfig,
        key: LimitKey,
    ) -> Option<&mut QuotaAccount> {
        if !self.accounts.contains_key(&key) {
            let limit = config.limit_of(key)?;
            let is_at_member = limit.subject == Subject::EachMember && key.member != 0;
            let is_full = self.accounts.len() >= MAX_UNKNOWN_MEMBER_ACCOUNTS + self.members.len();
            if !is_at_member || is_full {
                return None;
            }
            let slots_free_at = self.started_at.plus(config.max_use);
            let account = self.new_account(now, config, limit, key, slots_free_at);
            self.accounts.insert(key, account);
        }
        self.settled(now, key)
    }

    /// Creates an account of a limit. Slots that an earlier incarnation may have occupied are free from
    /// `slots_free_at` on.
    fn new_account(
        &self,
        now: Time,
        config: &FleetConfig,
        limit: &Limit,
        key: LimitKey,
        slots_free_at: Time,
    ) -> QuotaAccount {
        let is_rate = matches!(limit.bounds, Bounds::Rate { .. });
        // Tokens are spent at once, so a rate's reserve is usable immediately, and the spans of its loans do
        // not have to include the time for which a unit is in use.
        let reserve_from = if is_rate { now } else { slots_free_at };
        let timing = if is_rate {
            Timing { lease_span: config.timing.lease_span, ..Timing::new(config.timing.drift, Time(0)) }
        } else {
            config.timing
        };
        let account = AccountConfig {
            key,
            bounds: limit.bounds,
            reserved_units: limit.quota_split(&config.roster, key, self.me).reserved,
            reserve_from,
            has_standing_demand: is_rate && matches!(limit.subject, Subject::Budget(_)),
            loan_number_base: (now.since(self.started_at).0 / REQUEST_NUMBER_SPAN_NS) as u32,
            timing,
        };
        QuotaAccount::new(now, account)
    }

    /// Returns the names of the members that limits are counted at.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Replaces the list of members. Returns whether it has changed.
    pub fn set_members(&mut self, members: Vec<String>) -> bool {
        let has_changed = members != self.members;
        self.members = members;
        has_changed
    }

    /// Opens an account for each limit and member that has none.
    pub fn open_missing(&mut self, now: Time, config: &FleetConfig) {
        for limit in &config.limits {
            for key in FleetConfig::keys_of(limit, &self.members) {
                if self.accounts.contains_key(&key) {
                    continue;
                }
                // At the start of the process and after a change of the settings, slots that were occupied
                // before may still be in use.
                let may_be_in_use = self.started_at == now || self.leases_from.contains_key(&key);
                let slots_free_at = if may_be_in_use { now.plus(config.max_use) } else { now };
                let account = self.new_account(now, config, limit, key, slots_free_at);
                self.accounts.insert(key, account);
            }
        }
    }

    /// Closes the accounts of members that are no longer listed, once nothing is lent, borrowed, in use or in
    /// demand under them.
    pub fn close_unlisted(&mut self, now: Time, config: &FleetConfig) {
        let by_member = config.limits.iter().filter(|limit| limit.subject == Subject::EachMember);
        let listed: Vec<LimitKey> =
            by_member.flat_map(|limit| FleetConfig::keys_of(limit, &self.members)).collect();
        self.accounts.retain(|key, account| key.member == 0 || listed.contains(key) || !account.is_idle(now));
    }

    /// Closes the accounts that a change of the settings affects. If such an account is opened again, it
    /// counts no leases before `leases_from`, because until then units may be lent out under the old
    /// settings.
    pub fn close_changed(&mut self, old: &FleetConfig, new: &FleetConfig, leases_from: Time) {
        let same_roster = old.roster.digest() == new.roster.digest();
        let same_timing = old.timing == new.timing;
        let is_unchanged = |key: &LimitKey| {
            let limit = new.limit_of(*key);
            limit.is_some() && limit == old.limit_of(*key) && same_roster && same_timing
        };
        let changed: Vec<LimitKey> = self.accounts.keys().filter(|key| !is_unchanged(key)).copied().collect();
        for key in changed {
            self.accounts.remove(&key);
            self.leases_from.insert(key, leases_from);
        }
    }

    /// Returns the time before which an account counts no leases, if that time has not passed.
    pub fn leases_from(&self, key: LimitKey) -> Option<Time> {
        self.leases_from.get(&key).copied()
    }

    /// Adds the quotas on which this router has a lease to every account.
    pub fn apply_leases(
        &mut self,
        now: Time,
        config: &FleetConfig,
        leases: impl Iterator<Item = ValidLease>,
    ) {
        self.leases_from.retain(|_, from| now < *from);
        for ValidLease { owner, expires_at } in leases {
            for (key, account) in &mut self.accounts {
                if self.leases_from.contains_key(key) {
                    continue;
                }
                let Some(limit) = config.limit_of(*key) else { continue };
                account.settle(now);
                let known_units = account.leased_units(owner);
                let units =
                    known_units.unwrap_or_else(|| limit.quota_split(&config.roster, *key, owner).leased);
                account.add_lease(owner, units, expires_at);
            }
        }
    }

    /// Runs a round of every account: sends reports to the coordinators, and returns loans that are not
    /// needed.
    pub fn run_round(&mut self, now: Time, swim: &Swim, membership_version: u64, outbox: &mut Outbox) {
        let me = self.me;
        self.coordinators.retain(|key, _| self.accounts.contains_key(key));
        for (key, account) in &mut self.accounts {
            account.settle(now);
            let elected = self.coordinators.get(key).filter(|c| c.membership_version == membership_version);
            let coordinator = elected
                .map(|elected| elected.node)
                .unwrap_or_else(|| rendezvous_winner(swim.alive(), key.rendezvous_key()).unwrap_or(me));
            self.coordinators.insert(*key, ElectedCoordinator { membership_version, node: coordinator });
            if let Some(report) = account.run_round(now, me, coordinator) {
                outbox.push(coordinator, Message::QuotaReport(report));
            }
            if coordinator != me {
                for returned in account.return_surplus(now, coordinator) {
                    let message = Message::LoanReturned { key: *key, request: returned.request };
                    outbox.push(returned.lender, message);
                }
            }
        }
    }
}
