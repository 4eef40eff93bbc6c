//! Selection of the client connection to evict when no more descriptors are available.

use super::registry::ClientRegistry;
use basalthill_config::router::{CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT};
use futures_lite::future;
use std::time::{Duration, Instant};

/// The time for which a client with an incomplete message is not evicted, from the message's first byte.
const MESSAGE_PROTECTION: Duration = Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0 / 2);
/// The time for which a client with an incomplete message is not evicted before clients without one, from the
/// last byte that it has sent.
const STOP_PROTECTION: Duration = Duration::from_millis(500);
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
    /// It has stopped in the middle of a message: it has sent nothing for this long, and is no longer
    /// protected.
    Stopped(Duration),
}

/// An incomplete message of a client.
#[derive(Clone, Copy, Debug)]
pub struct PartialMessage {
    /// When its first byte was received.
    pub started: Instant,
    /// When the last of its bytes were received.
    pub received_at: Instant,
}

impl PartialMessage {
    /// Returns the priority of a connection for eviction that is otherwise idle.
    fn eviction_priority(self) -> EvictionPriority {
        let (age, pause) = (self.started.elapsed(), self.received_at.elapsed());
        if pause >= STOP_PROTECTION {
            EvictionPriority::Stopped(pause)
        } else if age >= MESSAGE_PROTECTION {
            EvictionPriority::MidMessage(age)
        } else {
            EvictionPriority::NotYet
        }
    }
}

impl EvictionPriority {
    /// Returns the priority of a connection in this state, which may have received a part of a message.
    pub fn of(
        state: ConnectionState,
        partial_message: Option<PartialMessage>,
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
        let mid_message = partial_message.map(PartialMessage::eviction_priority);
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
