//! How the members of a replicated group execute statements.

use super::{Commit, GroupBehavior, GroupState, StaleRead, PRIMARY_RANK};
use crate::host::{ParameterStatuses, Response};
use crate::Watched;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a statement waits for capacity before it may be rejected.
const CAPACITY_WAIT: Duration = Duration::from_millis(500);
/// The longest time between two checks of how far the log has been applied, in milliseconds.
const APPLY_POLL_MS: u64 = 2;

/// SQLSTATE `too_many_connections`: no capacity became free within [`CAPACITY_WAIT`].
const NO_CAPACITY: &str = "53300";
/// SQLSTATE `read_only_sql_transaction`: a write at a replica.
const READ_ONLY: &str = "25006";
/// SQLSTATE `snapshot_too_old`: a read at a replica that has not applied the log up to the read's floor.
const NOT_APPLIED: &str = "72000";
/// SQLSTATE `protocol_violation`: a statement of an unknown form.
const UNKNOWN_STATEMENT: &str = "08P01";

/// One member of a group.
pub(super) struct Member {
    /// Index of the member in the group.
    pub index: usize,
    /// The state that all members share.
    pub state: Arc<Watched<GroupState>>,
}

/// Serial number and log position of a commit.
struct CommitId {
    serial: u64,
    position: u64,
}

impl Member {
    /// Returns the response to a statement. If the capacity of the members is limited, a read or write waits
    /// for capacity first.
    pub fn respond(&self, text: &str) -> (Response, ParameterStatuses) {
        let behavior = self.state.lock().behavior.clone();
        if behavior.max_concurrent == 0 || !text.contains("records") {
            return self.execute(text, &behavior);
        }
        if !self.reserve_capacity(behavior.max_concurrent) {
            return (Response::Error(NO_CAPACITY), Vec::new());
        }
        let response = self.execute(text, &behavior);
        self.state.change(|s| s.executing[self.index] -= 1);
        response
    }

    /// Waits until the member executes fewer than `max_concurrent` statements, then counts one more. Capacity
    /// is checked after each change of the group's state. Returns false if there is still none at the first
    /// check after [`CAPACITY_WAIT`], or after [`crate::TIMEOUT`].
    fn reserve_capacity(&self, max_concurrent: usize) -> bool {
        let deadline = Instant::now() + CAPACITY_WAIT;
        let reserved = self.state.wait(|s| match s.executing[self.index] < max_concurrent {
            true => {
                s.executing[self.index] += 1;
                Some(true)
            }
            false => (Instant::now() >= deadline).then_some(false),
        });
        reserved == Some(true)
    }

    /// Executes a statement. A read has one literal, its key; a write has two, its key and its value.
    fn execute(&self, text: &str, behavior: &GroupBehavior) -> (Response, ParameterStatuses) {
        let response = match &literals(text)[..] {
            [] if text == "SHOW vitals" => self.load_report(),
            [] if text == "SELECT 1" => Response::Row(b"1".to_vec()),
            [key] => self.read(key, comment_number(text, "after").unwrap_or(0), behavior),
            [key, value] => return self.write(key, &decode_literal(value), behavior),
            _ => Response::Error(UNKNOWN_STATEMENT),
        };
        (response, self.statuses())
    }

    /// Returns the rank and the applied log position, which the member reports with each response.
    fn statuses(&self) -> ParameterStatuses {
        let state = self.state.lock();
        let position = state.applied_position(self.index);
        vec![("rank", state.rank(self.index).into()), ("as_of", position.to_string())]
    }

    fn load_report(&self) -> Response {
        let state = self.state.lock();
        let seconds = state.applied_position(self.index) as f64 / 1000.0;
        let is_primary = u8::from(self.index == state.primary);
        Response::Row(format!("x0={seconds:.3},x1={is_primary}").into_bytes())
    }

    /// Commits a write at the primary. Closes the connection if a failover loses the commit before the
    /// response.
    fn write(&self, key: &str, value: &str, behavior: &GroupBehavior) -> (Response, ParameterStatuses) {
        let [before_commit, before_response] = behavior.write_delays;
        std::thread::sleep(before_commit);
        let committed = self.commit(key, value);
        std::thread::sleep(before_response);
        let Some(CommitId { serial, position }) = committed else {
            return (Response::Error(READ_ONLY), self.statuses());
        };
        if !self.mark_acknowledged(key, serial) {
            return (Response::Close, Vec::new());
        }
        let statuses = vec![("rank", PRIMARY_RANK.into()), ("as_of", position.to_string())];
        (row(behavior, value, serial, PRIMARY_RANK), statuses)
    }

    /// Appends a commit to the log. Returns `None` at a replica.
    fn commit(&self, key: &str, value: &str) -> Option<CommitId> {
        self.state.change(|s| {
            if self.index != s.primary {
                return None;
            }
            let position = s.clock_ms().max(s.last_position);
            s.last_position = position;
            s.last_serial += 1;
            let serial = s.last_serial;
            let commit = Commit {
                serial,
                position,
                committed_at: Instant::now(),
                value: value.to_string(),
                acknowledged: false,
            };
            s.log.entry(key.to_string()).or_default().push(commit);
            Some(CommitId { serial, position })
        })
    }

    /// Marks a write as acknowledged. Returns false if a failover has lost it.
    fn mark_acknowledged(&self, key: &str, serial: u64) -> bool {
        self.state.change(|s| {
            let commits = s.log.get_mut(key).into_iter().flatten();
            let commit = commits.rev().find(|c| c.serial == serial);
            commit.map(|c| c.acknowledged = true).is_some()
        })
    }

    /// Returns the newest value of a key that the member has applied, or an empty value with serial number 0
    /// if there is none. Returns an error if the member has not applied the log up to `floor`, unless
    /// [`GroupBehavior::stale_reads`] allows it to serve the read.
    fn read(&self, key: &str, floor: u64, behavior: &GroupBehavior) -> Response {
        let deadline = match behavior.stale_reads {
            StaleRead::Wait(timeout) => Instant::now() + timeout,
            StaleRead::Serve | StaleRead::Reject => Instant::now(),
        };
        std::thread::sleep(behavior.read_delay);
        loop {
            let state = self.state.lock();
            let applied = state.applied_position(self.index);
            let is_primary = self.index == state.primary;
            if is_primary || applied >= floor || behavior.stale_reads == StaleRead::Serve {
                let visible = |c: &&Commit| is_primary || c.position <= applied;
                let newest = state.commits(key).iter().rev().find(visible);
                let (value, serial) = newest.map_or(("", 0), |c| (&c.value, c.serial));
                return row(behavior, value, serial, state.rank(self.index));
            }
            drop(state);
            if Instant::now() >= deadline {
                return Response::Error(NOT_APPLIED);
            }
            std::thread::sleep(Duration::from_millis((floor - applied).min(APPLY_POLL_MS)));
        }
    }
}

/// Returns a row with a value; if [`GroupBehavior::annotated`], also with its serial number and the rank of
/// the member.
fn row(behavior: &GroupBehavior, value: &str, serial: u64, rank: &str) -> Response {
    let value = if behavior.annotated { format!("{value}@{serial}@{rank}") } else { value.to_string() };
    Response::Row(value.into_bytes())
}

/// Returns the string literals of a statement before its comment, without their quotes.
fn literals(statement: &str) -> Vec<&str> {
    let before_comment = statement.split("/*").next().unwrap_or_default();
    before_comment.split('\'').skip(1).step_by(2).collect()
}

/// Returns the text of a literal, decoding it if it is `\x` followed by hexadecimal digits.
fn decode_literal(literal: &str) -> String {
    let Some(digits) = literal.strip_prefix("\\x") else { return literal.to_string() };
    let byte = |at| u8::from_str_radix(digits.get(at..at + 2)?, 16).ok();
    let bytes: Vec<u8> = (0..digits.len()).step_by(2).filter_map(byte).collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the numeric value of a parameter in the comment of a statement, which is a list of `name=value`.
fn comment_number(statement: &str, name: &str) -> Option<u64> {
    let comment = statement.split("/*").nth(1)?.trim_end().strip_suffix("*/")?;
    comment.split(',').find_map(|pair| {
        let value = pair.trim().strip_prefix(name)?.strip_prefix('=')?;
        value.trim().parse().ok()
    })
}
