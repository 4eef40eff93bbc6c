//! Floors against a model: the commits of one primary, and sessions that write and read through routers that
//! are killed and restarted, over connections of each kind. What a read must see is known to the model alone.

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
/// Bytes of a table that evicts nothing here, and of one that evicts nearly everything.
const TABLE_SIZES: [usize; 2] = [1 << 14, 0];

/// How sessions connect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connecting {
    /// One connection at a time, closed before the next.
    OneAtATime,
    /// One connection to each router, left open and used by all sessions.
    Pooled,
    /// The same, and the client sends its tokens back.
    PooledWithTokens,
    /// Always to the same router, over any connection.
    OneRouter,
}

/// How a write ends.
#[derive(Clone, Copy, Debug)]
enum WriteEnd {
    Answered,
    /// The router survives; it does not know the outcome.
    AnswerLost,
    RouterKilled,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u16),
    /// A session goes to another router.
    Move { session: u8, router: u8 },
    /// A session writes in a group. A write that is not answered commits so many milliseconds after it was
    /// sent, or never.
    Write { session: u8, group: u8, end: WriteEnd, commit_ms: Option<u16> },
    /// A session reads in a group.
    Read { session: u8, group: u8 },
    /// A router is killed and starts again.
    Kill(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let session = 0..SESSIONS as u8;
    let router = 0..ROUTERS as u8;
    let group = 0..12u8;
    let end = (0..8u8).prop_map(|n| match n {
        0 | 1 => WriteEnd::AnswerLost,
        2 => WriteEnd::RouterKilled,
        _ => WriteEnd::Answered,
    });
    let commit_ms = prop::option::weighted(0.8, 0..(SETTLE_TIME.0 / 1_000_000) as u16);
    let write = (session.clone(), group.clone(), end, commit_ms);
    let write =
        write.prop_map(|(session, group, end, commit_ms)| Step::Write { session, group, end, commit_ms });
    let step = prop_oneof![
        3 => (0..1500u16).prop_map(Step::Pass),
        2 => (session.clone(), router.clone()).prop_map(|(session, router)| Step::Move { session, router }),
        3 => write,
        4 => (session, group).prop_map(|(session, group)| Step::Read { session, group }),
        1 => router.prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..80)
}

/// Where a session is connected, and since when.
#[derive(Clone, Copy)]
struct Connection {
    router: usize,
    accepted_at: Time,
}

struct Model {
    connecting: Connecting,
    now: Time,
    config: SessionConfig,
    routers: Vec<Sessions>,
    started_at: Vec<Time>,
    connections: Vec<Connection>,
    tokens: Vec<Option<String>>,
    /// The commits of each session's writes in each group, some of them yet to come.
    commits: BTreeMap<(usize, u32), Vec<Time>>,
    table_bytes: usize,
}

impl Model {
    fn new(connecting: Connecting, config: SessionConfig, table_bytes: usize) -> Model {
        let now = Time::ms(1_767_225_600_000);
        let router = |_| start_router(now, &config, table_bytes);
        Model {
            connecting,
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

    /// The connection that a session's next request arrives on.
    fn connection(&self, session: usize) -> Connection {
        let connection = self.connections[session];
        match self.connecting {
            Connecting::OneAtATime => connection,
            Connecting::OneRouter => Connection { router: session % ROUTERS, accepted_at: self.now },
            Connecting::Pooled | Connecting::PooledWithTokens => {
                Connection { accepted_at: self.started_at[connection.router], ..connection }
            }
        }
    }

    /// Passes a request of a session to its router.
    fn with_router<R>(
        &mut self,
        session: usize,
        group: u32,
        handle: impl FnOnce(&mut Sessions, Time, &SessionRequest) -> R,
    ) -> R {
        let Connection { router, accepted_at } = self.connection(session);
        let name = [session as u8];
        let identity = SessionIdentity { name: &name, key: SessionKey(session as u64 * 77 + 1) };
        let sends_tokens = self.connecting == Connecting::PooledWithTokens;
        let token = self.tokens[session].clone().filter(|_| sends_tokens);
        let tokens: Vec<&[u8]> = token.iter().map(|token| token.as_bytes()).collect();
        let group = GroupId(group);
        let request = SessionRequest { identity, group, after: None, tokens: &tokens, accepted_at };
        handle(&mut self.routers[router], self.now, &request)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Pass(ms) => self.now = self.now.plus(Time::ms(u64::from(ms))),
            Step::Move { session, router } => {
                self.now = self.now.plus(Time::ms(1));
                let connection = Connection { router: usize::from(router), accepted_at: self.now };
                self.connections[usize::from(session)] = connection;
            }
            Step::Kill(router) => self.kill(usize::from(router)),
            Step::Write { session, group, end, commit_ms } => {
                self.write(usize::from(session), u32::from(group), end, commit_ms);
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

    /// The position of a commit so many milliseconds from now. The host's clock is ahead of the routers' by
    /// the skew.
    fn commit_position(&self, ms: u16) -> Time {
        self.now.plus(Time::ms(u64::from(ms))).plus(SKEW)
    }

    fn write(&mut self, session: usize, group: u32, end: WriteEnd, commit_ms: Option<u16>) {
        let mut tracked =
            self.with_router(session, group, |router, now, request| router.begin_request(now, request, true));
        let early = self.with_router(session, group, |router, now, request| {
            router.early_token(now, request.identity, request.group, &tracked, now)
        });
        self.receive_token(session, early);
        match end {
            WriteEnd::Answered => {
                let commit = self.commit_position(0);
                self.answer(session, group, tracked, commit);
            }
            WriteEnd::AnswerLost => {
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
            WriteEnd::RouterKilled => {
                self.add_commit(session, group, commit_ms);
                let router = self.connection(session).router;
                self.kill(router);
                // The session goes on elsewhere, or at the same router once it is back.
                let next = (router + 1) % ROUTERS;
                self.connections[session] = Connection { router: next, accepted_at: self.now };
            }
        }
    }

    fn answer(&mut self, session: usize, group: u32, mut tracked: TrackedRequest, commit: Time) {
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
        prop_assert!(floor <= latest, "a floor past the read's arrival: {floor:?}");
        // Everything that has committed by now, by the host's clock.
        let commits = self.commits.get(&(session, group)).into_iter().flatten();
        let last = commits.filter(|commit| **commit <= latest).max().copied().unwrap_or_default();
        prop_assert!(floor >= last, "session {session}, group {group}: floor {floor:?}, wrote {last:?}");
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

/// Plays sequences of steps, the same in each run; the first fault if there is one.
fn play(connecting: Connecting, config: SessionConfig, table_bytes: usize) -> Result<(), String> {
    let test_config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner =
        TestRunner::new_with_rng(test_config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let played = runner.run(&steps(), |steps| {
        let mut model = Model::new(connecting, config.clone(), table_bytes);
        steps.into_iter().try_for_each(|step| model.step(step))
    });
    played.map_err(|error| error.to_string())
}

#[test]
fn each_way_of_connecting_has_a_default_floor_that_is_sound() {
    let sound = [
        (Connecting::OneAtATime, DefaultFloor::ConnectionAccept),
        (Connecting::OneAtATime, DefaultFloor::ReadArrival),
        (Connecting::Pooled, DefaultFloor::ReadArrival),
        (Connecting::PooledWithTokens, DefaultFloor::RememberedOnly),
        (Connecting::OneRouter, DefaultFloor::RouterStart),
    ];
    for table_bytes in TABLE_SIZES {
        for (connecting, floor) in sound {
            assert_eq!(play(connecting, config(floor), table_bytes), Ok(()), "{connecting:?}, {floor:?}");
        }
    }
}

#[test]
fn the_model_finds_what_each_default_floor_does_not_cover() {
    let unsound = [
        ("no floor", Connecting::OneAtATime, config(DefaultFloor::RememberedOnly)),
        ("accept for pooled connections", Connecting::Pooled, config(DefaultFloor::ConnectionAccept)),
        ("one router's memory for all", Connecting::OneAtATime, config(DefaultFloor::RouterStart)),
        (
            "clocks further apart than configured",
            Connecting::OneAtATime,
            SessionConfig { skew: Time::ms(4), ..config(DefaultFloor::ConnectionAccept) },
        ),
        (
            "writes that take longer to settle",
            Connecting::OneAtATime,
            SessionConfig { settle_time: Time(0), ..config(DefaultFloor::ConnectionAccept) },
        ),
        (
            "a router that is killed with a write in flight, no early token",
            Connecting::PooledWithTokens,
            SessionConfig { early_tokens: false, ..config(DefaultFloor::RememberedOnly) },
        ),
    ];
    for (what, connecting, config) in unsound {
        let played = play(connecting, config, TABLE_SIZES[0]);
        assert!(played.is_err(), "{what}");
    }
}
