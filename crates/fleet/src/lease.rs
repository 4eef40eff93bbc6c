//! Leases on quotas. Each quota belongs to a router, its owner; the lease determines which router may use it.
//!
//! The owner holds the lease while a majority of the voters on its quotas grant it their votes. When the
//! owner is unavailable, another router, its successor, acquires the lease by the same vote.
//!
//! A voter grants its vote for a span, and to no other router until that span has passed by the voter's own
//! clock. The candidate measures the span from the time at which it sent its request. Any two majorities have
//! a voter in common, so a quota is never leased to two routers at a time. PaxosLease (Trencseni, Gazso,
//! Reinhardt 2012) rests on the same argument. Voters need no persistent storage: one that has just started
//! grants no vote until the votes of its earlier incarnation have expired. A candidate is identified by its
//! name and its incarnation, because the leases of an earlier incarnation have to expire as well.

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
    /// The router's incarnation. Later incarnations have larger numbers.
    pub incarnation: u64,
}

/// A router's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The router that requests the vote.
    pub candidate: NodeIncarnation,
    /// The request's number.
    pub number: u32,
    /// How long the vote is to be valid, by the candidate's clock.
    pub span: Time,
}

/// The reason for denying a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoteDenied {
    /// The requested span is longer than [`MAX_LEASE`].
    #[error("the requested span {0:?} exceeds the longest lease of {max:?}", max = MAX_LEASE)]
    SpanTooLong(Time),
    /// The voter has just started: votes of its earlier incarnation may still be valid.
    #[error("the voter has just started; votes of its earlier incarnation may still be valid")]
    Quarantined,
    /// Another router, or another incarnation of the same router, holds the vote.
    #[error("{0:?} holds the vote")]
    GrantedTo(NodeIncarnation),
}

/// The longest span that a vote is granted for.
pub const MAX_LEASE: Time = Time::ms(120_000);

/// The votes that this router has granted as a voter, by owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    quarantined_until: Time,
    votes: BTreeMap<NodeId, GrantedVote>,
}

/// A vote that has been granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedVote {
    candidate: NodeIncarnation,
    /// When the vote expires, by the voter's clock.
    expires_at: Time,
    /// The number of the latest request that the vote was granted for.
    number: u32,
}

impl Voter {
    /// Creates the state of a voter that has just started. It grants no vote for the span `quarantine`, after
    /// which all votes of its earlier incarnation have expired.
    pub fn new(now: Time, quarantine: Time) -> Voter {
        Voter { quarantined_until: now.plus(quarantine), votes: BTreeMap::new() }
    }

    /// Decides on a request for this voter's vote on the quotas of `owner`.
    ///
    /// # Errors
    ///
    /// Returns the reason for denying the vote.
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
            // A delayed request must not shorten a vote that was granted for a newer one.
            number = number.max(vote.number);
            expires_at = expires_at.max(vote.expires_at);
        }
        self.votes.insert(owner, GrantedVote { candidate: request.candidate, expires_at, number });
        Ok(())
    }

    /// Withdraws the vote granted to `candidate`, which has released its lease and uses no vote granted for
    /// its requests up to `number`. A vote that was granted for a later request remains.
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

/// The number of latest rounds for which votes are still accepted.
const OPEN_ROUNDS: usize = 4;

/// One round of vote requests to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimRound {
    number: u32,
    /// When the votes granted for the round expire, by this router's clock.
    votes_expire_at: Time,
}

/// A router's claim to the lease on an owner's quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseClaim {
    /// The number of the latest round.
    number: u32,
    open_rounds: VecDeque<ClaimRound>,
    /// When the vote of each voter expires, by this router's clock.
    votes: BTreeMap<NodeId, Time>,
    voters: Vec<NodeId>,
}

impl LeaseClaim {
    /// Creates a claim with these voters and no votes.
    pub fn new(voters: Vec<NodeId>) -> LeaseClaim {
        LeaseClaim { voters, ..LeaseClaim::default() }
    }

    /// Begins a round of requests to all voters. `number` must be larger than all numbers that this
    /// incarnation has used for these quotas.
    pub fn begin_round(&mut self, now: Time, number: u32, span: Time) {
        self.number = number;
        self.open_rounds.push_back(ClaimRound { number, votes_expire_at: now.plus(span) });
        if self.open_rounds.len() > OPEN_ROUNDS {
            self.open_rounds.pop_front();
        }
    }

    /// Returns the number of the latest round.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Records the vote of a voter that was granted for the round `number`. Ignored if that round is not
    /// among the latest `OPEN_ROUNDS`, or if the router is not a voter.
    pub fn record_vote(&mut self, voter: NodeId, number: u32) {
        let Some(round) = self.open_rounds.iter().find(|round| round.number == number) else { return };
        if self.voters.contains(&voter) {
            let expires_at = self.votes.entry(voter).or_default();
            *expires_at = round.votes_expire_at.max(*expires_at);
        }
    }

    /// Returns the time at which the lease expires: the time until which the votes of a majority of the
    /// voters are valid.
    pub fn expires_at(&self) -> Time {
        let mut expiries: Vec<Time> = self.votes.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.voters.len() / 2 + 1;
        expiries.get(majority - 1).copied().unwrap_or_default()
    }

    /// Returns the voters.
    pub fn voters(&self) -> &[NodeId] {
        &self.voters
    }
}
