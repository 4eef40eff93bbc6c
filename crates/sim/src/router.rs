//! A router instance: its routing policy and its session floors.

use basalthill_config::settings::Deployment;
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::token::SessionIdentity;
use basalthill_session::{PlatformFloors, SessionRequest, Sessions, TrackedRequest};
use std::collections::BTreeMap;

/// The maximum size of the session-floor table of a router instance, in bytes.
const MAX_SESSION_TABLE_BYTES: usize = 1 << 20;

/// A router instance.
pub(crate) struct Router {
    policy: Policy,
    sessions: Sessions,
    deployment: Deployment,
    /// The writes of sessions that are in flight. Empty unless the router remembers the writes of sessions
    /// under the platform's rules.
    writes: BTreeMap<RequestId, SessionWrite>,
}

/// A write of a session that is in flight.
struct SessionWrite {
    group: GroupId,
    tracked: TrackedRequest,
}

/// Returns the identity of a session. The sessions of the simulator have a key but no name.
fn identity(key: SessionKey) -> SessionIdentity<'static> {
    SessionIdentity { name: &[], key }
}

impl Router {
    /// Creates a router instance that starts at `now`.
    pub(crate) fn new(now: Time, seed: u64, deployment: Deployment) -> Router {
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

    /// Handles an event and appends the resulting actions to `out`.
    pub(crate) fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Outcome(outcome) => self.record_outcome(now, outcome),
            Event::ClientGone(id) => {
                self.writes.remove(id);
            }
            _ => {}
        }
        let previous_len = out.len();
        self.policy.handle(now, event, out);
        for action in &out[previous_len..] {
            if let Action::Reject(id, _) | Action::Fail(id) = action {
                self.writes.remove(id);
            }
        }
    }

    /// Raises the floor of a write's session to the position of the write if the write was served. Removes
    /// the write if it has completed.
    fn record_outcome(&mut self, now: Time, outcome: &Outcome) {
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
