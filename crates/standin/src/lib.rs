//! Stand-ins for the processes that a router communicates with: database hosts, discovery, clients and other
//! routers. They are written from the published protocols, without any code of the router. Tests, the toy
//! deployment and the lab use them.
//!
//! - [`host`], [`group`]: a database host, and a replicated group of hosts with an oracle
//! - [`discovery`]: a discovery agent that serves the endpoint list over HTTP
//! - [`client`]: a client of version 3 of the PostgreSQL protocol
//! - [`connect_recorder`]: records when the client library connects
//! - [`router_process`], [`deployment`], [`session_load`]: router processes with a group, and a load of
//!   sessions
//! - [`harness`], [`paced_clients`], [`udp_proxy`]: a fleet of router processes, and a lossy network between
//!   them
//! - [`link_faults`]: loss, duplication, delay and partitions, for [`udp_proxy`] and [`simulated_fleet`]
//! - [`simulated_fleet`]: a fleet in simulated time, without processes and sockets

pub mod client;
pub mod connect_recorder;
pub mod deployment;
pub mod discovery;
mod error;
pub mod group;
pub mod harness;
pub mod host;
pub mod link_faults;
pub mod paced_clients;
mod pg_message;
pub mod router_process;
pub mod session_load;
pub mod simulated_fleet;
pub mod udp_proxy;
mod watched;

pub use error::StandinError;
/// The seeded random number generator that the stand-ins use.
pub use fastrand::Rng;
pub use watched::Watched;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Site settings (JSON) of a deployment with five classes: reads with bounded lag (`view`), causal (`own`),
/// strong (`status`) and eventual consistency (`report`), and writes (`write`).
pub const SETTINGS: &str = r#"{"balancers": 2, "me": 1, "zone": 0, "zones": ["a"], "quantum": 5000000,
 "discovery": "automatic", "weights": "rough", "overShareWorth": 0.2,
 "profiles": [
  {"name": "view", "aim": 500000000, "deadline": 1500000000, "effect": "idempotent", "credit": 1.0},
  {"name": "own", "aim": 400000000, "deadline": 1000000000, "effect": "idempotent", "credit": 1.0},
  {"name": "status", "aim": 400000000, "deadline": 1000000000, "effect": "idempotent", "credit": 2.0},
  {"name": "report", "aim": 3000000000, "deadline": 6000000000, "effect": "idempotent", "credit": 4.0},
  {"name": "write", "aim": 400000000, "deadline": 3000000000, "effect": "at_most_once", "credit": 4.0,
   "lateWorth": 0.3}],
 "parties": [{"name": "acme", "quotaPerS": 100.0}],
 "familyInfo": {"consistency": ["lag_bound", "causal", "strong", "eventual", "mutate"],
   "lagAllowed": [3000000000, 0, 0, 0, 0], "patience": 100000000, "positions": true,
   "roleListed": "trailing", "tokenMode": "brought", "whenBehind": "await", "zero": 0},
 "bounds": {"cancel": true, "maxAttempts": 3, "maxRetryAfter": 1000000000, "parallelTries": true,
   "probes": true, "retryAfter": true, "connIdle": 15000000000, "connectTimeout": 250000000},
 "rules": {"coldFrom": 0.19, "drainGrace": 1000000000, "fall": 1500000000, "fallMultiple": 3.0,
   "warmWithin": 15000000000},
 "reporting": {"columns": ["x0", "x1"], "via": "answers"}, "prices": {"waste": 0.03}}"#;

/// How long stand-ins and tests wait for an event that is expected without delay, before they report a
/// failure.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the current time in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
