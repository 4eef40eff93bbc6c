//! The replies to a client's commands, in the order of the commands.

use crate::protocol::client;
use crate::routing::CommandId;
use basalthill_wire::sqlstate::CANNOT_CONNECT_NOW;
use std::collections::VecDeque;

/// The state of one command's reply.
#[derive(Debug)]
enum PendingReply {
    /// It is there.
    Ready(Vec<u8>),
    /// The command has been forwarded.
    Forwarded(CommandId),
    /// An empty query that arrived before the router was ready.
    EmptyQuery,
}

/// Replies that are not moved to the output yet: each leaves behind those before it.
#[derive(Debug, Default)]
pub struct ReplyQueue {
    replies: VecDeque<PendingReply>,
    /// Bytes of replies that wait for one before them.
    buffered: usize,
}

impl ReplyQueue {
    /// Appends a reply that is there already.
    pub fn push_ready(&mut self, bytes: Vec<u8>) {
        self.buffered += bytes.len();
        self.replies.push_back(PendingReply::Ready(bytes));
    }

    /// Appends the place of a reply to a command that is forwarded.
    pub fn push_forwarded(&mut self, command: CommandId) {
        self.replies.push_back(PendingReply::Forwarded(command));
    }

    /// Appends the place of a reply to an empty query, which waits for the router to be ready.
    pub fn push_empty_query(&mut self) {
        self.buffered += client::empty_query().len();
        self.replies.push_back(PendingReply::EmptyQuery);
    }

    /// Answers the empty queries: the router is ready.
    pub fn answer_empty_queries(&mut self) {
        for reply in self.replies.iter_mut().filter(|r| matches!(r, PendingReply::EmptyQuery)) {
            *reply = PendingReply::Ready(client::empty_query());
        }
    }

    /// The place of a forwarded command, if its reply is still to come.
    pub fn position(&self, command: CommandId) -> Option<usize> {
        self.replies.iter().position(|r| matches!(r, PendingReply::Forwarded(c) if *c == command))
    }

    /// Puts the reply in its place. Empty queries before it don't wait for the router to be ready any more.
    pub fn complete(&mut self, position: usize, bytes: Vec<u8>) {
        self.buffered += bytes.len();
        self.replies[position] = PendingReply::Ready(bytes);
        for reply in self.replies.iter_mut().take(position).filter(|r| matches!(r, PendingReply::EmptyQuery))
        {
            *reply = PendingReply::Ready(client::error(CANNOT_CONNECT_NOW, "not ready yet", None));
        }
    }

    /// Takes the first reply, if it is there.
    pub fn pop_ready(&mut self) -> Option<Vec<u8>> {
        let Some(PendingReply::Ready(_)) = self.replies.front() else { return None };
        let Some(PendingReply::Ready(bytes)) = self.replies.pop_front() else { return None };
        self.buffered = self.buffered.saturating_sub(bytes.len());
        Some(bytes)
    }

    /// Bytes of replies that wait for one before them.
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    /// Whether no reply is outstanding.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// How many replies are outstanding.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.replies.len()
    }
}
