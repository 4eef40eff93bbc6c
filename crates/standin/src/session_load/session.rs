//! A session of a load. It runs rounds of a write and a few reads, and switches between routers.

use super::{ConnectionMode, SessionLoad, SessionLoadReport};
use crate::client::{Client, Reply};
use crate::group::{Group, REPLICA_RANK};
use crate::Rng;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections to a router.
pub(super) type Pool = Mutex<Vec<Client>>;

/// How long a session waits after a failed connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(2);
/// The largest number of reads after a write.
const MAX_READS_PER_ROUND: u64 = 4;
/// Number of bits in a request id.
const ID_BITS: u32 = 60;

/// What a session received for a statement.
struct Received {
    /// The reply; `None` if the connection failed or could not be opened.
    reply: Option<Reply>,
    /// Whether a session token was received, with the reply or before the connection failed.
    has_token: bool,
}

/// How a write ended for its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteEnd {
    /// The reply was a row.
    Row,
    /// The router rejected the write without sending it to a host.
    Rejected,
    /// The reply was neither a row nor a rejection.
    OtherReply,
    /// The connection failed or could not be opened.
    NoReply,
}

impl WriteEnd {
    fn of(reply: Option<&Reply>) -> WriteEnd {
        match reply {
            Some(Reply::Row(_)) => WriteEnd::Row,
            Some(reply) if reply.is_rejection() => WriteEnd::Rejected,
            Some(_) => WriteEnd::OtherReply,
            None => WriteEnd::NoReply,
        }
    }
}

/// A write of a session, for the description of a stale read.
#[derive(Clone, Copy, Debug)]
struct WriteRecord {
    value: u64,
    /// Index of the router that the session used.
    router: usize,
    sent_at: Instant,
    ended_at: Instant,
    end: WriteEnd,
    has_token: bool,
}

impl fmt::Display for WriteRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let WriteRecord { value, router, end, .. } = self;
        let (since_sent, since_end) = (self.sent_at.elapsed(), self.ended_at.elapsed());
        let token = if self.has_token { "token received" } else { "no token received" };
        write!(f, "write of {value} through router {router}: sent {since_sent:?} ago, ")?;
        write!(f, "ended {since_end:?} ago with {end:?}, {token}")
    }
}

/// A session. Its writes have its name as their key.
pub(super) struct Session<'a> {
    name: String,
    routers: &'a [SocketAddr],
    /// Idle connections by router, shared by all sessions.
    pools: &'a [Pool],
    load: &'a SessionLoad,
    /// Index of the router that the session currently uses.
    router: usize,
    /// Connection that only this session uses, in [`ConnectionMode::OneAtATime`]; `None` in other modes.
    connection: Option<Client>,
    /// The last session token that the session has received.
    token: Option<String>,
    /// Number of writes so far, which is also the value of the last one.
    sequence: u64,
    /// The last write whose reply was a row, and all later writes.
    last_writes: Vec<WriteRecord>,
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
            last_writes: Vec::new(),
            rng: Rng::with_seed(load.session_seed(number)),
            report: SessionLoadReport::default(),
        }
    }

    pub fn into_report(self) -> SessionLoadReport {
        self.report
    }

    /// Runs one round: a write and then 1 to [`MAX_READS_PER_ROUND`] reads, with a switch to another router
    /// before and after the write, each with a probability of 50%. Returns the number of served reads.
    pub fn run_round(&mut self, group: &Group) -> usize {
        self.maybe_switch_router();
        self.write();
        self.maybe_switch_router();
        let mut served = 0;
        for _ in 0..1 + self.rng.u64(..MAX_READS_PER_ROUND) {
            self.think();
            served += usize::from(self.read_own_or_status(group));
        }
        served
    }

    fn is_pooled(&self) -> bool {
        self.load.mode != ConnectionMode::OneAtATime
    }

    fn pool(&self) -> MutexGuard<'a, Vec<Client>> {
        self.pools[self.router].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// With a probability of 50%, closes the session's own connection and picks a router at random. Does
    /// nothing in [`ConnectionMode::OneRouter`].
    fn maybe_switch_router(&mut self) {
        if self.load.mode != ConnectionMode::OneRouter && self.rng.bool() {
            self.connection = None;
            self.router = self.rng.usize(..self.routers.len());
        }
    }

    /// Pauses for a random time before half of the reads.
    fn think(&mut self) {
        let pause_us = self.rng.u64(..self.load.max_think_time_us.max(1));
        if self.rng.bool() && pause_us > 0 {
            std::thread::sleep(Duration::from_micros(pause_us));
        }
    }

    /// Returns an idle connection to the current router, or a new one.
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

    /// Sends a statement and waits for its reply.
    fn query(&mut self, text: &str) -> Received {
        let Some(mut client) = self.take_connection() else {
            std::thread::sleep(CONNECT_RETRY_DELAY);
            return Received { reply: None, has_token: false };
        };
        client.token = None;
        let sent_at = Instant::now();
        let reply = client.query(text).ok();
        self.report.record_wait(sent_at, Instant::now());
        // A token is kept even without a reply: the router may have sent it before the connection failed.
        let token = client.token.take();
        let has_token = token.is_some();
        self.token = token.or(self.token.take());
        if reply.is_some() {
            self.return_connection(client);
        }
        Received { reply, has_token }
    }

    /// Returns the comment of a statement, with the session token in [`ConnectionMode::PooledTokens`].
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
        let (router, sent_at) = (self.router, Instant::now());
        let Received { reply, has_token } = self.query(&text);
        let end = WriteEnd::of(reply.as_ref());
        if end == WriteEnd::Row {
            self.last_writes.clear();
        }
        let ended_at = Instant::now();
        self.last_writes.push(WriteRecord { value, router, sent_at, ended_at, end, has_token });
        match end {
            WriteEnd::Row => self.report.writes += 1,
            WriteEnd::Rejected => self.report.not_served += 1,
            WriteEnd::OtherReply | WriteEnd::NoReply => {
                self.report.unknown += 1;
                self.report.not_served += 1;
            }
        }
    }

    /// Reads the session's own key, or one time in [`SessionLoad::status_every`] the key of a random session
    /// with class `status`. Returns whether the read was served.
    fn read_own_or_status(&mut self, group: &Group) -> bool {
        let is_status = self.load.status_every > 0 && self.rng.u64(..self.load.status_every) == 0;
        if is_status {
            let other = format!("s{}", self.rng.usize(..self.load.sessions));
            self.read("status", &other, group)
        } else {
            let name = self.name.clone();
            self.read("own", &name, group)
        }
    }

    /// Describes the last writes of a key if it is the session's own. Returns an empty string for other keys,
    /// whose writes this session does not know.
    fn describe_last_writes(&self, key: &str) -> String {
        if key != self.name {
            return String::new();
        }
        self.last_writes.iter().map(|write| format!("; {write}")).collect()
    }

    /// Reads a key and checks the value against the oracle. Returns whether the read was served.
    fn read(&mut self, class: &str, key: &str, group: &Group) -> bool {
        let comment = self.comment(class);
        let text = format!("SELECT v FROM records WHERE k = '{key}' {comment}");
        let sent_at = Instant::now();
        let reply = self.query(&text).reply;
        let elapsed = sent_at.elapsed();
        let Some(Reply::Row(value)) = reply else {
            self.report.not_served += 1;
            return false;
        };
        let value = String::from_utf8_lossy(&value).into_owned();
        // The value has the form VALUE@SERIAL@RANK (`GroupBehavior::annotated`).
        let mut parts = value.split('@').skip(1);
        let serial: u64 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let rank = parts.next().unwrap_or_default();
        let floor = group.newest_serial_before(key, sent_at);
        self.report.reads += 1;
        if serial < floor {
            let description = format!("{class} read of {key}: {value:?}, oracle has serial {floor}");
            self.report.record_stale(description + &self.describe_last_writes(key));
        }
        if class == "own" {
            self.report.record_session_read(sent_at, elapsed, rank == REPLICA_RANK);
        }
        true
    }
}
