//! Encoding and decoding of the simulator's frames. This module makes no routing decisions.
//!
//! A frame consists of a header, records of equal length, and a tail of bytes to which records refer by
//! offset. All numbers are big-endian.

mod cursor;
mod decoder;
mod error;
mod reply;

pub use decoder::Decoder;
pub use error::{FrameError, RecordError};
pub use reply::encode_reply;

use basalthill_config::settings::Deployment;
use basalthill_policy::api::{Action, Event, Request, SessionKey, Time};

/// The size of a frame's header in bytes: the length of the frame, the clock, the number of records.
pub(crate) const FRAME_HEADER_LEN: usize = 16;
/// The size of the record of an event in bytes.
const EVENT_LEN: usize = 56;
/// The size of a row of an endpoint list in bytes. Rows are in the tail.
const LIST_ROW_LEN: usize = 26;
/// The size of a reply's header in bytes: the number of actions, the length of the reply.
const REPLY_HEADER_LEN: usize = 8;
/// The size of the record of an action in bytes.
const ACTION_LEN: usize = 32;

/// A frame of events.
#[derive(Debug)]
pub struct Frame {
    /// The time of the simulator's clock at which the events occur.
    pub now: Time,
    /// The events, in order.
    pub events: Vec<InstanceEvent>,
}

/// An event for one router instance.
#[derive(Debug)]
pub struct InstanceEvent {
    /// The number of the instance.
    pub instance: u32,
    /// The event.
    pub event: Incoming,
}

/// An action of one router instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceAction {
    /// The number of the instance.
    pub instance: u32,
    /// The action.
    pub action: Action,
}

/// An event as decoded from a frame.
#[derive(Debug)]
pub enum Incoming {
    /// The instance starts.
    Start {
        /// The seed of its random numbers.
        seed: u64,
        /// The settings of its deployment.
        deployment: Box<Deployment>,
    },
    /// The instance was killed.
    Stop,
    /// A request. Its floor is not set yet; it depends on the session.
    Request {
        /// The request.
        request: Request,
        /// The session of the request, if it has one.
        session: Option<SessionKey>,
        /// The time since the last write of the session, if the request contains it.
        token_age: Option<Time>,
    },
    /// Any other event, for the routing policy.
    Event(Event),
}
