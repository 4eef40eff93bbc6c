//! Naive clients, as applications without a client library have them: one connection, one request at a time,
//! and retries without backoff.

use super::{ClientKind, ClientRecord, CompletedRequest, LoadRun, NextRequest, RequestSchedule};
use basalthill_standin::client::{Client, Reply};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Maximum number of attempts of a naive client for one request: the first attempt and three retries.
const NAIVE_ATTEMPTS: usize = 4;
/// Time that a client waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// If the next request is due within this time, the client sleeps until then without watching its connection.
const MIN_PEEK_TIMEOUT: Duration = Duration::from_millis(1);

/// Runs one client until the end of the load.
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
    /// The index of the router that the client uses.
    router: usize,
    connection: Option<Client>,
    record: ClientRecord,
}

impl NaiveClient<'_> {
    /// Waits until a point in time. If the connection is closed during the wait, the client immediately
    /// connects to the next router, as a connection pool with a minimum size does.
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

    /// Sends a request, with retries if the client is of a kind that retries. Returns whether it was served
    /// before its deadline.
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

    /// Returns the statement of an attempt, with a request id that is unique to the attempt.
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

/// Returns whether an idle connection is closed within `span`. Returns early if it is, or if the connection
/// receives data.
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
