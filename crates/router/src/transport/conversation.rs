//! One client's side of a connection, without I/O: bytes and answers go in; requests to be forwarded, and
//! bytes to be written, come out. Reading, forwarding and writing don't wait for each other, but within
//! bounds.
//!
//! Each complete command gets exactly one reply, in the order of the commands. Reads behind reads are
//! forwarded side by side, a few at a time. A write waits until all before it is answered, and what stands
//! behind it waits for its answer: a session's commands take effect in their order.

mod input;
mod output;
mod replies;

use crate::protocol::client::{self, CancelKey, ClientMessage, ReceivedMessage};
use crate::protocol::statement::{Statement, Verb};
use crate::routing::{CommandId, Reply};
use basalthill_config::router::{LARGE_STATEMENT_LEN, MAX_CLIENT_FAULTS, MAX_CONCURRENT_READS};
use basalthill_policy::api::Time;
use basalthill_wire::{sqlstate, READY_FOR_QUERY};
use input::MessageInput;
use output::OutputQueue;
use replies::ReplyQueue;
use std::io::IoSlice;

/// The type byte of a function call, which has no Sync behind it: its error is the end of the command.
const FUNCTION_CALL: u8 = b'F';

/// Something to be done for a client.
#[derive(Debug)]
pub enum Step {
    /// Its next request is to be forwarded.
    Forward {
        /// The command to which the answer belongs.
        command: CommandId,
        /// The request itself.
        statement: Box<Statement>,
        /// When the command's last byte arrived.
        arrived_at: Time,
    },
    /// The open request of the connection with this key is to be cancelled.
    Cancel(CancelKey),
    /// The conversation itself has dealt with a message.
    Handled,
}

/// What a client's next message was.
#[derive(Debug)]
enum Taken {
    /// None has arrived.
    Nothing,
    /// A request, which is pending now.
    Request,
    /// Another message, with what is to be done or was done for it.
    Other(Step),
}

/// A request that waits until it may be forwarded.
#[derive(Debug)]
struct PendingRequest {
    statement: Box<Statement>,
    arrived_at: Time,
    /// The length of its text.
    bytes: usize,
}

/// The error with which the router ends a conversation, behind the replies to all that was complete.
#[derive(Clone, Copy, Debug)]
struct FinalError {
    code: &'static str,
    message: &'static str,
}

/// A client had its time for a message.
const MESSAGE_TIMED_OUT: FinalError =
    FinalError { code: sqlstate::IDLE_SESSION_TIMEOUT, message: "no whole request has come in time" };

/// The state of one client's connection.
#[derive(Debug)]
pub struct Conversation {
    cancel_key: CancelKey,
    input: MessageInput,
    /// The next request, read and not forwarded yet.
    pending: Option<PendingRequest>,
    /// Replies to the commands taken, in order, as far as they are not in `output`.
    replies: ReplyQueue,
    output: OutputQueue,
    /// How many requests are forwarded and not answered.
    in_flight: usize,
    /// The one in flight is a write.
    write_in_flight: bool,
    /// The number of the next command.
    next_command: u64,
    /// Commands that are not served, since one was.
    faults: u32,
    /// A request has been served or answered, or an empty query has arrived.
    used: bool,
    /// Nothing behind what has arrived complete is taken: this error ends the conversation in that place.
    final_error: Option<FinalError>,
    /// Nothing more is taken; the connection ends once all replies are written.
    ending: bool,
    /// Why the client was dismissed, if that was its own doing.
    dismissal: Option<String>,
}

impl Conversation {
    /// The conversation on a connection whose socket may have something to read since `unread_since`.
    pub fn new(cancel_key: CancelKey, unread_since: Time) -> Conversation {
        Conversation {
            cancel_key,
            input: MessageInput::new(unread_since),
            pending: None,
            replies: ReplyQueue::default(),
            output: OutputQueue::default(),
            in_flight: 0,
            write_in_flight: false,
            next_command: 0,
            faults: 0,
            used: false,
            final_error: None,
            ending: false,
            dismissal: None,
        }
    }
}

/// Reading.
impl Conversation {
    /// Takes in bytes that were read now; `drained` if they were all that the socket had.
    pub fn feed(&mut self, bytes: &[u8], drained: bool, now: Time) {
        let arrived_at = self.input.arrival(drained, now);
        if !self.ending && self.final_error.is_none() {
            self.input.feed(bytes, arrived_at, drained, now);
        }
    }

    /// The socket was found empty.
    pub fn socket_drained(&mut self) {
        self.input.socket_drained();
    }

    /// Nothing is read from now on, up to [`Conversation::resume_reading`].
    pub fn pause_reading(&mut self, now: Time) {
        self.input.pause(now);
    }

    /// Reading goes on; the time of the pause does not count against the client.
    pub fn resume_reading(&mut self, now: Time) {
        self.input.resume(now);
    }

    /// Whether more may be read: up to [`LARGE_STATEMENT_LEN`] bytes may wait here for their turn.
    pub fn accepts_input(&self) -> bool {
        let is_open = !self.ending && self.final_error.is_none() && self.input.accepts_more();
        let pending_bytes = self.pending.as_ref().map_or(0, |pending| pending.bytes);
        is_open && self.input.queued_bytes() + pending_bytes <= LARGE_STATEMENT_LEN
    }

    /// Takes nothing that arrives from now on, but for the `unread` bytes that the socket has, and the rest
    /// of a message that has begun.
    pub fn limit_input(&mut self, unread: usize) {
        self.input.limit_to(unread);
    }

    /// Whether [`Conversation::limit_input`] has been called.
    pub fn is_input_limited(&self) -> bool {
        self.input.is_limited()
    }

    /// The client's time for a message is over; the error stands behind the replies to all that was complete.
    pub fn time_out_message(&mut self) {
        self.final_error = Some(MESSAGE_TIMED_OUT);
        self.input.forget_message_start();
    }

    /// Whether the incomplete message is so long that it needs a permit to be read on.
    pub fn needs_large_permit(&self) -> bool {
        self.input.partial_bytes() > LARGE_STATEMENT_LEN
    }

    /// Since when a message is incomplete, if one is.
    pub fn message_started(&self) -> Option<Time> {
        self.input.message_started().filter(|_| !self.ending)
    }
}

/// Forwarding.
impl Conversation {
    /// The next thing that may be done now, if there is one.
    pub fn next_step(&mut self, router_is_ready: bool) -> Option<Step> {
        if router_is_ready {
            self.replies.answer_empty_queries();
            self.flush_replies();
        }
        let output_is_full = self.output.unwritten() > LARGE_STATEMENT_LEN;
        if self.ending || output_is_full || self.replies.buffered() > LARGE_STATEMENT_LEN {
            return None;
        }
        if self.pending.is_none() {
            match self.take_message(router_is_ready) {
                Taken::Nothing => return None,
                Taken::Request => {}
                Taken::Other(step) => return Some(step),
            }
        }
        self.forward_pending()
    }

    /// Takes the next message.
    fn take_message(&mut self, router_is_ready: bool) -> Taken {
        match self.input.next_message() {
            Ok(Some(received)) => self.handle_message(received, router_is_ready),
            Ok(None) => {
                let Some(error) = self.final_error else { return Taken::Nothing };
                self.close_with_error(error.code, error.message);
                Taken::Other(Step::Handled)
            }
            Err(e) => {
                self.close_with_error(sqlstate::PROTOCOL_VIOLATION, &e.to_string());
                Taken::Other(Step::Handled)
            }
        }
    }

    /// Forwards the pending request, if those in flight allow it.
    fn forward_pending(&mut self) -> Option<Step> {
        let is_write = self.pending.as_ref()?.statement.verb == Verb::Insert;
        let may_forward = match is_write {
            true => self.in_flight == 0,
            false => !self.write_in_flight && self.in_flight < MAX_CONCURRENT_READS,
        };
        if !may_forward {
            return None;
        }
        let PendingRequest { statement, arrived_at, .. } = self.pending.take()?;
        self.in_flight += 1;
        self.write_in_flight = is_write;
        let command = CommandId(self.next_command);
        self.next_command += 1;
        self.replies.push_forwarded(command);
        Some(Step::Forward { command, statement, arrived_at })
    }

    fn handle_message(&mut self, received: ReceivedMessage, ready: bool) -> Taken {
        match received.message {
            ClientMessage::Encryption => self.push_reply(client::ENCRYPTION_DECLINED.to_vec()),
            ClientMessage::CancelRequest(key) => {
                self.end();
                return Taken::Other(Step::Cancel(key));
            }
            ClientMessage::Terminate => self.end(),
            ClientMessage::Startup { newer } => {
                self.push_reply(client::startup_reply(newer, self.cancel_key))
            }
            ClientMessage::Unsupported(FUNCTION_CALL) => {
                self.push_fault(client::error(
                    sqlstate::FEATURE_NOT_SUPPORTED,
                    "only simple queries are served",
                    None,
                ));
            }
            ClientMessage::Unsupported(_) => self.push_fault(client::unsupported_reply()),
            ClientMessage::Sync => self.push_reply(READY_FOR_QUERY.to_vec()),
            ClientMessage::Query(text) if text.trim_ascii().is_empty() => self.handle_empty_query(ready),
            ClientMessage::Query(text) => return self.handle_query(text, received.arrived_at),
        }
        Taken::Other(Step::Handled)
    }

    fn handle_empty_query(&mut self, router_is_ready: bool) {
        self.used = true;
        match router_is_ready {
            true => self.push_reply(client::empty_query()),
            false => self.replies.push_empty_query(),
        }
    }

    fn handle_query(&mut self, text: Vec<u8>, arrived_at: Time) -> Taken {
        let bytes = text.len();
        match Statement::parse(text) {
            Ok(statement) => {
                let statement = Box::new(statement);
                self.pending = Some(PendingRequest { statement, arrived_at, bytes });
                Taken::Request
            }
            Err(e) => {
                self.push_fault(client::error(e.code, &e.message, None));
                Taken::Other(Step::Handled)
            }
        }
    }

    /// Answers a command that is not served.
    fn push_fault(&mut self, reply: Vec<u8>) {
        self.push_reply(reply);
        self.count_fault();
    }

    /// Counts a command that is not served. A client that goes on with such ends its connection: it may send
    /// them as fast as it can.
    fn count_fault(&mut self) {
        self.faults += 1;
        if self.faults >= MAX_CLIENT_FAULTS && self.dismissal.is_none() {
            self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "too many commands that are not served");
        }
    }

    fn push_reply(&mut self, bytes: Vec<u8>) {
        self.replies.push_ready(bytes);
        self.flush_replies();
    }

    /// Moves the replies whose turn it is to the output.
    fn flush_replies(&mut self) {
        while let Some(bytes) = self.replies.pop_ready() {
            self.output.push(bytes);
        }
    }
}

/// Answering and writing.
impl Conversation {
    /// Takes the answer to a command.
    pub fn answer(&mut self, command: CommandId, answer: Reply) {
        let Some(position) = self.replies.position(command) else { return };
        self.in_flight -= 1;
        self.write_in_flight = false;
        self.used |= !matches!(answer, Reply::Invalid(_));
        let bytes = match answer {
            Reply::Served(row) => {
                self.faults = 0;
                let mut bytes = row.bytes;
                bytes.extend_from_slice(READY_FOR_QUERY);
                bytes
            }
            Reply::Rejected { retry_after_ms } => rejection(retry_after_ms),
            Reply::Failed => client::error(sqlstate::SYSTEM_ERROR, "no answer could be had", None),
            Reply::Cancelled => {
                client::error(sqlstate::QUERY_CANCELED, "called off at its client's wish", None)
            }
            Reply::Invalid(e) => {
                self.count_fault();
                client::error(e.code, &e.message, None)
            }
        };
        self.replies.complete(position, bytes);
        self.flush_replies();
    }

    /// Takes the session's token, which is written between two replies.
    pub fn push_session_token(&mut self, token: &str) {
        self.output.push(client::session_token(token));
    }

    /// Whether something is to be written.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Fills `slices` with what is to be written next; how many were filled.
    pub fn fill_output<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        self.output.fill(slices)
    }

    /// Takes note that `len` bytes have been written; whether a reply is complete with them.
    pub fn mark_written(&mut self, len: usize) -> bool {
        self.output.mark_written(len)
    }
}

/// The end.
impl Conversation {
    /// Takes nothing more, and ends once all that was taken is answered.
    pub fn end(&mut self) {
        self.ending = true;
        self.input.clear();
        self.final_error = None;
    }

    /// Ends with an error behind the replies to all that was taken. What stands behind that is dropped and
    /// was never forwarded.
    pub fn close_with_error(&mut self, code: &str, message: &str) {
        self.dismissal = Some(message.to_string());
        self.pending = None;
        self.push_reply(client::fatal(code, message));
        self.end();
    }

    /// Ends between two requests, and notifies the client.
    pub fn end_with_notice(&mut self) {
        self.push_reply(client::fatal(sqlstate::ADMIN_SHUTDOWN, "closed between two requests"));
        self.end();
    }

    /// Why the client was dismissed, if that was its own doing.
    pub fn dismissal(&self) -> Option<&str> {
        self.dismissal.as_deref()
    }

    /// Whether nothing more is taken.
    pub fn is_ending(&self) -> bool {
        self.ending
    }

    /// Whether nothing is open: every complete command is answered, and its reply written.
    pub fn is_idle(&self) -> bool {
        self.is_answered() && self.output.is_empty()
    }

    /// Whether every complete command is answered.
    pub fn is_answered(&self) -> bool {
        self.pending.is_none()
            && self.replies.is_empty()
            && self.input.is_consumed()
            && self.final_error.is_none()
    }

    /// Whether a request of the client has been answered here.
    pub fn has_been_used(&self) -> bool {
        self.used
    }
}

fn rejection(retry_after_ms: Option<u64>) -> Vec<u8> {
    let detail = retry_after_ms.map(|ms| ms.to_string());
    client::error(sqlstate::TOO_MANY_CONNECTIONS, "turned away; trying again does no harm", detail.as_deref())
}

#[cfg(test)]
mod tests;
