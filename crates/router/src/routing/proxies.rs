//! Other proxies, which ask for a decision and do the sending themselves. The desk owns what is known of
//! them; here its words and the decisions' are carried over.

use super::{Effect, Router, Spoken};
use basalthill_extproc::lease::StreamId;
use basalthill_extproc::{Desk, Limits, Out, Say};
use basalthill_policy::api::*;

impl Router {
    /// Takes calls of other proxies from now on.
    pub fn serve_proxies(&mut self, now: Time, limits: Limits) {
        self.desk = Some(Desk::new(now, &self.site.settings, limits));
    }

    /// Calls of proxies, their leases, and the writes remembered for them.
    pub fn desk_books(&self) -> (usize, usize, usize) {
        self.desk.as_ref().map_or((0, 0, 0), Desk::books)
    }

    /// A proxy's word, to the desk.
    pub(super) fn proxy(&mut self, now: Time, stream: StreamId, spoken: Spoken, out: &mut Vec<Effect>) {
        let mut said = Vec::new();
        let Some(desk) = &mut self.desk else { return };
        match spoken {
            Spoken::Ask(call) => desk.ask(now, stream, call, &mut said),
            Spoken::Told(lease, told, standing) => desk.told(now, stream, lease, told, standing, &mut said),
            Spoken::Gone => desk.gone(now, stream, &mut said),
        }
        self.desk_says(said, out);
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
        if let Some(desk) = &mut self.desk {
            desk.act(now, action, until, &mut said);
        }
        self.desk_says(said, out);
    }

    pub(super) fn desk_says(&mut self, said: Vec<Out>, out: &mut Vec<Effect>) {
        for one in said {
            match one {
                Out::Event(event) => self.events.push_back(event),
                Out::Say(stream, say) => {
                    let addr = match say {
                        Say::Member(_, member, _) => self.members.addr(member),
                        _ => None,
                    };
                    out.push(Effect::Proxy(stream, say, addr));
                }
            }
        }
    }
}
