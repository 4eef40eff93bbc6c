//! What requests say of their sessions, and what sessions ask of requests: floors and tokens.

use super::outcomes::{session_identity, time_from_unix_ms};
use super::{ClientId, Effect, Router};
use crate::protocol::statement::Statement;
use basalthill_policy::api::*;
use basalthill_session::TrackedRequest;
use basalthill_session::{PlatformFloors, ReadFloor, SessionRequest};

impl Router {
    /// What a request's session is known by, and the floor of its read.
    pub(super) fn begin_session_request(
        &mut self,
        now: Time,
        client: ClientId,
        statement: &Statement,
        class: usize,
        group: GroupId,
    ) -> (Option<TrackedRequest>, ReadFloor) {
        let consistency = self.deployment.settings.classes[class].consistency;
        let write = consistency == Consistency::Write;
        let remembers =
            self.sessions.manages_floors() || self.deployment.tokens == PlatformFloors::Remembered;
        if consistency != Consistency::Session && !(write && remembers) {
            return (None, ReadFloor::default());
        }
        let tokens: Vec<&[u8]> = statement.tokens().collect();
        let request = SessionRequest {
            identity: session_identity(&self.sessions, statement),
            group,
            after: statement.min_position_ms.map(time_from_unix_ms),
            tokens: &tokens,
            // One that nobody saw come counts as new, which is stricter.
            accepted_at: self
                .system_clock
                .to_unix_time(self.accepted_at.get(&client).copied().unwrap_or(now)),
        };
        let now = self.system_clock.to_unix_time(now);
        let tracked = self.sessions.begin_request(now, &request, write);
        let floor =
            if write { ReadFloor::default() } else { self.sessions.read_floor(now, &request, &tracked) };
        (Some(tracked), floor)
    }

    /// A host has served a request: what that says of its session, and the token that goes with the answer.
    pub(super) fn note_session_served(
        &mut self,
        now: Time,
        id: RequestId,
        position: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let again = std::mem::replace(&mut open.served, true);
        let Some(tracked) = open.tracked.as_mut().filter(|_| !again) else { return };
        let identity = session_identity(&self.sessions, &open.statement);
        let token = self.sessions.request_served(
            self.system_clock.to_unix_time(now),
            identity,
            open.group,
            tracked,
            position,
        );
        out.extend(
            token.filter(|_| !open.answered).map(|t| Effect::SessionToken { client: open.client, token: t }),
        );
    }

    /// A request ends without a host's answer. A write that may have run, or may yet, leaves its session in
    /// doubt, and its token says so.
    pub(super) fn note_unknown_outcome(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get_mut(id).filter(|o| !o.answered && !o.served) else { return };
        let still_out = open.attempts.iter().any(Option::is_some);
        let Some(tracked) = open.tracked.as_mut().filter(|b| b.is_write && (b.outcome_unknown || still_out))
        else {
            return;
        };
        tracked.outcome_unknown = true;
        let identity = session_identity(&self.sessions, &open.statement);
        let token = self.sessions.write_outcome_unknown(
            self.system_clock.to_unix_time(now),
            identity,
            open.group,
            tracked,
        );
        out.extend(token.map(|t| Effect::SessionToken { client: open.client, token: t }));
    }
}
