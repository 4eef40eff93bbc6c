//! The floors of one router's sessions.

use crate::book::FloorTable;
use crate::counts::SessionCounts;
use crate::floors::GroupFloors;
use crate::token::{self, KeyRing, SessionIdentity, TokenError};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use std::collections::BTreeMap;

/// A host's clock is believed to be ahead of this router's by no more than this.
const AHEAD_MOST: Time = Time::ms(1000);

/// What the platform's settings say of session floors. It holds where there is no [`SessionConfig`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformFloors {
    /// The read says what its session last wrote; one that says nothing has written nothing.
    #[default]
    FromRequest,
    /// The router remembers the writes that it has answered since it started.
    Remembered,
}

/// What stands in for a session that brings neither a token nor `after`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultFloor {
    /// What the platform says, to the letter: a session that brings neither has written nothing, and `after`
    /// alone goes on as it came.
    Platform,
    /// Nothing but what this router remembers of the session itself.
    RememberedOnly,
    /// What this router remembers, and its start for all that it doesn't.
    RouterStart,
    /// The moment in which the read's connection was accepted.
    ConnectionAccept,
    /// The moment in which the read came in.
    ReadArrival,
}

/// With which answers tokens are handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenDelivery {
    /// With none.
    Never,
    /// With answers to writes.
    WritesOnly,
    /// With session reads too: a session never goes back in time.
    WritesAndReads,
}

/// How sessions are kept together, by our own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionConfig {
    /// What stands in where nothing is brought.
    pub default_floor: DefaultFloor,
    /// What the clocks of routers and hosts may be apart.
    pub skew: Time,
    /// A write of unknown end commits within this after its end, if ever.
    pub settle_time: Time,
    /// A replica that is expected to reach a read's floor within this is waited for.
    pub lead: Time,
    /// Which answers carry tokens.
    pub token_delivery: TokenDelivery,
    /// A token that covers a write goes out as the write is sent, so that it is there if this router dies.
    pub early_tokens: bool,
    /// The keys of tokens; none means that tokens are neither handed out nor read.
    pub keys: Option<KeyRing>,
}

/// A request of a session.
#[derive(Clone, Copy, Debug)]
pub struct SessionRequest<'a> {
    /// The session.
    pub identity: SessionIdentity<'a>,
    /// The group asked.
    pub group: GroupId,
    /// The position that the client itself says the read must see.
    pub after: Option<Time>,
    /// Tokens brought; several count together.
    pub tokens: &'a [&'a [u8]],
    /// When the request's connection was accepted.
    pub accepted_at: Time,
}

/// What a read needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFloor {
    /// The position that its answer must see; zero if any will do.
    pub position: Time,
    /// How far ahead of a replica's position it may lie for that one to be waited for.
    pub lead: Time,
    /// Hosts must be told of it: it is not what the client has told them itself.
    pub send_to_hosts: bool,
}

/// A request of a session, from its arrival to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrackedRequest {
    /// The session.
    pub key: SessionKey,
    /// What its reads must see by what it has brought.
    pub floors: GroupFloors,
    /// It is a write.
    pub is_write: bool,
    /// It counts as unsettled up to its end.
    counted: bool,
    /// An attempt of it may have run, and none was answered.
    pub outcome_unknown: bool,
}

/// All that one router knows of its sessions.
pub struct Sessions {
    platform: PlatformFloors,
    plan: Option<SessionConfig>,
    book: FloorTable,
    /// The floor of all that the book can't know: a start in the dark.
    initial: Time,
    /// Writes that are out, by group and session; as many as there are requests at most.
    unsettled: BTreeMap<(GroupId, SessionKey), u32>,
    /// How far ahead of this clock a host's has been seen.
    ahead: Time,
    counts: SessionCounts,
}

impl Sessions {
    /// A router that has just started; its book takes `bytes` at most.
    pub fn new(
        now: Time,
        platform: PlatformFloors,
        plan: Option<SessionConfig>,
        bytes: usize,
        seed: u64,
    ) -> Sessions {
        let (ahead, counts) = (Time(0), SessionCounts::default());
        let book = FloorTable::new(now, bytes, seed);
        Sessions { platform, plan, book, initial: now, unsettled: BTreeMap::new(), ahead, counts }
    }

    /// Takes over settings that have been read again. The book stays, unless there was no plan before: what
    /// was written until then is not in it, and it begins as at a start.
    pub fn reconfigure(&mut self, now: Time, plan: Option<SessionConfig>, bytes: usize, seed: u64) {
        if self.plan.is_none() && plan.is_some() {
            (self.book, self.initial) = (FloorTable::new(now, bytes, seed), now);
        }
        (self.plan, self.ahead) = (plan, Time(0));
    }

    /// Whether floors are ours to make, and to tell the hosts.
    pub fn manages_floors(&self) -> bool {
        self.plan.is_some()
    }

    /// What has been counted since this was last asked.
    pub fn take_counts(&mut self) -> SessionCounts {
        self.counts.folded += self.book.take_folded();
        std::mem::take(&mut self.counts)
    }

    /// The skew that is reckoned with.
    fn skew(&self, plan: &SessionConfig) -> Time {
        plan.skew.max(self.ahead)
    }

    /// What the session brings by tokens, and whether one of them doesn't count.
    fn brought(&mut self, now: Time, asked: &SessionRequest) -> (Option<GroupFloors>, bool) {
        let Some((keys, plan)) = self.plan.as_ref().and_then(|p| Some((p.keys.as_ref()?, p))) else {
            return (None, false);
        };
        let (skew, mut floors, mut bad) = (self.skew(plan), None::<GroupFloors>, false);
        for text in asked.tokens {
            let fault = match token::verify(keys, now, skew, asked.identity, text) {
                Ok(read) => {
                    floors.get_or_insert_default().join(&read);
                    continue;
                }
                Err(fault) => fault,
            };
            bad = true;
            *match fault {
                TokenError::Malformed => &mut self.counts.malformed,
                TokenError::UnknownKey => &mut self.counts.unknown_key,
                TokenError::Forged => &mut self.counts.forged,
                TokenError::OtherSession => &mut self.counts.other_session,
                TokenError::Expired => &mut self.counts.old,
                TokenError::IssuedInFuture => &mut self.counts.future,
            } += 1;
        }
        (floors, bad)
    }

    /// What stands in for a session that brings nothing. A write of its earlier life whose end nobody told
    /// may commit up to `settle` later than that life's end; the clip at a read's arrival keeps it sound.
    fn stand_in(&self, plan: &SessionConfig, now: Time, accepted: Time) -> Time {
        let since = match plan.default_floor {
            DefaultFloor::Platform | DefaultFloor::RememberedOnly => return Time(0),
            DefaultFloor::RouterStart if self.initial == Time(0) => return Time(0),
            DefaultFloor::RouterStart => self.initial,
            DefaultFloor::ConnectionAccept => accepted,
            DefaultFloor::ReadArrival => now,
        };
        since.plus(plan.settle_time).min(now).plus(self.skew(plan))
    }

    /// A request of a session has come in: what it is known to have seen or written. A write counts as
    /// unsettled from here to [`Sessions::end_request`].
    pub fn begin_request(&mut self, now: Time, asked: &SessionRequest, write: bool) -> TrackedRequest {
        let key = asked.identity.key;
        let (floors, bad) = self.brought(now, asked);
        let mut known = floors.clone().unwrap_or_default();
        if let Some(plan) = &self.plan {
            // What a token that doesn't count may have said is no more than all that has been so far.
            if bad {
                known.fold(now.plus(self.skew(plan)));
            } else if floors.is_none() && (write || asked.after.is_none()) {
                known.fold(self.stand_in(plan, now, asked.accepted_at));
            }
            if write {
                *self.unsettled.entry((asked.group, key)).or_default() += 1;
            }
        }
        if !write {
            *match (floors.is_some() && !bad, asked.after.is_some()) {
                (true, _) => &mut self.counts.by_token,
                (false, true) => &mut self.counts.by_after,
                (false, false) if bad || known.get(asked.group) > Time(0) => &mut self.counts.by_stand_in,
                (false, false) => &mut self.counts.no_floor,
            } += 1;
        }
        TrackedRequest {
            key,
            floors: known,
            is_write: write,
            counted: write && self.plan.is_some(),
            outcome_unknown: false,
        }
    }

    /// The floor of a session read that has just come in.
    pub fn read_floor(&mut self, now: Time, asked: &SessionRequest, tracked: &TrackedRequest) -> ReadFloor {
        let after = asked.after.unwrap_or_default();
        let entry = || self.book.get(asked.group, tracked.key);
        let untold = |at| ReadFloor { position: at, lead: Time(0), send_to_hosts: false };
        let Some(plan) = &self.plan else {
            return untold(match self.platform {
                PlatformFloors::FromRequest => after.min(now),
                PlatformFloors::Remembered => entry().exact.unwrap_or_default().max(entry().evicted),
            });
        };
        if plan.default_floor == DefaultFloor::Platform && asked.tokens.is_empty() {
            return untold(after.min(now));
        }
        // No commit before the read's arrival has a later position, so none needs more.
        let reach = now.plus(self.skew(plan));
        let told = asked.after.is_some() || !asked.tokens.is_empty();
        let book = entry().exact.max((!told).then_some(entry().evicted)).unwrap_or_default();
        let mut at = tracked.floors.get(asked.group).max(after).max(book);
        if self.unsettled.contains_key(&(asked.group, tracked.key)) {
            at = Time(u64::MAX);
        }
        self.counts.clipped += u64::from(at > reach);
        ReadFloor { position: at.min(reach), lead: plan.lead, send_to_hosts: at > Time(0) }
    }

    /// A token that covers a write which is about to be sent, whatever becomes of it or of this router.
    pub fn early_token(
        &mut self,
        now: Time,
        owner: SessionIdentity,
        group: GroupId,
        tracked: &TrackedRequest,
        limit: Time,
    ) -> Option<String> {
        let plan = self.plan.as_ref().filter(|p| p.early_tokens && tracked.is_write)?;
        let mut floors = tracked.floors.clone();
        floors.raise(group, limit.plus(plan.settle_time).plus(self.skew(plan)));
        self.hand(now, owner, &floors, TokenDelivery::WritesOnly)
    }

    /// A request was served at a position, if the host has told one; the token that goes with the answer. A
    /// write's position is its commit; without one it has committed before now.
    pub fn request_served(
        &mut self,
        now: Time,
        owner: SessionIdentity,
        group: GroupId,
        tracked: &mut TrackedRequest,
        position: Option<Time>,
    ) -> Option<String> {
        tracked.outcome_unknown = false;
        let skew = self.plan.as_ref().map_or(Time(0), |p| self.skew(p));
        let least = if tracked.is_write { now.plus(skew) } else { Time(0) };
        tracked.floors.raise(group, position.unwrap_or(least));
        if tracked.is_write {
            self.book.raise(group, tracked.key, position.unwrap_or(least));
        }
        self.hand(
            now,
            owner,
            &tracked.floors,
            if tracked.is_write { TokenDelivery::WritesOnly } else { TokenDelivery::WritesAndReads },
        )
    }

    /// A write got no answer from a host, and may have run or may yet; the token that says so.
    pub fn write_outcome_unknown(
        &mut self,
        now: Time,
        owner: SessionIdentity,
        group: GroupId,
        tracked: &mut TrackedRequest,
    ) -> Option<String> {
        let plan = self.plan.as_ref()?;
        let settled = now.plus(plan.settle_time).plus(self.skew(plan));
        tracked.floors.raise(group, settled);
        self.hand(now, owner, &tracked.floors, TokenDelivery::WritesOnly)
    }

    /// A request is off the router's books, and all its attempts with it.
    pub fn end_request(&mut self, now: Time, group: GroupId, tracked: &TrackedRequest) {
        if !tracked.counted {
            return;
        }
        if let Some(n) = self.unsettled.get_mut(&(group, tracked.key)) {
            *n -= 1;
            if *n == 0 {
                self.unsettled.remove(&(group, tracked.key));
            }
        }
        if let Some(plan) = self.plan.as_ref().filter(|_| tracked.outcome_unknown) {
            let settled = now.plus(plan.settle_time).plus(self.skew(plan));
            self.counts.unknown_writes += 1;
            self.book.raise(group, tracked.key, settled);
        }
    }

    /// A host has told a position, in an answer to what was sent then. One that lies ahead of this clock by
    /// more than the skew shows that the clocks are further apart than configured: floors by this clock are
    /// raised from then on, by as much as the lead can have been when the host told it.
    pub fn observe_position(&mut self, now: Time, sent: Time, position: Time) {
        let Some(plan) = &self.plan else { return };
        if position.since(now) > plan.skew {
            self.counts.clock_ahead += 1;
            self.ahead = self.ahead.max(position.since(sent).min(AHEAD_MOST));
        }
    }

    fn hand(
        &mut self,
        now: Time,
        owner: SessionIdentity,
        floors: &GroupFloors,
        with: TokenDelivery,
    ) -> Option<String> {
        let plan = self.plan.as_ref().filter(|p| p.token_delivery >= with)?;
        let text = token::issue(plan.keys.as_ref()?, now, owner, floors);
        self.counts.issued += 1;
        Some(text)
    }

    /// The book and the floor of what it can't know, for a snapshot.
    pub(crate) fn remembered(&self) -> (&FloorTable, Time) {
        (&self.book, self.initial)
    }

    /// Takes over what a process before this one has remembered, all of it.
    pub(crate) fn recall(&mut self, book: FloorTable, initial: Time) {
        (self.book, self.initial) = (book, initial);
    }

    /// The process is about to end: what is still out is in doubt, and the book says so.
    pub(crate) fn settle(&mut self, now: Time) {
        let Some(plan) = &self.plan else { return };
        let settled = now.plus(plan.settle_time).plus(self.skew(plan));
        for (group, key) in self.unsettled.keys() {
            self.book.raise(*group, *key, settled);
        }
    }

    /// Writes that are out, by group and session.
    pub fn unsettled_writes(&self) -> usize {
        self.unsettled.len()
    }

    /// Bytes that the book may come to take.
    pub fn table_bytes(&self) -> usize {
        self.book.bytes()
    }
}
