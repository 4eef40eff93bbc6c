//! One router instance: its routing policy and its sessions.

use basalthill_config::settings::Deployment;
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::token::SessionIdentity;
use basalthill_session::{PlatformFloors, SessionRequest, Sessions, TrackedRequest};
use std::collections::BTreeMap;

/// Most memory, in bytes, that a router's session-floor table may come to take.
const MAX_SESSION_TABLE_BYTES: usize = 1 << 20;

/// One router instance.
pub(crate) struct Router {
    policy: Policy,
    sessions: Sessions,
    deployment: Deployment,
    /// Writes of sessions that are in flight, where the router remembers them.
    writes: BTreeMap<RequestId, SessionWrite>,
}

/// A session's write that is in flight.
struct SessionWrite {
    group: GroupId,
    tracked: TrackedRequest,
}

/// The identity of the session with this key; the simulator's sessions have no names.
fn identity(key: SessionKey) -> SessionIdentity<'static> {
    SessionIdentity { name: &[], key }
}

impl Router {
    /// A router that starts now.
    pub(crate) fn new(now: Time, seed: u64, deployment: Deployment) -> Router {
        let policy = Policy::new(deployment.settings.clone(), seed);
        // Without a session configuration the platform's floors hold; without memory the table is never used.
        let remembers = deployment.platform_floors == PlatformFloors::Remembered;
        let table_bytes = if remembers { MAX_SESSION_TABLE_BYTES } else { 0 };
        let sessions = Sessions::new(now, deployment.platform_floors, None, table_bytes, seed);
        Router { policy, sessions, deployment, writes: BTreeMap::new() }
    }

    /// Handles a request. `token_age` tells how long ago its session last wrote, if the request says so.
    pub(crate) fn handle_request(
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

    /// The floor that its session gives a request; none for a class that the deployment does not have. A
    /// write is tracked where the router remembers sessions.
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
                self.writes.insert(request.id, SessionWrite { group: request.group, tracked });
                Some(Time(0))
            }
            Consistency::Session => {
                let tracked = self.sessions.begin_request(now, &session_request, false);
                Some(self.sessions.read_floor(now, &session_request, &tracked).position)
            }
            _ => Some(Time(0)),
        }
    }

    /// Handles an event: its actions are appended to `out`.
    pub(crate) fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Outcome(outcome) => self.note_outcome(now, outcome),
            Event::ClientGone(id) => {
                self.writes.remove(id);
            }
            _ => {}
        }
        let handled_before = out.len();
        self.policy.handle(now, event, out);
        for action in &out[handled_before..] {
            if let Action::Reject(id, _) | Action::Fail(id) = action {
                self.writes.remove(id);
            }
        }
    }

    /// Raises the session's floor by a write that was executed.
    fn note_outcome(&mut self, now: Time, outcome: &Outcome) {
        let position = outcome.replication.position;
        if outcome.status == Status::Ok && position.is_some() {
            if let Some(SessionWrite { group, tracked }) = self.writes.get_mut(&outcome.request) {
                let session = identity(tracked.key);
                self.sessions.request_served(now, session, *group, tracked, position);
            }
        }
        if outcome.request_completed {
            self.writes.remove(&outcome.request);
        }
    }
}
