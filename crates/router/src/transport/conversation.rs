//! The protocol state of one client connection, without I/O. Its inputs are the bytes that are read from the
//! client and the replies from routing; its outputs are the requests to forward and the bytes to write.
//! Reading, forwarding and writing proceed independently of each other, with two limits: reading pauses while
//! more than [`LARGE_STATEMENT_LEN`] bytes of commands are queued, and forwarding pauses while more than that
//! many bytes of replies are queued.
//!
//! Each complete command gets exactly one reply, in the order of the commands. Up to [`MAX_CONCURRENT_READS`]
//! consecutive reads are forwarded concurrently, and only one while the
//! router is short of memory or descriptors. A write is forwarded once all earlier commands have their
//! replies, and later commands wait for its reply, so that a session's commands take effect in their order.

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
use std::collections::BTreeMap;
use std::io::IoSlice;

/// The type byte of a FunctionCall message. No Sync follows it, so the error reply has to end with
/// ReadyForQuery.
const FUNCTION_CALL: u8 = b'F';

/// A step of a conversation, returned by [`Conversation::next_step`].
#[derive(Debug)]
pub enum Step {
    /// A request has to be forwarded.
    Forward {
        /// The command that the reply will belong to.
        command: CommandId,
        /// The statement of the request.
        statement: Box<Statement>,
        /// When the last byte of the command was received.
        arrived_at: Time,
    },
    /// The first request without a reply on the connection with this key has to be cancelled.
    Cancel(CancelKey),
    /// A message has been handled; the caller has nothing to do.
    Handled,
}

/// The result of taking a client's next message.
#[derive(Debug)]
enum NextMessage {
    /// No complete message has been received.
    Incomplete,
    /// The message was a request, which is now stored as pending.
    Request,
    /// The message was of another kind and requires this step.
    Other(Step),
}

/// A request that can't be forwarded yet.
#[derive(Debug)]
struct PendingRequest {
    statement: Box<Statement>,
    arrived_at: Time,
    /// The length of the statement's text in bytes.
    text_len: usize,
}

/// The error message that ends a conversation, after the replies to all complete commands.
#[derive(Clone, Copy, Debug)]
struct FinalError {
    code: &'static str,
    message: &'static str,
}

/// The error for a client that has not sent its first request, or the rest of a message, within the message
/// timeout.
const MESSAGE_TIMED_OUT: FinalError =
    FinalError { code: sqlstate::IDLE_SESSION_TIMEOUT, message: "no whole request has come in time" };

/// The protocol state of one client connection.
#[derive(Debug)]
pub struct Conversation {
    cancel_key: CancelKey,
    input: MessageInput,
    /// The next request to forward.
    pending: Option<PendingRequest>,
    /// The replies to the commands taken so far, in order, without those that have been moved to `output`.
    replies: ReplyQueue,
    output: OutputQueue,
    /// The requests that have been forwarded and have no reply yet, with the memory of their statements.
    in_flight: BTreeMap<CommandId, usize>,
    /// The number of reads that may be in flight.
    max_concurrent_reads: usize,
    /// Whether the request in flight is a write.
    write_in_flight: bool,
    /// The id of the next command to forward.
    next_command: u64,
    /// The number of unsupported or invalid commands since the last served request.
    faults: u32,
    /// Whether a valid request has had its reply, or an empty query has been received.
    used: bool,
    /// The error that ends the conversation after the complete commands; input after those is not handled.
    final_error: Option<FinalError>,
    /// Whether no further input is handled. The connection is closed once all replies are written.
    closing: bool,
    /// The error for which the conversation was closed, if the client caused it.
    close_reason: Option<String>,
}

impl Conversation {
    /// Creates the conversation of a connection whose socket may have unread input since `unread_since`.
    pub fn new(cancel_key: CancelKey, unread_since: Time) -> Conversation {
        Conversation {
            cancel_key,
            input: MessageInput::new(unread_since),
            pending: None,
            replies: ReplyQueue::default(),
            output: OutputQueue::default(),
            in_flight: BTreeMap::new(),
            max_concurrent_reads: MAX_CONCURRENT_READS,
            write_in_flight: false,
            next_command: 0,
            faults: 0,
            used: false,
            final_error: None,
            closing: false,
            close_reason: None,
        }
    }
}

/// These methods store the bytes that are read from the client, determine how much more may be read, and keep
/// track of the incomplete message and its timeout.
impl Conversation {
    /// Handles bytes that were read at `now`. `drained` is true if the socket has no more.
    pub fn feed(&mut self, bytes: &[u8], drained: bool, now: Time) {
        let arrived_at = self.input.arrival_time(drained, now);
        if !self.closing && self.final_error.is_none() {
            self.input.feed(bytes, arrived_at, drained, now);
        }
    }

    /// Records that the socket has no unread input.
    pub fn socket_drained(&mut self) {
        self.input.socket_drained();
    }

    /// Records that the socket is not read until [`Conversation::resume_reading`] is called.
    pub fn pause_reading(&mut self, now: Time) {
        self.input.pause(now);
    }

    /// Records that the socket is read again. The pause does not count towards the message timeout.
    pub fn resume_reading(&mut self, now: Time) {
        self.input.resume(now);
    }

    /// Returns whether more may be read, which is the case while at most [`LARGE_STATEMENT_LEN`] bytes of
    /// complete messages are queued.
    pub fn accepts_input(&self) -> bool {
        let is_open = !self.closing && self.final_error.is_none() && self.input.accepts_more();
        let pending_bytes = self.pending.as_ref().map_or(0, |pending| pending.text_len);
        is_open && self.input.queued_bytes() + pending_bytes <= LARGE_STATEMENT_LEN
    }

    /// Limits further input to the `unread` bytes that the socket has now, and the rest of the message that
    /// is incomplete after them.
    pub fn limit_input(&mut self, unread: usize) {
        self.input.limit_to(unread);
    }

    /// Returns whether [`Conversation::limit_input`] has been called.
    pub fn is_input_limited(&self) -> bool {
        self.input.is_limited()
    }

    /// Ends the conversation because of a message timeout. The error is sent after the replies to all
    /// complete commands.
    pub fn time_out_message(&mut self) {
        self.final_error = Some(MESSAGE_TIMED_OUT);
        self.input.clear_message_start();
    }

    /// Returns the number of bytes that the input and the requests without a reply hold in memory.
    pub fn request_memory(&self) -> usize {
        let pending = self.pending.as_ref().map_or(0, |pending| pending.statement.memory());
        self.input.memory() + pending + self.in_flight.values().sum::<usize>()
    }

    /// Returns whether the incomplete message is the next to be handled: each earlier command has its reply.
    pub fn is_receiving_next(&self) -> bool {
        let is_first = self.input.queued_bytes() == 0 && self.pending.is_none() && self.in_flight.is_empty();
        is_first && self.input.partial_bytes() > 0 && !self.closing
    }

    /// Returns the number of bytes that are missing from the incomplete message.
    pub fn missing_bytes(&self) -> usize {
        self.input.missing_bytes()
    }

    /// Allocates memory for the rest of the incomplete message.
    pub fn reserve_message(&mut self) {
        self.input.reserve_message();
    }

    /// Discards the incomplete message, for which there is no memory. A query is rejected once its last byte
    /// has been received, and a startup message that is too long closes the conversation.
    pub fn discard_message(&mut self) {
        if !self.input.discard_message() {
            self.close_with_error(sqlstate::TOO_MANY_CONNECTIONS, "no memory for the message");
        }
    }

    /// Returns when the first byte of the incomplete message was received, if there is one.
    pub fn message_started(&self) -> Option<Time> {
        self.input.message_started().filter(|_| !self.closing)
    }
}

/// These methods handle the client's messages in their order: valid requests and cancellations are returned
/// as steps for the caller, and any other message gets a reply or closes the conversation.
impl Conversation {
    /// Sets whether several reads may be in flight, whose rows may have to wait in memory for earlier ones.
    pub fn allow_concurrent_reads(&mut self, allowed: bool) {
        self.max_concurrent_reads = if allowed { MAX_CONCURRENT_READS } else { 1 };
    }

    /// Returns the next step that can be executed now, if there is one.
    pub fn next_step(&mut self, router_is_ready: bool) -> Option<Step> {
        if router_is_ready {
            self.replies.complete_empty_queries();
            self.flush_replies();
        }
        if self.closing || self.is_output_full() || self.replies.memory() > LARGE_STATEMENT_LEN {
            return None;
        }
        if self.pending.is_none() {
            match self.take_message(router_is_ready) {
                NextMessage::Incomplete => return None,
                NextMessage::Request => {}
                NextMessage::Other(step) => return Some(step),
            }
        }
        self.forward_pending()
    }

    /// Takes the next message from the input and handles it.
    fn take_message(&mut self, router_is_ready: bool) -> NextMessage {
        match self.input.next_message() {
            Ok(Some(received)) => self.handle_message(received, router_is_ready),
            Ok(None) => {
                let Some(error) = self.final_error else { return NextMessage::Incomplete };
                self.close_with_error(error.code, error.message);
                NextMessage::Other(Step::Handled)
            }
            Err(e) => {
                self.close_with_error(sqlstate::PROTOCOL_VIOLATION, &e.to_string());
                NextMessage::Other(Step::Handled)
            }
        }
    }

    /// Forwards the pending request, unless it has to wait for requests in flight.
    fn forward_pending(&mut self) -> Option<Step> {
        let is_write = self.pending.as_ref()?.statement.verb == Verb::Insert;
        let may_forward = match is_write {
            true => self.in_flight.is_empty(),
            false => !self.write_in_flight && self.in_flight.len() < self.max_concurrent_reads,
        };
        if !may_forward {
            return None;
        }
        let PendingRequest { statement, arrived_at, .. } = self.pending.take()?;
        self.write_in_flight = is_write;
        let command = CommandId(self.next_command);
        self.in_flight.insert(command, statement.memory());
        self.next_command += 1;
        self.replies.push_forwarded(command);
        Some(Step::Forward { command, statement, arrived_at })
    }

    fn handle_message(&mut self, received: ReceivedMessage, router_is_ready: bool) -> NextMessage {
        match received.message {
            ClientMessage::Encryption => self.push_reply(client::ENCRYPTION_DECLINED.to_vec()),
            ClientMessage::CancelRequest(key) => {
                self.close();
                return NextMessage::Other(Step::Cancel(key));
            }
            ClientMessage::Terminate => self.close(),
            ClientMessage::Startup { needs_negotiation } => {
                self.push_reply(client::startup_reply(needs_negotiation, self.cancel_key))
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
            ClientMessage::Query(text) if text.trim_ascii().is_empty() => {
                self.handle_empty_query(router_is_ready)
            }
            ClientMessage::DiscardedQuery => {
                self.used = true;
                self.push_reply(rejection(None));
            }
            ClientMessage::Query(text) => return self.handle_query(text, received.arrived_at),
        }
        NextMessage::Other(Step::Handled)
    }

    fn handle_empty_query(&mut self, router_is_ready: bool) {
        self.used = true;
        match router_is_ready {
            true => self.push_reply(client::empty_query()),
            false => self.replies.push_empty_query(),
        }
    }

    fn handle_query(&mut self, text: Vec<u8>, arrived_at: Time) -> NextMessage {
        let text_len = text.len();
        match Statement::parse(text) {
            Ok(statement) => {
                let statement = Box::new(statement);
                self.pending = Some(PendingRequest { statement, arrived_at, text_len });
                NextMessage::Request
            }
            Err(e) => {
                self.push_fault(client::error(e.code, &e.message, None));
                NextMessage::Other(Step::Handled)
            }
        }
    }

    /// Replies to an unsupported or invalid command and counts it.
    fn push_fault(&mut self, reply: Vec<u8>) {
        self.push_reply(reply);
        self.count_fault();
    }

    /// Counts an unsupported or invalid command. Closes the conversation after [`MAX_CLIENT_FAULTS`] of them
    /// without a served request in between, because a client may send them without a pause.
    fn count_fault(&mut self) {
        self.faults += 1;
        if self.faults >= MAX_CLIENT_FAULTS && self.close_reason.is_none() {
            self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "too many commands that are not served");
        }
    }

    fn push_reply(&mut self, bytes: Vec<u8>) {
        self.replies.push_ready(bytes);
        self.flush_replies();
    }

    /// Moves replies that are ready to the output, up to the first that is not.
    fn flush_replies(&mut self) {
        while let Some(bytes) = self.replies.pop_ready() {
            self.output.push(bytes);
        }
    }
}

/// These methods queue the replies from routing and the session tokens as output to the client, and provide
/// that output to the caller, which writes it.
impl Conversation {
    /// Handles the reply to a forwarded command.
    pub fn complete_command(&mut self, command: CommandId, reply: Reply) {
        let Some(position) = self.replies.position(command) else { return };
        self.in_flight.remove(&command);
        self.write_in_flight = false;
        self.used |= !matches!(reply, Reply::Invalid(_));
        let bytes = match reply {
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

    /// Queues a session token, which is written between two replies.
    pub fn push_session_token(&mut self, token: &str) {
        self.output.push(client::session_token(token));
    }

    /// Returns whether the client has so much output to read that no further request is forwarded.
    fn is_output_full(&self) -> bool {
        self.output.unwritten_size() > LARGE_STATEMENT_LEN
    }

    /// Returns the number of bytes that the replies and the output hold in memory.
    pub fn reply_memory(&self) -> usize {
        self.replies.memory() + self.output.memory()
    }

    /// Returns the command whose reply the client receives next, if it has been forwarded and the client
    /// keeps up with reading.
    pub fn next_reply(&self) -> Option<CommandId> {
        self.replies.first_forwarded().filter(|_| !self.is_output_full())
    }

    /// Returns whether there is output to write.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Fills `slices` with the next output. Returns the number of slices filled.
    pub fn fill_output<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        self.output.fill(slices)
    }

    /// Records that `len` bytes have been written. Returns whether they complete a reply or a session token.
    pub fn mark_written(&mut self, len: usize) -> bool {
        self.output.mark_written(len)
    }
}

/// These methods close the conversation, with or without an error message to the client, and return whether
/// and why it is closing, whether replies are still due or unwritten, and whether it has been used.
impl Conversation {
    /// Stops handling input. The connection is closed once all replies are written.
    pub fn close(&mut self) {
        self.closing = true;
        self.input.clear();
        self.final_error = None;
    }

    /// Closes the conversation with an error after the replies to the commands taken so far. The pending
    /// request and all later input are dropped; none of it has been forwarded.
    pub fn close_with_error(&mut self, code: &str, message: &str) {
        self.close_reason = Some(message.to_string());
        self.pending = None;
        self.push_reply(client::fatal(code, message));
        self.close();
    }

    /// Closes the conversation between two requests, with an error message to the client.
    pub fn close_with_notice(&mut self) {
        self.push_reply(client::fatal(sqlstate::ADMIN_SHUTDOWN, "closed between two requests"));
        self.close();
    }

    /// Returns the error for which the conversation was closed, if the client caused it.
    pub fn close_reason(&self) -> Option<&str> {
        self.close_reason.as_deref()
    }

    /// Returns whether no further input is handled.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns whether the reply to every complete command has been written.
    pub fn is_idle(&self) -> bool {
        self.has_replied_to_all() && self.output.is_empty()
    }

    /// Returns whether every complete command has its reply, which may still have to be written.
    pub fn has_replied_to_all(&self) -> bool {
        self.pending.is_none()
            && self.replies.is_empty()
            && self.input.is_consumed()
            && self.final_error.is_none()
    }

    /// Returns whether a valid request has had its reply, or an empty query has been received.
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
