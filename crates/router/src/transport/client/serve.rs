//! The task of one client connection. It moves bytes between the socket and the conversation, moves requests
//! and replies between the conversation and routing, and enforces the connection's timeouts.

use super::eviction::ConnectionState;
use super::{ClientConnection, ConnectionEnd};
use crate::protocol::client;
use crate::routing::{ClientRequest, Input};
use crate::transport::conversation::Step;
use crate::transport::io;
use async_io::Timer;
use basalthill_config::router::{CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT, CLIENT_WRITE_TIMEOUT};
use futures_lite::future;
use std::io::{ErrorKind, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The interval at which the task checks whether the client has disconnected while it does not read from the
/// socket.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The number of steps of one conversation that are executed before the task yields to other tasks, as a
/// client may send commands without a pause.
const MAX_STEPS_AT_ONCE: usize = 16;
/// The shortest time between two writes that show whether the client has closed. With the interval of the
/// checks, it is less than the time for which attempts may begin after the client has closed.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of replies in one vectored write.
const MAX_GATHERED_REPLIES: usize = 16;
/// The time within which a client has to receive a reply that is being written.
const WRITE_TIMEOUT: Duration = Duration::from_nanos(CLIENT_WRITE_TIMEOUT.0);
/// The time within which a client has to send its first request after it has connected, and each message from
/// its first byte to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0);
/// The time within which a client that has just connected has to send a request during the shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_nanos(CLIENT_EVICTION_IDLE.0);

/// The time at which the task has to check its timeouts again, if it is not woken before.
#[derive(Default)]
struct WakeUp(Option<Instant>);

impl WakeUp {
    fn at(&mut self, instant: Instant) {
        self.0 = Some(self.0.map_or(instant, |earlier| earlier.min(instant)));
    }
}

/// The result of a check of the connection's state.
enum Check {
    /// Nothing has changed; the next check follows.
    Passed,
    /// The conversation has changed; its steps have to be executed before any further check.
    Changed,
}

/// The progress of writing to the client.
#[derive(Default)]
struct WriteProgress {
    /// Since when there has been output and no reply or session token has been written completely.
    blocked_since: Option<Instant>,
}

impl ClientConnection {
    /// Runs the conversation until the connection has to be closed, and returns the reason.
    pub(super) async fn serve(&self) -> ConnectionEnd {
        let mut write_progress = WriteProgress::default();
        loop {
            let more_steps = match self.run_steps(&mut write_progress) {
                Ok(more_steps) => more_steps,
                Err(end) => return end,
            };
            self.publish_state();
            let mut wake_up = WakeUp::default();
            match self.check(&mut write_progress, &mut wake_up) {
                Err(end) => return end,
                Ok(Check::Changed) => continue,
                Ok(Check::Passed) => {}
            }
            // A client that sends without a pause would otherwise monopolize the thread.
            future::yield_now().await;
            if more_steps {
                continue;
            }
            if let Err(end) = self.wait(&wake_up, &mut write_progress).await {
                return end;
            }
        }
    }

    /// Executes up to [`MAX_STEPS_AT_ONCE`] steps of the conversation. Returns whether more may be ready.
    /// Fails if the client has disconnected: none of its requests is forwarded then, whether read or unread.
    fn run_steps(&self, write_progress: &mut WriteProgress) -> Result<bool, ConnectionEnd> {
        for _ in 0..MAX_STEPS_AT_ONCE {
            self.take_replies();
            let mut conversation = self.conversation.borrow_mut();
            conversation.allow_concurrent_reads(self.driver.has_spare_resources());
            match conversation.next_step(self.driver.clients.is_ready()) {
                None => return Ok(false),
                Some(Step::Handled) => {}
                Some(Step::Forward { command, statement, arrived_at }) => {
                    drop(conversation);
                    // A write also shows whether the client has closed, see `probe_hidden_end`.
                    self.write_now(write_progress)?;
                    if self.has_hung_up() {
                        return Err(ConnectionEnd::Disconnected);
                    }
                    let request = ClientRequest { client: self.id, command, statement, arrived_at };
                    self.driver.handle(Input::Request(request));
                }
                Some(Step::Cancel(key)) => {
                    if let Some(client) = self.driver.clients.client_with_key(key) {
                        self.driver.handle(Input::CancelRequested(client));
                    }
                }
            }
        }
        Ok(true)
    }

    /// Passes the session token and the replies that are queued for the client to the conversation.
    fn take_replies(&self) {
        let mut conversation = self.conversation.borrow_mut();
        if let Some(token) = self.handle.session_token.take() {
            conversation.push_session_token(&token);
        }
        for completed in self.handle.take_replies() {
            conversation.complete_command(completed.command, completed.reply);
        }
    }

    /// Returns whether the client has closed the connection, even if input is unread.
    fn has_hung_up(&self) -> bool {
        self.probe_hidden_end();
        io::hung_up(&self.stream)
    }

    /// While the socket holds unread input, the client's system may hold back more of it, and the end of the
    /// connection behind that. The router then can't see that the client has closed, but a write makes
    /// the client's system reset the connection. So this writes a message that clients ignore, at most once
    /// in [`PROBE_INTERVAL`], while a command awaits its reply and no other output is being written.
    fn probe_hidden_end(&self) {
        let is_due = self.probed_at.get().is_none_or(|at| at.elapsed() >= PROBE_INTERVAL);
        if !is_due || io::unread_len(&self.stream) == 0 {
            return;
        }
        let conversation = self.conversation.borrow();
        if conversation.has_output() || conversation.has_replied_to_all() {
            return;
        }
        self.probed_at.set(Some(Instant::now()));
        // A part of a message would have to be completed before the next one. The socket's send buffer is
        // empty, or the client has not read the earlier probes, so a part is written only to a client that
        // does not read.
        let message = client::repeated_parameter();
        let written = io::uninterrupted(|| self.stream.get_ref().write(&message));
        if written.is_ok_and(|len| len < message.len()) {
            io::reset_on_close(&self.stream);
            let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Updates the connection's state in its handle for the other tasks.
    fn publish_state(&self) {
        let conversation = self.conversation.borrow();
        let state = match self.handle.state.get() {
            ConnectionState::Draining(since) => ConnectionState::Draining(since),
            _ if conversation.is_closing() && conversation.has_replied_to_all() => {
                ConnectionState::Draining(Instant::now())
            }
            _ if !conversation.is_idle() => ConnectionState::Busy,
            ConnectionState::Idle(since) => ConnectionState::Idle(since),
            _ if conversation.has_been_used() => ConnectionState::Idle(Instant::now()),
            _ => ConnectionState::Unused(self.connected_at),
        };
        self.handle.state.set(state);
        self.update_request_memory();
        self.handle.set_reply_memory(conversation.reply_memory());
        self.handle.set_next_reply(conversation.next_reply());
        if !conversation.has_output() {
            self.handle.output_stalled_since.set(None);
        } else if self.handle.output_stalled_since.get().is_none() {
            self.handle.output_stalled_since.set(Some(Instant::now()));
        }
        self.handle.message_started.set(self.message_started());
    }

    /// Returns when the first byte of the incomplete message was received, if there is one.
    fn message_started(&self) -> Option<Instant> {
        let started = self.conversation.borrow().message_started();
        started.map(|at| self.driver.clock.instant(at))
    }

    /// Returns whether no request is in flight, all replies are written and the conversation is not closing.
    fn is_between_requests(&self) -> bool {
        let conversation = self.conversation.borrow();
        conversation.is_idle() && !conversation.is_closing()
    }

    /// Returns whether the client has sent no valid request or empty query since it connected.
    fn awaits_first_request(&self) -> bool {
        self.is_between_requests() && !self.conversation.borrow().has_been_used()
    }

    /// Checks for the end of the conversation, a requested reset or discard, the timeouts, a shutdown of
    /// the router and an eviction, in this order.
    fn check(
        &self,
        write_progress: &mut WriteProgress,
        wake_up: &mut WakeUp,
    ) -> Result<Check, ConnectionEnd> {
        let now = Instant::now();
        if self.conversation.borrow().is_idle() && self.conversation.borrow().is_closing() {
            return Err(ConnectionEnd::Closed);
        }
        if self.handle.is_reset_requested() {
            io::reset_on_close(&self.stream);
            return Err(ConnectionEnd::Disconnected);
        }
        if self.handle.take_discard_request() && self.handle.large_message.get().is_some() {
            self.discard_message();
            return Ok(Check::Changed);
        }
        self.check_write_timeout(now, write_progress, wake_up)?;
        if let Check::Changed = self.check_message_timeout(now, wake_up) {
            return Ok(Check::Changed);
        }
        if let Check::Changed = self.check_shutdown(now, wake_up)? {
            return Ok(Check::Changed);
        }
        self.check_eviction()
    }

    /// Resets the connection of a client that has not received a reply within [`WRITE_TIMEOUT`].
    fn check_write_timeout(
        &self,
        now: Instant,
        write_progress: &mut WriteProgress,
        wake_up: &mut WakeUp,
    ) -> Result<(), ConnectionEnd> {
        if !self.conversation.borrow().has_output() {
            write_progress.blocked_since = None;
            return Ok(());
        }
        let deadline = *write_progress.blocked_since.get_or_insert(now) + WRITE_TIMEOUT;
        if now >= deadline {
            io::reset_on_close(&self.stream);
            return Err(ConnectionEnd::Disconnected);
        }
        wake_up.at(deadline);
        Ok(())
    }

    /// Closes the conversation of a client that has not sent its first request, or the rest of a message,
    /// within [`MESSAGE_TIMEOUT`].
    fn check_message_timeout(&self, now: Instant, wake_up: &mut WakeUp) -> Check {
        let first_request = self.awaits_first_request().then_some(self.connected_at);
        let started = self.message_started().into_iter().chain(first_request).min();
        let Some(deadline) = started.map(|started| started + MESSAGE_TIMEOUT) else { return Check::Passed };
        if now >= deadline {
            self.conversation.borrow_mut().time_out_message();
            return Check::Changed;
        }
        wake_up.at(deadline);
        Check::Passed
    }

    /// During a shutdown, limits the input to the bytes that have been received by now and the rest of a
    /// message that has begun, and closes the conversation once no request is in flight. A client that has
    /// just connected may still send a request within [`SHUTDOWN_GRACE`].
    fn check_shutdown(&self, now: Instant, wake_up: &mut WakeUp) -> Result<Check, ConnectionEnd> {
        if !self.driver.shutdown.is_draining() {
            return Ok(Check::Passed);
        }
        if self.awaits_first_request() && self.message_started().is_none() {
            let grace_end = self.connected_at + SHUTDOWN_GRACE;
            if now < grace_end {
                wake_up.at(grace_end);
                return Ok(Check::Passed);
            }
        }
        if !self.conversation.borrow().is_input_limited() {
            self.conversation.borrow_mut().limit_input(io::unread_len(&self.stream));
            self.receive_now()?;
            return Ok(Check::Changed);
        }
        if self.is_between_requests() && !self.conversation.borrow().accepts_input() {
            self.close_between_requests();
            return Ok(Check::Changed);
        }
        Ok(Check::Passed)
    }

    /// Closes an evicted connection once no request is in flight. Input that has been received by now is
    /// still served.
    fn check_eviction(&self) -> Result<Check, ConnectionEnd> {
        if !self.handle.is_eviction_requested() || !self.is_between_requests() {
            return Ok(Check::Passed);
        }
        if self.receive_now()? == 0 {
            self.close_between_requests();
        }
        Ok(Check::Changed)
    }

    /// Waits for the next deadline, a writable socket, a change of the handle or input, whichever is first.
    async fn wait(&self, wake_up: &WakeUp, write_progress: &mut WriteProgress) -> Result<(), ConnectionEnd> {
        let deadline = async {
            match wake_up.0 {
                Some(instant) => drop(Timer::at(instant).await),
                None => future::pending().await,
            }
            Ok(())
        };
        let changed = async {
            self.handle.changed().await;
            Ok(())
        };
        let write = async {
            if !self.conversation.borrow().has_output() {
                return future::pending().await;
            }
            if self.write_output().await.map_err(|_| ConnectionEnd::Disconnected)? {
                write_progress.blocked_since = None;
            }
            Ok(())
        };
        let read = self.read_input();
        future::or(deadline, future::or(write, future::or(changed, read))).await
    }

    /// Reads once without waiting. Returns the number of bytes that were read, 0 if there are none. Fails if
    /// the client has disconnected.
    fn receive_now(&self) -> Result<usize, ConnectionEnd> {
        let max_len = self.room_for_input();
        match io::uninterrupted(|| self.receive(self.stream.get_ref(), max_len)) {
            Ok(0) => Err(ConnectionEnd::Disconnected),
            Ok(len) => Ok(len),
            Err(e) if e.kind() == ErrorKind::WouldBlock || io::is_transient(&e) => Ok(0),
            Err(_) => Err(ConnectionEnd::Disconnected),
        }
    }

    /// Reads once from `stream` into the conversation, `max_len` bytes at most.
    fn receive(&self, stream: &TcpStream, max_len: usize) -> std::io::Result<usize> {
        let result = self.driver.read_buffer.read_once(stream, max_len, |received| {
            let now = self.driver.clock.now();
            self.conversation.borrow_mut().feed(received.bytes, received.drained, now);
        });
        if result.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.conversation.borrow_mut().socket_drained();
        }
        self.handle.record_input();
        self.update_request_memory();
        result
    }

    /// Reads from the socket once the conversation accepts more input and there is memory for it.
    async fn read_input(&self) -> Result<(), ConnectionEnd> {
        let allowed = async { Ok(self.allow_read().await) };
        let max_len = future::or(allowed, self.disconnected()).await?;
        self.conversation.borrow_mut().resume_reading(self.driver.clock.now());
        match io::read_with(&self.stream, |s| self.receive(s, max_len)).await {
            Ok(1..) => Ok(()),
            _ => Err(ConnectionEnd::Disconnected),
        }
    }

    /// Checks every [`HANGUP_CHECK_INTERVAL`] whether the client has disconnected, until it has.
    async fn disconnected(&self) -> Result<usize, ConnectionEnd> {
        while !self.has_hung_up() {
            Timer::after(HANGUP_CHECK_INTERVAL).await;
        }
        Err(ConnectionEnd::Disconnected)
    }

    /// Writes as much output as the socket accepts now. Fails if the client has disconnected.
    fn write_now(&self, write_progress: &mut WriteProgress) -> Result<(), ConnectionEnd> {
        if !self.conversation.borrow().has_output() {
            return Ok(());
        }
        match io::uninterrupted(|| self.write_to(self.stream.get_ref())) {
            Ok(len) => {
                if self.mark_written(len) {
                    write_progress.blocked_since = None;
                }
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock || io::is_transient(&e) => Ok(()),
            Err(_) => Err(ConnectionEnd::Disconnected),
        }
    }

    /// Writes as much output as the socket accepts, once it accepts any. Returns whether this completes a
    /// reply or session token.
    async fn write_output(&self) -> std::io::Result<bool> {
        let len = io::write_with(&self.stream, |stream| self.write_to(stream)).await?;
        Ok(self.mark_written(len))
    }

    /// Writes the next output to `stream`. Returns the number of bytes that were written.
    fn write_to(&self, mut stream: &TcpStream) -> std::io::Result<usize> {
        let conversation = self.conversation.borrow();
        let mut slices = [IoSlice::new(&[]); MAX_GATHERED_REPLIES];
        let count = conversation.fill_output(&mut slices);
        match stream.write_vectored(&slices[..count])? {
            0 => Err(ErrorKind::WriteZero.into()),
            len => Ok(len),
        }
    }

    /// Records that `len` bytes of output have been written. Returns whether this completes a reply or
    /// session token.
    fn mark_written(&self, len: usize) -> bool {
        self.handle.output_stalled_since.set(Some(Instant::now()));
        self.conversation.borrow_mut().mark_written(len)
    }
}
