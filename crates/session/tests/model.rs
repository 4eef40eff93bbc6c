//! Floors against a model: one primary's commits, sessions that write and read through routers which die and
//! restart, over connections of each kind; what a read must see is known to the model alone.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::{Key, KeyId, KeyRing, SessionIdentity};
use basalthill_session::{DefaultFloor, SessionConfig, SessionRequest, TokenDelivery, TrackedRequest};
use basalthill_session::{PlatformFloors, Sessions};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const SKEW: Time = Time::ms(5);
const SETTLE: Time = Time::ms(2000);
const ROUTERS: usize = 3;
const SESSIONS: usize = 4;

/// How sessions come in.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// One connection at a time, left before the next.
    OneAtATime,
    /// A connection to each router, kept, shared by all sessions.
    Pooled,
    /// The same, and the client gives its tokens back.
    PooledWithTokens,
    /// Always the same router, over any connection.
    OneRouter,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u16),
    /// A session goes to another router.
    Move(u8, u8),
    /// A session writes in a group. The answer is told, lost with the attempt left in doubt, or lost with its
    /// router; the write commits so long after it was sent, or never.
    Write { session: u8, group: u8, end: u8, commits: Option<u16> },
    /// A session reads in a group.
    Read(u8, u8),
    /// A router is killed and starts again.
    Kill(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (session, group) = (0..SESSIONS as u8, 0..12u8);
    let commits = prop::option::weighted(0.8, 0..(SETTLE.0 / 1_000_000) as u16);
    let write = (session.clone(), group.clone(), 0..8u8, commits);
    let step = prop_oneof![
        3 => (0..1500u16).prop_map(Step::Pass),
        2 => (session.clone(), 0..ROUTERS as u8).prop_map(|(s, r)| Step::Move(s, r)),
        3 => write.prop_map(|(session, group, end, commits)| Step::Write { session, group, end, commits }),
        4 => (session, group).prop_map(|(s, g)| Step::Read(s, g)),
        1 => (0..ROUTERS as u8).prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..80)
}

struct Model {
    way: Way,
    now: Time,
    plan: SessionConfig,
    routers: Vec<Sessions>,
    started: Vec<Time>,
    /// Where each session is connected, and since when.
    at: Vec<(usize, Time)>,
    tokens: Vec<Option<String>>,
    /// Writes of each session and group, by their commits, which may lie ahead.
    commits: BTreeMap<(usize, u32), Vec<Time>>,
    /// Highest position that a router's clock may not know of.
    book: usize,
}

impl Model {
    fn new(way: Way, plan: SessionConfig, book: usize) -> Model {
        let now = Time::ms(1_767_225_600_000);
        let start = |_| Sessions::new(now, PlatformFloors::FromRequest, Some(plan.clone()), book, 1);
        let routers = (0..ROUTERS).map(start).collect();
        let (at, tokens) = (vec![(0, now); SESSIONS], vec![None; SESSIONS]);
        let (started, commits) = (vec![now; ROUTERS], BTreeMap::new());
        Model { way, now, plan, routers, started, at, tokens, commits, book }
    }

    /// The router that a session talks to, and when its connection was accepted.
    fn place(&self, session: usize) -> (usize, Time) {
        match self.way {
            Way::OneAtATime => self.at[session],
            Way::OneRouter => (session % ROUTERS, self.now),
            Way::Pooled | Way::PooledWithTokens => (self.at[session].0, self.started[self.at[session].0]),
        }
    }

    fn with<R>(&mut self, s: usize, g: u32, f: impl FnOnce(&mut Sessions, Time, &SessionRequest) -> R) -> R {
        let (router, accepted) = self.place(s);
        let name = [s as u8];
        let owner = SessionIdentity { name: &name, key: SessionKey(s as u64 * 77 + 1) };
        let token = self.tokens[s].clone().filter(|_| self.way == Way::PooledWithTokens);
        let tokens: Vec<&[u8]> = token.iter().map(|t| t.as_bytes()).collect();
        let asked = SessionRequest {
            identity: owner,
            group: GroupId(g),
            after: None,
            tokens: &tokens,
            accepted_at: accepted,
        };
        f(&mut self.routers[router], self.now, &asked)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Pass(ms) => self.now = self.now.plus(Time::ms(u64::from(ms))),
            Step::Move(session, router) => {
                self.now = self.now.plus(Time::ms(1));
                self.at[usize::from(session)] = (usize::from(router), self.now);
            }
            Step::Kill(router) => {
                let router = usize::from(router);
                self.now = self.now.plus(Time::ms(1));
                self.started[router] = self.now;
                let plan = Some(self.plan.clone());
                self.routers[router] =
                    Sessions::new(self.now, PlatformFloors::FromRequest, plan, self.book, 1);
                for at in self.at.iter_mut().filter(|at| at.0 == router) {
                    at.1 = self.now;
                }
            }
            Step::Write { session, group, end, commits } => {
                let (s, g) = (usize::from(session), u32::from(group));
                let mut tracked = self.with(s, g, |r, now, asked| r.begin_request(now, asked, true));
                let early =
                    self.with(s, g, |r, now, a| r.early_token(now, a.identity, a.group, &tracked, now));
                self.tokens[s] = early.or(self.tokens[s].take());
                // The host's clock is ahead of the routers' by the skew.
                let stamp = |now: Time, ms: u16| now.plus(Time::ms(u64::from(ms))).plus(SKEW);
                match end {
                    0 | 1 => {
                        // In doubt: it commits within its time to settle, or never.
                        let token = self.with(s, g, |r, now, a| {
                            r.write_outcome_unknown(now, a.identity, a.group, &mut tracked)
                        });
                        tracked.outcome_unknown = true;
                        self.with(s, g, |r, now, a| r.end_request(now, a.group, &tracked));
                        self.tokens[s] = token.or(self.tokens[s].take());
                        let at = commits.map(|ms| stamp(self.now, ms));
                        self.commits.entry((s, g)).or_default().extend(at);
                    }
                    2 => {
                        // Its router dies with it, and the session goes on elsewhere, or there once it is
                        // back.
                        let at = commits.map(|ms| stamp(self.now, ms));
                        self.commits.entry((s, g)).or_default().extend(at);
                        let router = self.place(s).0;
                        self.step(Step::Kill(router as u8))?;
                        self.at[s] = ((router + 1) % ROUTERS, self.now);
                    }
                    _ => self.answered(s, g, tracked, stamp(self.now, 0)),
                }
            }
            Step::Read(session, group) => {
                let (s, g) = (usize::from(session), u32::from(group));
                let floor = self.with(s, g, |r, now, asked| {
                    let tracked = r.begin_request(now, asked, false);
                    r.read_floor(now, asked, &tracked).position
                });
                let reach = self.now.plus(SKEW);
                prop_assert!(floor <= reach, "a floor past the read's arrival: {floor:?}");
                // All that has committed by now, by the host's clock.
                let committed = self.commits.get(&(s, g)).into_iter().flatten().filter(|c| **c <= reach);
                let last = committed.max().copied().unwrap_or_default();
                prop_assert!(floor >= last, "session {s}, group {g}: floor {floor:?}, wrote {last:?}");
            }
        }
        Ok(())
    }

    fn answered(&mut self, s: usize, g: u32, mut tracked: TrackedRequest, commit: Time) {
        let token = self.with(s, g, |r, now, a| {
            let token = r.request_served(now, a.identity, a.group, &mut tracked, Some(commit));
            r.end_request(now, a.group, &tracked);
            token
        });
        self.tokens[s] = token.or(self.tokens[s].take());
        self.commits.entry((s, g)).or_default().push(commit);
    }
}

fn plan(default_floor: DefaultFloor) -> SessionConfig {
    let signing = Key::new(KeyId(1), vec![1; 32]).unwrap();
    let keys = Some(KeyRing { signing, verifying: Vec::new(), max_age: Time::ms(10_000_000) });
    let (lead, token_delivery, early_tokens) = (Time(0), TokenDelivery::WritesOnly, true);
    SessionConfig { default_floor, skew: SKEW, settle_time: SETTLE, lead, token_delivery, early_tokens, keys }
}

/// Plays sequences, the same on every run; the first fault if there is one.
fn play(way: Way, plan: SessionConfig, book: usize) -> Result<(), String> {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let played = runner.run(&steps(), |steps| {
        let mut model = Model::new(way, plan.clone(), book);
        steps.into_iter().try_for_each(|step| model.step(step))
    });
    played.map_err(|e| e.to_string())
}

/// A book of this size forgets nothing here, and one of the other nearly all.
const BOOKS: [usize; 2] = [1 << 14, 0];

#[test]
fn each_way_of_connecting_has_a_floor_that_holds() {
    for book in BOOKS {
        assert_eq!(play(Way::OneAtATime, plan(DefaultFloor::ConnectionAccept), book), Ok(()));
        assert_eq!(play(Way::OneAtATime, plan(DefaultFloor::ReadArrival), book), Ok(()));
        assert_eq!(play(Way::Pooled, plan(DefaultFloor::ReadArrival), book), Ok(()));
        assert_eq!(play(Way::PooledWithTokens, plan(DefaultFloor::RememberedOnly), book), Ok(()));
        assert_eq!(play(Way::OneRouter, plan(DefaultFloor::RouterStart), book), Ok(()));
    }
}

#[test]
fn the_model_finds_what_each_floor_does_not_cover() {
    let broken = [
        ("no floor", Way::OneAtATime, plan(DefaultFloor::RememberedOnly)),
        ("accept for pooled connections", Way::Pooled, plan(DefaultFloor::ConnectionAccept)),
        ("one router's memory for all", Way::OneAtATime, plan(DefaultFloor::RouterStart)),
        (
            "clocks further apart than told",
            Way::OneAtATime,
            SessionConfig { skew: Time::ms(4), ..plan(DefaultFloor::ConnectionAccept) },
        ),
        (
            "writes that take longer to settle",
            Way::OneAtATime,
            SessionConfig { settle_time: Time(0), ..plan(DefaultFloor::ConnectionAccept) },
        ),
        (
            "a router that dies with a write, no early token",
            Way::PooledWithTokens,
            SessionConfig { early_tokens: false, ..plan(DefaultFloor::RememberedOnly) },
        ),
    ];
    for (what, way, plan) in broken {
        let played = play(way, plan, BOOKS[0]);
        assert!(played.is_err(), "{what}");
    }
}
