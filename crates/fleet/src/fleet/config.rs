//! The configuration of a fleet.

use crate::hash::mix_bits;
use crate::limit::{Limit, LimitKey, Subject};
use crate::roster::Roster;
use crate::timing::Timing;
use basalthill_policy::api::Time;

/// The configuration of a fleet, as read from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The routers of the fleet, including this one.
    pub roster: Roster,
    /// The limits.
    pub limits: Vec<Limit>,
    /// How long leases and loans are valid.
    pub timing: Timing,
    /// The longest time for which a unit is in use. After a restart, units of the earlier incarnation may
    /// still be in use for this long.
    pub max_use: Time,
    /// The longest time for which votes granted by an earlier incarnation may be valid, even if it was
    /// configured with other limits. No votes are granted for this time after a start.
    pub vote_quarantine: Time,
}

impl FleetConfig {
    /// Returns a digest of the limits and of the timing that all routers must agree on.
    pub(super) fn limits_digest(&self) -> u32 {
        let limits = self.limits.iter().map(Limit::digest);
        let times = [self.timing.drift.to_bits(), self.timing.lease_span.0];
        limits.chain(times).fold(0, |digest, part| mix_bits(digest ^ part)) as u32
    }

    /// Returns the limit that a key belongs to.
    pub(super) fn limit_of(&self, key: LimitKey) -> Option<&Limit> {
        self.limits.iter().find(|limit| key.is_of(limit))
    }

    /// Returns the keys of a limit: one, or one for each of the members if the limit is counted at each
    /// member.
    pub(super) fn keys_of(limit: &Limit, members: &[String]) -> Vec<LimitKey> {
        match limit.subject {
            Subject::EachMember => {
                members.iter().map(|member| LimitKey::at_member(&limit.name, member)).collect()
            }
            _ => vec![LimitKey::global(&limit.name)],
        }
    }
}
