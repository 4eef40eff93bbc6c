//! Leases on quotas: which router may use the quotas of each node.
//!
//! A node's own router has the lease while a majority of the node's voters grant it. When that router is
//! gone, another one takes the lease over by the same vote, as the node's steward.
//!
//! A voter grants its vote for a span, and to no other router before that span is over by the voter's own
//! clock. The claimant measures the span from when it sent its request. Two majorities have a voter in
//! common, so no quota is leased twice. This is the argument of PaxosLease (Trencseni, Gazso, Reinhardt
//! 2012). No disk is needed: a voter that has just started grants no vote until those of its earlier
//! incarnation have expired. A router is known by its name and its incarnation: what an earlier incarnation
//! had leased must expire, too.

use crate::roster::NodeId;
use crate::timing::Timing;
use basalthill_policy::api::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One incarnation of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The router.
    pub node: NodeId,
    /// Its incarnation: later ones are larger.
    pub incarnation: u64,
}

/// A router's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The router that requests the vote.
    pub candidate: NodeIncarnation,
    /// The request's number.
    pub number: u32,
    /// How long the vote is to be valid by the candidate's clock.
    pub span: Time,
}

/// Why a vote is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoteDenied {
    /// The request is for longer than [`MAX_LEASE`].
    #[error("the span {0:?} is longer than the longest lease")]
    SpanTooLong(Time),
    /// The voter has started too recently: votes of its earlier incarnation may still be valid.
    #[error("votes of the voter's earlier incarnation may still be valid")]
    Quarantined,
    /// Another router, or another incarnation of the same router, has the vote.
    #[error("{0:?} has the vote")]
    GrantedTo(NodeIncarnation),
}

/// The longest span that a vote is granted for.
pub const MAX_LEASE: Time = Time::ms(120_000);

/// The votes that this router has granted as a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    quarantined_until: Time,
    votes: BTreeMap<NodeId, GrantedVote>,
}

/// A vote that has been granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedVote {
    candidate: NodeIncarnation,
    /// When it expires, by the voter's clock.
    expires_at: Time,
    /// The number of the latest request that it answers.
    number: u32,
}

impl Voter {
    /// A voter that has just started. It grants no vote for the span `quarantine`, after which all votes of
    /// its earlier incarnation have expired.
    pub fn new(now: Time, quarantine: Time) -> Voter {
        Voter { quarantined_until: now.plus(quarantine), votes: BTreeMap::new() }
    }

    /// Decides on a request for this voter's vote on the quotas of `owner`.
    ///
    /// # Errors
    ///
    /// Why the vote is denied.
    pub fn request_vote(
        &mut self,
        now: Time,
        timing: &Timing,
        owner: NodeId,
        request: VoteRequest,
    ) -> Result<(), VoteDenied> {
        if request.span > MAX_LEASE {
            return Err(VoteDenied::SpanTooLong(request.span));
        }
        if now < self.quarantined_until {
            return Err(VoteDenied::Quarantined);
        }
        let mut expires_at = now.plus(timing.lender_span(request.span));
        let mut number = request.number;
        if let Some(vote) = self.votes.get(&owner).filter(|vote| now < vote.expires_at) {
            if vote.candidate != request.candidate {
                return Err(VoteDenied::GrantedTo(vote.candidate));
            }
            // A request that arrives late must not shorten what a newer one was answered with.
            number = number.max(vote.number);
            expires_at = expires_at.max(vote.expires_at);
        }
        self.votes.insert(owner, GrantedVote { candidate: request.candidate, expires_at, number });
        Ok(())
    }

    /// A router has released its lease and uses no vote that answers its requests up to `number`. A release
    /// that arrives after a newer request does not affect the vote that this request was answered with.
    pub fn release(&mut self, owner: NodeId, candidate: NodeIncarnation, number: u32) {
        if self.votes.get(&owner).is_some_and(|vote| vote.candidate == candidate && vote.number <= number) {
            self.votes.remove(&owner);
        }
    }

    /// Discards votes that have expired.
    pub fn expire(&mut self, now: Time) {
        self.votes.retain(|_, vote| now < vote.expires_at);
    }
}

/// The rounds of requests whose votes are still accepted.
const OPEN_ROUNDS: usize = 4;

/// One round of requests to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimRound {
    number: u32,
    /// When votes that answer it expire, by this router's clock.
    votes_expire_at: Time,
}

/// A router's claim to the lease on a node's quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseClaim {
    /// The number of the latest round.
    number: u32,
    open_rounds: VecDeque<ClaimRound>,
    /// When the vote of each voter expires.
    votes: BTreeMap<NodeId, Time>,
    voters: Vec<NodeId>,
}

impl LeaseClaim {
    /// A claim to quotas with these voters.
    pub fn new(voters: Vec<NodeId>) -> LeaseClaim {
        LeaseClaim { voters, ..LeaseClaim::default() }
    }

    /// Begins a round of requests to all voters. Its number must be larger than all that this incarnation has
    /// used for these quotas.
    pub fn begin_round(&mut self, now: Time, number: u32, span: Time) {
        self.number = number;
        self.open_rounds.push_back(ClaimRound { number, votes_expire_at: now.plus(span) });
        if self.open_rounds.len() > OPEN_ROUNDS {
            self.open_rounds.pop_front();
        }
    }

    /// The number of the latest round.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Records the vote of a voter that answers the round `number`.
    pub fn record_vote(&mut self, voter: NodeId, number: u32) {
        let Some(round) = self.open_rounds.iter().find(|round| round.number == number) else { return };
        if self.voters.contains(&voter) {
            let expires_at = self.votes.entry(voter).or_default();
            *expires_at = round.votes_expire_at.max(*expires_at);
        }
    }

    /// When the lease expires: until then the votes of a majority are valid.
    pub fn expires_at(&self) -> Time {
        let mut expiries: Vec<Time> = self.votes.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.voters.len() / 2 + 1;
        expiries.get(majority - 1).copied().unwrap_or_default()
    }

    /// The voters.
    pub fn voters(&self) -> &[NodeId] {
        &self.voters
    }
}
