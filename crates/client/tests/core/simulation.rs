//! Simulations in which routers, connections and callers behave randomly, and in which the core's invariants
//! are checked.

use crate::harness::{config, MS};
use crate::messages::{error, fatal_error, row, READY_FOR_QUERY};
use basalthill_client::core::{Action, ConnectionId, Core, DisconnectReason, RequestId, TableSizes};
use basalthill_client::{Config, Idempotency, Priority, Request, RequestOutcome, RequestReport};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of simulations, each with a different seed.
const SIMULATIONS: u64 = 300;
/// Time span in which each simulation submits requests.
const SUBMISSION_TIME: Duration = Duration::from_secs(4);

/// An event that the simulation schedules for the core.
enum Event {
    Connected(ConnectionId),
    Disconnected(ConnectionId, DisconnectReason),
    Received(ConnectionId, Vec<u8>),
    /// The remaining bytes of a statement, `written` in number, were handed to the operating system.
    Written {
        connection: ConnectionId,
        written: usize,
        statement: Vec<u8>,
    },
}

/// The time of an event, with a number that orders events of the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventTime {
    at: Instant,
    number: u64,
}

/// A statement that a router has received completely.
struct ReceivedAttempt {
    at: Instant,
    /// Whether the client receives a response that proves that the statement has not run.
    is_proved_not_run: bool,
}

/// The simulation's record of a request.
struct SimulatedRequest {
    idempotency: Idempotency,
    /// The deadline. If the clock is paused past it, it is moved to the end of the pause.
    deadline: Instant,
    received: Vec<ReceivedAttempt>,
    /// The end of the latest Retry-After time, before which no retry is allowed.
    not_before: Option<Instant>,
    /// Whether the request was completed or cancelled.
    has_ended: bool,
}

impl SimulatedRequest {
    /// Returns the first attempt that the client must assume may have run.
    fn first_uncertain(&self) -> Option<&ReceivedAttempt> {
        self.received.iter().find(|attempt| !attempt.is_proved_not_run)
    }
}

/// A router's response to a statement.
struct SimulatedResponse {
    bytes: Vec<u8>,
    proves_not_run: bool,
    retry_after: Option<Duration>,
}

/// Numbers of first attempts and of retries in one or more simulations.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    first: u64,
    retries: u64,
}

struct Simulation {
    core: Core,
    now: Instant,
    rng: fastrand::Rng,
    events: BTreeMap<EventTime, Event>,
    event_count: u64,
    /// Connections that are being opened or are open.
    open: BTreeSet<ConnectionId>,
    /// All requests by key; each request has a unique key.
    requests: BTreeMap<String, SimulatedRequest>,
    keys: BTreeMap<RequestId, String>,
    attempt_ids: BTreeSet<String>,
    counts: AttemptCounts,
    completed: u64,
    cancelled: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let config = Config {
            seed,
            max_connections_per_router: 3,
            idle_timeout: 300 * MS,
            connection_lifetime: 700 * MS,
            ..config(3)
        };
        Simulation {
            core: Core::new(config),
            now: Instant::now(),
            rng: fastrand::Rng::with_seed(seed),
            events: BTreeMap::new(),
            event_count: 0,
            open: BTreeSet::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            attempt_ids: BTreeSet::new(),
            counts: AttemptCounts::default(),
            completed: 0,
            cancelled: 0,
        }
    }

    /// Runs until neither events nor timeouts are left. Checks that every request has ended and that the
    /// core's tables are empty.
    fn run(mut self, seed: u64) -> AttemptCounts {
        let end = self.now + SUBMISSION_TIME;
        let mut submit_at = self.now;
        loop {
            let submission = Some(submit_at).filter(|at| *at < end);
            let next_event = self.events.keys().next().map(|time| time.at);
            let next = [next_event, submission, self.core.next_timeout()].into_iter().flatten().min();
            let Some(next) = next else { break };
            if self.rng.u64(..400) == 0 {
                self.pause_clock(next);
                continue;
            }
            self.now = self.now.max(next);
            if submission == Some(next) {
                self.submit();
                submit_at += Duration::from_millis(self.rng.u64(..30));
                if self.rng.u64(..12) == 0 {
                    self.cancel_random_request();
                }
            } else if next_event == Some(next) {
                let (_, event) = self.events.pop_first().expect("no event is scheduled");
                self.handle(event);
            } else {
                self.core.handle_timeout(self.now);
            }
            self.perform_actions();
            let is_stuck = self.core.next_timeout().is_some_and(|due| due <= self.now);
            assert!(!is_stuck, "seed {seed}: a due timeout was not handled");
        }
        let submitted = self.keys.len() as u64;
        assert_eq!(
            self.completed + self.cancelled,
            submitted,
            "seed {seed}: some submitted requests were neither completed nor cancelled"
        );
        assert_eq!(
            self.core.table_sizes(),
            TableSizes::default(),
            "seed {seed}: the core's tables are not empty"
        );
        assert!(self.open.is_empty(), "seed {seed}: connections are still open");
        self.counts
    }

    /// Simulates that the process is paused for up to one second: events and timeouts that are due during the
    /// pause are handled after it, and requests whose deadline is in the pause may be completed at its end.
    fn pause_clock(&mut self, next: Instant) {
        self.now = self.now.max(next) + Duration::from_millis(self.rng.u64(..1000));
        for request in self.requests.values_mut().filter(|request| !request.has_ended) {
            request.deadline = request.deadline.max(self.now);
        }
        self.core.handle_timeout(self.now);
        self.perform_actions();
    }

    fn submit(&mut self) {
        let key = format!("k{}", self.keys.len());
        let idempotencies =
            [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed(200 * MS)];
        let idempotency = idempotencies[self.rng.usize(..3)];
        let deadline = self.now + Duration::from_millis(self.rng.u64(..900));
        let priority = [Priority::Low, Priority::Normal, Priority::High][self.rng.usize(..3)];
        let simulated = SimulatedRequest {
            idempotency,
            deadline,
            received: Vec::new(),
            not_before: None,
            has_ended: false,
        };
        self.requests.insert(key.clone(), simulated);
        let request = Request::read("c", 1, &key).idempotency(idempotency).priority(priority);
        let id = self.core.submit(self.now, request.deadline(deadline));
        self.keys.insert(id, key);
        self.perform_actions();
    }

    /// Cancels a random request, which may have ended already.
    fn cancel_random_request(&mut self) {
        let index = self.rng.usize(..self.keys.len());
        let (id, key) = self.keys.iter().nth(index).expect("no request at the index");
        let request = self.requests.get_mut(key).expect("unknown request");
        if !request.has_ended {
            request.has_ended = true;
            self.cancelled += 1;
        }
        self.core.cancel(self.now, *id);
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        // Adds less than a millisecond, so that events with the same delay have different times.
        let delay = Duration::from_micros(delay_ms * 1000 + self.event_count % 997);
        self.events.insert(EventTime { at: self.now + delay, number: self.event_count }, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Connected(id) => self.core.handle_connected(self.now, id),
            Event::Disconnected(id, reason) => {
                if self.open.remove(&id) {
                    self.core.handle_disconnected(self.now, id, reason);
                }
            }
            Event::Received(id, bytes) => {
                if self.open.contains(&id) {
                    self.core.handle_received(self.now, id, &bytes);
                }
            }
            Event::Written { connection, written, statement } => {
                // Like the driver, the simulation writes nothing once the deadline has passed.
                let deadline = self.requests[&key_of(&statement)].deadline;
                if self.open.contains(&connection) && self.now < deadline {
                    self.core.handle_written(connection, written);
                    self.receive_statement(connection, &statement);
                }
            }
        }
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.core.poll_action() {
            match action {
                Action::Connect { connection, .. } => self.connect(connection),
                Action::Write { connection, bytes, deadline: None } => {
                    self.receive_startup(connection, &bytes);
                }
                Action::Write { connection, bytes, deadline: Some(deadline) } => {
                    self.write_statement(connection, bytes, deadline);
                }
                Action::Close { connection } => {
                    assert!(self.open.remove(&connection), "the core closed a connection that is not open");
                }
                Action::Complete { request, report } => self.complete(request, &report),
            }
        }
    }

    fn connect(&mut self, connection: ConnectionId) {
        self.open.insert(connection);
        match self.rng.u64(..10) {
            0 => self.schedule(1, Event::Disconnected(connection, DisconnectReason::NotListening)),
            // The connect never completes.
            1 => {}
            _ => {
                let delay_ms = self.rng.u64(..5);
                self.schedule(delay_ms, Event::Connected(connection));
            }
        }
    }

    fn receive_startup(&mut self, connection: ConnectionId, bytes: &[u8]) {
        assert_eq!(
            usize::from(bytes[3]),
            bytes.len(),
            "the startup message must have the length in its length field"
        );
        let response = match self.rng.u64(..12) {
            0 => fatal_error("53300", None),
            1 => b"what?".to_vec(),
            2 => return self.schedule(3, Event::Disconnected(connection, DisconnectReason::Other)),
            _ => READY_FOR_QUERY.to_vec(),
        };
        self.schedule(1, Event::Received(connection, response));
    }

    /// Simulates the write of a statement: the operating system accepts all bytes immediately, or only a
    /// part of them. It accepts the rest later, or never because the connection is lost.
    fn write_statement(&mut self, connection: ConnectionId, statement: Vec<u8>, deadline: Instant) {
        assert!(self.now < deadline, "a statement was written at or after its deadline");
        let text = String::from_utf8_lossy(&statement);
        let remaining = text.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
        assert!(remaining.parse::<u128>().unwrap() <= (deadline - self.now).as_millis(), "{text}");
        let written_at_once = self.rng.usize(..statement.len() * 2).min(statement.len());
        let rest = statement.len() - written_at_once;
        self.core.handle_written(connection, written_at_once);
        if rest == 0 {
            self.receive_statement(connection, &statement);
        } else if self.rng.u64(..3) > 0 {
            let delay_ms = self.rng.u64(..30);
            self.schedule(delay_ms, Event::Written { connection, written: rest, statement });
        } else {
            let delay_ms = self.rng.u64(..400);
            self.schedule(delay_ms, Event::Disconnected(connection, DisconnectReason::Other));
        }
    }

    /// Simulates a router that receives a complete statement.
    fn receive_statement(&mut self, connection: ConnectionId, statement: &[u8]) {
        let text = String::from_utf8_lossy(statement);
        let key = key_of(statement);
        let attempt_id = text.split("id=").nth(1).unwrap()[..16].to_string();
        assert!(self.attempt_ids.insert(attempt_id), "two attempts have the same id");
        self.check_attempt(&key);
        if self.requests[&key].received.is_empty() {
            self.counts.first += 1;
        } else {
            self.counts.retries += 1;
        }
        let response = self.draw_response(&key);
        let is_lost = self.rng.u64(..8) == 0;
        let delay_ms = self.rng.u64(..40);
        let request = self.requests.get_mut(&key).expect("unknown request");
        // A lost response proves nothing to the client.
        let is_proved_not_run = response.proves_not_run && !is_lost;
        request.received.push(ReceivedAttempt { at: self.now, is_proved_not_run });
        if is_lost {
            return self.schedule(delay_ms, Event::Disconnected(connection, DisconnectReason::Other));
        }
        if let Some(retry_after) = response.retry_after {
            request.not_before = Some(self.now + retry_after);
        }
        // The response is received in two parts, split at a random byte.
        let split = self.rng.usize(..=response.bytes.len());
        let (start, rest) = response.bytes.split_at(split);
        self.schedule(delay_ms, Event::Received(connection, start.to_vec()));
        self.schedule(delay_ms + 1, Event::Received(connection, rest.to_vec()));
    }

    /// Checks that a router may receive a complete statement of this request now.
    fn check_attempt(&self, key: &str) {
        let request = &self.requests[key];
        assert!(!request.has_ended, "{key}: written after the request has ended");
        assert!(self.now < request.deadline, "{key}: the last byte was written at or after the deadline");
        let is_early = request.not_before.is_some_and(|not_before| self.now < not_before);
        assert!(!is_early, "{key}: retried before the Retry-After time has passed");
        let Some(uncertain) = request.first_uncertain() else { return };
        match request.idempotency {
            Idempotency::NonIdempotent => panic!("{key}: a non-idempotent request may run twice"),
            Idempotency::Keyed(window) => {
                assert!(
                    self.now < uncertain.at + window,
                    "{key}: retried after the window of the idempotency key"
                );
            }
            Idempotency::Idempotent => {}
        }
    }

    fn draw_response(&mut self, key: &str) -> SimulatedResponse {
        let rejection = |bytes, retry_after_ms: Option<u64>| SimulatedResponse {
            bytes,
            proves_not_run: true,
            retry_after: retry_after_ms.map(Duration::from_millis),
        };
        let no_proof = |bytes| SimulatedResponse { bytes, proves_not_run: false, retry_after: None };
        match self.rng.u64(..14) {
            0 => rejection(error("53300", Some("40")), Some(40)),
            1 => rejection(error("53300", None), None),
            2 => rejection(error("57P03", Some("3000")), Some(3000)),
            3 => no_proof(error("58000", None)),
            4 => rejection(fatal_error("57P01", None), None),
            5 => no_proof(row(key.as_bytes())[..15].to_vec()),
            6 => no_proof(b"X????????".to_vec()),
            7 => no_proof(Vec::new()),
            _ => no_proof(row(key.as_bytes())),
        }
    }

    /// Checks that a request is completed once, by its deadline, and with an outcome that agrees with the
    /// statements that routers have received.
    fn complete(&mut self, id: RequestId, report: &RequestReport) {
        self.completed += 1;
        let key = &self.keys[&id];
        let request = self.requests.get_mut(key).expect("unknown request");
        assert!(!request.has_ended, "{key}: completed twice or after it was cancelled");
        request.has_ended = true;
        assert!(self.now <= request.deadline, "{key}: completed after the deadline");
        let is_idempotent = request.idempotency == Idempotency::Idempotent;
        match &report.outcome {
            RequestOutcome::Served(value) => {
                assert_eq!(
                    value.as_deref(),
                    Some(key.as_bytes()),
                    "{key}: the value is not that of the request's key"
                );
            }
            RequestOutcome::Rejected(_) | RequestOutcome::DeadlineExceeded | RequestOutcome::Failed => {
                assert!(is_idempotent || request.first_uncertain().is_none(), "{key}: {report:?}");
            }
            // The core may not have received a rejection before the deadline, so every attempt may have been
            // rejected; but a router must have received a statement.
            RequestOutcome::MayHaveRun => {
                assert!(!is_idempotent && !request.received.is_empty(), "{key}: {report:?}");
            }
            RequestOutcome::Invalid(_) | RequestOutcome::Stopped => panic!("{key}: {report:?}"),
        }
    }
}

/// Returns the key in a statement.
fn key_of(statement: &[u8]) -> String {
    let text = String::from_utf8_lossy(statement);
    text.split('\'').nth(1).expect("the statement has no key").to_string()
}

#[test]
fn core_keeps_its_invariants_with_randomly_failing_routers() {
    let mut total = AttemptCounts::default();
    for seed in 0..SIMULATIONS {
        let counts = Simulation::new(seed).run(seed);
        let budget = 0.1 * (counts.first as f64 + 300.0) + 10.0;
        assert!(
            counts.retries as f64 <= budget,
            "seed {seed}: {counts:?} exceed a budget of {budget} retries"
        );
        total.first += counts.first;
        total.retries += counts.retries;
    }
    assert!(total.first > 10_000 && total.retries > 1000, "too few attempts to check invariants: {total:?}");
}
