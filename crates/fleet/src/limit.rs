//! What is limited over all routers, and by how much.

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
    /// Attempts in flight at each member, counted for each member by itself.
    EachMember,
    /// What routers do of their own accord.
    Budget(Budget),
}

/// What routers do of their own accord, and must not do too often all together.
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
    /// All budgets, each by its name in the settings.
    pub const ALL: [(&'static str, Budget); 4] = [
        ("retries", Budget::Retries),
        ("probes", Budget::Probes),
        ("connects", Budget::Connects),
        ("list-calls", Budget::ListCalls),
    ];
}

/// How much is allowed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bounds {
    /// A rate of requests.
    Rate {
        /// Requests a second.
        per_s: f64,
        /// Requests that may come at once after a rest.
        burst: f64,
    },
    /// This many attempts in flight at a time.
    Concurrent(u32),
}

/// The units that a rate is divided into: quotas are integers of millionths.
pub const RATE_UNITS: u64 = 1_000_000;

impl Bounds {
    /// The units over all routers: millionths of a rate, or slots for attempts in flight.
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
    /// Its name.
    pub name: String,
    /// What it counts.
    pub subject: Subject,
    /// How much is allowed.
    pub bounds: Bounds,
    /// The fraction of its own quota that a router always keeps: it is never lent and never expires.
    pub reserved_fraction: f64,
}

/// A node's quota of a limit, by what becomes of it when the node is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSplit {
    /// Units that only the node itself may use, at all times.
    pub reserved: u64,
    /// Units that are leased: to the node itself, or to its steward while it is gone.
    pub leased: u64,
}

/// Numbers of the kinds of [`Bounds`] in a limit's digest.
const RATE_DIGEST: u64 = 1;
const CONCURRENT_DIGEST: u64 = 2;

impl Limit {
    /// A digest of the limit: limits that differ have different digests, but for collisions.
    pub fn digest(&self) -> u64 {
        let (kind, first, second) = match self.bounds {
            Bounds::Rate { per_s, burst } => (RATE_DIGEST, per_s.to_bits(), burst.to_bits()),
            Bounds::Concurrent(slots) => (CONCURRENT_DIGEST, u64::from(slots), 0),
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

    /// A node's quota under a key of this limit.
    pub fn quota_split(&self, roster: &Roster, key: LimitKey, owner: NodeId) -> QuotaSplit {
        let quota = roster.quota(self.bounds.units(), owner, key.rendezvous_key());
        let reserved = (quota as f64 * self.reserved_fraction) as u64;
        QuotaSplit { reserved, leased: quota - reserved }
    }
}

/// What units are counted for: a limit, or a limit at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The hash of the limit's name.
    pub limit: u64,
    /// The hash of the member's name; zero where the limit is not counted by member.
    pub member: u64,
}

impl LimitKey {
    /// The key of a limit that is not counted by member.
    pub fn global(name: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: 0 }
    }

    /// The key of a limit at one member.
    pub fn at_member(name: &str, member: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: stable_hash(member.as_bytes()).max(1) }
    }

    /// Whether this is a key of a limit, at whatever member.
    pub fn is_of(&self, limit: &Limit) -> bool {
        self.limit == LimitKey::global(&limit.name).limit
    }

    /// The key for rendezvous hashing.
    pub fn rendezvous_key(self) -> u64 {
        mix_bits(self.limit ^ mix_bits(self.member))
    }
}
