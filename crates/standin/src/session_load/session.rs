//! One session of a load: rounds of a write and a few reads, through routers that it moves between.

use super::{ConnectionMode, SessionLoad, SessionLoadReport};
use crate::client::{Client, Reply};
use crate::group::{Group, REPLICA_RANK};
use crate::Rng;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections to one router.
pub(super) type Pool = Mutex<Vec<Client>>;

/// How long a session waits after a connect that failed.
const CONNECT_RETRY: Duration = Duration::from_millis(2);
/// The most reads after a write.
const MAX_READS_PER_ROUND: u64 = 4;
/// Request ids have so many bits.
const ID_BITS: u32 = 60;

/// A session. It writes under its own name as the key.
pub(super) struct Session<'a> {
    name: String,
    routers: &'a [SocketAddr],
    /// Idle connections by router, shared with the other sessions.
    pools: &'a [Pool],
    load: &'a SessionLoad,
    /// The router that it uses now.
    router: usize,
    /// Its own connection, in [`ConnectionMode::OneAtATime`].
    connection: Option<Client>,
    token: Option<String>,
    /// Writes so far; the value of the last one.
    sequence: u64,
    rng: Rng,
    report: SessionLoadReport,
}

impl<'a> Session<'a> {
    pub fn new(
        number: usize,
        routers: &'a [SocketAddr],
        pools: &'a [Pool],
        load: &'a SessionLoad,
    ) -> Session<'a> {
        Session {
            name: format!("s{number}"),
            routers,
            pools,
            load,
            router: number % routers.len(),
            connection: None,
            token: None,
            sequence: 0,
            rng: Rng::with_seed(load.session_seed(number)),
            report: SessionLoadReport::default(),
        }
    }

    pub fn into_report(self) -> SessionLoadReport {
        self.report
    }

    /// One round: a move half of the time, a write, a move half of the time, then reads. How many reads were
    /// served.
    pub fn run_round(&mut self, group: &Group) -> usize {
        self.maybe_move();
        self.write();
        self.maybe_move();
        let mut served = 0;
        for _ in 0..1 + self.rng.u64(..MAX_READS_PER_ROUND) {
            self.think();
            served += usize::from(self.read_something(group));
        }
        served
    }

    fn is_pooled(&self) -> bool {
        self.load.mode != ConnectionMode::OneAtATime
    }

    fn pool(&self) -> MutexGuard<'a, Vec<Client>> {
        self.pools[self.router].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Half of the time, leaves its connection and takes a router at random.
    fn maybe_move(&mut self) {
        if self.load.mode != ConnectionMode::OneRouter && self.rng.bool() {
            self.connection = None;
            self.router = self.rng.usize(..self.routers.len());
        }
    }

    /// Pauses before half of the reads.
    fn think(&mut self) {
        let pause_us = self.rng.u64(..self.load.max_think_time_us.max(1));
        if self.rng.bool() && pause_us > 0 {
            std::thread::sleep(Duration::from_micros(pause_us));
        }
    }

    /// An idle connection to its router, or a new one.
    fn take_connection(&mut self) -> Option<Client> {
        let idle = if self.is_pooled() { self.pool().pop() } else { self.connection.take() };
        idle.or_else(|| Client::connect(self.routers[self.router]).ok())
    }

    fn return_connection(&mut self, client: Client) {
        if self.is_pooled() {
            self.pool().push(client);
        } else {
            self.connection = Some(client);
        }
    }

    /// Sends one statement. `None` if the connection broke or could not be opened.
    fn query(&mut self, text: &str) -> Option<Reply> {
        let Some(mut client) = self.take_connection() else {
            std::thread::sleep(CONNECT_RETRY);
            return None;
        };
        client.token = None;
        let sent_at = Instant::now();
        let answer = client.query(text).ok();
        self.report.record_wait(sent_at, Instant::now());
        // A token counts even without an answer: it may have been sent ahead of it.
        self.token = client.token.take().or(self.token.take());
        if answer.is_some() {
            self.return_connection(client);
        }
        answer
    }

    /// A statement's comment, with the session's token if it gives tokens back.
    fn comment(&mut self, class: &str) -> String {
        let id = self.rng.u64(..1 << ID_BITS);
        let token = self.token.as_ref().filter(|_| self.load.mode == ConnectionMode::PooledTokens);
        let token = token.map(|t| format!(",token={t}")).unwrap_or_default();
        format!("/* id={id:016x},c={class},t=acme,d=900,cluster=2{token} */")
    }

    fn write(&mut self) {
        self.sequence += 1;
        let comment = self.comment("write");
        let (name, value) = (&self.name, self.sequence);
        let text = format!("INSERT INTO records (k, v) VALUES ('{name}', '{value}') RETURNING v {comment}");
        match self.query(&text) {
            Some(Reply::Row(_)) => self.report.writes += 1,
            Some(answer) if answer.is_rejection() => self.report.not_served += 1,
            _ => {
                self.report.unknown += 1;
                self.report.not_served += 1;
            }
        }
    }

    /// A read of its own key, or now and then a fresh read of some session's key. Whether it was served.
    fn read_something(&mut self, group: &Group) -> bool {
        let is_fresh = self.load.status_every > 0 && self.rng.u64(..self.load.status_every) == 0;
        if is_fresh {
            let other = format!("s{}", self.rng.usize(..self.load.sessions));
            self.read("status", &other, group)
        } else {
            let name = self.name.clone();
            self.read("own", &name, group)
        }
    }

    /// Reads a key and checks the answer against the oracle. Whether it was served.
    fn read(&mut self, class: &str, key: &str, group: &Group) -> bool {
        let comment = self.comment(class);
        let text = format!("SELECT v FROM records WHERE k = '{key}' {comment}");
        let sent_at = Instant::now();
        let answer = self.query(&text);
        let took = sent_at.elapsed();
        let Some(Reply::Row(value)) = answer else {
            self.report.not_served += 1;
            return false;
        };
        let value = String::from_utf8_lossy(&value).into_owned();
        // VALUE@SERIAL@RANK
        let mut parts = value.split('@').skip(1);
        let serial: u64 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let rank = parts.next().unwrap_or_default();
        let floor = group.newest_serial_before(key, sent_at);
        self.report.reads += 1;
        if serial < floor {
            self.report.record_stale(format!("{class} of {key}: {value:?}, but {floor} was there"));
        }
        if class == "own" {
            self.report.record_session_read(sent_at, took, rank == REPLICA_RANK);
        }
        true
    }
}
