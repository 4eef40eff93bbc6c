//! Session consistency of requests: the session of a request, the read floor of a session read, and the
//! tokens that clients get. The state is in [`basalthill_session::Sessions`], whose times are Unix times; the
//! modules for requests and attempts call the functions here.

use super::input::ClientId;
use super::system_clock::time_from_unix_ms;
use super::{Effect, Router};
use crate::protocol::statement::Statement;
use basalthill_policy::api::{ClassId, Consistency, GroupId, RequestId, SessionKey, Status, Time};
use basalthill_session::token::SessionIdentity;
use basalthill_session::{PlatformFloors, ReadFloor, SessionRequest, Sessions, TrackedRequest};

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The session state and the read floor that a request starts with.
#[derive(Default)]
pub(super) struct SessionStart {
    /// The request's session state; `None` if it belongs to no session.
    pub tracked: Option<TrackedRequest>,
    /// The read floor of the request; the default value for a write.
    pub floor: ReadFloor,
}

impl Router {
    /// Begins to track a request in its session.
    pub(super) fn begin_session_request(
        &mut self,
        now: Time,
        client: ClientId,
        statement: &Statement,
        class: ClassId,
        group: GroupId,
    ) -> SessionStart {
        let consistency = self.deployment.settings.classes[usize::from(class.0)].consistency;
        let is_write = consistency == Consistency::Write;
        let remembers_writes =
            self.sessions.manages_floors() || self.deployment.platform_floors == PlatformFloors::Remembered;
        let is_tracked = consistency == Consistency::Session || (is_write && remembers_writes);
        if !is_tracked {
            return SessionStart::default();
        }
        // A connection without a recorded acceptance counts as accepted now, which gives the stricter floor.
        let accepted_at = self.accepted_at.get(&client).copied().unwrap_or(now);
        let tokens: Vec<&[u8]> = statement.tokens().collect();
        let request = SessionRequest {
            identity: session_identity(&self.sessions, statement),
            group,
            after: statement.min_position_ms.map(time_from_unix_ms),
            tokens: &tokens,
            accepted_at: self.system_clock.to_unix_time(accepted_at),
        };
        let now = self.system_clock.to_unix_time(now);
        let tracked = self.sessions.begin_request(now, &request, is_write);
        let floor = match is_write {
            true => ReadFloor::default(),
            false => self.sessions.read_floor(now, &request, &tracked),
        };
        SessionStart { tracked: Some(tracked), floor }
    }

    /// Issues a token that covers a write whose first attempt is being sent, if the settings enable early
    /// tokens. The client's task writes the token to the socket later, and the statement may reach the host
    /// first: if the router is killed in between, the write may commit, and the client has no token that
    /// covers it. The attempt ends at `deadline` at the latest.
    pub(super) fn issue_early_token(
        &mut self,
        now: Time,
        id: RequestId,
        deadline: Time,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get(id) else { return };
        let Some(tracked) = open.tracked.as_ref().filter(|tracked| tracked.is_write) else { return };
        let client = open.client;
        let identity = session_identity(&self.sessions, &open.statement);
        let now = self.system_clock.to_unix_time(now);
        let deadline = self.system_clock.to_unix_time(deadline);
        let token = self.sessions.early_token(now, identity, open.group, tracked, deadline);
        out.extend(token.map(|token| Effect::SessionToken { client, token }));
    }

    /// Records in the session that a host has served a request, at a position that the host reported as a
    /// Unix time, and issues the token that is sent before the reply. A second response to the same request
    /// has no effect.
    pub(super) fn record_served(
        &mut self,
        now: Time,
        id: RequestId,
        position: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let is_first = open.progress.record_served();
        let Some(tracked) = open.tracked.as_mut().filter(|_| is_first) else { return };
        let identity = session_identity(&self.sessions, &open.statement);
        let now = self.system_clock.to_unix_time(now);
        let token = self.sessions.request_served(now, identity, open.group, tracked, position);
        if open.progress.is_completed() {
            return;
        }
        let client = open.client;
        out.extend(token.map(|token| Effect::SessionToken { client, token }));
    }

    /// Records that an attempt has ended with this status. If the attempt may have executed a write, the
    /// write's outcome is unknown from now on.
    pub(super) fn record_possible_execution(&mut self, id: RequestId, status: Status) {
        if status.proves_not_executed() {
            return;
        }
        let Some(open) = self.requests.get_mut(id).filter(|open| !open.progress.is_served()) else { return };
        if let Some(tracked) = &mut open.tracked {
            tracked.outcome_unknown = tracked.is_write;
        }
    }

    /// Records that a request completes without a host's response. If it is a write that may have run or may
    /// still run, the session's floor has to cover both cases, and so does the token that the client gets.
    pub(super) fn record_unknown_outcome(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.progress.is_completed() || open.progress.is_served() {
            return;
        }
        let in_flight = open.progress.has_attempt_in_flight();
        let may_run = |t: &&mut TrackedRequest| t.is_write && (t.outcome_unknown || in_flight);
        let Some(tracked) = open.tracked.as_mut().filter(may_run) else { return };
        tracked.outcome_unknown = true;
        let client = open.client;
        let identity = session_identity(&self.sessions, &open.statement);
        let now = self.system_clock.to_unix_time(now);
        let token = self.sessions.write_outcome_unknown(now, identity, open.group, tracked);
        out.extend(token.map(|token| Effect::SessionToken { client, token }));
    }
}

/// Returns the session of a statement. It is identified by the session name in the statement's comment if
/// this router manages floors and there is one, and by the statement's key otherwise.
fn session_identity<'a>(sessions: &Sessions, statement: &'a Statement) -> SessionIdentity<'a> {
    let session_name = statement.session().filter(|_| sessions.manages_floors());
    let name = session_name.unwrap_or(statement.key());
    SessionIdentity { name, key: SessionKey(session_hash(name)) }
}

/// Returns the 64-bit FNV-1a hash of a session's name.
fn session_hash(name: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    name.iter().fold(FNV_OFFSET_BASIS, step)
}

#[cfg(test)]
mod tests;
