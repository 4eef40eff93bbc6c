//! Checks the floors of reads against a model. Sessions write and read through several routers that are
//! killed and restarted. The model records the commits of all writes, also of those whose outcome the routers
//! do not know, so it can tell which position each read must see at least.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::{Key, KeyId, KeyRing, SessionIdentity};
use basalthill_session::{
    DefaultFloor, PlatformFloors, SessionConfig, SessionRequest, Sessions, TokenDelivery, TrackedRequest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const SKEW: Time = Time::ms(5);
const SETTLE_TIME: Time = Time::ms(2000);
const ROUTERS: usize = 3;
const SESSIONS: usize = 4;
/// Sizes of floor tables, in bytes: one that evicts nothing in these tests, and one that evicts nearly all
/// sessions.
const TABLE_SIZES: [usize; 2] = [1 << 14, 0];

/// The way in which sessions connect to routers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionPattern {
    /// A session has one connection at a time, and closes it before it opens the next.
    OneAtATime,
    /// All sessions share one connection to each router, which stays open.
    Pooled,
    /// Like `Pooled`, and the client sends the latest token of the session with each request.
    PooledWithTokens,
    /// A session always connects to the same router, with a new connection for each request.
    OneRouter,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Served,
    /// The host's response is lost: the router keeps running and does not know the outcome.
    ResponseLost,
    /// The router is killed while the write is in flight.
    RouterKilled,
}

#[derive(Clone, Debug)]
enum Step {
    /// Advances the time by this many milliseconds.
    AdvanceTime(u16),
    /// A session connects to another router.
    Move { session: u8, router: u8 },
    /// A session writes in a group. A write that is not served commits `commit_ms` after it was sent, or
    /// never if that is `None`.
    Write { session: u8, group: u8, outcome: WriteOutcome, commit_ms: Option<u16> },
    /// A session reads in a group.
    Read { session: u8, group: u8 },
    /// A router is killed and restarted.
    Kill(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let session = 0..SESSIONS as u8;
    let router = 0..ROUTERS as u8;
    let group = 0..12u8;
    let outcome = (0..8u8).prop_map(|n| match n {
        0 | 1 => WriteOutcome::ResponseLost,
        2 => WriteOutcome::RouterKilled,
        _ => WriteOutcome::Served,
    });
    let commit_ms = prop::option::weighted(0.8, 0..(SETTLE_TIME.0 / 1_000_000) as u16);
    let write = (session.clone(), group.clone(), outcome, commit_ms);
    let write = write.prop_map(|(session, group, outcome, commit_ms)| Step::Write {
        session,
        group,
        outcome,
        commit_ms,
    });
    let step = prop_oneof![
        3 => (0..1500u16).prop_map(Step::AdvanceTime),
        2 => (session.clone(), router.clone()).prop_map(|(session, router)| Step::Move { session, router }),
        3 => write,
        4 => (session, group).prop_map(|(session, group)| Step::Read { session, group }),
        1 => router.prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..80)
}

/// The connection of a session to a router.
#[derive(Clone, Copy)]
struct Connection {
    router: usize,
    accepted_at: Time,
}

struct Model {
    pattern: ConnectionPattern,
    now: Time,
    config: SessionConfig,
    routers: Vec<Sessions>,
    started_at: Vec<Time>,
    connections: Vec<Connection>,
    tokens: Vec<Option<String>>,
    /// The commit times of each session's writes in each group. Some are in the future.
    commits: BTreeMap<(usize, u32), Vec<Time>>,
    table_bytes: usize,
}

impl Model {
    fn new(pattern: ConnectionPattern, config: SessionConfig, table_bytes: usize) -> Model {
        let now = Time::ms(1_767_225_600_000);
        let router = |_| start_router(now, &config, table_bytes);
        Model {
            pattern,
            now,
            routers: (0..ROUTERS).map(router).collect(),
            started_at: vec![now; ROUTERS],
            connections: vec![Connection { router: 0, accepted_at: now }; SESSIONS],
            tokens: vec![None; SESSIONS],
            commits: BTreeMap::new(),
            config,
            table_bytes,
        }
    }

    /// Returns the connection on which the session's next request arrives, according to the pattern.
    fn connection(&self, session: usize) -> Connection {
        let connection = self.connections[session];
        match self.pattern {
            ConnectionPattern::OneAtATime => connection,
            ConnectionPattern::OneRouter => Connection { router: session % ROUTERS, accepted_at: self.now },
            ConnectionPattern::Pooled | ConnectionPattern::PooledWithTokens => {
                Connection { accepted_at: self.started_at[connection.router], ..connection }
            }
        }
    }

    /// Calls `handle` with a request of a session and the router that the session is connected to.
    fn with_router<R>(
        &mut self,
        session: usize,
        group: u32,
        handle: impl FnOnce(&mut Sessions, Time, &SessionRequest) -> R,
    ) -> R {
        let Connection { router, accepted_at } = self.connection(session);
        let name = [session as u8];
        let identity = SessionIdentity { name: &name, key: SessionKey(session as u64 * 77 + 1) };
        let sends_tokens = self.pattern == ConnectionPattern::PooledWithTokens;
        let token = self.tokens[session].clone().filter(|_| sends_tokens);
        let tokens: Vec<&[u8]> = token.iter().map(|token| token.as_bytes()).collect();
        let group = GroupId(group);
        let request = SessionRequest { identity, group, after: None, tokens: &tokens, accepted_at };
        handle(&mut self.routers[router], self.now, &request)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::AdvanceTime(ms) => self.now = self.now.plus(Time::ms(u64::from(ms))),
            Step::Move { session, router } => {
                self.now = self.now.plus(Time::ms(1));
                let connection = Connection { router: usize::from(router), accepted_at: self.now };
                self.connections[usize::from(session)] = connection;
            }
            Step::Kill(router) => self.kill(usize::from(router)),
            Step::Write { session, group, outcome, commit_ms } => {
                self.write(usize::from(session), u32::from(group), outcome, commit_ms);
            }
            Step::Read { session, group } => self.read(usize::from(session), u32::from(group))?,
        }
        Ok(())
    }

    fn kill(&mut self, router: usize) {
        self.now = self.now.plus(Time::ms(1));
        self.started_at[router] = self.now;
        self.routers[router] = start_router(self.now, &self.config, self.table_bytes);
        for connection in self.connections.iter_mut().filter(|connection| connection.router == router) {
            connection.accepted_at = self.now;
        }
    }

    /// Returns the position of a commit `ms` milliseconds from now. The host's clock is ahead of the routers'
    /// clocks by the skew.
    fn commit_position(&self, ms: u16) -> Time {
        self.now.plus(Time::ms(u64::from(ms))).plus(SKEW)
    }

    fn write(&mut self, session: usize, group: u32, outcome: WriteOutcome, commit_ms: Option<u16>) {
        let mut tracked =
            self.with_router(session, group, |router, now, request| router.begin_request(now, request, true));
        let early = self.with_router(session, group, |router, now, request| {
            router.early_token(now, request.identity, request.group, &tracked, now)
        });
        self.receive_token(session, early);
        match outcome {
            WriteOutcome::Served => {
                let commit = self.commit_position(0);
                self.serve_write(session, group, tracked, commit);
            }
            WriteOutcome::ResponseLost => {
                let token = self.with_router(session, group, |router, now, request| {
                    router.write_outcome_unknown(now, request.identity, request.group, &mut tracked)
                });
                tracked.outcome_unknown = true;
                self.with_router(session, group, |router, now, request| {
                    router.end_request(now, request.group, &tracked);
                });
                self.receive_token(session, token);
                self.add_commit(session, group, commit_ms);
            }
            WriteOutcome::RouterKilled => {
                self.add_commit(session, group, commit_ms);
                let router = self.connection(session).router;
                self.kill(router);
                // The session continues at the next router, except with the pattern `OneRouter`.
                let next = (router + 1) % ROUTERS;
                self.connections[session] = Connection { router: next, accepted_at: self.now };
            }
        }
    }

    fn serve_write(&mut self, session: usize, group: u32, mut tracked: TrackedRequest, commit: Time) {
        let token = self.with_router(session, group, |router, now, request| {
            let token =
                router.request_served(now, request.identity, request.group, &mut tracked, Some(commit));
            router.end_request(now, request.group, &tracked);
            token
        });
        self.receive_token(session, token);
        self.commits.entry((session, group)).or_default().push(commit);
    }

    fn read(&mut self, session: usize, group: u32) -> Result<(), TestCaseError> {
        let floor = self.with_router(session, group, |router, now, request| {
            let tracked = router.begin_request(now, request, false);
            router.read_floor(now, request, &tracked).position
        });
        let latest = self.now.plus(SKEW);
        prop_assert!(
            floor <= latest,
            "the floor {floor:?} is later than the arrival plus the skew, {latest:?}"
        );
        // The commits up to now, by the host's clock.
        let commits = self.commits.get(&(session, group)).into_iter().flatten();
        let last = commits.filter(|commit| **commit <= latest).max().copied().unwrap_or_default();
        prop_assert!(
            floor >= last,
            "session {session}, group {group}: floor {floor:?} is below the write at {last:?}"
        );
        Ok(())
    }

    fn receive_token(&mut self, session: usize, token: Option<String>) {
        if token.is_some() {
            self.tokens[session] = token;
        }
    }

    fn add_commit(&mut self, session: usize, group: u32, commit_ms: Option<u16>) {
        let commit = commit_ms.map(|ms| self.commit_position(ms));
        self.commits.entry((session, group)).or_default().extend(commit);
    }
}

fn start_router(now: Time, config: &SessionConfig, table_bytes: usize) -> Sessions {
    Sessions::new(now, PlatformFloors::FromRequest, Some(config.clone()), table_bytes, 1)
}

fn config(default_floor: DefaultFloor) -> SessionConfig {
    let signing = Key::new(KeyId(1), vec![1; 32]).unwrap();
    SessionConfig {
        default_floor,
        skew: SKEW,
        settle_time: SETTLE_TIME,
        lead: Time(0),
        token_delivery: TokenDelivery::WritesOnly,
        early_tokens: true,
        keys: Some(KeyRing { signing, verifying: Vec::new(), max_age: Time::ms(10_000_000) }),
    }
}

/// Runs sequences of steps against the model, the same ones in each test run. Returns the first failure, if
/// any.
fn run_model(pattern: ConnectionPattern, config: SessionConfig, table_bytes: usize) -> Result<(), String> {
    let test_config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner =
        TestRunner::new_with_rng(test_config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let result = runner.run(&steps(), |steps| {
        let mut model = Model::new(pattern, config.clone(), table_bytes);
        steps.into_iter().try_for_each(|step| model.step(step))
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn each_connection_pattern_has_a_sound_default_floor() {
    let sound = [
        (ConnectionPattern::OneAtATime, DefaultFloor::ConnectionAccept),
        (ConnectionPattern::OneAtATime, DefaultFloor::ReadArrival),
        (ConnectionPattern::Pooled, DefaultFloor::ReadArrival),
        (ConnectionPattern::PooledWithTokens, DefaultFloor::RememberedOnly),
        (ConnectionPattern::OneRouter, DefaultFloor::RouterStart),
    ];
    for table_bytes in TABLE_SIZES {
        for (pattern, floor) in sound {
            assert_eq!(run_model(pattern, config(floor), table_bytes), Ok(()), "{pattern:?}, {floor:?}");
        }
    }
}

#[test]
fn the_model_detects_default_floors_that_are_unsound() {
    let unsound = [
        ("no default floor", ConnectionPattern::OneAtATime, config(DefaultFloor::RememberedOnly)),
        (
            "the accept time of pooled connections",
            ConnectionPattern::Pooled,
            config(DefaultFloor::ConnectionAccept),
        ),
        (
            "the remembered floors of one router, for sessions that use several",
            ConnectionPattern::OneAtATime,
            config(DefaultFloor::RouterStart),
        ),
        (
            "clocks further apart than configured",
            ConnectionPattern::OneAtATime,
            SessionConfig { skew: Time::ms(4), ..config(DefaultFloor::ConnectionAccept) },
        ),
        (
            "writes that settle later than configured",
            ConnectionPattern::OneAtATime,
            SessionConfig { settle_time: Time(0), ..config(DefaultFloor::ConnectionAccept) },
        ),
        (
            "a router killed with a write in flight, without early tokens",
            ConnectionPattern::PooledWithTokens,
            SessionConfig { early_tokens: false, ..config(DefaultFloor::RememberedOnly) },
        ),
    ];
    for (unsound_because, pattern, config) in unsound {
        let result = run_model(pattern, config, TABLE_SIZES[0]);
        assert!(result.is_err(), "the model found no violation with {unsound_because}");
    }
}
