//! The replies to a client's commands, in the order of the commands.

use super::output::part_memory;
use crate::protocol::client;
use crate::routing::CommandId;
use basalthill_wire::sqlstate::CANNOT_CONNECT_NOW;
use std::collections::VecDeque;

/// The state of one command's reply.
#[derive(Debug)]
enum ReplyState {
    /// The reply can be written.
    Ready(Vec<u8>),
    /// The command has been forwarded and has no reply yet.
    Forwarded(CommandId),
    /// The command is an empty query that was received before the router was ready.
    EmptyQuery,
}

/// The memory of an entry in the queue, besides the bytes of its reply.
const ENTRY_SIZE: usize = size_of::<ReplyState>();

/// The replies that have not been moved to the output, in the order of their commands.
#[derive(Debug, Default)]
pub struct ReplyQueue {
    replies: VecDeque<ReplyState>,
    /// The number of bytes that replies hold in memory which wait for an earlier one, or for the router to be
    /// ready.
    memory: usize,
}

impl ReplyQueue {
    /// Appends a reply that is ready.
    pub fn push_ready(&mut self, bytes: Vec<u8>) {
        self.memory += part_memory(&bytes);
        self.replies.push_back(ReplyState::Ready(bytes));
    }

    /// Appends a placeholder for the reply to a forwarded command.
    pub fn push_forwarded(&mut self, command: CommandId) {
        self.replies.push_back(ReplyState::Forwarded(command));
    }

    /// Appends a placeholder for the reply to an empty query, which is sent once the router is ready.
    pub fn push_empty_query(&mut self) {
        self.replies.push_back(ReplyState::EmptyQuery);
    }

    /// Completes the replies to all empty queries, once the router is ready.
    pub fn complete_empty_queries(&mut self) {
        for reply in self.replies.iter_mut().filter(|r| matches!(r, ReplyState::EmptyQuery)) {
            let bytes = client::empty_query();
            self.memory += part_memory(&bytes);
            *reply = ReplyState::Ready(bytes);
        }
    }

    /// Returns the position of a forwarded command in the queue, if it has no reply yet.
    pub fn position(&self, command: CommandId) -> Option<usize> {
        self.replies.iter().position(|r| matches!(r, ReplyState::Forwarded(c) if *c == command))
    }

    /// Stores the reply at its position. Empty queries before it are rejected as not ready, so that the reply
    /// does not wait until the router is ready.
    pub fn complete(&mut self, position: usize, bytes: Vec<u8>) {
        self.memory += part_memory(&bytes);
        self.replies[position] = ReplyState::Ready(bytes);
        for reply in self.replies.iter_mut().take(position).filter(|r| matches!(r, ReplyState::EmptyQuery)) {
            let bytes = client::error(CANNOT_CONNECT_NOW, "not ready yet", None);
            self.memory += part_memory(&bytes);
            *reply = ReplyState::Ready(bytes);
        }
    }

    /// Takes the first reply, if it is ready.
    pub fn pop_ready(&mut self) -> Option<Vec<u8>> {
        let Some(ReplyState::Ready(_)) = self.replies.front() else { return None };
        let Some(ReplyState::Ready(bytes)) = self.replies.pop_front() else { return None };
        self.memory -= part_memory(&bytes);
        Some(bytes)
    }

    /// Returns the number of bytes that replies hold in memory which wait for an earlier one, or for the
    /// router to be ready. A command without a reply counts as an empty one.
    pub fn memory(&self) -> usize {
        self.memory + self.replies.len() * ENTRY_SIZE
    }

    /// Returns the first command, if it has been forwarded and has no reply yet.
    pub fn first_forwarded(&self) -> Option<CommandId> {
        match self.replies.front() {
            Some(ReplyState::Forwarded(command)) => Some(*command),
            _ => None,
        }
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Returns the number of replies in the queue, ready or not.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.replies.len()
    }
}
