//! Other proxies, which ask for a decision and do the sending themselves. The coordinator owns what is
//! known of
//! them; here its words and the decisions' are carried over.

use super::{Effect, ProxyMessage, Router};
use basalthill_extproc::{LeaseCoordinator, LeaseUsage, Output, ProxyLimits, ProxyReply, StreamId};
use basalthill_policy::api::*;

impl Router {
    /// Takes calls of other proxies from now on.
    pub fn serve_proxies(&mut self, now: Time, limits: ProxyLimits) {
        self.coordinator = Some(LeaseCoordinator::new(now, &self.deployment.settings, limits));
    }

    /// Calls of proxies, their leases, and the writes remembered for them.
    pub fn lease_usage(&self) -> LeaseUsage {
        self.coordinator.as_ref().map(LeaseCoordinator::usage).unwrap_or_default()
    }

    /// A proxy's word, to the coordinator.
    pub(super) fn handle_proxy_message(
        &mut self,
        now: Time,
        stream: StreamId,
        message: ProxyMessage,
        out: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        let Some(coordinator) = &mut self.coordinator else { return };
        match message {
            ProxyMessage::Request(call) => coordinator.request(now, stream, call, &mut outputs),
            ProxyMessage::Outcome { lease, outcome, replication } => {
                coordinator.report_outcome(now, stream, lease, outcome, replication, &mut outputs)
            }
            ProxyMessage::StreamClosed => coordinator.stream_closed(now, stream, &mut outputs),
        }
        self.apply_coordinator_outputs(outputs, out);
    }

    /// What the decisions do with a proxy's request. The decision holds up to a drain's grace, and a member
    /// that nobody can reach is not named.
    pub(super) fn apply_proxy_action(&mut self, now: Time, action: &Action, out: &mut Vec<Effect>) {
        let until = match action {
            Action::Send(_, member, _) if self.endpoints.addr(*member).is_none() => Some(now),
            Action::Send(_, member, _) => self
                .endpoints
                .draining_since(*member)
                .map(|notified_at| notified_at.plus(self.deployment.settings.drain_grace)),
            _ => None,
        };
        let mut outputs = Vec::new();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.apply(now, action, until, &mut outputs);
        }
        self.apply_coordinator_outputs(outputs, out);
    }

    pub(super) fn apply_coordinator_outputs(&mut self, outputs: Vec<Output>, out: &mut Vec<Effect>) {
        for output in outputs {
            match output {
                Output::Event(event) => self.events.push_back(event),
                Output::Reply(stream, reply) => {
                    let addr = match reply {
                        ProxyReply::Member { member, .. } => self.endpoints.addr(member),
                        _ => None,
                    };
                    out.push(Effect::ProxyReply(stream, reply, addr));
                }
            }
        }
    }
}
