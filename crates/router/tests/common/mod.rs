//! Settings, statements and lists that the tests share.
#![allow(dead_code)]

use basalthill_config::settings::{read, Site};
use basalthill_policy::api::Time;
use basalthill_router::protocol::discovery::HostList;
use basalthill_router::protocol::statement::Statement;
use basalthill_session::{Sessions, Tokens};
use basalthill_standin::discovery::list;
use std::sync::atomic::{AtomicU64, Ordering};

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

/// Sessions as the platform means them.
pub fn sessions() -> Sessions {
    Sessions::new(Time::ms(1), Tokens::Carried, None, 0, 0)
}

pub fn site() -> Site {
    read(SETTINGS.as_bytes()).expect("sound settings")
}

/// A statement of a class for group 2; writes for the class `write`.
pub fn text(class: &str, more: &str) -> String {
    let comment = format!("/* id=9b1f03aa5c7e2d41,c={class},t=acme,d=480,cluster=2{more} */");
    match class {
        "write" => format!("INSERT INTO records (k, v) VALUES ('k1', '\\x9f03') RETURNING v {comment}"),
        _ => format!("SELECT v FROM records WHERE k = 'k1' {comment}"),
    }
}

/// A statement with an id of its own, unless `more` names one.
pub fn statement(class: &str, more: &str) -> Box<Statement> {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let id = format!("id={:016x}", COUNT.fetch_add(1, Ordering::Relaxed));
    let text = text(class, more).replace("id=9b1f03aa5c7e2d41", &id);
    Box::new(Statement::parse(text.into_bytes()).expect("a sound statement"))
}

/// A list of members as (id, address, state, rank), all in group 2.
pub fn hosts(
    version: u64,
    full: bool,
    members: &[(&'static str, &str, &'static str, &'static str)],
) -> HostList {
    let member = |m: &(&'static str, &str, &'static str, &'static str)| {
        (m.0, m.1.parse().expect("an address"), 2, m.2, m.3)
    };
    let members: Vec<_> = members.iter().map(member).collect();
    HostList::parse(list(version, full, &members).as_bytes()).expect("a sound list")
}
