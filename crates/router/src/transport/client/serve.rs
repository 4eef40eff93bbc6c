//! The task of one client's connection: it moves bytes between the socket and the conversation, requests and
//! answers between the conversation and routing, and keeps the connection's deadlines.

use super::eviction::ConnectionState;
use super::{ClientConnection, ConnectionEnd};
use crate::routing::{ClientRequest, Input};
use crate::transport::conversation::Step;
use crate::transport::io;
use async_io::Timer;
use basalthill_config::router::{CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT, CLIENT_WRITE_TIMEOUT};
use futures_lite::future;
use std::io::{ErrorKind, IoSlice, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How often it is checked whether a client is still there behind what it has sent and what is not read on.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How many messages of one client are handled before others get their turn: it may send without end.
const MAX_STEPS_AT_ONCE: usize = 16;
/// How many replies are gathered into one write.
const MAX_GATHERED_REPLIES: usize = 16;
/// How long a client may take to accept a reply that is being written.
const WRITE_TIMEOUT: Duration = Duration::from_nanos(CLIENT_WRITE_TIMEOUT.0);
/// How long a client may take for its first request, and for each message.
const MESSAGE_TIMEOUT: Duration = Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0);
/// How long a client that has just connected may take to send a request while the router stops.
const SHUTDOWN_GRACE: Duration = Duration::from_nanos(CLIENT_EVICTION_IDLE.0);

/// The moment at which the task has to look again, if nothing happens before.
#[derive(Default)]
struct WakeUp(Option<Instant>);

impl WakeUp {
    fn at(&mut self, instant: Instant) {
        self.0 = Some(self.0.map_or(instant, |earlier| earlier.min(instant)));
    }
}

/// What a check of the connection's state led to.
enum Check {
    /// Nothing: the next check follows.
    Passed,
    /// The conversation has changed: its steps come first.
    Changed,
}

/// Whether a client takes the reply that is being written.
#[derive(Default)]
struct WriteProgress {
    /// Since when the reply that is being written waits for its client.
    blocked_since: Option<Instant>,
}

impl ClientConnection {
    /// Carries the conversation up to its end.
    pub(super) async fn serve(&self) -> ConnectionEnd {
        let mut write_progress = WriteProgress::default();
        loop {
            let more_steps = self.run_steps();
            self.publish_state();
            let mut wake_up = WakeUp::default();
            match self.check(&mut write_progress, &mut wake_up) {
                Err(end) => return end,
                Ok(Check::Changed) => continue,
                Ok(Check::Passed) => {}
            }
            // One that sends without end would otherwise occupy the thread.
            future::yield_now().await;
            if more_steps {
                continue;
            }
            if let Err(end) = self.wait(&wake_up, &mut write_progress).await {
                return end;
            }
        }
    }

    /// Does what the conversation has to do now; whether there is more to do at once.
    fn run_steps(&self) -> bool {
        let mut conversation = self.conversation.borrow_mut();
        for _ in 0..MAX_STEPS_AT_ONCE {
            if let Some(token) = self.handle.session_token.take() {
                conversation.push_session_token(&token);
            }
            for answered in self.handle.answers.take() {
                conversation.answer(answered.command, answered.answer);
            }
            match conversation.next_step(self.driver.clients.is_ready()) {
                None => return false,
                Some(Step::Handled) => {}
                Some(Step::Forward { command, statement, arrived_at }) => {
                    let request = ClientRequest { client: self.id, command, statement, arrived_at };
                    self.driver.handle(Input::Request(request));
                }
                Some(Step::Cancel(key)) => {
                    if let Some(client) = self.driver.clients.client_of_key(key) {
                        self.driver.handle(Input::CancelRequested(client));
                    }
                }
            }
        }
        true
    }

    /// Shows the other tasks the connection's state.
    fn publish_state(&self) {
        let conversation = self.conversation.borrow();
        let state = match self.handle.state.get() {
            ConnectionState::Draining(since) => ConnectionState::Draining(since),
            _ if conversation.is_ending() && conversation.is_answered() => {
                ConnectionState::Draining(Instant::now())
            }
            _ if !conversation.is_idle() => ConnectionState::Busy,
            ConnectionState::Idle(since) => ConnectionState::Idle(since),
            _ if conversation.has_been_used() => ConnectionState::Idle(Instant::now()),
            _ => ConnectionState::Unused(self.connected_at),
        };
        self.handle.state.set(state);
        self.handle.message_started.set(self.message_started());
    }

    /// When the first byte arrived of the message that is incomplete.
    fn message_started(&self) -> Option<Instant> {
        let started = self.conversation.borrow().message_started();
        started.map(|at| self.driver.clock.instant(at))
    }

    /// Whether nothing is open and the conversation goes on.
    fn is_between_requests(&self) -> bool {
        let conversation = self.conversation.borrow();
        conversation.is_idle() && !conversation.is_ending()
    }

    /// Whether the client has sent no request, nor the beginning of one, since it connected.
    fn awaits_first_request(&self) -> bool {
        self.is_between_requests() && !self.conversation.borrow().has_been_used()
    }

    /// Checks the end, the deadlines, a stop of the router and an eviction, in this order.
    fn check(
        &self,
        write_progress: &mut WriteProgress,
        wake_up: &mut WakeUp,
    ) -> Result<Check, ConnectionEnd> {
        let now = Instant::now();
        if self.conversation.borrow().is_idle() && self.conversation.borrow().is_ending() {
            return Err(ConnectionEnd::Closed);
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

    /// Resets the connection of a client that does not take what is written.
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
            return Err(ConnectionEnd::ClientGone);
        }
        wake_up.at(deadline);
        Ok(())
    }

    /// Dismisses a client that has had its time for its first request, or for a message.
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

    /// While the router stops, takes what has arrived by now and the rest of a message that has begun, and
    /// ends between two requests. A client that has just connected may still send a request.
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
            self.end_between_requests();
            return Ok(Check::Changed);
        }
        Ok(Check::Passed)
    }

    /// Ends a connection that is to make place for another; what has arrived by now is still served.
    fn check_eviction(&self) -> Result<Check, ConnectionEnd> {
        if !self.handle.is_evicted() || !self.is_between_requests() {
            return Ok(Check::Passed);
        }
        if self.receive_now()? == 0 {
            self.end_between_requests();
        }
        Ok(Check::Changed)
    }

    /// Waits for a deadline, a writable socket, a change of the handle, or bytes, whichever is first.
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
            if self.write_output().await.map_err(|_| ConnectionEnd::ClientGone)? {
                write_progress.blocked_since = None;
            }
            Ok(())
        };
        let read = self.read_input();
        future::or(deadline, future::or(write, future::or(changed, read))).await
    }

    /// Reads what has arrived by now, without waiting; how many bytes that were.
    fn receive_now(&self) -> Result<usize, ConnectionEnd> {
        match io::uninterrupted(|| self.receive(self.stream.get_ref())) {
            Ok(0) => Err(ConnectionEnd::ClientGone),
            Ok(len) => Ok(len),
            Err(e) if e.kind() == ErrorKind::WouldBlock || io::is_transient(&e) => Ok(0),
            Err(_) => Err(ConnectionEnd::ClientGone),
        }
    }

    /// Reads once into the conversation.
    fn receive(&self, stream: &TcpStream) -> std::io::Result<usize> {
        let result = self.driver.read_buffer.read_once(stream, |received| {
            let now = self.driver.clock.now();
            self.conversation.borrow_mut().feed(received.bytes, received.drained, now);
        });
        if result.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.conversation.borrow_mut().socket_drained();
        }
        result
    }

    /// Reads on, as far as the conversation accepts more; notices all the same that the client has gone.
    async fn read_input(&self) -> Result<(), ConnectionEnd> {
        if !self.conversation.borrow().accepts_input() {
            self.conversation.borrow_mut().pause_reading(self.driver.clock.now());
            while !io::hung_up(&self.stream) {
                Timer::after(HANGUP_CHECK_INTERVAL).await;
            }
            return Err(ConnectionEnd::ClientGone);
        }
        self.acquire_large_permit().await;
        self.conversation.borrow_mut().resume_reading(self.driver.clock.now());
        match io::read_with(&self.stream, |s| self.receive(s)).await {
            Ok(1..) => Ok(()),
            _ => Err(ConnectionEnd::ClientGone),
        }
    }

    /// Large statements are read a few at a time, or they would fill the memory together.
    async fn acquire_large_permit(&self) {
        let needs_permit = self.conversation.borrow().needs_large_permit();
        if !needs_permit {
            self.large_permit.take();
        } else if self.large_permit.borrow().is_none() {
            self.conversation.borrow_mut().pause_reading(self.driver.clock.now());
            let permit = self.driver.clients.large_statements.acquire().await;
            self.large_permit.replace(Some(permit));
        }
    }

    /// Writes some of the output; whether a reply is complete with it.
    async fn write_output(&self) -> std::io::Result<bool> {
        let call = |mut s: &TcpStream| {
            let conversation = self.conversation.borrow();
            let mut slices = [IoSlice::new(&[]); MAX_GATHERED_REPLIES];
            let count = conversation.fill_output(&mut slices);
            s.write_vectored(&slices[..count])
        };
        match io::write_with(&self.stream, call).await? {
            0 => Err(ErrorKind::WriteZero.into()),
            len => Ok(self.conversation.borrow_mut().mark_written(len)),
        }
    }
}
