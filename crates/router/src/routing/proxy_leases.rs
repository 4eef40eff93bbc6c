//! Requests of other proxies. A proxy gets a member under a lease and sends its request to that member
//! itself. The [`LeaseCoordinator`] owns the state; this module connects it with the router's policy and
//! endpoints.

use super::input::ProxyMessage;
use super::{Effect, Router};
use basalthill_extproc::{LeaseCoordinator, LeaseUsage, Output, ProxyLimits, ProxyReply, StreamId};
use basalthill_policy::api::{Action, RequestId, Time};

impl Router {
    /// Starts to serve other proxies, within `limits`.
    pub fn serve_proxies(&mut self, now: Time, limits: ProxyLimits) {
        self.coordinator = Some(LeaseCoordinator::new(now, &self.deployment.settings, limits));
    }

    /// Returns how many entries the lease coordinator holds; all zero if no proxies are served.
    pub fn lease_usage(&self) -> LeaseUsage {
        self.coordinator.as_ref().map(LeaseCoordinator::usage).unwrap_or_default()
    }

    /// Handles a message of another proxy. It is ignored if no proxies are served.
    pub(super) fn handle_proxy_message(
        &mut self,
        now: Time,
        stream: StreamId,
        message: ProxyMessage,
        out: &mut Vec<Effect>,
    ) {
        let Some(coordinator) = &mut self.coordinator else { return };
        let mut outputs = Vec::new();
        match message {
            ProxyMessage::Request(request) => coordinator.request(now, stream, request, &mut outputs),
            ProxyMessage::Outcome { lease, outcome, replication } => {
                coordinator.report_outcome(now, stream, lease, outcome, replication, &mut outputs)
            }
            ProxyMessage::StreamClosed => coordinator.stream_closed(now, stream, &mut outputs),
        }
        self.apply_coordinator_outputs(outputs, out);
    }

    /// Expires the leases that are due.
    pub(super) fn expire_leases(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(coordinator) = &mut self.coordinator else { return };
        let mut outputs = Vec::new();
        coordinator.tick(now, &mut outputs);
        self.apply_coordinator_outputs(outputs, out);
    }

    /// Carries out an action of the policy that concerns a proxy's request. A proxy may send its request to
    /// the chosen member until the member's drain grace period ends. A member without a known address is not
    /// offered.
    pub(super) fn apply_proxy_action(&mut self, now: Time, action: &Action, out: &mut Vec<Effect>) {
        let valid_until = match action {
            Action::Send(_, member, _) if self.endpoints.addr(*member).is_none() => Some(now),
            Action::Send(_, member, _) => self.drain_ends_at(*member),
            _ => None,
        };
        let Some(coordinator) = &mut self.coordinator else { return };
        let mut outputs = Vec::new();
        coordinator.apply(now, action, valid_until, &mut outputs);
        self.apply_coordinator_outputs(outputs, out);
    }

    /// Queues the coordinator's events for the policy and sends its replies.
    fn apply_coordinator_outputs(&mut self, outputs: Vec<Output>, out: &mut Vec<Effect>) {
        for output in outputs {
            match output {
                Output::Event(event) => self.events.push_back(event),
                Output::Reply(stream, reply) => {
                    let addr = match reply {
                        ProxyReply::Member { member, .. } => self.endpoints.addr(member),
                        _ => None,
                    };
                    out.push(Effect::ProxyReply { stream, reply, addr });
                }
            }
        }
    }
}

/// Returns whether an action concerns a request of another proxy.
pub(super) fn is_proxy_action(action: &Action) -> bool {
    let request: RequestId = match action {
        Action::Send(id, ..) | Action::Reject(id, _) | Action::Fail(id) | Action::Cancel(id, _) => *id,
        _ => return false,
    };
    LeaseCoordinator::owns(request)
}
