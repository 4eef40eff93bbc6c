//! A router instance: its routing policy and its session floors.

use basalthill_config::settings::Deployment;
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::token::SessionIdentity;
use basalthill_session::{PlatformFloors, RequestProgress, SessionRequest, Sessions, TrackedRequest};
use std::collections::BTreeMap;

/// The maximum size of the session-floor table of a router instance, in bytes.
const MAX_SESSION_TABLE_BYTES: usize = 1 << 20;

/// A router instance.
pub struct Router {
    policy: Policy,
    sessions: Sessions,
    deployment: Deployment,
    /// The writes of sessions that have not ended: the client awaits a reply, or an attempt is in flight.
    /// Empty unless the router remembers the writes of sessions under the platform's rules.
    writes: BTreeMap<RequestId, SessionWrite>,
}

/// A write of a session that has not ended.
struct SessionWrite {
    group: GroupId,
    tracked: TrackedRequest,
    progress: RequestProgress<()>,
}

/// Returns the identity of a session. The sessions of the simulator have a key but no name.
fn identity(key: SessionKey) -> SessionIdentity<'static> {
    SessionIdentity { name: &[], key }
}

impl Router {
    /// Creates a router instance that starts at `now`.
    pub fn new(now: Time, seed: u64, deployment: Deployment) -> Router {
        let policy = Policy::new(deployment.settings.clone(), seed);
        // Without a session configuration, the platform's rules for floors apply. The table is needed only if
        // the router remembers writes.
        let remembers_writes = deployment.platform_floors == PlatformFloors::Remembered;
        let table_bytes = if remembers_writes { MAX_SESSION_TABLE_BYTES } else { 0 };
        let sessions = Sessions::new(now, deployment.platform_floors, None, table_bytes, seed);
        Router { policy, sessions, deployment, writes: BTreeMap::new() }
    }

    /// Handles a request. `token_age` is the time since the last write of its session, if the request
    /// contains it.
    pub fn handle_request(
        &mut self,
        now: Time,
        mut request: Request,
        session: Option<SessionKey>,
        token_age: Option<Time>,
        out: &mut Vec<Action>,
    ) {
        if let Some(session) = session {
            request.floor = self.session_floor(now, &request, session, token_age).unwrap_or(request.floor);
        }
        self.handle(now, Event::Request(request), out);
    }

    /// Returns the floor of a request according to its session, or `None` if the deployment does not have the
    /// class of the request. If the router remembers writes and the request is a write, the request is
    /// tracked.
    fn session_floor(
        &mut self,
        now: Time,
        request: &Request,
        session: SessionKey,
        token_age: Option<Time>,
    ) -> Option<Time> {
        let class = self.deployment.settings.classes.get(usize::from(request.class.0))?;
        let session_request = SessionRequest {
            identity: identity(session),
            group: request.group,
            after: token_age.map(|age| now.minus(age)),
            tokens: &[],
            accepted_at: now,
        };
        match class.consistency {
            Consistency::Write if self.deployment.platform_floors == PlatformFloors::Remembered => {
                let tracked = self.sessions.begin_request(now, &session_request, true);
                let progress = RequestProgress::default();
                self.writes.insert(request.id, SessionWrite { group: request.group, tracked, progress });
                Some(Time(0))
            }
            Consistency::Session => {
                let tracked = self.sessions.begin_request(now, &session_request, false);
                Some(self.sessions.read_floor(now, &session_request, &tracked).position)
            }
            _ => Some(Time(0)),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Outcome(outcome) => self.record_outcome(now, outcome),
            Event::ClientGone(id) => self.complete_write(now, *id),
            _ => {}
        }
        let previous_len = out.len();
        self.policy.handle(now, event, out);
        for action in &out[previous_len..] {
            match action {
                Action::Send(id, _, _) => {
                    if let Some(write) = self.writes.get_mut(id) {
                        write.progress.add_attempt(Some(()));
                    }
                }
                Action::Reject(id, _) | Action::Fail(id) => self.complete_write(now, *id),
                _ => {}
            }
        }
    }

    /// Records the end of an attempt of a write. If a member has served the write, raises the floor of the
    /// write's session, also if the client has left meanwhile.
    fn record_outcome(&mut self, now: Time, outcome: &Outcome) {
        let Some(write) = self.writes.get_mut(&outcome.request) else { return };
        let was_in_flight = write.progress.end_attempt(outcome.attempt).is_some();
        if was_in_flight && outcome.status == Status::Ok && write.progress.record_served() {
            let session = identity(write.tracked.key);
            let position = outcome.replication.position;
            self.sessions.request_served(now, session, write.group, &mut write.tracked, position);
        }
        if outcome.request_completed || write.progress.is_completed() {
            self.complete_write(now, outcome.request);
        }
    }

    /// Marks a write as completed. It is removed, and its part in the session ends, once no attempt is in
    /// flight.
    fn complete_write(&mut self, now: Time, id: RequestId) {
        let Some(write) = self.writes.get_mut(&id) else { return };
        write.progress.complete();
        if write.progress.has_ended() {
            self.sessions.end_request(now, write.group, &write.tracked);
            self.writes.remove(&id);
        }
    }
}
