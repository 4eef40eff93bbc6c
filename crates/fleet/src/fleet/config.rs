//! What the settings say of a fleet.

use crate::hash::mix_bits;
use crate::limit::{Limit, LimitKey, Subject};
use crate::roster::Roster;
use crate::timing::Timing;
use basalthill_policy::api::Time;

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
}
