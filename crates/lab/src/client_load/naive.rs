//! Clients as small teams write them: one connection, one request at a time, and retries without a pause.

use super::{ClientKind, ClientRecord, EndedRequest, NextRequest, RequestSchedule, RunningLoad};
use basalthill_standin::client::{Client, Reply};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Attempts of a naive client for a request.
const NAIVE_ATTEMPTS: usize = 4;
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection is not looked at in so short a time before the next request.
const SHORTEST_LOOK: Duration = Duration::from_millis(1);

/// Runs one client until the load is over.
pub fn run(running: &RunningLoad<'_>, number: usize) {
    let router = number % running.routers.len();
    let record = ClientRecord::default();
    let mut client = NaiveClient { running, number, router, connection: None, record };
    let mut schedule = RequestSchedule::new(running.load, number, Instant::now());
    while schedule.next_at < running.until {
        client.rest_until(schedule.next_at);
        let deadline = Instant::now() + running.load.timeout;
        let request = schedule.next_request(running.zero, deadline);
        schedule.advance();
        let served = client.request(&request, deadline);
        client.record.ended.push(EndedRequest { at: Instant::now(), served });
    }
    running.add(client.record);
}

struct NaiveClient<'a> {
    running: &'a RunningLoad<'a>,
    number: usize,
    /// The router that it uses now.
    router: usize,
    connection: Option<Client>,
    record: ClientRecord,
}

impl NaiveClient<'_> {
    /// Waits until a moment. A connection that ends meanwhile is opened anew at once, at the next router, as
    /// connection pools with a least size do.
    fn rest_until(&mut self, until: Instant) {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let connection = self.connection.as_ref().filter(|_| left > SHORTEST_LOOK);
            let Some(connection) = connection else { return std::thread::sleep(left) };
            if ends_within(connection, left) {
                self.use_next_router();
                self.connect();
            }
        }
    }

    fn use_next_router(&mut self) {
        self.router = (self.router + 1) % self.running.routers.len();
    }

    fn connect(&mut self) {
        self.record.connects.push(Instant::now());
        self.connection = Client::connect(self.running.routers[self.router]).ok();
    }

    /// Sends a request, again where its kind of client does that. Whether it was served in time.
    fn request(&mut self, request: &NextRequest, deadline: Instant) -> bool {
        let max_attempts = if self.running.load.kind == ClientKind::Naive { NAIVE_ATTEMPTS } else { 1 };
        for _ in 0..max_attempts {
            if self.connection.is_none() {
                self.connect();
            }
            self.record.attempts += 1;
            let text = self.statement(request);
            match self.connection.as_mut().and_then(|c| c.query(&text).ok()) {
                Some(Reply::Row(_)) => return Instant::now() <= deadline,
                Some(_) => {}
                None => {
                    self.connection = None;
                    self.use_next_router();
                }
            }
        }
        false
    }

    /// A statement with an id of its own for each attempt.
    fn statement(&self, request: &NextRequest) -> String {
        let NextRequest { key, is_write } = request;
        let (operation, class) = match is_write {
            true => (format!("INSERT INTO records (k, v) VALUES ('{key}', '1') RETURNING v"), "write"),
            false => (format!("SELECT v FROM records WHERE k = '{key}'"), "view"),
        };
        let id = format!("{:06x}{:010x}", self.number, self.record.attempts);
        let timeout_ms = self.running.load.timeout.as_millis();
        format!("{operation} /* id={id},c={class},t=acme,d={timeout_ms},cluster=2 */")
    }
}

/// Whether a connection on which nothing is expected ends within a span of time.
fn ends_within(connection: &Client, span: Duration) -> bool {
    let _ = connection.stream.set_read_timeout(Some(span));
    let ends = match connection.stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    };
    let _ = connection.stream.set_read_timeout(Some(ANSWER_TIMEOUT));
    ends
}
