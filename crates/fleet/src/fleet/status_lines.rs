//! The status of a router as lines of text for `basalthill fleet`. `docs/operate/fleet.md` explains them.

use super::links::ConfigMismatch;
use super::Fleet;
use crate::lease::LeaseClaim;
use crate::limit::LimitKey;
use crate::packet::PeerState;
use crate::roster::NodeId;
use crate::swim::PeerView;
use basalthill_policy::api::Time;

impl Fleet {
    /// Returns the status lines: this router, its peers, leases, limits and datagrams, and the reasons why
    /// votes or units are withheld.
    pub fn status_lines(&self, now: Time) -> Vec<String> {
        let mut lines = vec![self.router_line()];
        lines.extend(self.swim.peers().map(|(id, view)| self.peer_line(now, id, view)));
        lines.extend(self.leases.claims().map(|(owner, claim)| self.lease_line(now, *owner, claim)));
        lines.extend(self.accounts.iter().map(|(key, _)| self.limit_line(now, *key)));
        lines.extend(self.datagram_lines());
        lines
    }

    fn router_line(&self) -> String {
        format!(
            "router {} life {} names {} alive {} slow {}",
            self.config.roster.name(self.me),
            self.swim.incarnation(),
            self.config.roster.len(),
            self.swim.alive().count(),
            self.swim.health_score()
        )
    }

    fn peer_line(&self, now: Time, id: NodeId, view: &PeerView) -> String {
        let ago = |at: Time| format!("{:.1} s", now.since(at).secs());
        let withheld = match self.links.mismatch(id) {
            ConfigMismatch { roster: true, .. } => " withheld: another list of names",
            ConfigMismatch { limits: true, .. } => " withheld: other limits",
            _ => "",
        };
        format!(
            "member {} {} for {} says {} heard {} life {}{withheld}",
            self.config.roster.name(id),
            state_label(view.state),
            ago(view.since),
            self.config.roster.name(view.reporter),
            view.last_received_at.map_or("never".into(), ago),
            view.incarnation
        )
    }

    fn lease_line(&self, now: Time, owner: NodeId, claim: &LeaseClaim) -> String {
        let remaining = claim.expires_at().since(now);
        let state = if remaining > Time(0) {
            format!("held for {:.1} s more", remaining.secs())
        } else {
            "withheld: most of its guardians have not given their votes".into()
        };
        format!("share of {} {state}", self.config.roster.name(owner))
    }

    fn limit_line(&self, now: Time, key: LimitKey) -> String {
        let name = self.config.limit_of(key).map_or("?", |limit| limit.name.as_str());
        let is_at = |member: &&String| key.member != 0 && LimitKey::at_member(name, member) == key;
        let member = self.accounts.members().iter().find(is_at);
        let at_member = member.map(|member| format!(" at {member}")).unwrap_or_default();
        let stats = self.account_stats(now, key).unwrap_or_default();
        let next_expiry = stats.next_expiry.map(|at| format!(" next lapse in {:.1} s", at.since(now).secs()));
        let withheld = match self.accounts.leases_from(key) {
            Some(from) => {
                format!(" withheld: it has changed, and counts in {:.1} s", from.since(now).secs())
            }
            None => String::new(),
        };
        format!(
            "limit {name}{at_member} of {} held {} floor {} shares {} borrowed {} lent {} want {} in use {} \
             spent {} refused {}{}{withheld}",
            stats.total,
            stats.usable,
            stats.reserved,
            stats.leased,
            stats.borrowed,
            stats.lent,
            stats.demand,
            stats.in_use,
            stats.admitted,
            stats.rejected,
            next_expiry.unwrap_or_default()
        )
    }

    fn datagram_lines(&self) -> Vec<String> {
        let counters = &self.counters;
        let mut lines = vec![format!(
            "datagrams sent {} of {} bytes, taken {}",
            counters.sent, counters.sent_bytes, counters.accepted
        )];
        for (reason, count) in &counters.dropped {
            lines.push(format!("datagrams dropped {count}: {}", reason.label()));
        }
        lines
    }
}

fn state_label(state: Option<PeerState>) -> &'static str {
    match state {
        None => "unheard",
        Some(PeerState::Alive) => "alive",
        Some(PeerState::Suspect) => "suspect",
        Some(PeerState::Dead) => "dead",
        Some(PeerState::Left) => "left",
    }
}
