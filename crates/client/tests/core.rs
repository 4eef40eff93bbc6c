//! The core: its rules, case by case, and in a world of routers that do whatever they like.

use basalthill_client::core::{Action, ConnectionId, Core, DisconnectReason, RequestId};
use basalthill_client::{
    AttemptOutcome, Config, Idempotency, Priority, Request, RequestOutcome, RequestReport, Session,
    WriteProgress,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n))
}

fn config(routers: u16) -> Config {
    let routers: Vec<SocketAddr> = (0..routers).map(addr).collect();
    Config { seed: 17, ..Config::new(routers) }
}

/// A core with a hand on everything that happens to it.
struct Harness {
    core: Core,
    now: Instant,
    conns: BTreeMap<ConnectionId, SocketAddr>,
    written: BTreeMap<ConnectionId, Vec<u8>>,
    done: BTreeMap<RequestId, RequestReport>,
    /// Statements handed over, with their connection and time.
    sent: Vec<(ConnectionId, Instant, String)>,
}

impl Harness {
    fn new(config: Config) -> Harness {
        Harness {
            core: Core::new(config),
            now: Instant::now(),
            conns: BTreeMap::new(),
            written: BTreeMap::new(),
            done: BTreeMap::new(),
            sent: Vec::new(),
        }
    }

    /// Takes the actions in. Whole writes are told as done if `whole`.
    fn act(&mut self, whole: bool) {
        while let Some(action) = self.core.poll_action() {
            match action {
                Action::Connect(id, addr) => drop(self.conns.insert(id, addr)),
                Action::Write(id, bytes, until) => {
                    if let Some(until) = until {
                        assert!(self.now < until, "handed over after its deadline");
                        let text = String::from_utf8_lossy(&bytes[5..bytes.len() - 1]).into_owned();
                        self.sent.push((id, self.now, text));
                        if whole {
                            self.core.handle_written(id, bytes.len());
                        }
                    }
                    self.written.insert(id, bytes);
                }
                Action::Close(id) => drop(self.conns.remove(&id)),
                Action::Done(id, report) => {
                    assert!(self.done.insert(id, report).is_none(), "one end each");
                }
            }
        }
    }

    /// Waits for a connection that the core opens, and has it come up.
    fn up(&mut self) -> ConnectionId {
        self.act(true);
        let from = self.now;
        while !self.conns.keys().any(|c| !self.written.contains_key(c)) {
            assert!(self.now < from + 2000 * MS, "a connection");
            self.pass(1);
        }
        let id = *self.conns.keys().find(|c| !self.written.contains_key(c)).unwrap();
        self.core.handle_connected(self.now, id);
        self.hear(id, READY);
        id
    }

    fn hear(&mut self, id: ConnectionId, bytes: &[u8]) {
        self.core.handle_received(self.now, id, bytes);
        self.act(true);
    }

    fn ask(&mut self, idempotency: Idempotency, ms: u32) -> RequestId {
        let request = Request::write("w", 1, "k", b"v").idempotency(idempotency).deadline(self.now + ms * MS);
        let id = self.core.submit(self.now, request);
        self.act(true);
        id
    }

    /// Lets time pass, with the core's own times.
    fn pass(&mut self, ms: u32) {
        let until = self.now + ms * MS;
        while let Some(due) = self.core.next_timeout().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.core.handle_timeout(self.now);
            self.act(true);
        }
        self.now = until;
    }

    fn end(&self, id: RequestId) -> Option<&RequestOutcome> {
        self.done.get(&id).map(|r| &r.outcome)
    }
}

const READY: &[u8] = b"Z\0\0\0\x05I";

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn row(value: &[u8]) -> Vec<u8> {
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', &[0, 1]), message(b'D', &data), message(b'C', b"SELECT 1\0"), READY.to_vec()].concat()
}

fn error(severity: &str, code: &str, detail: Option<&str>) -> Vec<u8> {
    let detail = detail.map(|d| format!("D{d}\0")).unwrap_or_default();
    let body = message(b'E', format!("S{severity}\0V{severity}\0C{code}\0Mno\0{detail}\0").as_bytes());
    if severity == "FATAL" {
        body
    } else {
        [body, READY.to_vec()].concat()
    }
}

#[test]
fn lost_connection_is_uncertain_only_after_the_last_byte_was_written() {
    let total = {
        let mut b = Harness::new(config(1));
        b.ask(Idempotency::NonIdempotent, 900);
        let conn = b.up();
        b.written[&conn].len()
    };
    for written in 0..=total {
        for idempotency in [Idempotency::NonIdempotent, Idempotency::Idempotent, Idempotency::Keyed(500 * MS)]
        {
            let mut b = Harness::new(config(1));
            let id = b.core.submit(
                b.now,
                Request::write("w", 1, "k", b"v").idempotency(idempotency).deadline(b.now + 900 * MS),
            );
            b.act(false);
            let conn = *b.conns.keys().next().unwrap();
            b.core.handle_connected(b.now, conn);
            b.act(false);
            b.core.handle_received(b.now, conn, READY);
            b.act(false);
            b.core.handle_written(conn, written);
            b.core.handle_disconnected(b.now, conn, DisconnectReason::Other);
            b.conns.remove(&conn);
            b.act(true);
            let unrun = written < total;
            if idempotency == Idempotency::NonIdempotent && !unrun {
                assert_eq!(b.end(id), Some(&RequestOutcome::MayHaveRun), "all of {total} bytes");
                let tries = &b.done[&id].attempts;
                assert_eq!(tries[0].end, AttemptOutcome::Closed(WriteProgress::Complete));
                continue;
            }
            assert_eq!(b.end(id), None, "{written} of {total} bytes: it goes on");
            b.up();
            assert_eq!(b.sent.len(), 2, "{written} of {total} bytes, {idempotency:?}");
            assert!(b.sent[1].2.contains(",r=1"), "a further try says so");
        }
    }
}

#[test]
fn non_idempotent_write_is_retried_only_if_proved_not_to_have_run() {
    let cases: [(&str, Vec<u8>, bool); 6] = [
        ("refused", error("ERROR", "53300", Some("50")), true),
        ("refused on the way out", error("ERROR", "57P03", None), true),
        ("a farewell", error("FATAL", "57P01", None), true),
        ("an error", error("ERROR", "58000", None), false),
        ("an answer that can't be read", b"!\0\0\0\x04".to_vec(), false),
        ("half an answer", row(b"v")[..9].to_vec(), false),
    ];
    for (what, answer, again) in cases {
        let mut b = Harness::new(config(1));
        let id = b.ask(Idempotency::NonIdempotent, 2000);
        let conn = b.up();
        b.hear(conn, &answer);
        if what == "half an answer" {
            b.core.handle_disconnected(b.now, conn, DisconnectReason::Other);
            b.act(true);
        }
        assert_eq!(b.end(id).is_none(), again, "{what}: {:?}", b.end(id));
        if again {
            b.pass(200);
            if b.sent.len() < 2 {
                b.up();
            }
            assert_eq!(b.sent.len(), 2, "{what}");
            let conn = b.sent[1].0;
            b.hear(conn, &row(b"v"));
            assert_eq!(b.end(id), Some(&RequestOutcome::Served(Some(b"v".to_vec()))), "{what}");
            assert_eq!(b.done[&id].attempts.len(), 2);
        } else {
            assert_eq!(b.end(id), Some(&RequestOutcome::MayHaveRun), "{what}");
        }
    }
    // A farewell behind the beginning of an answer, or behind an early token, proves nothing.
    let description = row(b"v")[..7].to_vec();
    let whole_row = row(b"v")[..19].to_vec();
    let token = message(b'S', b"session_token\0x\0");
    for before in [description, whole_row, token] {
        let mut b = Harness::new(config(1));
        let id = b.ask(Idempotency::NonIdempotent, 2000);
        let conn = b.up();
        b.hear(conn, &[before.clone(), error("FATAL", "57P01", None)].concat());
        assert_eq!(b.end(id), Some(&RequestOutcome::MayHaveRun), "{before:?}");
    }
}

#[test]
fn retry_waits_for_retry_after_and_never_past_the_deadline() {
    // What is told, the earliest and the latest next try; none where the caller is told at once.
    let cases = [
        (Some("100"), Some((100, 151))),
        (Some("0"), Some((20, 31))),
        (None, Some((20, 31))),
        (Some("not a number"), Some((20, 31))),
        (Some("899"), None),
        (Some("5000"), None),
        (Some("18446744073709551615"), None),
        (Some("99999999999999999999999"), Some((20, 31))),
    ];
    for (detail, wait) in cases {
        for seed in 0..20 {
            let mut b = Harness::new(Config { seed, ..config(1) });
            let id = b.ask(Idempotency::NonIdempotent, 900);
            let conn = b.up();
            let refused = b.now;
            b.hear(conn, &error("ERROR", "53300", detail));
            let Some((least, most)) = wait else {
                let told = detail.and_then(|d| d.parse().ok()).map(Duration::from_millis);
                assert_eq!(
                    b.end(id),
                    Some(&RequestOutcome::Rejected(told)),
                    "{detail:?}: the caller is told now"
                );
                continue;
            };
            b.pass(least - 1);
            assert_eq!(b.sent.len(), 1, "{detail:?}: never sooner");
            b.pass(most - least + 1);
            assert_eq!(b.sent.len(), 2, "{detail:?}");
            let waited = b.sent[1].1 - refused;
            assert!(waited >= least * MS && waited <= most * MS, "{detail:?}: {waited:?}");
        }
    }
}

#[test]
fn deadline_completes_the_request_and_closes_its_connection() {
    let late = |b: &mut Harness, id| {
        b.pass(900);
        b.end(id).cloned()
    };
    // Waiting for a connection.
    let mut b = Harness::new(config(1));
    let id = b.ask(Idempotency::NonIdempotent, 900);
    assert_eq!(late(&mut b, id), Some(RequestOutcome::DeadlineExceeded));
    // With all written, and in the middle of an answer.
    for part in [&b""[..], &row(b"v")[..20]] {
        for (idempotency, end) in [
            (Idempotency::NonIdempotent, RequestOutcome::MayHaveRun),
            (Idempotency::Idempotent, RequestOutcome::DeadlineExceeded),
        ] {
            let mut b = Harness::new(config(1));
            let id = b.ask(idempotency, 900);
            let conn = b.up();
            b.hear(conn, part);
            assert_eq!(late(&mut b, id), Some(end), "{idempotency:?}, {} bytes", part.len());
            assert!(!b.conns.contains_key(&conn), "its connection goes with it");
            // What comes late is nobody's.
            let next = b.ask(Idempotency::Idempotent, 900);
            b.hear(conn, &row(b"v"));
            assert_eq!(b.end(next), None);
        }
    }
    // In a queue behind others, for the only connection.
    let mut b = Harness::new(Config { max_connections_per_router: 1, ..config(1) });
    b.ask(Idempotency::Idempotent, 5000);
    b.up();
    let id = b.ask(Idempotency::NonIdempotent, 900);
    assert_eq!(late(&mut b, id), Some(RequestOutcome::DeadlineExceeded));
    // Between two tries: the connection goes as well, and no other comes up.
    let mut b = Harness::new(config(1));
    let id = b.ask(Idempotency::NonIdempotent, 900);
    let conn = b.up();
    b.pass(500);
    b.hear(conn, &error("FATAL", "53300", Some("100")));
    assert_eq!(late(&mut b, id), Some(RequestOutcome::DeadlineExceeded));
    assert_eq!(b.sent.len(), 1);
}

#[test]
fn nothing_is_written_past_a_deadline_after_a_clock_pause() {
    let mut b = Harness::new(config(1));
    let ids: Vec<_> = (0..3).map(|_| b.ask(Idempotency::NonIdempotent, 500)).collect();
    let conn = *b.conns.keys().next().unwrap();
    // The connection came up long ago, and is only heard of now.
    b.now += 1000 * MS;
    b.core.handle_connected(b.now, conn);
    b.core.handle_received(b.now, conn, READY);
    b.act(true);
    assert!(b.sent.is_empty());
    assert!(ids.iter().all(|id| b.end(*id) == Some(&RequestOutcome::DeadlineExceeded)));
}

#[test]
fn no_attempt_starts_without_time_for_a_response() {
    let mut b = Harness::new(config(1));
    b.ask(Idempotency::Idempotent, 5000);
    let conn = b.up();
    for _ in 0..30 {
        b.pass(100);
        b.hear(conn, &row(b"v"));
        b.ask(Idempotency::Idempotent, 5000);
    }
    b.hear(conn, &row(b"v"));
    let sent = b.sent.len();
    let short = b.ask(Idempotency::Idempotent, 60);
    assert_eq!(b.end(short), Some(&RequestOutcome::DeadlineExceeded), "answers take 100 ms");
    assert_eq!(b.sent.len(), sent);
    let enough = b.ask(Idempotency::Idempotent, 150);
    assert_eq!(b.end(enough), None);
}

#[test]
fn retries_stay_within_the_budget_and_use_it() {
    // All refuse: a tier in overload.
    let played = |priority| {
        let mut b = Harness::new(Config { max_connections_per_router: 1, ..config(1) });
        let mut first = 0;
        for _ in 0..500 {
            let request = Request::read("r", 1, "k").priority(priority).deadline(b.now + 5000 * MS);
            let id = b.core.submit(b.now, request);
            first += 1;
            b.act(true);
            while b.end(id).is_none() {
                let Some((conn, ..)) = b.sent.last().cloned() else {
                    b.up();
                    continue;
                };
                b.hear(conn, &error("ERROR", "53300", Some("5")));
                b.pass(40);
            }
        }
        let counts = b.core.counts();
        (counts.tries - first, first)
    };
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        let (further, first) = played(priority);
        assert!(further as f64 <= 0.1 * first as f64 + 10.0, "{priority:?}: {further} for {first}");
        assert!(further >= 50, "{priority:?}: what is earned is spent: {further}");
    }
    // One store: the low ones leave the rest to the high ones.
    let mut b = Harness::new(config(1));
    let mut refused = |b: &mut Harness, priority| {
        let id =
            b.core.submit(b.now, Request::read("r", 1, "k").priority(priority).deadline(b.now + 900 * MS));
        b.act(true);
        if b.sent.is_empty() {
            b.up();
        }
        let conn = b.sent.last().unwrap().0;
        b.hear(conn, &error("ERROR", "53300", Some("1")));
        let ended = b.end(id).is_some();
        b.core.cancel(b.now, id);
        b.act(true);
        ended
    };
    let spent = |b: &mut Harness, refused: &mut dyn FnMut(&mut Harness, Priority) -> bool, priority| {
        (0..30).take_while(|_| !refused(b, priority)).count()
    };
    let (low, normal) =
        (spent(&mut b, &mut refused, Priority::Low), spent(&mut b, &mut refused, Priority::Normal));
    let high = spent(&mut b, &mut refused, Priority::High);
    assert!(low >= 2 && normal >= 2 && high >= 4, "{low}, {normal}, {high}");
}

#[test]
fn ejected_router_gets_one_probe_after_its_cooldown() {
    let mut b = Harness::new(config(2));
    // The first connection is refused wherever it goes.
    b.ask(Idempotency::Idempotent, 9000);
    let (dead_conn, dead) = b.conns.iter().next().map(|(c, a)| (*c, *a)).unwrap();
    b.core.handle_disconnected(b.now, dead_conn, DisconnectReason::NotListening);
    b.conns.remove(&dead_conn);
    b.act(true);
    let conn = b.up();
    assert_ne!(dead, b.conns[&conn], "another router");
    b.hear(conn, &row(b"v"));
    // Load beyond one connection: its cooldown is over by now, and one connection probes it.
    b.pass(1600);
    for _ in 0..6 {
        b.ask(Idempotency::Idempotent, 9000);
    }
    let probes = b.conns.values().filter(|a| **a == dead).count();
    assert_eq!(probes, 1, "{:?}", b.conns);
}

#[test]
fn rejected_requests_do_not_eject_their_router() {
    let mut b = Harness::new(config(1));
    for _ in 0..20 {
        let id = b.ask(Idempotency::NonIdempotent, 900);
        if b.sent.is_empty() {
            b.up();
        }
        let conn = b.sent.last().unwrap().0;
        b.hear(conn, &error("ERROR", "53300", Some("5000")));
        assert_eq!(b.end(id), Some(&RequestOutcome::Rejected(Some(5000 * MS))));
    }
    assert_eq!((b.core.counts().ejections, b.core.counts().connects), (0, 1));
    // 53300 to the startup: the span of the next draw doubles each time.
    let mut waits = Vec::new();
    for seed in 0..200 {
        let mut b = Harness::new(Config { seed, ..config(1) });
        b.ask(Idempotency::Idempotent, 60_000);
        let mut total = Duration::ZERO;
        for _ in 0..3 {
            let conn = *b.conns.keys().next().unwrap();
            b.core.handle_connected(b.now, conn);
            b.core.handle_received(b.now, conn, &error("FATAL", "53300", None));
            b.act(true);
            let from = b.now;
            while b.conns.is_empty() {
                b.pass(5);
            }
            total = b.now - from;
        }
        waits.push(total);
    }
    waits.sort();
    assert!(waits[100] > 2000 * MS && waits[199] < 16_000 * MS, "{:?} in the middle", waits[100]);
}

#[test]
fn reconnects_after_a_lost_connection_spread_over_the_slack() {
    let mut at = Vec::new();
    for seed in 0..400 {
        let mut b = Harness::new(Config { seed: seed * 7919, ..config(4) });
        let id = b.ask(Idempotency::Idempotent, 5000);
        let conn = b.up();
        b.hear(conn, &row(b"v"));
        assert!(b.end(id).is_some());
        b.core.handle_disconnected(b.now, conn, DisconnectReason::Other);
        b.conns.remove(&conn);
        let from = b.now;
        b.ask(Idempotency::Idempotent, 900);
        while b.conns.is_empty() {
            b.pass(1);
        }
        at.push(b.now - from);
    }
    at.sort();
    let within = |ms: u32| at.iter().filter(|t| **t < ms * MS).count();
    assert!(at[399] <= 451 * MS, "half of the slack: {:?}", at[399]);
    for n in 0..9 {
        let part = within((n + 1) * 50) - within(n * 50);
        assert!(part < 80, "{part} of 400 within 50 ms from {} ms", n * 50);
    }
}

#[test]
fn session_tokens_are_sent_along_and_replaced_by_each_response() {
    let session = Session::new("anne").unwrap();
    let mut b = Harness::new(Config { max_connections_per_router: 64, ..config(1) });
    let ask = |b: &mut Harness| {
        let request = Request::write("w", 1, "k", b"v").session(&session).deadline(b.now + 9000 * MS);
        b.core.submit(b.now, request);
        b.act(true);
    };
    let token = |t: &str| message(b'S', format!("session_token\0{t}\0").as_bytes());
    ask(&mut b);
    let conn = b.up();
    assert!(b.sent[0].2.contains(",session=anne") && !b.sent[0].2.contains("token"));
    // An early one, and the one of the answer, which covers it.
    b.hear(conn, &token("early"));
    assert_eq!(session.tokens(), ["early"]);
    b.hear(conn, &[token("t1"), row(b"v")].concat());
    assert_eq!(session.tokens(), ["t1"]);
    // Many at once: never more than eight out, and never more tokens to bring.
    for _ in 0..20 {
        ask(&mut b);
    }
    loop {
        let up: Vec<ConnectionId> = b.conns.keys().copied().collect();
        for conn in up {
            b.core.handle_connected(b.now, conn);
            if !b.sent.iter().any(|s| s.0 == conn) {
                b.hear(conn, READY);
            }
        }
        if b.sent.len() >= 9 {
            break;
        }
    }
    assert_eq!(b.sent.len(), 9, "eight of the twenty are out");
    let mut n = 0;
    while b.done.len() < 21 {
        let (conn, ..) = b.sent[1 + n];
        n += 1;
        b.hear(conn, &[token(&format!("x{n}")), row(b"v")].concat());
        assert!(session.tokens().len() <= 8, "{:?}", session.tokens());
        if n == 2 {
            assert_eq!(session.tokens(), ["x1", "x2"], "neither of them brought the other's");
        }
    }
    let again = Session::import(&session.export()).unwrap();
    assert_eq!((again.name(), again.tokens()), (session.name(), session.tokens()));
    let bytes = session.export();
    for cut in 1..bytes.len() {
        if let Ok(part) = Session::import(&bytes[..cut]) {
            assert!(part.tokens().len() < session.tokens().len(), "cut at a border of two texts");
        }
    }
    assert!(Session::import(b"").is_err() && Session::new("a,b").is_err());
}

#[test]
fn invalid_requests_are_completed_without_being_sent() {
    let mut b = Harness::new(config(1));
    let wrong = [
        Request::read("a,b", 1, "k"),
        Request::read("", 1, "k"),
        Request::read("a */ b", 1, "k"),
        Request::read("a", 1, "k\0"),
        Request::read("a", 1, "k").tenant("x=y"),
        Request::write("a", 1, "k", &[0; 70_000]),
    ];
    for request in wrong {
        let id = b.core.submit(b.now, request);
        b.act(true);
        assert!(matches!(b.end(id), Some(RequestOutcome::Invalid(_))));
    }
    assert!(b.conns.is_empty() && b.core.books() == (0, 0, 0));
    // A quote in a key stays inside its literal; what a host can't use is invalid, and not tried again.
    let id = b.core.submit(b.now, Request::read("a", 1, "o'x' /* id=7 */").deadline(b.now + 900 * MS));
    let conn = b.up();
    assert!(b.sent[0].2.starts_with("SELECT v FROM records WHERE k = 'o''x'' /* id=7 */' /* id="));
    b.hear(conn, &error("ERROR", "22023", None));
    assert!(matches!(b.end(id), Some(RequestOutcome::Invalid(i)) if i.code == "22023"));
}

// ---- A world of routers that do whatever they like ----

enum Event {
    Up(ConnectionId),
    Lost(ConnectionId, DisconnectReason),
    Bytes(ConnectionId, Vec<u8>),
    Wrote(ConnectionId, usize, Vec<u8>),
}

#[derive(Default)]
struct Seen {
    idempotency: Option<Idempotency>,
    deadline: Option<Instant>,
    /// When each try was written whole, and whether it is proved not to have run.
    whole: Vec<(Instant, bool)>,
    /// Not before this, by the last refusal.
    not_before: Option<Instant>,
    gone: bool,
}

struct World {
    core: Core,
    now: Instant,
    rng: fastrand::Rng,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    open: BTreeSet<ConnectionId>,
    seen: BTreeMap<String, Seen>,
    by_id: BTreeMap<RequestId, String>,
    ids: BTreeSet<String>,
    firsts: u64,
    further: u64,
    done: u64,
}

impl World {
    fn later(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events
            .insert((self.now + Duration::from_micros(ms * 1000 + self.count % 997), self.count), event);
    }

    fn act(&mut self) {
        while let Some(action) = self.core.poll_action() {
            match action {
                Action::Connect(id, _) => {
                    self.open.insert(id);
                    match self.rng.u64(..10) {
                        0 => self.later(1, Event::Lost(id, DisconnectReason::NotListening)),
                        1 => {} // never comes up
                        _ => {
                            let ms = self.rng.u64(..5);
                            self.later(ms, Event::Up(id));
                        }
                    }
                }
                Action::Write(id, bytes, None) => {
                    let said = match self.rng.u64(..12) {
                        0 => error("FATAL", "53300", None),
                        1 => b"what?".to_vec(),
                        2 => return self.later(3, Event::Lost(id, DisconnectReason::Other)),
                        _ => READY.to_vec(),
                    };
                    assert_eq!(usize::from(bytes[3]), bytes.len(), "the startup");
                    self.later(1, Event::Bytes(id, said));
                }
                Action::Write(id, bytes, Some(until)) => {
                    assert!(self.now < until);
                    let text = String::from_utf8_lossy(&bytes);
                    let left = text.split(",d=").nth(1).and_then(|t| t.split(',').next()).unwrap();
                    assert!(left.parse::<u128>().unwrap() <= (until - self.now).as_millis(), "{text}");
                    let some = self.rng.u64(..bytes.len() as u64 * 2) as usize;
                    let (first, rest) = bytes.split_at(some.min(bytes.len()));
                    let rest_len = rest.len();
                    self.core.handle_written(id, first.len());
                    if rest_len == 0 {
                        self.came(id, &bytes);
                    } else if self.rng.u64(..3) > 0 {
                        let ms = self.rng.u64(..30);
                        self.later(ms, Event::Wrote(id, rest_len, bytes));
                    } else {
                        let ms = self.rng.u64(..400);
                        self.later(ms, Event::Lost(id, DisconnectReason::Other));
                    }
                }
                Action::Close(id) => assert!(self.open.remove(&id), "closed once"),
                Action::Done(id, report) => {
                    self.done += 1;
                    let key = &self.by_id[&id];
                    let seen = self.seen.get_mut(key).unwrap();
                    assert!(!seen.gone, "{key}: an end after it was given up, or a second one");
                    seen.gone = true;
                    assert!(self.now <= seen.deadline.unwrap(), "{key}: told late");
                    let doubt = seen.whole.iter().any(|w| !w.1);
                    match &report.outcome {
                        RequestOutcome::Served(value) => {
                            assert_eq!(value.as_deref(), Some(key.as_bytes()), "its own answer")
                        }
                        RequestOutcome::Rejected(_) => {
                            assert!(!doubt || seen.idempotency == Some(Idempotency::Idempotent), "{key}")
                        }
                        RequestOutcome::DeadlineExceeded | RequestOutcome::Failed => {
                            assert!(!doubt || seen.idempotency == Some(Idempotency::Idempotent), "{key}")
                        }
                        // What a router has refused may not have been heard of: it has had the statement,
                        // though.
                        RequestOutcome::MayHaveRun => {
                            assert!(
                                !seen.whole.is_empty() && seen.idempotency != Some(Idempotency::Idempotent),
                                "{key}"
                            );
                        }
                        other => panic!("{key}: {other:?}"),
                    }
                }
            }
        }
    }

    /// A statement has come whole at a router.
    fn came(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let key = text.split('\'').nth(1).unwrap().to_string();
        let id = text.split("id=").nth(1).unwrap()[..16].to_string();
        assert!(self.ids.insert(id), "each try has an id of its own");
        let seen = self.seen.get_mut(&key).unwrap();
        assert!(!seen.gone, "{key}: written after its end");
        assert!(self.now < seen.deadline.unwrap(), "{key}: its last byte came after its deadline");
        assert!(seen.not_before.is_none_or(|at| self.now >= at), "{key}: sooner than it was told");
        let first = seen.whole.is_empty();
        (self.firsts, self.further) = (self.firsts + u64::from(first), self.further + u64::from(!first));
        if let Some((since, _)) = seen.whole.iter().find(|w| !w.1) {
            match seen.idempotency.unwrap() {
                Idempotency::NonIdempotent => panic!("{key}: run twice, for all one knows"),
                Idempotency::Keyed(window) => assert!(self.now < *since + window, "{key}: past its window"),
                Idempotency::Idempotent => {}
            }
        }
        let now = self.now;
        let (answer, unrun, wait) = match self.rng.u64(..14) {
            0 => (error("ERROR", "53300", Some("40")), true, 40),
            1 => (error("ERROR", "53300", None), true, 0),
            2 => (error("ERROR", "57P03", Some("3000")), true, 3000),
            3 => (error("ERROR", "58000", None), false, 0),
            4 => (error("FATAL", "57P01", None), true, 0),
            5 => (row(key.as_bytes())[..15].to_vec(), false, 0),
            6 => (b"X????????".to_vec(), false, 0),
            7 => (Vec::new(), false, 0),
            _ => (row(key.as_bytes()), false, 0),
        };
        let broken = self.rng.u64(..8) == 0;
        let delay = self.rng.u64(..40);
        let seen = self.seen.get_mut(&key).unwrap();
        // What the client has heard by then proves it; until then it may run.
        seen.whole.push((now, unrun && !broken));
        if wait > 0 && !broken {
            seen.not_before = Some(now + Duration::from_millis(wait));
        }
        if broken {
            return self.later(delay, Event::Lost(conn, DisconnectReason::Other));
        }
        // In pieces, as networks do.
        let cut = self.rng.u64(..answer.len() as u64 + 1) as usize;
        self.later(delay, Event::Bytes(conn, answer[..cut].to_vec()));
        self.later(delay + 1, Event::Bytes(conn, answer[cut..].to_vec()));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Up(id) => self.core.handle_connected(self.now, id),
            Event::Lost(id, how) if self.open.remove(&id) => self.core.handle_disconnected(self.now, id, how),
            Event::Bytes(id, bytes) if self.open.contains(&id) => {
                self.core.handle_received(self.now, id, &bytes)
            }
            Event::Wrote(id, n, bytes) if self.open.contains(&id) => {
                // The driver asks the time before it writes.
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let key = text.split('\'').nth(1).unwrap();
                if self.now < self.seen[key].deadline.unwrap() {
                    self.core.handle_written(id, n);
                    self.came(id, &bytes);
                }
            }
            _ => {}
        }
    }
}

fn play(seed: u64) -> (u64, u64) {
    let config = Config {
        seed,
        max_connections_per_router: 3,
        idle_timeout: 300 * MS,
        connection_lifetime: 700 * MS,
        ..config(3)
    };
    let mut w = World {
        core: Core::new(config),
        now: Instant::now(),
        rng: fastrand::Rng::with_seed(seed),
        events: BTreeMap::new(),
        count: 0,
        open: BTreeSet::new(),
        seen: BTreeMap::new(),
        by_id: BTreeMap::new(),
        ids: BTreeSet::new(),
        firsts: 0,
        further: 0,
        done: 0,
    };
    let end = w.now + 4000 * MS;
    let mut ask_at = w.now;
    let (mut asked, mut dropped) = (0u64, 0);
    loop {
        let event = w.events.keys().next().map(|k| k.0);
        let asks = (ask_at < end).then_some(ask_at);
        let next = [event, asks, w.core.next_timeout()].into_iter().flatten().min();
        let Some(next) = next else { break };
        // Now and then the clock stands still for a while.
        let stands = if w.rng.u64(..400) == 0 { w.rng.u64(..1000) } else { 0 };
        let came = w.now.max(next);
        if stands > 0 {
            // What is due meanwhile is due at once afterwards; ends may be told late by then.
            let until = came + Duration::from_millis(stands);
            w.seen
                .values_mut()
                .filter(|s| !s.gone)
                .for_each(|s| s.deadline = s.deadline.map(|d| d.max(until)));
            w.now = until;
            // A deadline that has passed meanwhile is told before anything else.
            w.core.handle_timeout(w.now);
            w.act();
            continue;
        }
        w.now = came;
        if asks == Some(next) {
            let key = format!("k{asked}");
            let idempotency =
                [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed(200 * MS)]
                    [w.rng.u64(..3) as usize];
            let deadline = w.now + Duration::from_millis(w.rng.u64(..900));
            let priority = [Priority::Low, Priority::Normal, Priority::High][w.rng.u64(..3) as usize];
            w.seen.insert(
                key.clone(),
                Seen { idempotency: Some(idempotency), deadline: Some(deadline), ..Seen::default() },
            );
            let request =
                Request::read("c", 1, &key).idempotency(idempotency).priority(priority).deadline(deadline);
            asked += 1;
            let id = w.core.submit(w.now, request);
            w.by_id.insert(id, key);
            w.act();
            ask_at += Duration::from_millis(w.rng.u64(..30));
            if w.rng.u64(..12) == 0 {
                let of = *w.by_id.keys().nth(w.rng.u64(..w.by_id.len() as u64) as usize).unwrap();
                let seen = w.seen.get_mut(&w.by_id[&of]).unwrap();
                if !std::mem::replace(&mut seen.gone, true) {
                    dropped += 1;
                }
                w.core.cancel(w.now, of);
            }
        } else if w.events.keys().next().is_some_and(|k| k.0 == next) {
            let (_, event) = w.events.pop_first().unwrap();
            w.event(event);
        } else {
            w.core.handle_timeout(w.now);
        }
        w.act();
        // Time that stands still at a due time is a loop that never ends.
        assert!(
            w.core.next_timeout().is_none_or(|due| due > w.now || w.core.next_timeout() > Some(w.now)),
            "seed {seed}"
        );
    }
    assert_eq!(w.done + dropped, asked, "seed {seed}: every request has ended");
    assert_eq!(w.core.books(), (0, 0, 0), "seed {seed}: nothing is left on the books");
    assert!(w.open.is_empty(), "seed {seed}: connections are open still");
    (w.firsts, w.further)
}

#[test]
fn core_keeps_its_invariants_whatever_routers_do() {
    let (mut firsts, mut further) = (0, 0);
    for seed in 0..300 {
        let played = play(seed);
        (firsts, further) = (firsts + played.0, further + played.1);
        assert!(played.1 as f64 <= 0.1 * (played.0 as f64 + 300.0) + 10.0, "seed {seed}: {played:?}");
    }
    assert!(firsts > 10_000 && further > 1000, "{firsts} first tries, {further} more");
}
