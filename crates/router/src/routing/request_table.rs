//! The table of requests that lack an answer or have attempts in flight. Each request is inserted once and
//! removed once. [`Router`](super::Router) owns the table; the modules for requests, attempts and sessions
//! use it.

use super::exchanges::InFlightExchange;
use super::input::{ClientId, CommandId};
use crate::protocol::statement::Statement;
use basalthill_policy::api::{Attempt, GroupId, RequestId, Time};
use basalthill_session::TrackedRequest;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request that lacks its answer or has attempts in flight.
pub struct OpenRequest {
    /// The connection that it came on.
    pub client: ClientId,
    /// Its command on that connection.
    pub command: CommandId,
    /// Its statement.
    pub statement: Rc<Statement>,
    /// When its client gives up.
    pub deadline: Time,
    /// Its group.
    pub group: GroupId,
    /// What its session's floors depend on, if it belongs to a session.
    pub tracked: Option<TrackedRequest>,
    /// The floor that hosts are sent, a Unix time in milliseconds.
    pub floor_ms: Option<u64>,
    /// Its client has an answer, or awaits none any more.
    pub answered: bool,
    /// A host has served it.
    pub served: bool,
    /// Its attempts by number; none for those that have finished.
    pub attempts: Vec<Option<InFlightExchange>>,
}

impl OpenRequest {
    /// The number of its next attempt.
    pub fn next_attempt(&self) -> Attempt {
        Attempt(self.attempts.len() as u16)
    }

    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }
}

/// A command that its client awaited the answer of.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedCommand {
    /// The client.
    pub client: ClientId,
    /// The command.
    pub command: CommandId,
    /// The command's request.
    pub request: RequestId,
}

/// The open requests of a router.
#[derive(Default)]
pub struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// The requests whose clients await an answer.
    awaited: BTreeMap<(ClientId, CommandId), RequestId>,
    /// The ids that clients gave to the requests in `open`.
    client_ids: BTreeSet<Rc<[u8]>>,
    next_number: u64,
}

impl RequestTable {
    /// The id for the next request.
    pub fn next_id(&mut self) -> RequestId {
        let id = RequestId(self.next_number);
        self.next_number += 1;
        id
    }

    /// Whether a request with this id, as its client gave it, is open.
    pub fn has_client_id(&self, id: &[u8]) -> bool {
        self.client_ids.contains(id)
    }

    /// Inserts a request. Its client awaits an answer from now on.
    pub fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.client_ids.insert(open.statement.id().into());
        self.awaited.insert((open.client, open.command), id);
        self.open.insert(id, open);
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// An open request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// A command's answer is not awaited any more.
    pub fn release(&mut self, client: ClientId, command: CommandId) -> Option<AwaitedCommand> {
        let request = self.awaited.remove(&(client, command))?;
        Some(AwaitedCommand { client, command, request })
    }

    /// The answer of a client's first awaited command is not awaited any more.
    pub fn release_first(&mut self, client: ClientId) -> Option<AwaitedCommand> {
        let command = self.commands_of(client).next()?;
        self.release(client, command)
    }

    /// A client awaits no answer any more.
    pub fn release_client(&mut self, client: ClientId) -> Vec<AwaitedCommand> {
        let commands: Vec<CommandId> = self.commands_of(client).collect();
        commands.into_iter().filter_map(|command| self.release(client, command)).collect()
    }

    /// No client awaits an answer any more.
    pub fn release_all(&mut self) -> Vec<AwaitedCommand> {
        let awaited = std::mem::take(&mut self.awaited);
        let command = |((client, command), request)| AwaitedCommand { client, command, request };
        awaited.into_iter().map(command).collect()
    }

    /// The commands that a client awaits the answers of, in order.
    fn commands_of(&self, client: ClientId) -> impl Iterator<Item = CommandId> + '_ {
        let range = (client, CommandId(0))..=(client, CommandId(u64::MAX));
        self.awaited.range(range).map(|((_, command), _)| *command)
    }

    /// Marks a request as answered and, if no attempt is in flight, removes and returns it.
    pub fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open.get_mut(&id)?;
        open.answered = true;
        if open.has_attempt_in_flight() {
            return None;
        }
        self.client_ids.remove(open.statement.id());
        self.open.remove(&id)
    }

    /// Takes an attempt out, if it is in flight. Its request stays until [`RequestTable::close`].
    pub fn take_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<InFlightExchange> {
        self.open.get_mut(&id)?.attempts.get_mut(usize::from(attempt.0))?.take()
    }

    /// How many requests await an answer.
    pub fn unanswered(&self) -> usize {
        self.awaited.len()
    }

    /// How many requests the table holds.
    pub fn len(&self) -> usize {
        self.open.len().max(self.client_ids.len())
    }
}
