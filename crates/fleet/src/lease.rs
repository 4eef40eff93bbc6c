//! Whose the share of each name is. A name's own router holds it while most of the name's guardians say
//! so; when that router is gone, another takes it over by the same vote, as its steward.
//!
//! A guardian gives its vote for a span, and to nobody else before that is over by its own clock. A
//! holder counts the span from when it asked. Two sets of most guardians have one in common, so no share
//! is held twice (PaxosLease's argument; no disk: a guardian that starts gives no vote until its earlier
//! life's have lapsed). A router is known by its name and its life: what an earlier life held has to
//! lapse, too.

use crate::names::NodeId;
use crate::times::Timing;
use basalthill_policy::api::Time;
use std::collections::{BTreeMap, VecDeque};

/// One life of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIncarnation {
    /// Its name.
    pub router: NodeId,
    /// The life: later ones are larger.
    pub life: u64,
}

/// Who request for a vote, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// The router, and its life.
    pub life: NodeIncarnation,
    /// The question's number.
    pub number: u32,
    /// For so long, by its own clock.
    pub span: Time,
}

/// No vote is given for longer.
pub const MAX_LEASE: Time = Time::ms(120_000);

/// A guardian's votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    quiet_until: Time,
    votes: BTreeMap<NodeId, GrantedVote>,
}

/// A vote that has been given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedVote {
    to: NodeIncarnation,
    until: Time,
    /// Of the newest question that it answers.
    number: u32,
}

impl Voter {
    /// A guardian that has just started; its earlier life's votes lapse within so long.
    pub fn new(now: Time, quiet: Time) -> Voter {
        Voter { quiet_until: now.plus(quiet), votes: BTreeMap::new() }
    }

    /// A router request for this guardian's vote on a share, for a span. If it can't have it, who has it.
    pub fn request_vote(
        &mut self,
        now: Time,
        times: &Timing,
        slot: NodeId,
        by: VoteRequest,
    ) -> Result<(), Option<NodeIncarnation>> {
        if by.span > MAX_LEASE {
            return Err(None);
        }
        if now < self.quiet_until {
            return Err(None);
        }
        let given = self.votes.get(&slot).filter(|g| now < g.until);
        if let Some(other) = given.filter(|g| g.to != by.life) {
            return Err(Some(other.to));
        }
        // A question that comes late must not shorten what a newer one was answered with.
        let number = given.map_or(by.number, |g| g.number.max(by.number));
        let until = now.plus(times.lender_span(by.span)).max(given.map_or(Time(0), |g| g.until));
        self.votes.insert(slot, GrantedVote { to: by.life, until, number });
        Ok(())
    }

    /// A holder has given a share up, and uses no vote that answers its questions up to this one. A word that
    /// comes late, after a newer question, says nothing of the vote that this has had.
    pub fn release(&mut self, slot: NodeId, by: NodeIncarnation, number: u32) {
        if self.votes.get(&slot).is_some_and(|g| g.to == by && g.number <= number) {
            self.votes.remove(&slot);
        }
    }

    /// Forgets votes that have lapsed.
    pub fn expire(&mut self, now: Time) {
        self.votes.retain(|_, given| now < given.until);
    }

    /// Who has this guardian's vote on a share.
    pub fn holder(&self, slot: NodeId) -> Option<NodeIncarnation> {
        self.votes.get(&slot).map(|given| given.to)
    }
}

/// Questions whose answers still count.
const OPEN_ROUNDS: usize = 4;

/// A router's claim on a share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseClaim {
    number: u32,
    /// The newest questions, and until when a vote counts that answers each.
    asked: VecDeque<(u32, Time)>,
    /// Until when each guardian's vote counts.
    votes: BTreeMap<NodeId, Time>,
    guardians: Vec<NodeId>,
}

impl LeaseClaim {
    /// A claim on a share with these guardians.
    pub fn new(guardians: Vec<NodeId>) -> LeaseClaim {
        LeaseClaim { guardians, ..LeaseClaim::default() }
    }

    /// Asks all guardians again, by a number that this life has not used for this share before and that is
    /// larger than all it has.
    pub fn begin_round(&mut self, now: Time, number: u32, span: Time) {
        self.number = number;
        self.asked.push_back((number, now.plus(span)));
        if self.asked.len() > OPEN_ROUNDS {
            self.asked.pop_front();
        }
    }

    /// The number of the newest question.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// A guardian has given its vote.
    pub fn record_vote(&mut self, by: NodeId, number: u32) {
        let Some((_, until)) = self.asked.iter().find(|(n, _)| *n == number) else { return };
        if self.guardians.contains(&by) {
            let counts = self.votes.entry(by).or_default();
            *counts = (*until).max(*counts);
        }
    }

    /// Until when the share is held: so long most of the guardians' votes count.
    pub fn expires_at(&self) -> Time {
        let mut votes: Vec<Time> = self.votes.values().copied().collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        votes.get(self.guardians.len() / 2).copied().unwrap_or_default()
    }

    /// The guardians.
    pub fn voters(&self) -> &[NodeId] {
        &self.guardians
    }
}
