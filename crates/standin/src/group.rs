//! A replicated group of hosts: a primary, replicas that apply its log with a lag, and an oracle that returns
//! the oldest commit that a read may be served from.

mod member;

use crate::discovery::Endpoint;
use crate::host::Host;
use crate::{unix_ms, Watched};
use member::Member;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The rank of a primary, as discovery and hosts report it.
pub(crate) const PRIMARY_RANK: &str = "source";
/// The rank of a replica, as discovery and hosts report it.
pub(crate) const REPLICA_RANK: &str = "copy";

/// How a replica responds to a read when it has not applied the log up to the read's floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleRead {
    /// Serves the read from the part of the log that the replica has applied.
    Serve,
    /// Rejects the read immediately.
    Reject,
    /// Waits up to this long until the replica has applied the log up to the floor, then rejects the read.
    Wait(Duration),
}

/// Behavior of a group. It can be changed while the group runs, with [`Group::reconfigure`].
#[derive(Clone, Debug)]
pub struct GroupBehavior {
    /// Time from a commit at the primary until a replica applies it, in milliseconds; at least 1.
    pub lag_ms: u64,
    /// How far the clock of the members is ahead of the clock of this machine, in milliseconds.
    pub clock_ahead_ms: i64,
    /// How a replica responds to a read whose floor it has not applied.
    pub stale_reads: StaleRead,
    /// Time from the receipt of a write to its commit, and from its commit to its response.
    pub write_delays: [Duration; 2],
    /// Time that a member takes to execute a read, in addition to any wait for the read's floor.
    pub read_delay: Duration,
    /// The longest Retry-After that routers are configured to send, in milliseconds.
    pub retry_after_ms: u64,
    /// The latency objective that routers are configured with, in milliseconds. If it is short, members on a
    /// slow machine appear overloaded to the routers.
    pub latency_objective_ms: u64,
    /// How many statements each member executes concurrently; 0 for no limit. A statement that has waited for
    /// 500 ms or longer is rejected at the next change of the group's state, and after [`crate::TIMEOUT`] at
    /// the latest.
    pub max_concurrent: usize,
    /// Whether values are returned as `VALUE@SERIAL@RANK`, with the serial number of the commit and the rank
    /// of the member (`source` or `copy`), to compare them with the oracle.
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
    /// Number of the commit among all commits of the group, counted from 1.
    serial: u64,
    /// Position of the commit in the log, in milliseconds of Unix time by the clock of the members.
    position: u64,
    /// When it was committed.
    committed_at: Instant,
    value: String,
    /// Whether the primary has responded to the write, or is about to.
    acknowledged: bool,
}

/// State that all members of a group share.
#[derive(Debug)]
struct GroupState {
    behavior: GroupBehavior,
    /// Index of the primary among the members.
    primary: usize,
    /// Commits by key, each list in order.
    log: BTreeMap<String, Vec<Commit>>,
    last_position: u64,
    last_serial: u64,
    /// Number of statements that each member is executing, by index of the member. Only statements that
    /// [`GroupBehavior::max_concurrent`] limits are counted.
    executing: Vec<usize>,
}

impl GroupState {
    fn new(members: usize, behavior: GroupBehavior) -> GroupState {
        GroupState {
            behavior,
            primary: 0,
            log: BTreeMap::new(),
            last_position: 0,
            last_serial: 0,
            executing: vec![0; members],
        }
    }

    /// Returns the time by the clock of the members, in milliseconds of Unix time.
    fn clock_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.behavior.clock_ahead_ms)
    }

    /// Returns the position up to which a member has applied the log.
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

    /// Returns the commits of a key, in order.
    fn commits(&self, key: &str) -> &[Commit] {
        self.log.get(key).map_or(&[], Vec::as_slice)
    }
}

/// A replicated group, each of whose members listens on its own loopback port. The group runs until the
/// process exits.
#[derive(Clone)]
pub struct Group {
    /// The hosts of the members.
    pub hosts: Vec<Host>,
    number: u32,
    state: Arc<Watched<GroupState>>,
}

impl Group {
    /// Starts a group with a number of members. The first member is the primary.
    pub fn start(number: u32, members: usize, behavior: GroupBehavior) -> io::Result<Group> {
        let state = Arc::new(Watched::new(GroupState::new(members, behavior)));
        let start_host = |index| {
            let member = Member { index, state: Arc::clone(&state) };
            Host::start(move |text| member.respond(text))
        };
        let hosts = (0..members).map(start_host).collect::<io::Result<_>>()?;
        Ok(Group { hosts, number, state })
    }

    /// Changes the behavior of the running group.
    pub fn reconfigure(&self, f: impl FnOnce(&mut GroupBehavior)) {
        self.state.change(|s| f(&mut s.behavior));
    }

    /// Makes member `to` the primary. It has all acknowledged writes; writes that the old primary had
    /// committed but not acknowledged are lost.
    pub fn fail_over(&self, to: usize) {
        self.state.change(|s| {
            s.primary = to;
            s.log.values_mut().for_each(|commits| commits.retain(|c| c.acknowledged));
        });
    }

    /// Returns the members as entries of the endpoint list.
    pub fn members(&self) -> Vec<Endpoint> {
        let state = self.state.lock();
        let endpoint = |(index, host): (usize, &Host)| {
            let id = format!("g{}-{index}", self.number);
            Endpoint::new(id, host.addr, self.number, "active", state.rank(index))
        };
        self.hosts.iter().enumerate().map(endpoint).collect()
    }

    /// Returns all values committed for a key, in order.
    pub fn committed_values(&self, key: &str) -> Vec<String> {
        self.state.lock().commits(key).iter().map(|c| c.value.clone()).collect()
    }

    /// Waits until a write of a key has been committed. Returns `None` after [`crate::TIMEOUT`].
    pub fn wait_for_commit(&self, key: &str) -> Option<()> {
        self.state.wait(|s| s.log.contains_key(key).then_some(()))
    }

    /// The oracle: returns the serial number of the last commit of a key before `instant`, or 0 if there was
    /// none. A read of the key that was sent at `instant` must return that commit or a later one.
    pub fn newest_serial_before(&self, key: &str, instant: Instant) -> u64 {
        let state = self.state.lock();
        let newest = state.commits(key).iter().rev().find(|c| c.committed_at < instant);
        newest.map_or(0, |c| c.serial)
    }
}
