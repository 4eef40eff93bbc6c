//! One client's side of a connection, without I/O: bytes and answers go in; requests to be asked, and bytes
//! to be written, come out. Reading, asking and writing don't wait for each other, but within bounds.
//!
//! Each whole command gets exactly one answer, in the order of the commands. Reads behind reads are asked
//! side by side, a few at a time. A write waits until all before it is answered, and what stands behind it
//! waits for its answer: a session's commands take effect in their order.

use crate::protocol::client::{self, CancelKey, ClientCodec, ClientMessage};
use crate::protocol::statement::{Statement, Verb};
use crate::routing::{Answer, CommandId};
use basalthill_config::router::{LARGE_STATEMENT_LEN, MAX_CLIENT_FAULTS, MAX_CONCURRENT_READS};
use basalthill_policy::api::Time;
use basalthill_wire::READY_FOR_QUERY;
use std::collections::VecDeque;
use std::io::IoSlice;

/// Something to be done for a client.
#[derive(Debug)]
pub enum Step {
    /// Its next request is to be asked; the answer belongs to this command.
    Ask(CommandId, Box<Statement>, Time),
    /// What is open on the connection of this key is to be called off.
    Cancel(CancelKey),
    /// Something was answered here.
    Done,
}

/// What a command's answer is at.
#[derive(Debug)]
enum Reply {
    /// It has come.
    Ready(Vec<u8>),
    /// It is waited for.
    Asked(CommandId),
    /// An empty query, before the router is ready.
    Empty,
}

/// The next command, told apart and not asked yet.
#[derive(Debug)]
struct Next {
    statement: Box<Statement>,
    came: Time,
    bytes: usize,
}

/// The state of one client's connection.
#[derive(Debug)]
pub struct Conversation {
    key: CancelKey,
    side: ClientCodec,
    next: Option<Next>,
    /// Answers of the commands taken, in order, as far as they are not among `out`.
    replies: VecDeque<Reply>,
    /// Bytes of answers among `replies` that wait for one before them.
    ahead: usize,
    /// What is to be written, and how much of its first part has been.
    out: VecDeque<Vec<u8>>,
    unwritten: usize,
    written: usize,
    /// Commands that are asked: how many, and whether that is a write.
    asked: usize,
    writing: bool,
    count: u64,
    /// Commands running that were none of ours.
    faults: u32,
    /// Something of ours has been asked.
    used: bool,
    /// Since when it is not known whether the socket holds something unread.
    unread_since: Option<Time>,
    /// When the first byte came of the message that is not whole.
    begun: Option<Time>,
    paused: bool,
    /// So many bytes more are taken, and the rest of the message that has begun by then; nothing behind it.
    last_call: Option<usize>,
    /// Nothing behind what has come whole is taken: its client is told so in that place.
    cut: Option<(&'static str, &'static str)>,
    /// Nothing more is taken; it ends once all answers are written.
    ending: bool,
    /// What its client was told at the end, if that was its own doing.
    dismissed: Option<String>,
}

impl Conversation {
    /// A connection whose socket may hold something since a time.
    pub fn new(key: CancelKey, since: Time) -> Conversation {
        Conversation {
            key,
            side: ClientCodec::default(),
            next: None,
            replies: VecDeque::new(),
            ahead: 0,
            out: VecDeque::new(),
            unwritten: 0,
            written: 0,
            asked: 0,
            writing: false,
            count: 0,
            faults: 0,
            used: false,
            unread_since: Some(since),
            begun: None,
            paused: false,
            last_call: None,
            cut: None,
            ending: false,
            dismissed: None,
        }
    }

    // ---- Reading ----

    /// Takes in bytes that were read now; `drained` if they were all that the socket held.
    pub fn read(&mut self, bytes: &[u8], drained: bool, now: Time) {
        let came = self.unread_since.unwrap_or(now);
        if drained {
            self.unread_since = None;
        }
        if self.ending || self.cut.is_some() {
            return;
        }
        let before = self.side.partial_bytes();
        let fed = match self.last_call {
            None => {
                self.side.feed(bytes, came);
                bytes.len()
            }
            Some(left) => {
                let (now, later) = bytes.split_at(left.min(bytes.len()));
                self.side.feed(now, came);
                self.last_call = Some(if drained { 0 } else { left - now.len() });
                now.len() + self.side.finish_message(later, came)
            }
        };
        let partial = self.side.partial_bytes();
        self.begun = match (partial, self.begun) {
            (0, _) => None,
            // The message goes on.
            (_, Some(begun)) if partial == before + fed => Some(begun),
            _ => Some(now),
        };
    }

    /// The socket was found empty.
    pub fn drained(&mut self) {
        self.unread_since = None;
        self.last_call = self.last_call.map(|_| 0);
    }

    /// Nothing is read from now on, up to [`Conversation::resume`]: what comes may wait unread.
    pub fn pause(&mut self, now: Time) {
        self.unread_since = self.unread_since.or(Some(now));
        self.paused = true;
    }

    /// Reading goes on: time in which nothing was read is not its client's.
    pub fn resume(&mut self, now: Time) {
        if std::mem::take(&mut self.paused) {
            self.begun = self.begun.map(|_| now);
        }
    }

    /// Whether more may be read: so much may wait here for its turn, and no more.
    pub fn takes(&self) -> bool {
        let open = !self.ending
            && self.cut.is_none()
            && self.last_call.is_none_or(|left| left > 0 || self.side.partial_bytes() > 0);
        open && self.side.queued_bytes() + self.next.as_ref().map_or(0, |n| n.bytes) <= LARGE_STATEMENT_LEN
    }

    /// What comes from now on is not taken, but for what the socket holds, so many bytes, and the rest of a
    /// message that has begun.
    pub fn last_call(&mut self, unread: usize) {
        self.last_call = Some(unread);
    }

    /// Whether [`Conversation::last_call`] has been said.
    pub fn called(&self) -> bool {
        self.last_call.is_some()
    }

    /// Its client has had its time for a message; it is told behind the answers of all that came whole.
    pub fn late(&mut self) {
        self.cut = Some(("57P05", "no whole request has come in time"));
        self.begun = None;
    }

    /// Whether the message that is not whole needs a place among the large ones to be read on.
    pub fn large(&self) -> bool {
        self.side.partial_bytes() > LARGE_STATEMENT_LEN
    }

    /// Since when a message is not whole, if one is.
    pub fn begun(&self) -> Option<Time> {
        self.begun.filter(|_| !self.ending && !self.paused)
    }

    // ---- Asking ----

    /// The next thing that may be done now. `ready` tells whether the router is.
    pub fn step(&mut self, ready: bool) -> Option<Step> {
        if ready {
            for reply in self.replies.iter_mut().filter(|r| matches!(r, Reply::Empty)) {
                *reply = Reply::Ready(client::empty_query());
            }
            self.pass();
        }
        if self.ending || self.unwritten() > LARGE_STATEMENT_LEN || self.ahead > LARGE_STATEMENT_LEN {
            return None;
        }
        if self.next.is_none() {
            match self.side.next_message() {
                Ok(None) => {
                    let (code, message) = self.cut?;
                    self.close_with_error(code, message);
                    return Some(Step::Done);
                }
                Ok(Some((message, came))) => {
                    if let Some(step) = self.message(message, came, ready) {
                        return Some(step);
                    }
                }
                Err(e) => {
                    self.close_with_error("08P01", &e.to_string());
                    return Some(Step::Done);
                }
            }
        }
        let next = self.next.as_ref()?;
        let write = next.statement.verb == Verb::Insert;
        let room = match write {
            true => self.asked == 0,
            false => !self.writing && self.asked < MAX_CONCURRENT_READS,
        };
        if !room {
            return None;
        }
        let Next { statement, came, .. } = self.next.take()?;
        (self.asked, self.writing) = (self.asked + 1, write);
        let command = CommandId(self.count);
        self.count += 1;
        self.replies.push_back(Reply::Asked(command));
        Some(Step::Ask(command, statement, came))
    }

    /// Takes a message; none if it is a request, which waits for its turn.
    fn message(&mut self, message: ClientMessage, came: Time, ready: bool) -> Option<Step> {
        match message {
            ClientMessage::Encryption => self.reply(client::NO_ENCRYPTION.to_vec()),
            ClientMessage::CancelRequest(key) => {
                self.end();
                return Some(Step::Cancel(key));
            }
            ClientMessage::Terminate => self.end(),
            ClientMessage::Startup { newer } => self.reply(client::welcome(newer, self.key)),
            ClientMessage::Unsupported(kind) => {
                let whole = client::error("0A000", "only simple queries are served", None);
                self.fault(if kind == b'F' { whole } else { client::unsupported() });
            }
            ClientMessage::Sync => self.reply(READY_FOR_QUERY.to_vec()),
            ClientMessage::Query(text) if text.trim_ascii().is_empty() => {
                self.used = true;
                match ready {
                    true => self.reply(client::empty_query()),
                    false => {
                        self.ahead += client::empty_query().len();
                        self.replies.push_back(Reply::Empty);
                    }
                }
            }
            ClientMessage::Query(text) => {
                let bytes = text.len();
                match Statement::parse(text) {
                    Ok(statement) => {
                        self.next = Some(Next { statement: Box::new(statement), came, bytes });
                        return None;
                    }
                    Err(e) => self.fault(client::error(e.code, &e.message, None)),
                }
            }
        }
        Some(Step::Done)
    }

    /// Answers what is none of ours. A client that goes on with such ends its connection: it may send as fast
    /// as it can.
    fn fault(&mut self, reply: Vec<u8>) {
        self.reply(reply);
        self.faulty();
    }

    fn faulty(&mut self) {
        self.faults += 1;
        if self.faults >= MAX_CLIENT_FAULTS && self.dismissed.is_none() {
            self.close_with_error("08P01", "too many commands that are not served");
        }
    }

    fn reply(&mut self, bytes: Vec<u8>) {
        self.ahead += bytes.len();
        self.replies.push_back(Reply::Ready(bytes));
        self.pass();
    }

    /// Moves what has its turn to what is to be written.
    fn pass(&mut self) {
        while let Some(Reply::Ready(_)) = self.replies.front() {
            if let Some(Reply::Ready(bytes)) = self.replies.pop_front() {
                self.ahead = self.ahead.saturating_sub(bytes.len());
                self.write(bytes);
            }
        }
    }

    // ---- Answering ----

    /// A command's answer has come.
    pub fn answer(&mut self, command: CommandId, answer: Answer) {
        let of = |r: &Reply| matches!(r, Reply::Asked(c) if *c == command);
        let Some(at) = self.replies.iter().position(of) else { return };
        (self.asked, self.writing) = (self.asked - 1, false);
        self.used |= !matches!(answer, Answer::Invalid(_));
        let bytes = match answer {
            Answer::Served(row) => {
                self.faults = 0;
                let mut bytes = row.bytes;
                bytes.extend_from_slice(READY_FOR_QUERY);
                bytes
            }
            Answer::Rejected { retry_after_ms: after } => refusal(after),
            Answer::Failed => client::error("58000", "no answer could be had", None),
            Answer::Cancelled => client::error("57014", "called off at its client's wish", None),
            Answer::Invalid(e) => {
                self.faulty();
                client::error(e.code, &e.message, None)
            }
        };
        self.ahead += bytes.len();
        self.replies[at] = Reply::Ready(bytes);
        // What stands behind an empty query does not wait for the router to be ready.
        for reply in self.replies.iter_mut().take(at).filter(|r| matches!(r, Reply::Empty)) {
            *reply = Reply::Ready(client::error("57P03", "not ready yet", None));
        }
        self.pass();
    }

    /// Its session's token, which goes out between two messages.
    pub fn token(&mut self, token: &str) {
        self.write(client::session_token(token));
    }

    fn write(&mut self, bytes: Vec<u8>) {
        self.unwritten += bytes.len();
        self.out.push_back(bytes);
    }

    // ---- Writing ----

    /// What is to be written next; its parts as far as there are places for them.
    pub fn fill<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let mut skip = self.written;
        let mut count = 0;
        for (slice, part) in slices.iter_mut().zip(&self.out) {
            *slice = IoSlice::new(&part[skip..]);
            (skip, count) = (0, count + 1);
        }
        count
    }

    /// So many bytes have been written; whether the last of an answer was among them.
    pub fn wrote(&mut self, n: usize) -> bool {
        let before = self.out.len();
        self.written += n;
        self.unwritten -= n;
        while let Some(len) = self.out.front().map(Vec::len).filter(|len| *len <= self.written) {
            self.written -= len;
            self.out.pop_front();
        }
        self.out.len() < before
    }

    /// Bytes that are to be written.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    // ---- Its end ----

    /// Takes nothing more, and ends once all that was taken is answered.
    pub fn end(&mut self) {
        self.ending = true;
        (self.side, self.begun, self.cut) = (ClientCodec::default(), None, None);
    }

    /// Says that the connection ends, behind the answers of all that was taken. What stands behind that is
    /// dropped and was never sent on: a client that ends its connection by its faults is told so by the end.
    pub fn close_with_error(&mut self, code: &str, message: &str) {
        self.dismissed = Some(message.to_string());
        self.next = None;
        self.reply(client::fatal(code, message));
        self.end();
    }

    /// Ends between two requests, and says so.
    pub fn farewell(&mut self) {
        self.reply(client::fatal("57P01", "closed between two requests"));
        self.end();
    }

    /// What its client was told at the end, if that was its own doing.
    pub fn dismissed(&self) -> Option<&str> {
        self.dismissed.as_deref()
    }

    /// Whether something is to be written.
    pub fn speaks(&self) -> bool {
        !self.out.is_empty()
    }

    /// Whether it takes nothing more.
    pub fn ending(&self) -> bool {
        self.ending
    }

    /// Whether nothing is open: every command that came whole is answered, and the answer written.
    pub fn resting(&self) -> bool {
        self.answered() && self.out.is_empty()
    }

    /// Whether every command that came whole is answered.
    pub fn answered(&self) -> bool {
        self.next.is_none()
            && self.replies.is_empty()
            && self.side.queued_bytes() == 0
            && !self.side.is_broken()
            && self.cut.is_none()
    }

    /// Whether something of ours has been asked here.
    pub fn used(&self) -> bool {
        self.used
    }
}

fn refusal(after: Option<u64>) -> Vec<u8> {
    let detail = after.map(|ms| ms.to_string());
    client::error("53300", "turned away; trying again does no harm", detail.as_deref())
}

#[cfg(test)]
mod tests;
