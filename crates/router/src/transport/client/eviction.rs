//! Which client's connection makes place for another where descriptors are short.

use super::registry::ClientRegistry;
use basalthill_config::router::{CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT};
use futures_lite::future;
use std::time::{Duration, Instant};

/// A client in the middle of a message is left alone for this long, whoever else may connect.
const MESSAGE_PROTECTION: Duration = Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0 / 2);
/// A client that has just connected or been answered is left alone for this long.
const IDLE_PROTECTION: Duration = Duration::from_nanos(CLIENT_EVICTION_IDLE.0);

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It has had no request since it connected, at this moment.
    Unused(Instant),
    /// Requests of it are out, or replies are to be written.
    Busy,
    /// It has had all replies since this moment, and has sent no request after that.
    Idle(Instant),
    /// The router ends it, since this moment.
    Draining(Instant),
}

/// How readily a connection makes place for another, the readiest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// Not at all.
    Never,
    /// Not yet, but in a moment.
    Soon,
    /// It has been in the middle of a message for so long: it may have sent the rest by now.
    MidMessage(Duration),
    /// It has been idle for so long.
    Idle(Duration),
    /// It has had no request, or is about to end, for so long.
    Unused(Duration),
}

impl Eviction {
    /// How readily a connection makes place: by its state, since when a message is incomplete, and whether
    /// it has been evicted already.
    pub fn of(state: ConnectionState, message_started: Option<Instant>, evicted: bool) -> Eviction {
        let since = match state {
            ConnectionState::Busy => return Eviction::Never,
            ConnectionState::Unused(since)
            | ConnectionState::Idle(since)
            | ConnectionState::Draining(since) => since,
        };
        // An evicted connection's task is about to end.
        if evicted || since.elapsed() < IDLE_PROTECTION {
            return Eviction::Soon;
        }
        let mid_message = message_started.map(|started| match started.elapsed() {
            age if age < MESSAGE_PROTECTION => Eviction::Soon,
            age => Eviction::MidMessage(age),
        });
        match state {
            ConnectionState::Busy => Eviction::Never,
            ConnectionState::Idle(since) => mid_message.unwrap_or(Eviction::Idle(since.elapsed())),
            ConnectionState::Unused(since) => mid_message.unwrap_or(Eviction::Unused(since.elapsed())),
            ConnectionState::Draining(since) => Eviction::Unused(since.elapsed()),
        }
    }
}

impl ClientRegistry {
    /// Ends the connection that makes place most readily, if it does so more readily than `threshold`; how
    /// readily it did.
    pub async fn evict(&self, threshold: Eviction) -> Eviction {
        let Some((eviction, handle)) = self.readiest_to_evict() else { return Eviction::Never };
        if eviction > threshold {
            handle.evict();
            // Its task is awake by now and ends before this one goes on.
            future::yield_now().await;
        }
        eviction
    }
}
