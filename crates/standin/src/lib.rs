//! Stand-ins for what a router meets outside: database hosts, discovery and clients. They are written from
//! the published protocols alone and share no code with the router; the tests and the toy server use them.
pub mod client;
pub mod discovery;
/// A group of members, discovery and router processes together.
pub mod deployment {
    pub use crate::fleet::Deployment;
}
pub mod fleet;
pub mod group;
pub mod host;
/// Router processes.
pub mod router_process {
    pub use crate::fleet::{write_unique_file, RouterOptions, RouterProcess};
}
/// Sessions that write and read through routers.
pub mod session_load {
    pub use crate::fleet::{run_load, ConnectionMode, SessionLoad, SessionLoadReport};
}
#[path = "rig.rs"]
pub mod harness;
#[path = "model.rs"]
pub mod simulated_fleet;
#[path = "relay.rs"]
pub mod udp_proxy;

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A deployment with a bounded, a session, a fresh, an any and a write class.
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

/// How long a stand-in waits for something that should come at once.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A value that others wait for.
#[derive(Debug, Default)]
pub struct Watched<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Watched<T> {
    /// Looks at the value.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the value and wakes those who wait.
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until `f` finds what it looks for; none if that does not come.
    pub fn wait<R>(&self, mut f: impl FnMut(&mut T) -> Option<R>) -> Option<R> {
        let until = Instant::now() + TIMEOUT;
        let mut value = self.lock();
        loop {
            if let Some(found) = f(&mut value) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            value = self.changed.wait_timeout(value, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

/// The time now in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
