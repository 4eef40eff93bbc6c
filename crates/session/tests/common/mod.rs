//! Shared set-up of the tests of this crate.
#![allow(dead_code)] // each test binary uses only a part of this module

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::SessionIdentity;
use basalthill_session::{
    DefaultFloor, PlatformFloors, SessionConfig, SessionRequest, Sessions, TokenDelivery,
};

/// The time at which routers start (Unix time).
pub const START: Time = Time::ms(1_767_225_600_000);
/// The group of the requests, in tests with a single group.
pub const GROUP: GroupId = GroupId(1);
pub const DAY: Time = Time::ms(86_400_000);
/// The clock skew in [`config`].
pub const SKEW: Time = Time::ms(5);
/// Size of the routers' floor tables, in bytes: 64 buckets of seven sessions.
pub const TABLE_BYTES: usize = 1 << 12;

/// Returns the time `ms` milliseconds after [`START`].
pub fn at(ms: u64) -> Time {
    START.plus(Time::ms(ms))
}

/// Returns a configuration without tokens and with a settle time of zero.
pub fn config(default_floor: DefaultFloor) -> SessionConfig {
    SessionConfig {
        default_floor,
        skew: SKEW,
        settle_time: Time(0),
        lead: Time(0),
        token_delivery: TokenDelivery::Never,
        early_tokens: false,
        keys: None,
    }
}

/// Returns the sessions of a router that starts at `now`.
pub fn router(now: Time, config: SessionConfig) -> Sessions {
    Sessions::new(now, PlatformFloors::FromRequest, Some(config), TABLE_BYTES, 5)
}

/// Returns a request of a session that has neither a token nor an `after` position.
pub fn request(group: GroupId, session: u64, accepted_at: Time) -> SessionRequest<'static> {
    let identity = SessionIdentity { name: b"", key: SessionKey(session) };
    SessionRequest { identity, group, after: None, tokens: &[], accepted_at }
}

/// Handles a write that arrives, commits and is served at the time `commit`.
pub fn settled_write(sessions: &mut Sessions, group: GroupId, session: u64, commit: Time) {
    let request = request(group, session, commit);
    let mut tracked = sessions.begin_request(commit, &request, true);
    sessions.request_served(commit, request.identity, group, &mut tracked, Some(commit));
    sessions.end_request(commit, group, &tracked);
}

/// Returns the floor of a session's read that arrives at `now` on a new connection.
pub fn read_floor(sessions: &mut Sessions, now: Time, group: GroupId, session: u64) -> Time {
    let request = request(group, session, now);
    let tracked = sessions.begin_request(now, &request, false);
    sessions.read_floor(now, &request, &tracked).position
}
