//! Settings, statements and endpoint lists for the tests.
#![allow(dead_code)]

pub mod memory;
pub mod router_process;
pub mod router_thread;
pub mod shim;

use basalthill_config::settings::{read, Deployment};
use basalthill_policy::api::Time;
use basalthill_router::protocol::discovery::HostList;
use basalthill_router::protocol::statement::Statement;
use basalthill_session::{PlatformFloors, Sessions};
use basalthill_standin::discovery::{endpoint_list, Endpoint};
pub use basalthill_standin::SETTINGS;
use std::sync::atomic::{AtomicU64, Ordering};

/// Returns a session table that takes read floors from the requests.
pub fn sessions() -> Sessions {
    Sessions::new(Time::ms(1), PlatformFloors::FromRequest, None, 0, 0)
}

/// Returns the deployment settings that the stand-ins use.
pub fn deployment_settings() -> Deployment {
    read(SETTINGS.as_bytes()).expect("invalid settings of the stand-ins")
}

/// Returns the text of a statement of this class for group 2: an INSERT for the class `write`, a SELECT for
/// all others. `extra` is appended to the parameters in the statement's comment.
pub fn statement_text(class: &str, extra: &str) -> String {
    let comment = format!("/* id=9b1f03aa5c7e2d41,c={class},t=acme,d=480,cluster=2{extra} */");
    match class {
        "write" => format!("INSERT INTO records (k, v) VALUES ('k1', '\\x9f03') RETURNING v {comment}"),
        _ => format!("SELECT v FROM records WHERE k = 'k1' {comment}"),
    }
}

/// Returns a parsed statement with a unique id, unless `extra` contains an id.
pub fn statement(class: &str, extra: &str) -> Box<Statement> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let id = format!("id={:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let text = statement_text(class, extra).replace("id=9b1f03aa5c7e2d41", &id);
    Box::new(Statement::parse(text.into_bytes()).expect("invalid statement"))
}

/// Returns an endpoint list of members given as (id, address, state, rank), all in group 2.
pub fn host_list(
    version: u64,
    full: bool,
    members: &[(&'static str, &str, &'static str, &'static str)],
) -> HostList {
    let member = |m: &(&'static str, &str, &'static str, &'static str)| {
        Endpoint::new(m.0, m.1.parse().expect("invalid address"), 2, m.2, m.3)
    };
    let members: Vec<_> = members.iter().map(member).collect();
    HostList::parse(endpoint_list(version, full, &members).as_bytes()).expect("invalid endpoint list")
}
