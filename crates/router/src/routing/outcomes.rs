//! The words of hosts and statements in the decisions' terms. Nothing is remembered here.

use crate::protocol::host::parse_load_report;
use crate::protocol::statement::Statement;
use basalthill_policy::api::*;
use basalthill_session::token::SessionIdentity;
use basalthill_session::Sessions;

/// Whose request it is: by the name in the comment where floors are ours to make, else by the key.
pub fn session_identity<'a>(sessions: &Sessions, statement: &'a Statement) -> SessionIdentity<'a> {
    let name = statement.session().filter(|_| sessions.manages_floors()).unwrap_or(statement.key());
    SessionIdentity { name, key: SessionKey(session_hash(name)) }
}

/// What a load report says of its member's standing.
pub fn replication_state(columns: &[String], text: &str) -> ReplicationState {
    let mut standing = ReplicationState::default();
    for (name, value) in parse_load_report(text).filter(|(name, _)| columns.iter().any(|c| c == name)) {
        match name {
            // Rounded down past the error of a float of this size.
            "x0" if value > 0.0 => {
                standing.position = Some(Time((value * 1e6) as u64 * 1000).minus(Time(1000)))
            }
            "x1" => standing.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    standing
}

pub fn status_for_sqlstate(code: &str) -> Status {
    match code {
        "25006" | "72000" => Status::Misdirected,
        "53300" => Status::Overloaded,
        _ => Status::Error,
    }
}

/// Whether an error lies in the statement, not in its host: by the standard's classes, in the protocol, the
/// data or the syntax. It is as wrong anywhere else.
pub fn is_statement_error(code: &str) -> bool {
    code.starts_with("08P") || code.starts_with("22") || code.starts_with("42")
}

/// A Unix time in milliseconds on the decisions' clock.
pub fn time_from_unix_ms(ms: u64) -> Time {
    Time(ms.saturating_mul(1_000_000))
}

/// FNV-1a: a session's number from its key.
fn session_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

#[cfg(test)]
mod tests;
