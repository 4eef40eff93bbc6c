//! The session floors of one router: what its clients' sessions have written, and what their reads must see.

use crate::config::{DefaultFloor, PlatformFloors, SessionConfig, TokenDelivery};
use crate::counts::SessionCounts;
use crate::floor_table::FloorTable;
use crate::group_floors::GroupFloors;
use crate::request::{ReadFloor, SessionRequest, TrackedRequest};
use crate::token::{self, SessionIdentity, TokenError};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use std::collections::BTreeMap;

/// The most that a host's clock is believed to be ahead of this router's: a faulty host must not raise floors
/// without bound.
const MAX_CLOCK_LEAD: Time = Time::ms(1000);

/// The session state of one router.
pub struct Sessions {
    platform: PlatformFloors,
    config: Option<SessionConfig>,
    table: FloorTable,
    /// The floor of everything that was written before the table began.
    initial_floor: Time,
    /// Writes that have not ended, by group and session; no more than there are open requests.
    unsettled: BTreeMap<(GroupId, SessionKey), u32>,
    /// The most that a host's clock was seen ahead of this router's, up to [`MAX_CLOCK_LEAD`].
    clock_lead: Time,
    counts: SessionCounts,
}

/// What the tokens of a request amount to.
struct TokenFloors {
    /// The floors of the valid tokens; none if no token is valid.
    floors: Option<GroupFloors>,
    /// Whether a token was rejected.
    any_rejected: bool,
}

impl Sessions {
    /// The state of a router that has just started; its table takes at most `bytes`.
    pub fn new(
        now: Time,
        platform: PlatformFloors,
        config: Option<SessionConfig>,
        bytes: usize,
        seed: u64,
    ) -> Sessions {
        Sessions {
            platform,
            config,
            table: FloorTable::new(now, bytes, seed),
            initial_floor: now,
            unsettled: BTreeMap::new(),
            clock_lead: Time(0),
            counts: SessionCounts::default(),
        }
    }

    /// Applies reloaded settings. The table stays, unless there was no configuration before: writes were not
    /// remembered then, so it begins as at a start.
    pub fn reconfigure(&mut self, now: Time, config: Option<SessionConfig>, bytes: usize, seed: u64) {
        if self.config.is_none() && config.is_some() {
            self.table = FloorTable::new(now, bytes, seed);
            self.initial_floor = now;
        }
        self.config = config;
        self.clock_lead = Time(0);
    }

    /// Whether the router makes floors itself and sends them to hosts.
    pub fn manages_floors(&self) -> bool {
        self.config.is_some()
    }

    /// What was counted since this was last called.
    pub fn take_counts(&mut self) -> SessionCounts {
        self.counts.evicted += self.table.take_evictions();
        std::mem::take(&mut self.counts)
    }

    /// Begins to track a request that has just arrived. A write counts as unsettled from here to
    /// [`Sessions::end_request`].
    pub fn begin_request(&mut self, now: Time, request: &SessionRequest, is_write: bool) -> TrackedRequest {
        let key = request.identity.key;
        let tokens = self.check_tokens(now, request);
        let mut floors = tokens.floors.clone().unwrap_or_default();
        if let Some(config) = &self.config {
            if tokens.any_rejected {
                // Whatever the rejected token covered has committed before now.
                floors.raise_other_groups(self.latest_commit(config, now));
            } else if tokens.floors.is_none() && (is_write || request.after.is_none()) {
                floors.raise_other_groups(self.default_floor(config, now, request.accepted_at));
            }
            if is_write {
                *self.unsettled.entry((request.group, key)).or_default() += 1;
            }
        }
        if !is_write {
            self.count_read(request, &tokens, floors.get(request.group));
        }
        let counted_unsettled = is_write && self.config.is_some();
        TrackedRequest { key, floors, is_write, counted_unsettled, outcome_unknown: false }
    }

    /// The floor of a session read that has just arrived.
    pub fn read_floor(&mut self, now: Time, request: &SessionRequest, tracked: &TrackedRequest) -> ReadFloor {
        let after = request.after.unwrap_or_default();
        let as_by_platform = |position| ReadFloor { position, lead: Time(0), send_to_hosts: false };
        let Some(config) = &self.config else {
            return as_by_platform(match self.platform {
                PlatformFloors::FromRequest => after.min(now),
                PlatformFloors::Remembered => {
                    let remembered = self.table.get(request.group, tracked.key);
                    remembered.exact.unwrap_or_default().max(remembered.evicted)
                }
            });
        };
        if config.default_floor == DefaultFloor::Platform && request.tokens.is_empty() {
            return as_by_platform(after.min(now));
        }
        // A read that names what it must see does not need the floor of sessions evicted from its bucket.
        let remembered = self.table.get(request.group, tracked.key);
        let names_floor = request.after.is_some() || !request.tokens.is_empty();
        let evicted = if names_floor { None } else { Some(remembered.evicted) };
        let remembered = remembered.exact.max(evicted).unwrap_or_default();
        let mut position = tracked.floors.get(request.group).max(after).max(remembered);
        if self.unsettled.contains_key(&(request.group, tracked.key)) {
            position = Time(u64::MAX);
        }
        // No read needs to see more than what committed before it arrived.
        let limit = self.latest_commit(config, now);
        self.counts.clipped += u64::from(position > limit);
        ReadFloor { position: position.min(limit), lead: config.lead, send_to_hosts: position > Time(0) }
    }

    /// A token that covers a write that is about to be sent, whatever becomes of it or of this router. The
    /// host answers until `deadline`.
    pub fn early_token(
        &mut self,
        now: Time,
        session: SessionIdentity,
        group: GroupId,
        tracked: &TrackedRequest,
        deadline: Time,
    ) -> Option<String> {
        let config = self.config.as_ref().filter(|config| config.early_tokens && tracked.is_write)?;
        let mut floors = tracked.floors.clone();
        floors.raise(group, self.settled_at(config, deadline));
        self.issue_token(now, session, &floors, TokenDelivery::WritesOnly)
    }

    /// Records that a request was served, at a position if the host reported one. Returns the token that goes
    /// with the answer. A write's position is its commit; a write without one has committed before now.
    pub fn request_served(
        &mut self,
        now: Time,
        session: SessionIdentity,
        group: GroupId,
        tracked: &mut TrackedRequest,
        position: Option<Time>,
    ) -> Option<String> {
        tracked.outcome_unknown = false;
        if !tracked.is_write {
            tracked.floors.raise(group, position.unwrap_or_default());
            return self.issue_token(now, session, &tracked.floors, TokenDelivery::WritesAndReads);
        }
        let skew = self.config.as_ref().map_or(Time(0), |config| self.skew(config));
        let commit = position.unwrap_or(now.plus(skew));
        tracked.floors.raise(group, commit);
        self.table.raise(group, tracked.key, commit);
        self.issue_token(now, session, &tracked.floors, TokenDelivery::WritesOnly)
    }

    /// Records that a write got no answer from a host although it may have executed, or may do so yet.
    /// Returns the token that goes with the failure.
    pub fn write_outcome_unknown(
        &mut self,
        now: Time,
        session: SessionIdentity,
        group: GroupId,
        tracked: &mut TrackedRequest,
    ) -> Option<String> {
        let config = self.config.as_ref()?;
        tracked.floors.raise(group, self.settled_at(config, now));
        self.issue_token(now, session, &tracked.floors, TokenDelivery::WritesOnly)
    }

    /// Ends a request of which no attempt is in flight any more.
    pub fn end_request(&mut self, now: Time, group: GroupId, tracked: &TrackedRequest) {
        if !tracked.counted_unsettled {
            return;
        }
        if let Some(writes) = self.unsettled.get_mut(&(group, tracked.key)) {
            *writes -= 1;
            if *writes == 0 {
                self.unsettled.remove(&(group, tracked.key));
            }
        }
        if let Some(config) = self.config.as_ref().filter(|_| tracked.outcome_unknown) {
            let settled_at = self.settled_at(config, now);
            self.counts.unknown_writes += 1;
            self.table.raise(group, tracked.key, settled_at);
        }
    }

    /// Takes note of a position that a host reported in its answer to a query sent at `sent_at`. One that is
    /// ahead of this clock by more than the skew shows that the clocks are further apart than configured:
    /// floors by this clock are raised from then on, by the most that the host's clock can have been ahead.
    pub fn observe_position(&mut self, now: Time, sent_at: Time, position: Time) {
        let Some(config) = &self.config else { return };
        if position.since(now) > config.skew {
            self.counts.clock_ahead += 1;
            self.clock_lead = self.clock_lead.max(position.since(sent_at).min(MAX_CLOCK_LEAD));
        }
    }

    /// Groups and sessions with a write that has not ended.
    pub fn unsettled_writes(&self) -> usize {
        self.unsettled.len()
    }

    /// The most memory that the table can take, in bytes.
    pub fn table_bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Verifies the tokens of a request and counts those that are rejected.
    fn check_tokens(&mut self, now: Time, request: &SessionRequest) -> TokenFloors {
        let mut checked = TokenFloors { floors: None, any_rejected: false };
        let Some(config) = &self.config else { return checked };
        let Some(keys) = &config.keys else { return checked };
        let skew = self.skew(config);
        for text in request.tokens {
            match token::verify(keys, now, skew, request.identity, text) {
                Ok(floors) => checked.floors.get_or_insert_default().merge(&floors),
                Err(error) => {
                    checked.any_rejected = true;
                    count_rejected(&mut self.counts, error);
                }
            }
        }
        checked
    }

    /// Counts a session read by what gave it its floor.
    fn count_read(&mut self, request: &SessionRequest, tokens: &TokenFloors, floor: Time) {
        let counter = if tokens.floors.is_some() && !tokens.any_rejected {
            &mut self.counts.by_token
        } else if request.after.is_some() {
            &mut self.counts.by_after
        } else if tokens.any_rejected || floor > Time(0) {
            &mut self.counts.by_default_floor
        } else {
            &mut self.counts.no_floor
        };
        *counter += 1;
    }

    /// The skew between clocks, as configured or as seen, whichever is more.
    fn skew(&self, config: &SessionConfig) -> Time {
        config.skew.max(self.clock_lead)
    }

    /// No commit before `now` has a later position.
    fn latest_commit(&self, config: &SessionConfig, now: Time) -> Time {
        now.plus(self.skew(config))
    }

    /// The position that a write of unknown outcome can have at most, if it ended at `ended_at`.
    fn settled_at(&self, config: &SessionConfig, ended_at: Time) -> Time {
        ended_at.plus(config.settle_time).plus(self.skew(config))
    }

    /// The floor of a session whose request names none. A write of it whose outcome nobody knows may commit
    /// up to the settle time after the moment that the floor stands for; no read needs more than its arrival.
    fn default_floor(&self, config: &SessionConfig, now: Time, accepted_at: Time) -> Time {
        let since = match config.default_floor {
            DefaultFloor::Platform | DefaultFloor::RememberedOnly => return Time(0),
            DefaultFloor::RouterStart if self.initial_floor == Time(0) => return Time(0),
            DefaultFloor::RouterStart => self.initial_floor,
            DefaultFloor::ConnectionAccept => accepted_at,
            DefaultFloor::ReadArrival => now,
        };
        since.plus(config.settle_time).min(now).plus(self.skew(config))
    }

    /// A token with these floors, if tokens are delivered with this kind of answer.
    fn issue_token(
        &mut self,
        now: Time,
        session: SessionIdentity,
        floors: &GroupFloors,
        delivery: TokenDelivery,
    ) -> Option<String> {
        let config = self.config.as_ref().filter(|config| config.token_delivery >= delivery)?;
        let text = token::issue(config.keys.as_ref()?, now, session, floors);
        self.counts.issued += 1;
        Some(text)
    }

    /// The table, for a snapshot.
    pub(crate) fn table(&self) -> &FloorTable {
        &self.table
    }

    /// The floor of everything that was written before the table began, for a snapshot.
    pub(crate) fn initial_floor(&self) -> Time {
        self.initial_floor
    }

    /// Replaces the table by that of an earlier process, and with it the floor of what was written before.
    pub(crate) fn restore(&mut self, table: FloorTable, initial_floor: Time) {
        self.table = table;
        self.initial_floor = initial_floor;
    }

    /// Records that the process ends: the outcome of each unsettled write is unknown.
    pub(crate) fn settle_all(&mut self, now: Time) {
        let Some(config) = &self.config else { return };
        let settled_at = self.settled_at(config, now);
        for (group, key) in self.unsettled.keys() {
            self.table.raise(*group, *key, settled_at);
        }
    }
}

/// Counts a rejected token by its error.
fn count_rejected(counts: &mut SessionCounts, error: TokenError) {
    let counter = match error {
        TokenError::Malformed => &mut counts.malformed,
        TokenError::UnknownKey => &mut counts.unknown_key,
        TokenError::Forged => &mut counts.forged,
        TokenError::OtherSession => &mut counts.other_session,
        TokenError::Expired => &mut counts.expired,
        TokenError::IssuedInFuture => &mut counts.issued_in_future,
    };
    *counter += 1;
}
