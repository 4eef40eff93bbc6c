//! This router's part in the leases on quotas: the votes that it grants, its claim to its own quotas, and its
//! claims as the successor of unavailable routers (see [`crate::lease`]).

use super::accounts::AccountTable;
use super::config::FleetConfig;
use super::outbox::Outbox;
use super::Effect;
use crate::hash::rendezvous_winner;
use crate::lease::{LeaseClaim, NodeIncarnation, VoteDenied, VoteRequest, Voter};
use crate::packet::Message;
use crate::roster::{NodeId, Roster};
use crate::swim::Swim;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Rounds between two requests to renew a valid lease. A lease that is not valid is requested in every round.
const RENEWAL_ROUNDS: u64 = 3;

/// The state of other modules that a round depends on.
pub struct RoundContext<'a> {
    /// The time of the round.
    pub now: Time,
    /// When this router started.
    pub started_at: Time,
    /// The configuration.
    pub config: &'a FleetConfig,
    /// The membership.
    pub swim: &'a Swim,
    /// Increases whenever a peer's state or the configuration changes.
    pub membership_version: u64,
}

impl RoundContext<'_> {
    /// Returns whether a peer from or about which nothing was ever received counts as unavailable: more than
    /// a lease's span has passed since this router started.
    fn unheard_are_unavailable(&self) -> bool {
        self.now.since(self.started_at) > self.config.timing.lease_span
    }

    fn is_unavailable(&self, node: NodeId) -> bool {
        self.swim.is_dead_or_left(node) || (self.unheard_are_unavailable() && self.swim.is_unheard(node))
    }
}

/// A lease that has not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidLease {
    /// The router that the leased quotas belong to.
    pub owner: NodeId,
    /// When the lease expires.
    pub expires_at: Time,
}

/// The inputs of the last search for unavailable routers. The search is repeated only when one of them
/// changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClaimScan {
    membership_version: u64,
    unheard_are_unavailable: bool,
}

/// The votes that this router has granted, and its claims to leases.
#[derive(Debug)]
pub struct QuotaLeases {
    me: NodeId,
    voter: Voter,
    /// For each owner that a vote was requested for, whether this router is a voter on its quotas.
    is_voter_for: BTreeMap<NodeId, bool>,
    claims: BTreeMap<NodeId, LeaseClaim>,
    rounds: u64,
    /// The number of the latest vote request, counted over all claims of this incarnation.
    last_request: u32,
    last_scan: Option<ClaimScan>,
}

impl QuotaLeases {
    /// Creates the state of a router that starts at `now`: it claims its own quotas, and grants no vote
    /// during the quarantine.
    pub fn new(now: Time, me: NodeId, config: &FleetConfig) -> QuotaLeases {
        let mut leases = QuotaLeases {
            me,
            voter: Voter::new(now, config.vote_quarantine),
            is_voter_for: BTreeMap::new(),
            claims: BTreeMap::new(),
            rounds: 0,
            last_request: 0,
            last_scan: None,
        };
        leases.restart_claims(&config.roster);
        leases
    }

    /// Returns the claims, by the owner of the claimed quotas.
    pub fn claims(&self) -> impl Iterator<Item = (&NodeId, &LeaseClaim)> {
        self.claims.iter()
    }

    /// Returns the leases that are valid.
    pub fn valid(&self, now: Time) -> impl Iterator<Item = ValidLease> + '_ {
        let lease = |(owner, claim): (&NodeId, &LeaseClaim)| {
            let expires_at = claim.expires_at();
            ValidLease { owner: *owner, expires_at }
        };
        self.claims.iter().map(lease).filter(move |lease| lease.expires_at > now)
    }

    /// Replaces all claims by one to this router's own quotas, after the roster has changed. Leases under the
    /// old roster expire.
    pub fn restart_claims(&mut self, roster: &Roster) {
        self.claims = BTreeMap::from([(self.me, LeaseClaim::new(roster.voters(self.me)))]);
    }

    /// Discards the cache of the owners for which this router is a voter, because the roster may have
    /// changed.
    pub fn forget_voters(&mut self) {
        self.is_voter_for.clear();
    }

    /// Decides on a request for a vote on the quotas of `owner`. Returns the response, or `None` if this
    /// router is not a voter on them.
    pub fn decide_vote(
        &mut self,
        now: Time,
        config: &FleetConfig,
        owner: NodeId,
        request: VoteRequest,
    ) -> Option<Message> {
        let roster = &config.roster;
        if !roster.contains(owner) {
            return None;
        }
        let me = self.me;
        let is_voter = self.is_voter_for.entry(owner).or_insert_with(|| roster.voters(owner).contains(&me));
        if !*is_voter {
            return None;
        }
        Some(match self.voter.request_vote(now, &config.timing, owner, request) {
            Ok(()) => Message::VoteGranted { owner, number: request.number },
            Err(VoteDenied::GrantedTo(other)) => Message::VoteDenied { owner, granted_to: Some(other) },
            Err(VoteDenied::Quarantined | VoteDenied::SpanTooLong(_)) => {
                Message::VoteDenied { owner, granted_to: None }
            }
        })
    }

    /// Records a vote for this router's claim to the quotas of `owner`. If the vote extends the lease,
    /// returns the previous expiry of the lease.
    pub fn record_vote(&mut self, owner: NodeId, voter: NodeId, number: u32) -> Option<Time> {
        let claim = self.claims.get_mut(&owner)?;
        let previous_expiry = claim.expires_at();
        claim.record_vote(voter, number);
        (claim.expires_at() > previous_expiry).then_some(previous_expiry)
    }

    /// Withdraws the vote granted to `candidate`, which has released its lease on the quotas of `owner`. A
    /// vote that was granted for a request after `number` remains.
    pub fn receive_release(&mut self, owner: NodeId, candidate: NodeIncarnation, number: u32) {
        self.voter.release(owner, candidate, number);
    }

    /// Runs a round: requests votes on this router's own quotas and on those of unavailable routers whose
    /// successor it is, and releases the quotas of routers that are available again.
    pub fn run_round(
        &mut self,
        context: &RoundContext,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
        effects: &mut Vec<Effect>,
    ) {
        self.rounds += 1;
        self.voter.expire(context.now);
        self.claim_for_unavailable_owners(context);
        self.release_for_available_owners(context, accounts, outbox, effects);
        self.request_votes(context, accounts, outbox);
    }

    /// Adds claims to the quotas of unavailable routers for which this router has the largest rendezvous
    /// weight of all alive routers.
    fn claim_for_unavailable_owners(&mut self, context: &RoundContext) {
        let scan = ClaimScan {
            membership_version: context.membership_version,
            unheard_are_unavailable: context.unheard_are_unavailable(),
        };
        if self.last_scan == Some(scan) {
            return;
        }
        self.last_scan = Some(scan);
        let alive: Vec<NodeId> = context.swim.alive().collect();
        let roster = &context.config.roster;
        for owner in roster.ids().filter(|id| *id != self.me && context.is_unavailable(*id)) {
            let successor = rendezvous_winner(alive.iter().copied(), owner.0);
            if successor == Some(self.me) {
                self.claims.entry(owner).or_insert_with(|| LeaseClaim::new(roster.voters(owner)));
            }
        }
    }

    /// Releases the quotas of routers that are available again, once no loan and no unit in use depends on
    /// them.
    fn release_for_available_owners(
        &mut self,
        context: &RoundContext,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
        effects: &mut Vec<Effect>,
    ) {
        let is_available = |owner: &NodeId| *owner != self.me && !context.is_unavailable(*owner);
        let available: Vec<NodeId> = self.claims.keys().copied().filter(is_available).collect();
        for owner in available {
            accounts.all_mut().for_each(|account| account.set_releasing(owner, true));
            if self.release(context.now, owner, context.swim.incarnation(), accounts, outbox) {
                let name = context.config.roster.name(owner);
                effects.push(Effect::Log(format!(
                    "fleet: {name} is available again; released the lease on its quota"
                )));
            }
        }
    }

    /// Requests votes for each claim whose lease is not valid or is due for renewal.
    fn request_votes(&mut self, context: &RoundContext, accounts: &mut AccountTable, outbox: &mut Outbox) {
        let now = context.now;
        let span = context.config.timing.lease_span;
        let candidate = NodeIncarnation { node: self.me, incarnation: context.swim.incarnation() };
        for (owner, claim) in &mut self.claims {
            let is_own = *owner == self.me;
            if !is_own && !context.is_unavailable(*owner) {
                continue;
            }
            if !is_own {
                accounts.all_mut().for_each(|account| account.set_releasing(*owner, false));
            }
            let is_renewal_due = self.rounds % RENEWAL_ROUNDS == owner.0 % RENEWAL_ROUNDS;
            if !is_renewal_due && claim.expires_at() > now {
                continue;
            }
            self.last_request += 1;
            let number = self.last_request;
            claim.begin_round(now, number, span);
            let request = VoteRequest { candidate, number, span };
            if self.voter.request_vote(now, &context.config.timing, *owner, request).is_ok() {
                claim.record_vote(self.me, number);
            }
            for voter in claim.voters().iter().filter(|voter| **voter != self.me) {
                outbox.push(
                    *voter,
                    Message::VoteRequest { owner: *owner, number, span_ms: whole_millis(span) },
                );
            }
        }
    }

    /// Releases all leases that no loan and no unit in use depends on, because this router shuts down.
    pub fn release_all(
        &mut self,
        now: Time,
        incarnation: u64,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
    ) {
        let owners: Vec<NodeId> = self.claims.keys().copied().collect();
        for owner in owners {
            self.release(now, owner, incarnation, accounts, outbox);
        }
    }

    /// Releases the quotas of `owner` unless a loan or a unit in use depends on them. Returns whether they
    /// were released.
    fn release(
        &mut self,
        now: Time,
        owner: NodeId,
        incarnation: u64,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
    ) -> bool {
        accounts.all_mut().for_each(|account| account.settle(now));
        let Some(claim) = self.claims.get(&owner) else { return false };
        let is_valid = claim.expires_at() > now;
        if is_valid && !accounts.all_mut().all(|account| account.can_release(now, owner)) {
            return false;
        }
        accounts.all_mut().for_each(|account| account.release_lease(owner));
        let number = claim.number();
        for voter in claim.voters().iter().filter(|voter| **voter != self.me) {
            outbox.push(*voter, Message::LeaseReleased { owner, number });
        }
        self.voter.release(owner, NodeIncarnation { node: self.me, incarnation }, number);
        self.claims.remove(&owner).is_some()
    }
}

/// Returns a span in milliseconds, rounded up.
fn whole_millis(span: Time) -> u32 {
    span.0.div_ceil(1_000_000) as u32
}
