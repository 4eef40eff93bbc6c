//! Encodes the actions that result from the events of a frame.

use super::{InstanceAction, ACTION_LEN, REPLY_HEADER_LEN};
use basalthill_policy::api::{Action, Time};

/// Encodes a reply: a header, one record for each action, and a tail with the texts of log actions.
pub fn encode_reply(actions: &[InstanceAction]) -> Vec<u8> {
    let mut reply = Vec::with_capacity(REPLY_HEADER_LEN + actions.len() * ACTION_LEN);
    let mut tail: Vec<u8> = Vec::new();
    reply.extend((actions.len() as u32).to_be_bytes());
    reply.extend([0; 4]);
    for action in actions {
        let record_end = reply.len() + ACTION_LEN;
        encode_action(action, &mut reply, &mut tail);
        reply.resize(record_end, 0);
    }
    reply.extend(tail);
    let len = reply.len() as u32;
    reply[4..REPLY_HEADER_LEN].copy_from_slice(&len.to_be_bytes());
    reply
}

fn encode_action(action: &InstanceAction, reply: &mut Vec<u8>, tail: &mut Vec<u8>) {
    let mut put = |code: u8, fields: &[&[u8]]| {
        reply.push(code);
        reply.extend(action.instance.to_be_bytes());
        fields.iter().for_each(|field| reply.extend(*field));
    };
    match &action.action {
        Action::Send(id, member, timeout) => {
            // Zero means no timeout.
            let timeout = timeout.map_or(0, |timeout| timeout.0.max(1));
            put(1, &[&id.0.to_be_bytes(), &member.0.to_be_bytes(), &timeout.to_be_bytes()]);
        }
        Action::Reject(id, retry_after) => {
            let Time(retry_after) = retry_after.unwrap_or(Time(0));
            put(2, &[&id.0.to_be_bytes(), &retry_after.to_be_bytes()]);
        }
        Action::Fail(id) => put(3, &[&id.0.to_be_bytes()]),
        Action::Cancel(id, attempt) => put(4, &[&id.0.to_be_bytes(), &attempt.0.to_be_bytes()]),
        Action::Timer(after, token) => put(5, &[&after.0.to_be_bytes(), &token.to_be_bytes()]),
        Action::Probe(member) => put(6, &[&member.0.to_be_bytes()]),
        Action::CloseIdle(member) => put(7, &[&member.0.to_be_bytes()]),
        Action::Log(text) => {
            let start = tail.len() as u32;
            let len = text.len() as u32;
            put(9, &[&start.to_be_bytes(), &len.to_be_bytes()]);
            tail.extend(text.as_bytes());
        }
        Action::WatchEndpoints => put(11, &[&[1]]),
        Action::PollEndpoints => put(12, &[]),
    }
}
