//! What is limited, and by how much.

use crate::names::{mix_bits, stable_hash};
use serde::{Deserialize, Serialize};

/// What a limit counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Requests of a tenant, by its name.
    Tenant(String),
    /// Requests of a class, by its name.
    Class(String),
    /// Requests for a group, by its number.
    Group(u32),
    /// Requests out at each member, each counted by itself.
    EachMember,
    /// What routers do of their own accord.
    Budget(Budget),
}

/// What routers do of their own accord, and all together should not do too often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Further attempts of requests, after the first.
    Retries,
    /// Probes of members.
    Probes,
    /// New connections to members, but for probes.
    Connects,
    /// Calls for the list of members.
    ListCalls,
}

impl Budget {
    /// All of them, by the names that the settings have for them.
    pub const ALL: [(&'static str, Budget); 4] = [
        ("retries", Budget::Retries),
        ("probes", Budget::Probes),
        ("connects", Budget::Connects),
        ("list-calls", Budget::ListCalls),
    ];
}

/// How much is allowed, over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bounds {
    /// Requests a second, and how many may come at once after a rest.
    Rate {
        /// Requests a second.
        per_s: f64,
        /// Requests at once.
        burst: f64,
    },
    /// So many at a time.
    Concurrent(u32),
}

/// Units that the rights to a rate are dealt out in.
pub const UNITS: u64 = 1_000_000;

impl Bounds {
    /// Units in all: parts of the rate, or places.
    pub fn units(&self) -> u64 {
        match self {
            Bounds::Rate { .. } => UNITS,
            Bounds::Concurrent(most) => u64::from(*most),
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
    /// The part of its own share that a router keeps whatever happens: it is never lent and never lapses.
    pub reserved_fraction: f64,
}

impl Limit {
    /// A number that differs where the limit does.
    pub fn digest(&self) -> u64 {
        let (kind, a, b) = match self.bounds {
            Bounds::Rate { per_s, burst } => (1, per_s.to_bits(), burst.to_bits()),
            Bounds::Concurrent(most) => (2, u64::from(most), 0),
        };
        let subject = match &self.subject {
            Subject::Tenant(name) => stable_hash(name.as_bytes()) ^ 1,
            Subject::Class(name) => stable_hash(name.as_bytes()) ^ 2,
            Subject::Group(number) => mix_bits(u64::from(*number) ^ 3 << 32),
            Subject::EachMember => 4,
            Subject::Budget(budget) => mix_bits(5 << 32 | *budget as u64),
        };
        let parts =
            [stable_hash(self.name.as_bytes()), subject, kind, a, b, self.reserved_fraction.to_bits()];
        parts.iter().fold(0, |h, part| mix_bits(h ^ part))
    }
}

/// What rights are counted for: a limit, or a limit at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The limit, by its name in short.
    pub limit: u64,
    /// The member, by its name in short; zero where the limit is one for all.
    pub member: u64,
}

impl LimitKey {
    /// The key of a limit that is one for all.
    pub fn global(name: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: 0 }
    }

    /// The key of a limit at one member.
    pub fn at_member(name: &str, member: &str) -> LimitKey {
        LimitKey { limit: stable_hash(name.as_bytes()), member: stable_hash(member.as_bytes()).max(1) }
    }

    /// A number for rendezvous hashing.
    pub fn number(self) -> u64 {
        mix_bits(self.limit ^ mix_bits(self.member))
    }
}
