//! Other proxies, which ask for a decision and do the sending themselves. The coordinator owns what is
//! known of
//! them; here its words and the decisions' are carried over.

use super::{Effect, ProxyMessage, Router};
use basalthill_extproc::{LeaseCoordinator, LeaseUsage, Output, ProxyLimits, ProxyReply, StreamId};
use basalthill_policy::api::*;

impl Router {
    /// Takes calls of other proxies from now on.
    pub fn serve_proxies(&mut self, now: Time, limits: ProxyLimits) {
        self.coordinator = Some(LeaseCoordinator::new(now, &self.site.settings, limits));
    }

    /// Calls of proxies, their leases, and the writes remembered for them.
    pub fn lease_usage(&self) -> LeaseUsage {
        self.coordinator.as_ref().map(LeaseCoordinator::usage).unwrap_or_default()
    }

    /// A proxy's word, to the coordinator.
    pub(super) fn proxy(&mut self, now: Time, stream: StreamId, spoken: ProxyMessage, out: &mut Vec<Effect>) {
        let mut said = Vec::new();
        let Some(coordinator) = &mut self.coordinator else { return };
        match spoken {
            ProxyMessage::Request(call) => coordinator.request(now, stream, call, &mut said),
            ProxyMessage::Outcome { lease, outcome, replication } => {
                coordinator.report_outcome(now, stream, lease, outcome, replication, &mut said)
            }
            ProxyMessage::StreamClosed => coordinator.stream_closed(now, stream, &mut said),
        }
        self.apply_coordinator_outputs(said, out);
    }

    /// What the decisions do with a proxy's request. The decision holds up to a drain's grace, and a member
    /// that nobody can reach is not named.
    pub(super) fn act_for_proxy(&mut self, now: Time, action: &Action, out: &mut Vec<Effect>) {
        let until = match action {
            Action::Send(_, member, _) if self.members.addr(*member).is_none() => Some(now),
            Action::Send(_, member, _) => {
                self.members.parting(*member).map(|told| told.plus(self.site.settings.drain_grace))
            }
            _ => None,
        };
        let mut said = Vec::new();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.apply(now, action, until, &mut said);
        }
        self.apply_coordinator_outputs(said, out);
    }

    pub(super) fn apply_coordinator_outputs(&mut self, said: Vec<Output>, out: &mut Vec<Effect>) {
        for one in said {
            match one {
                Output::Event(event) => self.events.push_back(event),
                Output::Reply(stream, say) => {
                    let addr = match say {
                        ProxyReply::Member { member, .. } => self.members.addr(member),
                        _ => None,
                    };
                    out.push(Effect::ProxyReply(stream, say, addr));
                }
            }
        }
    }
}
