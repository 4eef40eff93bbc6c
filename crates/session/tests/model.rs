//! Floors against a model: one primary's commits, sessions that write and read through routers which die and
//! restart, over connections of each kind; what a read must see is known to the model alone.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::sessions::{Asked, Bond, Handing, Plan, StandIn};
use basalthill_session::token::{Key, KeyId, Keys, Owner};
use basalthill_session::{Sessions, Tokens};
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
    plan: Plan,
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
    fn new(way: Way, plan: Plan, book: usize) -> Model {
        let now = Time::ms(1_767_225_600_000);
        let start = |_| Sessions::new(now, Tokens::Carried, Some(plan.clone()), book, 1);
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

    fn with<R>(&mut self, s: usize, g: u32, f: impl FnOnce(&mut Sessions, Time, &Asked) -> R) -> R {
        let (router, accepted) = self.place(s);
        let name = [s as u8];
        let owner = Owner { name: &name, key: SessionKey(s as u64 * 77 + 1) };
        let token = self.tokens[s].clone().filter(|_| self.way == Way::PooledWithTokens);
        let tokens: Vec<&[u8]> = token.iter().map(|t| t.as_bytes()).collect();
        let asked = Asked { owner, group: GroupId(g), after: None, tokens: &tokens, accepted };
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
                self.routers[router] = Sessions::new(self.now, Tokens::Carried, plan, self.book, 1);
                for at in self.at.iter_mut().filter(|at| at.0 == router) {
                    at.1 = self.now;
                }
            }
            Step::Write { session, group, end, commits } => {
                let (s, g) = (usize::from(session), u32::from(group));
                let mut bond = self.with(s, g, |r, now, asked| r.begin(now, asked, true));
                let early = self.with(s, g, |r, now, a| r.early(now, a.owner, a.group, &bond, now));
                self.tokens[s] = early.or(self.tokens[s].take());
                // The host's clock is ahead of the routers' by the skew.
                let stamp = |now: Time, ms: u16| now.plus(Time::ms(u64::from(ms))).plus(SKEW);
                match end {
                    0 | 1 => {
                        // In doubt: it commits within its time to settle, or never.
                        let token = self.with(s, g, |r, now, a| r.unknown(now, a.owner, a.group, &mut bond));
                        bond.doubt = true;
                        self.with(s, g, |r, now, a| r.end(now, a.group, &bond));
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
                    _ => self.answered(s, g, bond, stamp(self.now, 0)),
                }
            }
            Step::Read(session, group) => {
                let (s, g) = (usize::from(session), u32::from(group));
                let floor = self.with(s, g, |r, now, asked| {
                    let bond = r.begin(now, asked, false);
                    r.floor(now, asked, &bond).at
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

    fn answered(&mut self, s: usize, g: u32, mut bond: Bond, commit: Time) {
        let token = self.with(s, g, |r, now, a| {
            let token = r.served(now, a.owner, a.group, &mut bond, Some(commit));
            r.end(now, a.group, &bond);
            token
        });
        self.tokens[s] = token.or(self.tokens[s].take());
        self.commits.entry((s, g)).or_default().push(commit);
    }
}

fn plan(stand_in: StandIn) -> Plan {
    let signing = Key::new(KeyId(1), vec![1; 32]).unwrap();
    let keys = Some(Keys { signing, verifying: Vec::new(), max_age: Time::ms(10_000_000) });
    let (lead, handing, early) = (Time(0), Handing::Writes, true);
    Plan { stand_in, skew: SKEW, settle: SETTLE, lead, handing, early, keys }
}

/// Plays sequences, the same on every run; the first fault if there is one.
fn play(way: Way, plan: Plan, book: usize) -> Result<(), String> {
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
        assert_eq!(play(Way::OneAtATime, plan(StandIn::Connection), book), Ok(()));
        assert_eq!(play(Way::OneAtATime, plan(StandIn::Arrival), book), Ok(()));
        assert_eq!(play(Way::Pooled, plan(StandIn::Arrival), book), Ok(()));
        assert_eq!(play(Way::PooledWithTokens, plan(StandIn::Nothing), book), Ok(()));
        assert_eq!(play(Way::OneRouter, plan(StandIn::Router), book), Ok(()));
    }
}

#[test]
fn the_model_finds_what_each_floor_does_not_cover() {
    let broken = [
        ("no floor", Way::OneAtATime, plan(StandIn::Nothing)),
        ("accept for pooled connections", Way::Pooled, plan(StandIn::Connection)),
        ("one router's memory for all", Way::OneAtATime, plan(StandIn::Router)),
        (
            "clocks further apart than told",
            Way::OneAtATime,
            Plan { skew: Time::ms(4), ..plan(StandIn::Connection) },
        ),
        (
            "writes that take longer to settle",
            Way::OneAtATime,
            Plan { settle: Time(0), ..plan(StandIn::Connection) },
        ),
        (
            "a router that dies with a write, no early token",
            Way::PooledWithTokens,
            Plan { early: false, ..plan(StandIn::Nothing) },
        ),
    ];
    for (what, way, plan) in broken {
        let played = play(way, plan, BOOKS[0]);
        assert!(played.is_err(), "{what}");
    }
}
