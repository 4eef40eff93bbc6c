//! A replicated group of hosts: a primary, replicas that follow it with a lag, and an oracle that knows what
//! each read should have seen.

mod member;

use crate::discovery::Endpoint;
use crate::host::Host;
use crate::{unix_ms, Watched};
use member::Member;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What discovery and hosts call a primary.
pub(crate) const PRIMARY_RANK: &str = "source";
/// What discovery and hosts call a replica.
pub(crate) const REPLICA_RANK: &str = "copy";

/// What a replica does with a read whose floor it has not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleRead {
    /// It answers from what it has applied.
    Serve,
    /// It rejects it at once.
    Reject,
    /// It waits this long for its log, then rejects it.
    Wait(Duration),
}

/// How a group behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct GroupBehavior {
    /// How long a replica takes to apply what was written, in milliseconds; at least 1.
    pub lag_ms: u64,
    /// How far the members' clock is ahead of this machine's, in milliseconds.
    pub clock_ahead_ms: i64,
    /// What a replica does with a read that it is too far behind for.
    pub stale_reads: StaleRead,
    /// How long a write takes before it commits, and from there to its answer.
    pub write_delays: [Duration; 2],
    /// How long a read takes.
    pub read_delay: Duration,
    /// The longest Retry-After that routers give, in milliseconds.
    pub retry_after_ms: u64,
    /// The latency objective that routers are configured with, in milliseconds: where it is short, a slow
    /// machine makes members look overloaded.
    pub latency_objective_ms: u64,
    /// How many statements each member works on at a time; 0 for any number. What finds no capacity within
    /// half a second is rejected.
    pub max_concurrent: usize,
    /// Whether values are answered as `VALUE@SERIAL@source` (or `copy`), so that they can be compared with
    /// the oracle.
    pub annotated: bool,
}

impl Default for GroupBehavior {
    fn default() -> GroupBehavior {
        GroupBehavior {
            lag_ms: 12,
            clock_ahead_ms: 0,
            stale_reads: StaleRead::Wait(Duration::from_millis(100)),
            write_delays: [Duration::from_millis(1); 2],
            read_delay: Duration::from_micros(500),
            retry_after_ms: 1000,
            latency_objective_ms: 400,
            max_concurrent: 0,
            annotated: true,
        }
    }
}

/// A committed write.
#[derive(Clone, Debug)]
struct Commit {
    /// Its place among all commits of the group, from 1.
    serial: u64,
    /// Its position in the log: milliseconds of Unix time by the members' clock.
    position: u64,
    /// When it was committed.
    committed_at: Instant,
    value: String,
    /// Whether the write was answered.
    answered: bool,
}

/// What the members of a group have in common.
#[derive(Debug)]
struct GroupState {
    behavior: GroupBehavior,
    /// The primary's number among the members.
    primary: usize,
    /// Commits by key, in order.
    log: BTreeMap<String, Vec<Commit>>,
    last_position: u64,
    last_serial: u64,
    /// Statements that each member works on.
    busy: Vec<usize>,
}

impl GroupState {
    fn new(members: usize, behavior: GroupBehavior) -> GroupState {
        GroupState {
            behavior,
            primary: 0,
            log: BTreeMap::new(),
            last_position: 0,
            last_serial: 0,
            busy: vec![0; members],
        }
    }

    /// The members' clock, in milliseconds of Unix time.
    fn clock_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.behavior.clock_ahead_ms)
    }

    /// The position up to which a member has applied the log.
    fn applied_position(&self, member: usize) -> u64 {
        match member == self.primary {
            true => self.clock_ms(),
            false => self.clock_ms() - self.behavior.lag_ms,
        }
    }

    fn rank(&self, member: usize) -> &'static str {
        if member == self.primary {
            PRIMARY_RANK
        } else {
            REPLICA_RANK
        }
    }

    /// The commits under a key, in order.
    fn commits(&self, key: &str) -> &[Commit] {
        self.log.get(key).map_or(&[], Vec::as_slice)
    }
}

/// A group on ports of its own on loopback. It runs until the process ends.
#[derive(Clone)]
pub struct Group {
    /// The members' hosts.
    pub hosts: Vec<Host>,
    number: u32,
    state: Arc<Watched<GroupState>>,
}

impl Group {
    /// Starts a group of so many members, the first of them its primary.
    pub fn start(number: u32, members: usize, behavior: GroupBehavior) -> io::Result<Group> {
        let state = Arc::new(Watched::new(GroupState::new(members, behavior)));
        let start_host = |index| {
            let member = Member { index, state: Arc::clone(&state) };
            Host::start(move |text| member.respond(text))
        };
        let hosts = (0..members).map(start_host).collect::<io::Result<_>>()?;
        Ok(Group { hosts, number, state })
    }

    /// Changes how it behaves.
    pub fn reconfigure(&self, f: impl FnOnce(&mut GroupBehavior)) {
        self.state.change(|s| f(&mut s.behavior));
    }

    /// Makes another member the primary. It has all writes that were answered; what the old primary had
    /// committed and not answered yet is lost.
    pub fn fail_over(&self, to: usize) {
        self.state.change(|s| {
            s.primary = to;
            s.log.values_mut().for_each(|commits| commits.retain(|c| c.answered));
        });
    }

    /// The members as discovery lists them.
    pub fn members(&self) -> Vec<Endpoint> {
        let state = self.state.lock();
        let endpoint = |(index, host): (usize, &Host)| {
            let id = format!("g{}-{index}", self.number);
            Endpoint::new(id, host.addr, self.number, "active", state.rank(index))
        };
        self.hosts.iter().enumerate().map(endpoint).collect()
    }

    /// All values committed under a key, in order.
    pub fn committed_values(&self, key: &str) -> Vec<String> {
        self.state.lock().commits(key).iter().map(|c| c.value.clone()).collect()
    }

    /// Waits until something has been committed under a key. `None` after [`crate::TIMEOUT`].
    pub fn wait_for_commit(&self, key: &str) -> Option<()> {
        self.state.wait(|s| s.log.contains_key(key).then_some(()))
    }

    /// The oracle: the serial number of the last commit under a key before a moment, 0 if there was none. A
    /// read sent at that moment must see that commit or a later one.
    pub fn newest_serial_before(&self, key: &str, moment: Instant) -> u64 {
        let state = self.state.lock();
        let newest = state.commits(key).iter().rev().find(|c| c.committed_at < moment);
        newest.map_or(0, |c| c.serial)
    }
}
