//! The lifecycle of a client's request: it is validated, passed to the policy, replied to and removed from
//! the table. The state is in [`RequestTable`](super::request_table::RequestTable). The functions are called
//! for inputs and for the policy's actions.

use super::input::{ClientId, ClientRequest};
use super::request_table::{AwaitedCommand, OpenRequest};
use super::sessions::SessionStart;
use super::system_clock::ms_rounded_up;
use super::{Effect, Reply, Router};
use crate::protocol::statement::{Statement, StatementError};
use basalthill_fleet::LimitKey;
use basalthill_policy::api::{ClassId, Event, GroupId, Request, RequestId, TenantId, Time};
use basalthill_session::RequestProgress;
use basalthill_wire::sqlstate::INVALID_PARAMETER_VALUE;
use std::rc::Rc;
use thiserror::Error;

/// Why a request is invalid at this deployment. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum InvalidRequest {
    /// The settings have no class of this name.
    #[error("the class is unknown")]
    UnknownClass,
    /// Service discovery has listed members, and none of them belongs to this group.
    #[error("the cluster is unknown")]
    UnknownGroup,
    /// Another open request has the same id. A host could not distinguish the two, and one would get the
    /// other's response.
    #[error("the id is that of an open request")]
    DuplicateId,
    /// A host has returned an error that lies in the statement.
    #[error("a host can't use it")]
    RejectedByHost,
}

impl From<InvalidRequest> for StatementError {
    fn from(error: InvalidRequest) -> StatementError {
        StatementError { code: INVALID_PARAMETER_VALUE, message: error.to_string() }
    }
}

/// The class, tenant and group that a statement names.
struct RequestTarget {
    class: ClassId,
    tenant: TenantId,
    group: GroupId,
}

/// A request that has been queued for the policy.
struct OpenedRequest {
    id: RequestId,
    /// The fleet's limits that count the request.
    limits: Vec<LimitKey>,
}

impl Router {
    /// Handles a client's request: rejects it if the process is about to exit, replies with an error if it is
    /// invalid, and otherwise lets the policy decide.
    pub(super) fn handle_request(&mut self, now: Time, request: ClientRequest, out: &mut Vec<Effect>) {
        let client = request.client;
        let command = request.command;
        if self.shutting_down {
            self.counters.rejected += 1;
            let reply = Reply::Rejected { retry_after_ms: None };
            return out.push(Effect::Reply { client, command, reply });
        }
        match self.open_request(now, request) {
            Ok(opened) => {
                self.run_policy(now, out);
                self.record_admission(opened.id, &opened.limits);
            }
            Err(error) => {
                self.counters.invalid += 1;
                out.push(Effect::Reply { client, command, reply: Reply::Invalid(error.into()) });
            }
        }
    }

    /// Validates a request, inserts it into the table and queues its event for the policy.
    fn open_request(&mut self, now: Time, request: ClientRequest) -> Result<OpenedRequest, InvalidRequest> {
        let ClientRequest { client, command, statement, arrived_at } = request;
        let RequestTarget { class, tenant, group } = self.resolve_target(&statement)?;
        let id = self.requests.next_id();
        let deadline = arrived_at.min(now).plus(Time::ms(statement.deadline_ms));
        let SessionStart { tracked, floor } =
            self.begin_session_request(now, client, &statement, class, group);
        let request = Request {
            id,
            class,
            tenant,
            deadline,
            group,
            floor: self.system_clock.to_router_time(floor.position),
            lead: floor.lead,
            client_retry: statement.is_retry,
        };
        let open = OpenRequest {
            client,
            command,
            statement: Rc::from(statement),
            deadline,
            group,
            tracked,
            floor_ms: floor.send_to_hosts.then(|| ms_rounded_up(floor.position)),
            progress: RequestProgress::default(),
        };
        self.requests.insert(id, open);
        let limits = self.queue_request(now, request);
        Ok(OpenedRequest { id, limits })
    }

    /// Looks up the class, tenant and group that a statement names, and checks that its id is not in use.
    fn resolve_target(&self, statement: &Statement) -> Result<RequestTarget, InvalidRequest> {
        let index = |names: &[String], name: &[u8]| names.iter().position(|n| n.as_bytes() == name);
        let class = index(&self.deployment.classes, statement.class()).ok_or(InvalidRequest::UnknownClass)?;
        // Before the first endpoint list, no group is known to be missing: the policy rejects the request,
        // and the client may retry.
        let group = GroupId(statement.group);
        if self.endpoints.is_unknown_group(group) {
            return Err(InvalidRequest::UnknownGroup);
        }
        if self.requests.has_client_id(statement.id()) {
            return Err(InvalidRequest::DuplicateId);
        }
        // A tenant without an entry in the settings has no quota.
        let tenants = &self.deployment.tenants;
        let tenant = index(tenants, statement.tenant()).unwrap_or(tenants.len());
        Ok(RequestTarget { class: ClassId(class as u16), tenant: TenantId(tenant as u16), group })
    }

    /// Rejects a request as the policy decided: the client may safely retry it, after `retry_after` if that
    /// is given. The request may have run if running it again has no further effect.
    pub(super) fn reject_request(
        &mut self,
        now: Time,
        id: RequestId,
        retry_after: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        self.record_retry_demand(id);
        self.record_unknown_outcome(now, id, out);
        let retry_after_ms = retry_after.map(ms_rounded_up);
        self.reply_to_client(now, id, Reply::Rejected { retry_after_ms }, out);
    }

    /// Fails a request as the policy decided: the request may have run, and a retry is not safe.
    pub(super) fn fail_request(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        self.record_retry_demand(id);
        self.record_unknown_outcome(now, id, out);
        self.reply_to_client(now, id, Reply::Failed, out);
    }

    /// Sends the reply to a request, unless the request is already completed.
    pub(super) fn reply_to_client(&mut self, now: Time, id: RequestId, reply: Reply, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(id).filter(|open| !open.progress.is_completed()) else { return };
        let client = open.client;
        let command = open.command;
        match reply {
            Reply::Served(_) => self.counters.served += 1,
            Reply::Rejected { .. } => self.counters.rejected += 1,
            Reply::Failed | Reply::Cancelled => self.counters.failed += 1,
            Reply::Invalid(_) => self.counters.invalid += 1,
        }
        self.requests.remove_awaited(client, command);
        out.push(Effect::Reply { client, command, reply });
        self.complete_request(now, id);
    }

    /// Marks a request as completed. It is removed from the table, and its part in the session ends, once no
    /// attempt is in flight.
    pub(super) fn complete_request(&mut self, now: Time, id: RequestId) {
        if let Some(OpenRequest { group, tracked: Some(tracked), .. }) = self.requests.complete(id) {
            self.sessions.end_request(self.system_clock.to_unix_time(now), group, &tracked);
        }
    }

    /// Handles the disconnect of a client. The policy aborts those attempts of the client's requests that are
    /// safe to abort.
    pub(super) fn client_disconnected(&mut self, now: Time, client: ClientId) {
        self.accepted_at.remove(&client);
        for AwaitedCommand { request, .. } in self.requests.remove_awaited_by_client(client) {
            self.counters.abandoned += 1;
            self.complete_request(now, request);
            self.events.push_back(Event::ClientGone(request));
        }
    }

    /// Cancels the first request of a client that has no reply yet.
    pub(super) fn cancel_first_request(&mut self, now: Time, client: ClientId, out: &mut Vec<Effect>) {
        let Some(awaited) = self.requests.remove_first_awaited(client) else { return };
        self.counters.abandoned += 1;
        self.complete_without_response(now, awaited, Reply::Cancelled, out);
    }

    /// Fails all requests without a reply because the process is about to exit. Later requests are rejected.
    pub(super) fn shut_down(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.shutting_down = true;
        for awaited in self.requests.remove_all_awaited() {
            self.complete_without_response(now, awaited, Reply::Failed, out);
        }
    }

    /// Completes a request with a reply that does not come from a host. The command has already been removed
    /// from those that await a reply.
    fn complete_without_response(
        &mut self,
        now: Time,
        awaited: AwaitedCommand,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let AwaitedCommand { client, command, request } = awaited;
        self.record_unknown_outcome(now, request, out);
        self.complete_request(now, request);
        out.push(Effect::Reply { client, command, reply });
        self.events.push_back(Event::ClientGone(request));
    }
}
