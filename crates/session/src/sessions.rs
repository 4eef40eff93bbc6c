//! The session state of one router: the floors of its clients' sessions, from the writes it has served and
//! the tokens it has received.

use crate::config::{DefaultFloor, PlatformFloors, SessionConfig, TokenDelivery};
use crate::counts::SessionCounts;
use crate::floor_table::FloorTable;
use crate::group_floors::GroupFloors;
use crate::request::{ReadFloor, SessionRequest, TrackedRequest};
use crate::token::{self, SessionIdentity, TokenError};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use std::collections::BTreeMap;

/// Upper bound of the observed lead of a host's clock over this router's, so that a faulty host cannot raise
/// floors without limit.
const MAX_CLOCK_LEAD: Time = Time::ms(1000);

/// The session state of one router.
pub struct Sessions {
    platform: PlatformFloors,
    config: Option<SessionConfig>,
    table: FloorTable,
    /// The floor that covers all writes from before the table's creation.
    initial_floor: Time,
    /// Number of writes that have not completed, by group and session. It has at most as many entries as
    /// there are open requests.
    unsettled: BTreeMap<(GroupId, SessionKey), u32>,
    /// The largest observed lead of a host's clock over this router's, at most [`MAX_CLOCK_LEAD`].
    clock_lead: Time,
    counts: SessionCounts,
}

/// The result of verifying the tokens of a request.
struct TokenFloors {
    /// The merged floors of the valid tokens; `None` if no token is valid.
    floors: Option<GroupFloors>,
    /// Whether a token was rejected.
    any_rejected: bool,
}

impl Sessions {
    /// Creates the state of a router that has just started. Its floor table takes at most `bytes` of memory.
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

    /// Applies reloaded settings. The table is kept, unless there was no [`SessionConfig`] before: the table
    /// did not cover all writes then, so it is replaced by an empty table, as at a start of the router.
    pub fn reconfigure(&mut self, now: Time, config: Option<SessionConfig>, bytes: usize, seed: u64) {
        if self.config.is_none() && config.is_some() {
            self.table = FloorTable::new(now, bytes, seed);
            self.initial_floor = now;
        }
        self.config = config;
        self.clock_lead = Time(0);
    }

    /// Returns whether this router computes floors according to a [`SessionConfig`] and sends them to hosts.
    pub fn manages_floors(&self) -> bool {
        self.config.is_some()
    }

    /// Returns the counters and resets them.
    pub fn take_counts(&mut self) -> SessionCounts {
        self.counts.evicted += self.table.take_evictions();
        std::mem::take(&mut self.counts)
    }

    /// Begins to track a request that has just arrived. A write counts as unsettled until
    /// [`Sessions::end_request`] is called for it.
    pub fn begin_request(&mut self, now: Time, request: &SessionRequest, is_write: bool) -> TrackedRequest {
        let key = request.identity.key;
        let tokens = self.check_tokens(now, request);
        let mut floors = tokens.floors.clone().unwrap_or_default();
        if let Some(config) = &self.config {
            if tokens.any_rejected {
                // The content of a rejected token is unknown, but the writes that it covers committed before
                // now.
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

    /// Returns the floor of a session read that has just arrived.
    pub fn read_floor(&mut self, now: Time, request: &SessionRequest, tracked: &TrackedRequest) -> ReadFloor {
        let after = request.after.unwrap_or_default();
        let platform_floor = |position| ReadFloor { position, lead: Time(0), send_to_hosts: false };
        let Some(config) = &self.config else {
            return platform_floor(match self.platform {
                PlatformFloors::FromRequest => after.min(now),
                PlatformFloors::Remembered => {
                    let remembered = self.table.get(request.group, tracked.key);
                    remembered.exact.unwrap_or_default().max(remembered.evicted)
                }
            });
        };
        if config.default_floor == DefaultFloor::Platform && request.tokens.is_empty() {
            return platform_floor(after.min(now));
        }
        // A read with an `after` position or a token names its floor, so the shared floor of the sessions
        // evicted from its bucket is not needed.
        let remembered = self.table.get(request.group, tracked.key);
        let names_floor = request.after.is_some() || !request.tokens.is_empty();
        let evicted = if names_floor { None } else { Some(remembered.evicted) };
        let remembered = remembered.exact.max(evicted).unwrap_or_default();
        let mut position = tracked.floors.get(request.group).max(after).max(remembered);
        // An unsettled write may have committed at any position up to the limit, which applies below.
        if self.unsettled.contains_key(&(request.group, tracked.key)) {
            position = Time(u64::MAX);
        }
        // A read needs to see only the writes that committed before it arrived.
        let limit = self.latest_commit(config, now);
        self.counts.clipped += u64::from(position > limit);
        ReadFloor { position: position.min(limit), lead: config.lead, send_to_hosts: position > Time(0) }
    }

    /// Issues a token that covers a write that is about to be sent, whatever the write's outcome. Once the
    /// client has received the token, this holds even if this router exits before it knows the outcome. The
    /// host responds by `deadline`, if at all. Returns `None` for a read, or if early tokens, token delivery
    /// or keys are not configured.
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

    /// Records that a request was served, with the position that the host reported, if any. Returns the token
    /// to send with the reply. The position of a write is that of its commit; a write without a reported
    /// position committed before `now`.
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

    /// Records that a write got no response from a host, so that it may have executed or may still execute.
    /// Returns the token to send with the error.
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

    /// Stops tracking a request that has no attempt in flight. If the outcome of a write is unknown, the
    /// session's floor is raised to the highest position at which the write can still commit.
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

    /// Checks the position that a host reported in its response to a query sent at `sent_at`. A position
    /// ahead of this router's clock by more than the configured skew shows that the clocks are further apart
    /// than configured. From then on, floors that are computed from this router's clock are raised by the
    /// largest lead that the host's clock can have had.
    pub fn observe_position(&mut self, now: Time, sent_at: Time, position: Time) {
        let Some(config) = &self.config else { return };
        if position.since(now) > config.skew {
            self.counts.clock_ahead += 1;
            self.clock_lead = self.clock_lead.max(position.since(sent_at).min(MAX_CLOCK_LEAD));
        }
    }

    /// Returns the number of pairs of a group and a session with a write that has not completed.
    pub fn unsettled_writes(&self) -> usize {
        self.unsettled.len()
    }

    /// Returns the size of the floor table, in bytes.
    pub fn table_bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Verifies the tokens of a request, merges the floors of the valid ones and counts the rejected ones.
    /// Without keys, tokens are ignored.
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

    /// Counts a session read by the source of its floor.
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

    /// Returns the larger of the configured clock skew and the observed lead of the hosts' clocks.
    fn skew(&self, config: &SessionConfig) -> Time {
        config.skew.max(self.clock_lead)
    }

    /// Returns the highest position that a commit before `now` can have.
    fn latest_commit(&self, config: &SessionConfig, now: Time) -> Time {
        now.plus(self.skew(config))
    }

    /// Returns the highest position at which a write of unknown outcome can commit, given that the router
    /// stopped waiting for its response at `ended_at`.
    fn settled_at(&self, config: &SessionConfig, ended_at: Time) -> Time {
        ended_at.plus(config.settle_time).plus(self.skew(config))
    }

    /// Returns the floor of a session whose request names none. The session may have a write of unknown
    /// outcome, which can commit up to the settle time after the point in time that the floor is derived
    /// from, so the settle time is added. The sum is limited to `now`, because a read needs to see only the
    /// writes that committed before it arrived. The clock skew is added to the result.
    fn default_floor(&self, config: &SessionConfig, now: Time, accepted_at: Time) -> Time {
        let derived_from = match config.default_floor {
            DefaultFloor::Platform | DefaultFloor::RememberedOnly => return Time(0),
            DefaultFloor::RouterStart if self.initial_floor == Time(0) => return Time(0),
            DefaultFloor::RouterStart => self.initial_floor,
            DefaultFloor::ConnectionAccept => accepted_at,
            DefaultFloor::ReadArrival => now,
        };
        derived_from.plus(config.settle_time).min(now).plus(self.skew(config))
    }

    /// Issues a token with these floors, if tokens are configured for this kind of reply.
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

    /// Returns the table, for a snapshot.
    pub(crate) fn table(&self) -> &FloorTable {
        &self.table
    }

    /// Returns the floor that covers all writes from before the table's creation, for a snapshot.
    pub(crate) fn initial_floor(&self) -> Time {
        self.initial_floor
    }

    /// Replaces the table, and the floor that covers all writes from before its creation, by those of an
    /// earlier process.
    pub(crate) fn restore(&mut self, table: FloorTable, initial_floor: Time) {
        self.table = table;
        self.initial_floor = initial_floor;
    }

    /// Raises the floors of the sessions with unsettled writes before the process exits, because the outcome
    /// of these writes is unknown.
    pub(crate) fn settle_all(&mut self, now: Time) {
        let Some(config) = &self.config else { return };
        let settled_at = self.settled_at(config, now);
        for (group, key) in self.unsettled.keys() {
            self.table.raise(*group, *key, settled_at);
        }
    }
}

/// Increments the counter of the error that a token was rejected with.
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
