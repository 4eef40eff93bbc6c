//! The limits that hold over all routers together.

use crate::hash::{mix_bits, stable_hash};
use crate::roster::{NodeId, Roster};
use serde::{Deserialize, Serialize};

/// What a limit counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Requests of the tenant with this name.
    Tenant(String),
    /// Requests of the class with this name.
    Class(String),
    /// Requests for the group with this number.
    Group(u32),
    /// Attempts in flight at each member, with a count for each member.
    EachMember,
    /// Actions that routers take on their own initiative.
    Budget(Budget),
}

/// Actions that routers take on their own initiative, with one limit on the rate of each kind over all
/// routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Further attempts of requests, after the first.
    Retries,
    /// Health checks of members.
    Probes,
    /// New connections to members, other than those of health checks.
    Connects,
    /// Requests to discovery for the endpoint list.
    ListCalls,
}

impl Budget {
    /// All budgets, each with its name in the settings.
    pub const ALL: [(&'static str, Budget); 4] = [
        ("retries", Budget::Retries),
        ("probes", Budget::Probes),
        ("connects", Budget::Connects),
        ("list-calls", Budget::ListCalls),
    ];
}

/// The amount that is allowed over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bounds {
    /// A rate of requests.
    Rate {
        /// Requests per second.
        per_s: f64,
        /// Requests that may be admitted at once after a pause.
        burst: f64,
    },
    /// The number of attempts that may be in flight at a time.
    Concurrent(u32),
}

/// The number of units that a rate is divided into, so that each quota is a whole number of millionths of the
/// rate.
pub const RATE_UNITS: u64 = 1_000_000;

impl Bounds {
    /// Returns the number of units over all routers: millionths of a rate, or slots for attempts in flight.
    pub fn units(&self) -> u64 {
        match self {
            Bounds::Rate { .. } => RATE_UNITS,
            Bounds::Concurrent(slots) => u64::from(*slots),
        }
    }
}

/// One limit of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The limit's name.
    pub name: String,
    /// What the limit counts.
    pub subject: Subject,
    /// The amount that is allowed.
    pub bounds: Bounds,
    /// The fraction of a router's own quota that it always keeps: the reserve, which is never lent and never
    /// expires.
    pub reserved_fraction: f64,
}

/// A router's quota of a limit, split by who may use it when the router is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSplit {
    /// Units that only the router itself may use, at all times.
    pub reserved: u64,
    /// Units that are leased: to the router itself, or to its successor while it is unavailable.
    pub leased: u64,
}

/// Tags of the variants of [`Bounds`] in the digest of a limit.
const RATE_TAG: u64 = 1;
const CONCURRENT_TAG: u64 = 2;

impl Limit {
    /// Returns a digest of the limit. Different limits have different digests, except for collisions.
    pub fn digest(&self) -> u64 {
        let (kind, first, second) = match self.bounds {
            Bounds::Rate { per_s, burst } => (RATE_TAG, per_s.to_bits(), burst.to_bits()),
            Bounds::Concurrent(slots) => (CONCURRENT_TAG, u64::from(slots), 0),
        };
        let subject = match &self.subject {
            Subject::Tenant(name) => stable_hash(name.as_bytes()) ^ 1,
            Subject::Class(name) => stable_hash(name.as_bytes()) ^ 2,
            Subject::Group(number) => mix_bits(u64::from(*number) ^ 3 << 32),
            Subject::EachMember => 4,
            Subject::Budget(budget) => mix_bits(5 << 32 | *budget as u64),
        };
        let name = stable_hash(self.name.as_bytes());
        let parts = [name, subject, kind, first, second, self.reserved_fraction.to_bits()];
        parts.iter().fold(0, |digest, part| mix_bits(digest ^ part))
    }

    /// Returns the quota of `owner` under a key of this limit.
    pub fn quota_split(&self, roster: &Roster, key: LimitKey, owner: NodeId) -> QuotaSplit {
        let quota = roster.quota(self.bounds.units(), owner, key.rendezvous_key());
        let reserved = (quota as f64 * self.reserved_fraction) as u64;
        QuotaSplit { reserved, leased: quota - reserved }
    }
}

/// The key of an account: identifies a limit, or a limit at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The hash of the limit's name.
    pub limit: u64,
    /// The hash of the member's name; zero if the limit is not counted at each member.
    pub member: u64,
}

impl LimitKey {
    /// Returns the key of a limit that is not counted at each member.
    pub fn global(name: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: 0 }
    }

    /// Returns the key of a limit at one member.
    pub fn at_member(name: &str, member: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: stable_hash(member.as_bytes()).max(1) }
    }

    /// Returns whether this is a key of `limit`, at any member.
    pub fn is_of(&self, limit: &Limit) -> bool {
        self.limit == LimitKey::global(&limit.name).limit
    }

    /// Returns the key for rendezvous hashing.
    pub fn rendezvous_key(self) -> u64 {
        mix_bits(self.limit ^ mix_bits(self.member))
    }
}
