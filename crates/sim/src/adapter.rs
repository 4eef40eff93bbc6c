//! The loop over frames. Each router instance is kept apart from the others.

use crate::router::Router;
use crate::wire::{encode_reply, Decoder, FrameError, Incoming, InstanceAction, InstanceEvent};
use basalthill_policy::api::Time;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Why the adapter ends before its input does. Printed, it is one line that names the frame.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A frame can't be read.
    #[error("frame {number}: {source}")]
    Frame {
        /// The frame, counted from 0.
        number: u64,
        /// What is wrong with it.
        source: FrameError,
    },
    /// An event for an instance that was never started.
    #[error("frame {frame}: router {instance} was never started")]
    UnknownInstance {
        /// The frame, counted from 0.
        frame: u64,
        /// The instance.
        instance: u32,
    },
    /// The reply can't be written.
    #[error(transparent)]
    Write(io::Error),
}

/// Answers each frame of the input with one reply, until the input ends between two frames.
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

/// The router instances and what their frames refer to.
#[derive(Default)]
struct Adapter {
    decoder: Decoder,
    routers: BTreeMap<u32, Router>,
}

impl Adapter {
    /// Handles a frame's events, and returns the actions in order. The error is an instance that was never
    /// started.
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
                    // A killed instance does nothing more, not even what it did earlier in this frame.
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

/// Bytes of a frame's length field, which counts itself.
const LENGTH_FIELD_LEN: usize = 4;

/// The next frame; none at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let mut length_field = [0; LENGTH_FIELD_LEN];
    let mut have = 0;
    while have < LENGTH_FIELD_LEN {
        match input.read(&mut length_field[have..])? {
            0 if have == 0 => return Ok(None),
            0 => return Err(FrameError::TruncatedLength),
            len => have += len,
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
