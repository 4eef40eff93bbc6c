//! What the settings say of a fleet.

use crate::account::AccountConfig;
use crate::hash::mix_bits;
use crate::limit::{Bounds, Limit, LimitKey, Subject};
use crate::roster::{NodeId, Roster};
use crate::timing::Timing;
use basalthill_policy::api::Time;

/// Accounts that are opened later begin with larger request numbers, one more for each of these spans, in
/// nanoseconds. An account sends one request a round, far fewer than that.
const REQUEST_NUMBER_SPAN_NS: u64 = 10_000_000;

/// What the settings say of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The routers, this one among them.
    pub roster: Roster,
    /// The limits.
    pub limits: Vec<Limit>,
    /// How long leases and loans are valid.
    pub timing: Timing,
    /// How long units may be in use at a time: what an earlier incarnation had in use may be so for this
    /// long.
    pub max_use: Time,
    /// How long votes that an earlier incarnation granted may be valid, whatever its limits were.
    pub vote_quarantine: Time,
}

impl FleetConfig {
    /// A digest of the limits and of the times that routers must agree on.
    pub(super) fn limits_digest(&self) -> u32 {
        let limits = self.limits.iter().map(Limit::digest);
        let times = [self.timing.drift.to_bits(), self.timing.lease.0];
        limits.chain(times).fold(0, |digest, part| mix_bits(digest ^ part)) as u32
    }

    /// The limit that a key is of.
    pub(super) fn limit_of(&self, key: LimitKey) -> Option<&Limit> {
        self.limits.iter().find(|limit| key.is_of(limit))
    }

    /// The keys of a limit, where these are the members.
    pub(super) fn keys_of(limit: &Limit, members: &[String]) -> Vec<LimitKey> {
        match limit.subject {
            Subject::EachMember => {
                members.iter().map(|member| LimitKey::at_member(&limit.name, member)).collect()
            }
            _ => vec![LimitKey::global(&limit.name)],
        }
    }

    /// The account of a limit at the router `me`, which started at `started_at`. Slots that an earlier
    /// incarnation occupied are free from `slots_free_at` on.
    pub(super) fn account_config(
        &self,
        now: Time,
        limit: &Limit,
        key: LimitKey,
        me: NodeId,
        started_at: Time,
        slots_free_at: Time,
    ) -> AccountConfig {
        let is_rate = matches!(limit.bounds, Bounds::Rate { .. });
        // Tokens are spent at once: their reserve counts at once, and loans of them need not outlast any use.
        let (reserve_from, timing) = match is_rate {
            true => (now, Timing { lease: self.timing.lease, ..Timing::new(self.timing.drift, Time(0)) }),
            false => (slots_free_at, self.timing),
        };
        AccountConfig {
            key,
            bounds: limit.bounds,
            reserved_units: limit.quota_split(&self.roster, key, me).reserved,
            reserve_from,
            has_standing_demand: is_rate && matches!(limit.subject, Subject::Budget(_)),
            first_loan_number: (now.since(started_at).0 / REQUEST_NUMBER_SPAN_NS) as u32,
            timing,
        }
    }
}
