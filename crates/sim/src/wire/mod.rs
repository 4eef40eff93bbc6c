//! Encoding and decoding of the simulator's frames. No decision lives here.
//!
//! A frame is a header, records of one length, and a tail that records refer to. All numbers are big-endian.

mod cursor;
mod decoder;
mod error;
mod reply;

pub use decoder::Decoder;
pub use error::{FrameError, RecordError};
pub use reply::encode_reply;

use basalthill_config::settings::Deployment;
use basalthill_policy::api::{Action, Event, Request, SessionKey, Time};

/// Bytes of a frame's header: its length, the clock, the count of records.
pub(crate) const FRAME_HEADER_LEN: usize = 16;
/// Bytes of an event's record.
const EVENT_LEN: usize = 56;
/// Bytes of an endpoint list's row, in the tail.
const LIST_ROW_LEN: usize = 26;
/// Bytes of a reply's header: the count of actions, its length.
const REPLY_HEADER_LEN: usize = 8;
/// Bytes of an action's record.
const ACTION_LEN: usize = 32;

/// A frame of events.
#[derive(Debug)]
pub struct Frame {
    /// The clock.
    pub now: Time,
    /// The events in order.
    pub events: Vec<InstanceEvent>,
}

/// An event for one router instance.
#[derive(Debug)]
pub struct InstanceEvent {
    /// The instance.
    pub instance: u32,
    /// The event.
    pub event: Incoming,
}

/// An action of one router instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceAction {
    /// The instance.
    pub instance: u32,
    /// The action.
    pub action: Action,
}

/// An event as the wire has it.
#[derive(Debug)]
pub enum Incoming {
    /// The instance starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its deployment.
        deployment: Box<Deployment>,
    },
    /// The instance was killed.
    Stop,
    /// A request. Its floor is not known yet.
    Request {
        /// The request.
        request: Request,
        /// Its session.
        session: Option<SessionKey>,
        /// How long ago the session last wrote, if the request says so.
        token_age: Option<Time>,
    },
    /// Any other event of the policy.
    Event(Event),
}
