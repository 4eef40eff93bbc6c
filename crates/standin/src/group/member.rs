//! What a member of a replicated group answers to statements.

use super::{Commit, GroupBehavior, GroupState, StaleRead, PRIMARY_RANK};
use crate::host::{ParameterStatuses, Response};
use crate::Watched;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a statement waits for capacity before it is rejected.
const CAPACITY_WAIT: Duration = Duration::from_millis(500);
/// The longest time between two looks at how far the log has been applied, in milliseconds.
const APPLY_POLL_MS: u64 = 2;

/// SQLSTATE `too_many_connections`: no capacity.
const NO_CAPACITY: &str = "53300";
/// SQLSTATE `read_only_sql_transaction`: a write at a replica.
const READ_ONLY: &str = "25006";
/// SQLSTATE `snapshot_too_old`: a read that a replica has not applied enough for.
const NOT_APPLIED: &str = "72000";
/// SQLSTATE `protocol_violation`: a statement that is none of the known forms.
const UNKNOWN_STATEMENT: &str = "08P01";

/// One member of a group.
pub(super) struct Member {
    /// Its number in the group.
    pub index: usize,
    /// What all members have in common.
    pub state: Arc<Watched<GroupState>>,
}

/// What a write has become at the primary.
struct Written {
    serial: u64,
    position: u64,
}

impl Member {
    /// Answers a statement; where the members' capacity is limited, waits for it first.
    pub fn respond(&self, text: &str) -> (Response, ParameterStatuses) {
        let behavior = self.state.lock().behavior.clone();
        if behavior.max_concurrent == 0 || !text.contains("records") {
            return self.execute(text, &behavior);
        }
        if !self.reserve_capacity(behavior.max_concurrent) {
            return (Response::Error(NO_CAPACITY), Vec::new());
        }
        let answer = self.execute(text, &behavior);
        self.state.change(|s| s.busy[self.index] -= 1);
        answer
    }

    /// Waits until the member works on fewer than `max_concurrent` statements, and counts one more. False if
    /// that takes too long.
    fn reserve_capacity(&self, max_concurrent: usize) -> bool {
        let deadline = Instant::now() + CAPACITY_WAIT;
        let reserved = self.state.wait(|s| match s.busy[self.index] < max_concurrent {
            true => {
                s.busy[self.index] += 1;
                Some(true)
            }
            false => (Instant::now() >= deadline).then_some(false),
        });
        reserved == Some(true)
    }

    /// Executes a statement, whose kind its number of literals shows.
    fn execute(&self, text: &str, behavior: &GroupBehavior) -> (Response, ParameterStatuses) {
        let reply = match &literals(text)[..] {
            [] if text == "SHOW vitals" => self.load_report(),
            [] if text == "SELECT 1" => Response::Row(b"1".to_vec()),
            [key] => self.read(key, comment_number(text, "after").unwrap_or(0), behavior),
            [key, value] => return self.write(key, &decoded(value), behavior),
            _ => Response::Error(UNKNOWN_STATEMENT),
        };
        (reply, self.statuses())
    }

    /// Rank and position, as reported with each answer.
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

    /// Commits a write at the primary. The connection breaks if a failover loses it before its answer.
    fn write(&self, key: &str, value: &str, behavior: &GroupBehavior) -> (Response, ParameterStatuses) {
        let [before_commit, before_answer] = behavior.write_delays;
        std::thread::sleep(before_commit);
        let written = self.commit(key, value);
        std::thread::sleep(before_answer);
        let Some(Written { serial, position }) = written else {
            return (Response::Error(READ_ONLY), self.statuses());
        };
        if !self.mark_answered(key, serial) {
            return (Response::Close, Vec::new());
        }
        let statuses = vec![("rank", PRIMARY_RANK.into()), ("as_of", position.to_string())];
        (row(behavior, value, serial, PRIMARY_RANK), statuses)
    }

    /// Appends a commit to the log. `None` at a replica.
    fn commit(&self, key: &str, value: &str) -> Option<Written> {
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
                answered: false,
            };
            s.log.entry(key.to_string()).or_default().push(commit);
            Some(Written { serial, position })
        })
    }

    /// Notes that a write is answered. False if a failover has lost it.
    fn mark_answered(&self, key: &str, serial: u64) -> bool {
        self.state.change(|s| {
            let commits = s.log.get_mut(key).into_iter().flatten();
            let commit = commits.rev().find(|c| c.serial == serial);
            commit.map(|c| c.answered = true).is_some()
        })
    }

    /// Reads the newest value that the member has applied, an empty one of serial 0 if there is none.
    fn read(&self, key: &str, floor: u64, behavior: &GroupBehavior) -> Response {
        let deadline = match behavior.stale_reads {
            StaleRead::Wait(patience) => Instant::now() + patience,
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

/// A row with a value, annotated with its serial number and the member's rank where that is wanted.
fn row(behavior: &GroupBehavior, value: &str, serial: u64, rank: &str) -> Response {
    let value = if behavior.annotated { format!("{value}@{serial}@{rank}") } else { value.to_string() };
    Response::Row(value.into_bytes())
}

/// The quoted literals of a statement, without their quotes; its comment is left out.
fn literals(statement: &str) -> Vec<&str> {
    let before_comment = statement.split("/*").next().unwrap_or_default();
    before_comment.split('\'').skip(1).step_by(2).collect()
}

/// The text of a literal, which may be given as `\x` and hexadecimal digits.
fn decoded(literal: &str) -> String {
    let Some(digits) = literal.strip_prefix("\\x") else { return literal.to_string() };
    let byte = |at| u8::from_str_radix(digits.get(at..at + 2)?, 16).ok();
    let bytes: Vec<u8> = (0..digits.len()).step_by(2).filter_map(byte).collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A number of a statement's comment, which is a list of `name=value`.
fn comment_number(statement: &str, name: &str) -> Option<u64> {
    let comment = statement.split("/*").nth(1)?.trim_end().strip_suffix("*/")?;
    comment.split(',').find_map(|pair| {
        let value = pair.trim().strip_prefix(name)?.strip_prefix('=')?;
        value.trim().parse().ok()
    })
}
