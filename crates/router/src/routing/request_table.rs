//! The table of requests that await a reply or have attempts in flight. Each request is inserted once and
//! removed once. [`Router`](super::Router) owns the table; the modules for requests, attempts and sessions
//! use it.

use super::exchanges::InFlightExchange;
use super::input::{ClientId, CommandId};
use crate::protocol::statement::Statement;
use basalthill_policy::api::{Attempt, GroupId, RequestId, Time};
use basalthill_session::{RequestProgress, TrackedRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request that awaits a reply or has attempts in flight.
pub struct OpenRequest {
    /// The connection on which it arrived.
    pub client: ClientId,
    /// Its command on that connection.
    pub command: CommandId,
    /// Its statement.
    pub statement: Rc<Statement>,
    /// When its client stops waiting.
    pub deadline: Time,
    /// Its group.
    pub group: GroupId,
    /// Its session state; `None` if it belongs to no session.
    pub tracked: Option<TrackedRequest>,
    /// The read floor that is sent to hosts, a Unix time in milliseconds; `None` if no floor is sent.
    pub floor_ms: Option<u64>,
    /// Its attempts, and whether it is completed or served.
    pub progress: RequestProgress<InFlightExchange>,
}

/// A command that awaits its reply, or that awaited it until the command was removed from
/// `RequestTable::awaited`.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedCommand {
    /// The client.
    pub client: ClientId,
    /// The command.
    pub command: CommandId,
    /// The request that the command started.
    pub request: RequestId,
}

/// The open requests of a router.
#[derive(Default)]
pub struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// The requests whose clients await a reply.
    awaited: BTreeMap<(ClientId, CommandId), RequestId>,
    /// The ids that clients have given to the requests in `open`.
    client_ids: BTreeSet<Rc<[u8]>>,
    /// The number of bytes that the completed requests in `open` hold in memory.
    completed_memory: usize,
    next_number: u64,
}

impl RequestTable {
    /// Returns the id for the next request.
    pub fn next_id(&mut self) -> RequestId {
        let id = RequestId(self.next_number);
        self.next_number += 1;
        id
    }

    /// Returns whether a request to which its client gave this id is open.
    pub fn has_client_id(&self, id: &[u8]) -> bool {
        self.client_ids.contains(id)
    }

    /// Inserts a request whose client awaits a reply.
    pub fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.client_ids.insert(open.statement.id().into());
        self.awaited.insert((open.client, open.command), id);
        self.open.insert(id, open);
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// Returns an open request for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Removes a command from those that await a reply.
    pub fn remove_awaited(&mut self, client: ClientId, command: CommandId) -> Option<AwaitedCommand> {
        let request = self.awaited.remove(&(client, command))?;
        Some(AwaitedCommand { client, command, request })
    }

    /// Removes the first of a client's commands that await a reply.
    pub fn remove_first_awaited(&mut self, client: ClientId) -> Option<AwaitedCommand> {
        let command = self.awaited_commands(client).next()?;
        self.remove_awaited(client, command)
    }

    /// Removes all of a client's commands that await a reply.
    pub fn remove_awaited_by_client(&mut self, client: ClientId) -> Vec<AwaitedCommand> {
        let commands: Vec<CommandId> = self.awaited_commands(client).collect();
        commands.into_iter().filter_map(|command| self.remove_awaited(client, command)).collect()
    }

    /// Removes all commands that await a reply.
    pub fn remove_all_awaited(&mut self) -> Vec<AwaitedCommand> {
        let awaited = std::mem::take(&mut self.awaited);
        let command = |((client, command), request)| AwaitedCommand { client, command, request };
        awaited.into_iter().map(command).collect()
    }

    /// Returns a client's commands that await a reply, in order.
    fn awaited_commands(&self, client: ClientId) -> impl Iterator<Item = CommandId> + '_ {
        let range = (client, CommandId(0))..=(client, CommandId(u64::MAX));
        self.awaited.range(range).map(|((_, command), _)| *command)
    }

    /// Marks a request as completed. Removes and returns it if no attempt is in flight.
    pub fn complete(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open.get_mut(&id)?;
        if open.progress.complete() {
            self.completed_memory += open.statement.memory();
        }
        if !open.progress.has_ended() {
            return None;
        }
        self.completed_memory -= open.statement.memory();
        self.client_ids.remove(open.statement.id());
        self.open.remove(&id)
    }

    /// Removes an attempt, if it is in flight. Its request stays in the table until
    /// [`RequestTable::complete`] is called.
    pub fn take_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<InFlightExchange> {
        self.open.get_mut(&id)?.progress.end_attempt(attempt)
    }

    /// Returns the number of requests that await a reply.
    pub fn unanswered(&self) -> usize {
        self.awaited.len()
    }

    /// Returns the number of bytes that completed requests hold in memory, whose attempts are in flight.
    pub fn completed_memory(&self) -> usize {
        self.completed_memory
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        // Each request has one entry in each of the two maps. The larger size is returned, so that an entry
        // that was not removed from one of them is counted.
        self.open.len().max(self.client_ids.len())
    }
}
