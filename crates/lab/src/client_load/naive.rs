//! Clients as small teams write them: one connection, one request at a time, and retries without a pause.

use super::{ClientKind, ClientRecord, CompletedRequest, LoadRun, NextRequest, RequestSchedule};
use basalthill_standin::client::{Client, Reply};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Attempts of a naive client for a request.
const NAIVE_ATTEMPTS: usize = 4;
/// How long a client waits for an answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection is not looked at in so short a time before the next request.
const MIN_PEEK_TIMEOUT: Duration = Duration::from_millis(1);

/// Runs one client until the load is over.
pub fn run(load_run: &LoadRun<'_>, client_index: usize) {
    let router = client_index % load_run.routers.len();
    let record = ClientRecord::default();
    let mut client = NaiveClient { load_run, client_index, router, connection: None, record };
    let mut schedule = RequestSchedule::new(load_run.load, client_index, Instant::now());
    while schedule.next_at < load_run.end {
        client.wait_until(schedule.next_at);
        let deadline = Instant::now() + load_run.load.timeout;
        let request = schedule.next_request(load_run.epoch, deadline);
        schedule.advance();
        let served = client.request(&request, deadline);
        client.record.completed.push(CompletedRequest { at: Instant::now(), served });
    }
    load_run.add(client.record);
}

struct NaiveClient<'a> {
    load_run: &'a LoadRun<'a>,
    client_index: usize,
    /// The router that it uses now.
    router: usize,
    connection: Option<Client>,
    record: ClientRecord,
}

impl NaiveClient<'_> {
    /// Waits until a moment. A connection that ends meanwhile is opened anew at once, at the next router, as
    /// connection pools with a least size do.
    fn wait_until(&mut self, until: Instant) {
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let connection = self.connection.as_ref().filter(|_| remaining > MIN_PEEK_TIMEOUT);
            let Some(connection) = connection else { return std::thread::sleep(remaining) };
            if closes_within(connection, remaining) {
                self.use_next_router();
                self.connect();
            }
        }
    }

    fn use_next_router(&mut self) {
        self.router = (self.router + 1) % self.load_run.routers.len();
    }

    fn connect(&mut self) {
        self.record.connects.push(Instant::now());
        self.connection = Client::connect(self.load_run.routers[self.router]).ok();
    }

    /// Sends a request, again where its kind of client does that. Whether it was served in time.
    fn request(&mut self, request: &NextRequest, deadline: Instant) -> bool {
        let max_attempts = if self.load_run.load.kind == ClientKind::Naive { NAIVE_ATTEMPTS } else { 1 };
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
        let id = format!("{:06x}{:010x}", self.client_index, self.record.attempts);
        let timeout_ms = self.load_run.load.timeout.as_millis();
        format!("{operation} /* id={id},c={class},t=acme,d={timeout_ms},cluster=2 */")
    }
}

/// Whether a connection on which nothing is expected ends within a span of time.
fn closes_within(connection: &Client, span: Duration) -> bool {
    let _ = connection.stream.set_read_timeout(Some(span));
    let closed = match connection.stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    };
    let _ = connection.stream.set_read_timeout(Some(REPLY_TIMEOUT));
    closed
}
