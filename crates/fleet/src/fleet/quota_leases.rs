//! This router's part in the leases on quotas: its votes, its claim to its own quotas, and its claims as the
//! steward of nodes that are gone.

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

/// A lease that is valid is claimed again every so many rounds; one that is not, in each.
const RENEWAL_ROUNDS: u64 = 3;

/// What a round needs to know of the rest of the router.
pub struct RoundContext<'a> {
    /// The time.
    pub now: Time,
    /// When this router started.
    pub started_at: Time,
    /// The configuration.
    pub config: &'a FleetConfig,
    /// Who is alive.
    pub swim: &'a Swim,
    /// Rises whenever somebody's state changes.
    pub membership_version: u64,
}

impl RoundContext<'_> {
    /// Whether peers that were never heard of count as gone: a lease's time has passed since the start.
    fn unheard_are_gone(&self) -> bool {
        self.now.since(self.started_at) > self.config.timing.lease
    }

    fn is_gone(&self, node: NodeId) -> bool {
        self.swim.is_gone(node) || (self.unheard_are_gone() && self.swim.is_unheard(node))
    }
}

/// A lease that has not expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidLease {
    /// The node whose quotas it is on.
    pub owner: NodeId,
    /// When it expires.
    pub expires_at: Time,
}

/// What the nodes that are gone were last looked for with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GoneScan {
    membership_version: u64,
    unheard_are_gone: bool,
}

/// This router's votes and claims.
#[derive(Debug)]
pub struct QuotaLeases {
    me: NodeId,
    voter: Voter,
    /// Whether this router is a voter for each node that it was requested to vote on.
    is_voter_for: BTreeMap<NodeId, bool>,
    claims: BTreeMap<NodeId, LeaseClaim>,
    rounds: u64,
    /// The number of the latest vote request, over all claims of this incarnation.
    last_request: u32,
    last_scan: Option<GoneScan>,
}

impl QuotaLeases {
    /// A router that starts at `now`: it claims its own quotas, and grants no vote for a while.
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

    /// The claims by the node whose quotas they are to.
    pub fn claims(&self) -> impl Iterator<Item = (&NodeId, &LeaseClaim)> {
        self.claims.iter()
    }

    /// The leases that are valid.
    pub fn valid(&self, now: Time) -> impl Iterator<Item = ValidLease> + '_ {
        let lease = |(owner, claim): (&NodeId, &LeaseClaim)| {
            let expires_at = claim.expires_at();
            ValidLease { owner: *owner, expires_at }
        };
        self.claims.iter().map(lease).filter(move |lease| lease.expires_at > now)
    }

    /// Starts again with a claim to this router's own quotas alone, after the roster has changed. Leases
    /// under the old roster expire.
    pub fn restart_claims(&mut self, roster: &Roster) {
        self.claims = BTreeMap::from([(self.me, LeaseClaim::new(roster.voters(self.me)))]);
    }

    /// Forgets which nodes this router is a voter for: the roster may have changed.
    pub fn forget_voters(&mut self) {
        self.is_voter_for.clear();
    }

    /// Decides on a request for a vote on the quotas of `owner`. Returns the answer, if this router is a
    /// voter.
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

    /// Records a vote for this router's claim to the quotas of `owner`. If it extends the lease, returns when
    /// the lease would have expired without it.
    pub fn record_vote(&mut self, owner: NodeId, voter: NodeId, number: u32) -> Option<Time> {
        let claim = self.claims.get_mut(&owner)?;
        let previous_expiry = claim.expires_at();
        claim.record_vote(voter, number);
        (claim.expires_at() > previous_expiry).then_some(previous_expiry)
    }

    /// A router has released its lease on the quotas of `owner`.
    pub fn receive_release(&mut self, owner: NodeId, candidate: NodeIncarnation, number: u32) {
        self.voter.release(owner, candidate, number);
    }

    /// Runs a round: claims this router's own quotas and those of nodes that are gone where it is the
    /// steward, and releases those of nodes that are back.
    pub fn run_round(
        &mut self,
        context: &RoundContext,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
        effects: &mut Vec<Effect>,
    ) {
        self.rounds += 1;
        self.voter.expire(context.now);
        self.claim_for_gone_nodes(context);
        self.release_for_returned_nodes(context, accounts, outbox, effects);
        self.request_votes(context, accounts, outbox);
    }

    /// Adds claims to the quotas of nodes that are gone and for which this router has the largest rendezvous
    /// weight of the alive ones.
    fn claim_for_gone_nodes(&mut self, context: &RoundContext) {
        let scan = GoneScan {
            membership_version: context.membership_version,
            unheard_are_gone: context.unheard_are_gone(),
        };
        if self.last_scan == Some(scan) {
            return;
        }
        self.last_scan = Some(scan);
        let alive: Vec<NodeId> = context.swim.alive().collect();
        let roster = &context.config.roster;
        for owner in roster.ids().filter(|id| *id != self.me && context.is_gone(*id)) {
            let steward = rendezvous_winner(alive.iter().copied(), owner.0);
            if steward == Some(self.me) {
                self.claims.entry(owner).or_insert_with(|| LeaseClaim::new(roster.voters(owner)));
            }
        }
    }

    /// Releases the quotas of nodes that are back, as soon as nothing relies on them.
    fn release_for_returned_nodes(
        &mut self,
        context: &RoundContext,
        accounts: &mut AccountTable,
        outbox: &mut Outbox,
        effects: &mut Vec<Effect>,
    ) {
        let is_back = |owner: &NodeId| *owner != self.me && !context.is_gone(*owner);
        let returned: Vec<NodeId> = self.claims.keys().copied().filter(is_back).collect();
        for owner in returned {
            accounts.all_mut().for_each(|account| account.set_releasing(owner, true));
            if self.release(context.now, owner, context.swim.incarnation(), accounts, outbox) {
                let name = context.config.roster.name(owner);
                effects.push(Effect::Log(format!("fleet: the share of {name} is given up")));
            }
        }
    }

    /// Requests votes for each claim whose turn it is.
    fn request_votes(&mut self, context: &RoundContext, accounts: &mut AccountTable, outbox: &mut Outbox) {
        let now = context.now;
        let span = context.config.timing.lease;
        let candidate = NodeIncarnation { node: self.me, incarnation: context.swim.incarnation() };
        for (owner, claim) in &mut self.claims {
            let is_own = *owner == self.me;
            if !is_own && !context.is_gone(*owner) {
                continue;
            }
            if !is_own {
                accounts.all_mut().for_each(|account| account.set_releasing(*owner, false));
            }
            let is_turn = self.rounds % RENEWAL_ROUNDS == owner.0 % RENEWAL_ROUNDS;
            if !is_turn && claim.expires_at() > now {
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
                outbox.push(*voter, Message::VoteRequest { owner: *owner, number, span_ms: millis(span) });
            }
        }
    }

    /// Releases all leases on which nothing relies: this router shuts down.
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

    /// Releases a node's quotas if nothing relies on them. Returns whether they are released.
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

/// A span in milliseconds, rounded up.
fn millis(span: Time) -> u32 {
    span.0.div_ceil(1_000_000) as u32
}
