//! A replicated group: a primary, replicas that follow it with a lag, and an oracle that knows what each read
//! should have seen.

use crate::discovery::Endpoint;
use crate::host::{Host, ParameterStatuses, Reply};
use crate::{unix_ms, Watched};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleRead {
    /// It answers from what it has.
    Serve,
    /// It misses at once.
    Reject,
    /// It waits this long for its log, then misses.
    Wait(Duration),
}

/// How a group behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct GroupBehavior {
    /// How long a replica takes to apply what was written, in milliseconds; 1 at least.
    pub lag_ms: u64,
    /// How far the members' clock is ahead of this machine's, in milliseconds.
    pub clock_ahead_ms: i64,
    /// What a replica does when it is behind.
    pub stale_reads: StaleRead,
    /// How long a write takes before it commits, and from there to its answer.
    pub write_delays: [Duration; 2],
    /// How long a read takes.
    pub read_delay: Duration,
    /// The longest time to come back that routers tell, in milliseconds.
    pub retry_after_ms: u64,
    /// What routers are told of how soon reads are wanted, in milliseconds: with little of it a slow
    /// machine makes members look crowded.
    pub latency_objective_ms: u64,
    /// So many statements are worked on at a time by each member; any number if 0. What has no place within
    /// half a second is turned away.
    pub max_concurrent: usize,
    /// Answers are `VALUE@SERIAL@source` (or `copy`), for those who hold them against the oracle.
    pub annotated: bool,
}

impl Default for GroupBehavior {
    fn default() -> GroupBehavior {
        let (behind, read_delay) = (StaleRead::Wait(Duration::from_millis(100)), Duration::from_micros(500));
        let write_delays = [Duration::from_millis(1); 2];
        GroupBehavior {
            lag_ms: 12,
            clock_ahead_ms: 0,
            stale_reads: behind,
            write_delays,
            read_delay,
            retry_after_ms: 1000,
            latency_objective_ms: 400,
            max_concurrent: 0,
            annotated: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Commit {
    /// Its place among all commits of the group.
    serial: u64,
    position: u64,
    at: Instant,
    value: String,
    answered: bool,
}

#[derive(Debug)]
struct State {
    manner: GroupBehavior,
    primary: usize,
    log: BTreeMap<String, Vec<Commit>>,
    last: u64,
    serial: u64,
    /// Statements that each member works on.
    busy: Vec<usize>,
}

impl State {
    fn clock(&self) -> u64 {
        unix_ms().saturating_add_signed(self.manner.clock_ahead_ms)
    }

    /// Up to where a member has applied the log.
    fn position(&self, member: usize) -> u64 {
        match member == self.primary {
            true => self.clock(),
            false => self.clock() - self.manner.lag_ms,
        }
    }
}

/// A group on ports of its own; it goes on until the process ends.
#[derive(Clone)]
pub struct Group {
    /// The members' hosts.
    pub hosts: Vec<Host>,
    number: u32,
    state: Arc<Watched<State>>,
}

impl Group {
    /// Starts a group of so many members, the first of them its primary.
    pub fn start(number: u32, members: usize, manner: GroupBehavior) -> io::Result<Group> {
        let state =
            State { manner, primary: 0, log: BTreeMap::new(), last: 0, serial: 0, busy: vec![0; members] };
        let state = Arc::new(Watched { value: state.into(), changed: Default::default() });
        let host = |member| {
            let state = Arc::clone(&state);
            Host::start(move |text| answer(&state, member, text))
        };
        let hosts = (0..members).map(host).collect::<io::Result<_>>()?;
        Ok(Group { hosts, number, state })
    }

    /// Changes how it behaves.
    pub fn reconfigure(&self, f: impl FnOnce(&mut GroupBehavior)) {
        self.state.change(|s| f(&mut s.manner));
    }

    /// Another member is the primary from now on. It has all that was answered; what the old one had
    /// committed and not answered yet is gone.
    pub fn fail_over(&self, to: usize) {
        self.state.change(|s| {
            s.primary = to;
            s.log.values_mut().for_each(|commits| commits.retain(|c| c.answered));
        });
    }

    /// The members as discovery lists them.
    pub fn members(&self) -> Vec<Endpoint> {
        let primary = self.state.lock().primary;
        let rank = |n| if n == primary { "source" } else { "copy" };
        let hosts = self.hosts.iter().enumerate();
        hosts
            .map(|(n, h)| {
                Endpoint::new(format!("g{}-{n}", self.number), h.addr, self.number, "active", rank(n))
            })
            .collect()
    }

    /// All values committed under a key, in order.
    pub fn committed_values(&self, key: &str) -> Vec<String> {
        let state = self.state.lock();
        state.log.get(key).into_iter().flatten().map(|c| c.value.clone()).collect()
    }

    /// Waits until something has been committed under a key.
    pub fn wait_for_commit(&self, key: &str) -> Option<()> {
        self.state.wait(|s| s.log.contains_key(key).then_some(()))
    }

    /// The oracle: the serial number of what had been written last under a key before a moment, zero if
    /// nothing had. A read sent in that moment must be answered with that or with what came later.
    pub fn newest(&self, key: &str, before: Instant) -> u64 {
        let state = self.state.lock();
        let commits = state.log.get(key).into_iter().flatten();
        commits.rev().find(|c| c.at < before).map_or(0, |c| c.serial)
    }
}

/// The literals of a statement, without their quotes.
pub fn literals(statement: &str) -> Vec<&str> {
    let before = statement.split("/*").next().unwrap_or_default();
    before.split('\'').skip(1).step_by(2).collect()
}

/// The text of a literal that may stand in hexadecimal digits.
fn decoded(literal: &str) -> String {
    let Some(digits) = literal.strip_prefix("\\x") else { return literal.to_string() };
    let byte = |i| u8::from_str_radix(digits.get(i..i + 2)?, 16).ok();
    let bytes: Vec<u8> = (0..digits.len()).step_by(2).filter_map(byte).collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A figure of a statement's comment.
fn figure(statement: &str, name: &str) -> Option<u64> {
    let comment = statement.split("/*").nth(1)?.trim_end().strip_suffix("*/")?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')?.trim().parse().ok())
}

fn answer(state: &Watched<State>, member: usize, text: &str) -> (Reply, ParameterStatuses) {
    let manner = state.lock().manner.clone();
    if manner.max_concurrent == 0 || !text.contains("records") {
        return work(state, member, text, manner);
    }
    let until = Instant::now() + Duration::from_millis(500);
    let place = state.wait(|s| match s.busy[member] < manner.max_concurrent {
        true => {
            s.busy[member] += 1;
            Some(true)
        }
        false => (Instant::now() >= until).then_some(false),
    });
    if place != Some(true) {
        return (Reply::Error("53300"), Vec::new());
    }
    let done = work(state, member, text, manner);
    state.change(|s| s.busy[member] -= 1);
    done
}

fn work(
    state: &Watched<State>,
    member: usize,
    text: &str,
    manner: GroupBehavior,
) -> (Reply, ParameterStatuses) {
    let reply = match &literals(text)[..] {
        [] if text == "SHOW vitals" => {
            let state = state.lock();
            let seconds = state.position(member) as f64 / 1000.0;
            Reply::Row(format!("x0={seconds:.3},x1={}", u8::from(member == state.primary)).into_bytes())
        }
        [] if text == "SELECT 1" => Reply::Row(b"1".to_vec()),
        [key] => read(state, member, key, figure(text, "after").unwrap_or(0), &manner),
        [key, value] => {
            let value = &decoded(value);
            std::thread::sleep(manner.write_delays[0]);
            let commit = state.change(|s| {
                if member != s.primary {
                    return None;
                }
                let position = s.clock().max(s.last);
                (s.last, s.serial) = (position, s.serial + 1);
                let commit = Commit {
                    serial: s.serial,
                    position,
                    at: Instant::now(),
                    value: value.to_string(),
                    answered: false,
                };
                s.log.entry(key.to_string()).or_default().push(commit);
                Some((position, s.serial))
            });
            std::thread::sleep(manner.write_delays[1]);
            match commit {
                Some((position, serial)) => {
                    let kept = state.change(|s| {
                        let commits = s.log.get_mut(*key).into_iter().flatten();
                        commits.rev().find(|c| c.serial == serial).map(|c| c.answered = true)
                    });
                    if kept.is_none() {
                        return (Reply::Close, Vec::new());
                    }
                    let telling = vec![("rank", "source".into()), ("as_of", position.to_string())];
                    return (row(&manner, value, serial, "source"), telling);
                }
                None => Reply::Error("25006"),
            }
        }
        _ => Reply::Error("08P01"),
    };
    let state = state.lock();
    let rank = if member == state.primary { "source" } else { "copy" };
    (reply, vec![("rank", rank.into()), ("as_of", state.position(member).to_string())])
}

fn row(manner: &GroupBehavior, value: &str, serial: u64, rank: &str) -> Reply {
    let marked = || format!("{value}@{serial}@{rank}");
    Reply::Row(if manner.annotated { marked() } else { value.to_string() }.into_bytes())
}

/// A read; an empty value of serial 0 if nothing is there.
fn read(state: &Watched<State>, member: usize, key: &str, after: u64, manner: &GroupBehavior) -> Reply {
    let until = match manner.stale_reads {
        StaleRead::Wait(patience) => Instant::now() + patience,
        _ => Instant::now(),
    };
    std::thread::sleep(manner.read_delay);
    loop {
        let state = state.lock();
        let (position, leads) = (state.position(member), member == state.primary);
        if leads || position >= after || manner.stale_reads == StaleRead::Serve {
            let commits = state.log.get(key).into_iter().flatten();
            let seen = commits.rev().find(|c| leads || c.position <= position);
            let rank = if leads { "source" } else { "copy" };
            let (value, serial) = seen.map_or(("", 0), |c| (&c.value, c.serial));
            return row(manner, value, serial, rank);
        }
        drop(state);
        if Instant::now() >= until {
            return Reply::Error("72000");
        }
        std::thread::sleep(Duration::from_millis((after - position).min(2)));
    }
}
