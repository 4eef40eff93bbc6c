//! The main loop, which replies to each frame. One process has several router instances, which share no state
//! except the numbered endpoint lists.

use crate::router::Router;
use crate::wire::{encode_reply, Decoder, FrameError, Incoming, InstanceAction, InstanceEvent};
use basalthill_policy::api::Time;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Why the adapter stops before the end of its input. The `Display` form is one line. It contains the index
/// of the frame, unless writing the reply failed.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A frame can't be read or decoded.
    #[error("frame {number}: {source}")]
    Frame {
        /// The index of the frame, from 0.
        number: u64,
        /// The problem with the frame.
        source: FrameError,
    },
    /// An event is for an instance that has not been started, or that has been stopped.
    #[error("frame {frame}: router instance {instance} is not running")]
    UnknownInstance {
        /// The index of the frame, from 0.
        frame: u64,
        /// The number of the instance.
        instance: u32,
    },
    /// A reply can't be written.
    #[error("failed to write a reply: {0}")]
    Write(io::Error),
}

/// Writes one reply to each frame of the input, until the input ends. It is an error if the input ends inside
/// a frame.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    for number in 0u64.. {
        let in_frame = |source| AdapterError::Frame { number, source };
        let Some(bytes) = read_frame(&mut input).map_err(in_frame)? else { break };
        let frame = adapter.decoder.decode(&bytes).map_err(in_frame)?;
        let actions = adapter.handle_events(frame.now, frame.events);
        let unknown = |instance| AdapterError::UnknownInstance { frame: number, instance };
        let reply = encode_reply(&actions.map_err(unknown)?);
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// The router instances, and the decoder with the state that frames refer to.
#[derive(Default)]
struct Adapter {
    decoder: Decoder,
    routers: BTreeMap<u32, Router>,
}

impl Adapter {
    /// Handles the events of a frame and returns the actions in order. The error is the number of an instance
    /// that is not running.
    fn handle_events(&mut self, now: Time, events: Vec<InstanceEvent>) -> Result<Vec<InstanceAction>, u32> {
        let mut actions = Vec::new();
        let mut output = Vec::new();
        for InstanceEvent { instance, event } in events {
            match event {
                Incoming::Start { seed, deployment } => {
                    self.routers.insert(instance, Router::new(now, seed, *deployment));
                }
                Incoming::Stop => {
                    self.routers.remove(&instance);
                    // The actions of a killed instance have no effect, including those from earlier in this
                    // frame.
                    actions.retain(|action: &InstanceAction| action.instance != instance);
                }
                Incoming::Request { request, session, token_age } => {
                    let router = self.routers.get_mut(&instance).ok_or(instance)?;
                    router.handle_request(now, request, session, token_age, &mut output);
                }
                Incoming::Event(event) => {
                    let router = self.routers.get_mut(&instance).ok_or(instance)?;
                    router.handle(now, event, &mut output);
                }
            }
            actions.extend(output.drain(..).map(|action| InstanceAction { instance, action }));
        }
        Ok(actions)
    }
}

/// The size of a frame's length field in bytes. The length includes the field itself.
const LENGTH_FIELD_LEN: usize = 4;

/// Reads the next frame; returns `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let mut length_field = [0; LENGTH_FIELD_LEN];
    let mut filled = 0;
    while filled < LENGTH_FIELD_LEN {
        match input.read(&mut length_field[filled..])? {
            0 if filled == 0 => return Ok(None),
            0 => return Err(FrameError::TruncatedLength),
            len => filled += len,
        }
    }
    let len = Decoder::frame_len(length_field)?;
    let mut frame = length_field.to_vec();
    let rest_len = len - LENGTH_FIELD_LEN;
    let received = input.take(rest_len as u64).read_to_end(&mut frame)?;
    if received != rest_len {
        return Err(FrameError::Truncated { missing: rest_len - received, len });
    }
    Ok(Some(frame))
}
