//! Translates exchange results and SQLSTATEs into the policy's statuses, and load reports and other reported
//! parameters into its replication states. The functions have no state; the modules for attempts and health
//! checks call them.

use super::input::ExchangeResult;
use super::system_clock::time_from_unix_ms;
use crate::protocol::host::{parse_load_report, QueryOutcome, ReportedState};
use basalthill_policy::api::{ReplicationState, Role, Status, Time};
use basalthill_wire::sqlstate::{READ_ONLY_SQL_TRANSACTION, SNAPSHOT_TOO_OLD, TOO_MANY_CONNECTIONS};

/// SQLSTATE prefixes of errors in the statement itself: protocol violations, data exceptions, and syntax
/// errors or access rule violations.
const STATEMENT_ERRORS: [&str; 3] = ["08P", "22", "42"];

/// The column of the load report with the log position, a Unix time in seconds.
const POSITION_COLUMN: &str = "x0";
/// The column of the load report with the role: 1 at the primary, 0 at a replica.
const ROLE_COLUMN: &str = "x1";
/// The host is the primary if the value of [`ROLE_COLUMN`] is at least this.
const PRIMARY_THRESHOLD: f64 = 0.5;

/// An upper bound on the rounding error of a Unix time in seconds as a 64-bit float: 1 µs. Positions in load
/// reports are reduced by this bound: if a replica's position were too high, the policy could send the
/// replica a read whose floor the replica has not reached.
const MAX_POSITION_ERROR: Time = Time(1000);

/// Returns the status of an attempt, given the result of its exchange.
pub fn attempt_status(result: &ExchangeResult) -> Status {
    match result {
        ExchangeResult::Response(QueryOutcome::Row(_), _) => Status::Ok,
        ExchangeResult::Response(QueryOutcome::RowDiscarded, _) => Status::Discarded,
        ExchangeResult::Response(QueryOutcome::Error(code), _) => status_for_sqlstate(code),
        ExchangeResult::Response(QueryOutcome::Empty, _) => Status::Error,
        ExchangeResult::ConnectionRejected(code) if code == TOO_MANY_CONNECTIONS => Status::Overloaded,
        ExchangeResult::ConnectionRejected(_) | ExchangeResult::NotSent => Status::ConnectFailed,
        ExchangeResult::Skipped => Status::NotSent,
        ExchangeResult::ConnectionLost => Status::Reset,
        // The query may have run, as after an error; the member is reachable and responds.
        ExchangeResult::MalformedResponse => Status::Error,
    }
}

/// Returns the status of a health check, given the result of its exchange. Any error response is a fault of
/// the member.
pub fn probe_status(result: &ExchangeResult) -> Status {
    match result {
        ExchangeResult::Response(QueryOutcome::Row(_), _) => Status::Ok,
        ExchangeResult::Response(..) => Status::Error,
        no_response => attempt_status(no_response),
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

/// Returns whether the error lies in the statement and not in the host: any other host would return it too.
pub fn is_statement_error(code: &str) -> bool {
    STATEMENT_ERRORS.iter().any(|prefix| code.starts_with(prefix))
}

/// Returns the replication state that a host reported with a response, not counting its load report. The
/// position is a Unix time.
pub fn reported_replication(reported: &ReportedState) -> ReplicationState {
    let role = |is_primary| if is_primary { Role::Primary } else { Role::Replica };
    ReplicationState {
        position: reported.position_ms.map(time_from_unix_ms),
        role: reported.primary.map(role),
    }
}

/// Returns the replication state in a load report. Only the columns in `columns` are used. The position is a
/// Unix time.
pub fn replication_from_load_report(columns: &[String], text: &str) -> ReplicationState {
    let mut replication = ReplicationState::default();
    for (name, value) in parse_load_report(text) {
        if !columns.iter().any(|column| column == name) {
            continue;
        }
        match name {
            POSITION_COLUMN if value > 0.0 => replication.position = Some(position_from_seconds(value)),
            ROLE_COLUMN if value >= PRIMARY_THRESHOLD => replication.role = Some(Role::Primary),
            ROLE_COLUMN => replication.role = Some(Role::Replica),
            _ => {}
        }
    }
    replication
}

fn position_from_seconds(seconds: f64) -> Time {
    let microseconds = (seconds * 1e6) as u64;
    Time(microseconds * 1000).minus(MAX_POSITION_ERROR)
}

#[cfg(test)]
mod tests;
