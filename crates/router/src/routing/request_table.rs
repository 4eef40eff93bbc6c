//! The requests that have an answer or attempts outstanding, and the attempts and probes that are out.
//! Each is put on the books once and taken off them once.

use super::timers::TimerKey;
use super::{ClientId, CommandId};
use crate::protocol::statement::Statement;
use basalthill_policy::api::*;
use basalthill_session::TrackedRequest;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request that has an answer or attempts outstanding.
pub struct OpenRequest {
    pub client: ClientId,
    pub command: CommandId,
    pub statement: Rc<Statement>,
    pub deadline: Time,
    pub group: GroupId,
    /// What its session is known by, if it has one.
    pub tracked: Option<TrackedRequest>,
    /// The floor that hosts are told.
    pub floor_ms: Option<u64>,
    pub answered: bool,
    pub served: bool,
    pub attempts: Vec<Option<InFlightExchange>>, // None once its outcome is told
}

/// An attempt or a probe that is out.
#[derive(Clone, Copy)]
pub struct InFlightExchange {
    pub member: MemberId,
    pub sent_at: Time,
    pub timer: TimerKey,
}

/// The requests of a router.
#[derive(Default)]
pub struct RequestTable {
    open: BTreeMap<RequestId, OpenRequest>,
    /// Requests that are waited for.
    awaited: BTreeMap<(ClientId, CommandId), RequestId>,
    /// Ids, as clients gave them, of the requests in `open`.
    client_ids: BTreeSet<Rc<[u8]>>,
    next_number: u64,
}

impl RequestTable {
    /// The next request's number.
    pub fn next_id(&mut self) -> RequestId {
        self.next_number += 1;
        RequestId(self.next_number - 1)
    }

    /// Whether a request of this id, as its client gave it, is on the books.
    pub fn has_client_id(&self, id: &[u8]) -> bool {
        self.client_ids.contains(id)
    }

    /// Puts a request on the books.
    pub fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.client_ids.insert(open.statement.id().into());
        self.awaited.insert((open.client, open.command), id);
        self.open.insert(id, open);
    }

    /// A request that is on the books.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// A request that is on the books, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// A command is no longer waited for: its request.
    pub fn release(&mut self, client: ClientId, command: CommandId) -> Option<RequestId> {
        self.awaited.remove(&(client, command))
    }

    /// The first command that a client waits for is no longer waited for.
    pub fn release_first(&mut self, client: ClientId) -> Option<(CommandId, RequestId)> {
        let command = self.commands_of(client).next()?;
        self.release(client, command).map(|id| (command, id))
    }

    /// A client no longer waits: all requests that it waited for.
    pub fn release_client(&mut self, client: ClientId) -> Vec<RequestId> {
        let commands: Vec<CommandId> = self.commands_of(client).collect();
        commands.into_iter().filter_map(|command| self.release(client, command)).collect()
    }

    /// No client waits any longer: all requests that were waited for.
    pub fn release_all(&mut self) -> BTreeMap<(ClientId, CommandId), RequestId> {
        std::mem::take(&mut self.awaited)
    }

    fn commands_of(&self, client: ClientId) -> impl Iterator<Item = CommandId> + '_ {
        let range = (client, CommandId(0))..=(client, CommandId(u64::MAX));
        self.awaited.range(range).map(|((_, command), _)| *command)
    }

    /// A request has ended; its row goes once no attempt is out. What goes is given back.
    pub fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open.get_mut(&id)?;
        open.answered = true;
        if open.attempts.iter().any(Option::is_some) {
            return None;
        }
        self.client_ids.remove(open.statement.id());
        self.open.remove(&id)
    }

    /// Takes an attempt off the books, if it is out. Its request's row stays until [`RequestTable::close`].
    pub fn take_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<InFlightExchange> {
        self.open.get_mut(&id)?.attempts.get_mut(usize::from(attempt.0))?.take()
    }

    /// Requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.awaited.len()
    }

    /// Rows on the books.
    pub fn len(&self) -> usize {
        self.open.len().max(self.client_ids.len())
    }
}

/// The probes that are out.
#[derive(Default)]
pub struct ProbeTable {
    in_flight: BTreeMap<u64, InFlightExchange>,
    next_number: u64,
}

impl ProbeTable {
    /// Puts a probe on the books; `exchange` gets its number.
    pub fn insert(&mut self, exchange: impl FnOnce(u64) -> InFlightExchange) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight.insert(number, exchange(number));
        number
    }

    /// Takes a probe off the books, if it is out.
    pub fn take(&mut self, number: u64) -> Option<InFlightExchange> {
        self.in_flight.remove(&number)
    }

    /// How many are out.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }
}
