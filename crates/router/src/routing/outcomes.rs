//! Maps what hosts send to the policy's terms: exchange results and SQLSTATEs to statuses, load reports to
//! replication states. It has no state; the modules for attempts and health checks call it.

use super::input::ExchangeResult;
use super::system_clock::time_from_unix_ms;
use crate::protocol::host::{parse_load_report, QueryOutcome, ReportedState};
use basalthill_policy::api::{ReplicationState, Role, Status, Time};
use basalthill_wire::sqlstate::{READ_ONLY_SQL_TRANSACTION, SNAPSHOT_TOO_OLD, TOO_MANY_CONNECTIONS};

/// SQLSTATE prefixes of errors in the statement itself: protocol violations, data exceptions and syntax
/// errors or access rule violations.
const STATEMENT_ERRORS: [&str; 3] = ["08P", "22", "42"];

/// The load report's column with the position, a Unix time in seconds.
const POSITION_COLUMN: &str = "x0";
/// The load report's column with the role: at the primary 1, at a replica 0.
const ROLE_COLUMN: &str = "x1";
/// From this value of [`ROLE_COLUMN`] on a host is the primary.
const PRIMARY_FROM: f64 = 0.5;

/// The rounding error of a Unix time in seconds as a 64-bit float is below this. Reported positions are
/// rounded down by it: a position taken too high would let a replica serve a read that it is behind for.
const POSITION_ERROR: Time = Time(1000);

/// The status of an attempt by its exchange's result.
pub fn attempt_status(result: &ExchangeResult) -> Status {
    match result {
        ExchangeResult::Response(QueryOutcome::Row(_), _) => Status::Ok,
        ExchangeResult::Response(QueryOutcome::Error(code), _) => status_for_sqlstate(code),
        ExchangeResult::Response(QueryOutcome::Empty, _) => Status::Error,
        ExchangeResult::ConnectionRejected(code) if code == TOO_MANY_CONNECTIONS => Status::Overloaded,
        ExchangeResult::ConnectionRejected(_) | ExchangeResult::NotSent => Status::ConnectFailed,
        ExchangeResult::Skipped => Status::NotSent,
        ExchangeResult::ConnectionLost => Status::Reset,
        // It may have run, as with an error; the member is reachable and responds.
        ExchangeResult::MalformedResponse => Status::Error,
    }
}

/// The status of a health check by its exchange's result. Any error in an answer is the member's fault.
pub fn probe_status(result: &ExchangeResult) -> Status {
    match result {
        ExchangeResult::Response(QueryOutcome::Row(_), _) => Status::Ok,
        ExchangeResult::Response(..) => Status::Error,
        not_answered => attempt_status(not_answered),
    }
}

fn status_for_sqlstate(code: &str) -> Status {
    match code {
        READ_ONLY_SQL_TRANSACTION | SNAPSHOT_TOO_OLD => Status::Misdirected,
        TOO_MANY_CONNECTIONS => Status::Overloaded,
        _ if is_statement_error(code) => Status::NotSent,
        _ => Status::Error,
    }
}

/// Whether an error lies in the statement and not in its host: any other host would return it as well.
pub fn is_statement_error(code: &str) -> bool {
    STATEMENT_ERRORS.iter().any(|prefix| code.starts_with(prefix))
}

/// The replication state that a host reports with an answer, apart from its load report. The position is a
/// Unix time.
pub fn reported_replication(reported: &ReportedState) -> ReplicationState {
    let role = |is_primary| if is_primary { Role::Primary } else { Role::Replica };
    ReplicationState {
        position: reported.position_ms.map(time_from_unix_ms),
        role: reported.primary.map(role),
    }
}

/// The replication state in a load report, as far as `columns` lists its columns as meaningful. The position
/// is a Unix time.
pub fn replication_from_load_report(columns: &[String], text: &str) -> ReplicationState {
    let mut replication = ReplicationState::default();
    for (name, value) in parse_load_report(text) {
        if !columns.iter().any(|column| column == name) {
            continue;
        }
        match name {
            POSITION_COLUMN if value > 0.0 => replication.position = Some(position_from_seconds(value)),
            ROLE_COLUMN if value >= PRIMARY_FROM => replication.role = Some(Role::Primary),
            ROLE_COLUMN => replication.role = Some(Role::Replica),
            _ => {}
        }
    }
    replication
}

fn position_from_seconds(seconds: f64) -> Time {
    let microseconds = (seconds * 1e6) as u64;
    Time(microseconds * 1000).minus(POSITION_ERROR)
}

#[cfg(test)]
mod tests;
