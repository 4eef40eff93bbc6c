//! Selection of the client connection to evict when no more descriptors are available.

use super::registry::ClientRegistry;
use basalthill_config::router::{CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT};
use futures_lite::future;
use std::time::{Duration, Instant};

/// The time for which a client with an incomplete message is not evicted, from the message's first byte.
const MESSAGE_PROTECTION: Duration = Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0 / 2);
/// The time for which a client is not evicted after it has connected or received its last reply.
const IDLE_PROTECTION: Duration = Duration::from_nanos(CLIENT_EVICTION_IDLE.0);

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No valid request or empty query has been received since the client connected, at this instant.
    Unused(Instant),
    /// Requests are in flight or replies are still to be written.
    Busy,
    /// All replies have been written since this instant, and no further request has been received.
    Idle(Instant),
    /// The router has been closing it since this instant.
    Draining(Instant),
}

/// The priority of a connection for eviction, in ascending order: the connection with the greatest value is
/// evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionPriority {
    /// It must not be evicted.
    Never,
    /// It is still protected, or its eviction has already been requested.
    NotYet,
    /// It has had an incomplete message for this long, and is no longer protected.
    MidMessage(Duration),
    /// It has been idle for this long.
    Idle(Duration),
    /// It has had no valid request yet, or the router has been closing it, for this long.
    Unused(Duration),
}

impl EvictionPriority {
    /// Returns the priority of a connection in this state, where `message_started` is the arrival time of the
    /// first byte of an incomplete message, if there is one.
    pub fn of(
        state: ConnectionState,
        message_started: Option<Instant>,
        eviction_requested: bool,
    ) -> EvictionPriority {
        let since = match state {
            ConnectionState::Busy => return EvictionPriority::Never,
            ConnectionState::Unused(since)
            | ConnectionState::Idle(since)
            | ConnectionState::Draining(since) => since,
        };
        // The task of an evicted connection is about to close it.
        if eviction_requested || since.elapsed() < IDLE_PROTECTION {
            return EvictionPriority::NotYet;
        }
        let mid_message = message_started.map(|started| match started.elapsed() {
            age if age < MESSAGE_PROTECTION => EvictionPriority::NotYet,
            age => EvictionPriority::MidMessage(age),
        });
        match state {
            ConnectionState::Busy => EvictionPriority::Never,
            ConnectionState::Idle(since) => mid_message.unwrap_or(EvictionPriority::Idle(since.elapsed())),
            ConnectionState::Unused(since) => {
                mid_message.unwrap_or(EvictionPriority::Unused(since.elapsed()))
            }
            ConnectionState::Draining(since) => EvictionPriority::Unused(since.elapsed()),
        }
    }
}

impl ClientRegistry {
    /// Evicts the connection with the highest priority, if that is higher than `threshold`. Returns the
    /// priority of that connection whether it was evicted or not.
    pub async fn evict(&self, threshold: EvictionPriority) -> EvictionPriority {
        let Some((priority, handle)) = self.eviction_candidate() else { return EvictionPriority::Never };
        if priority > threshold {
            handle.request_eviction();
            // The connection's task has been woken; it runs and closes the connection before this task
            // resumes.
            future::yield_now().await;
        }
        priority
    }
}
