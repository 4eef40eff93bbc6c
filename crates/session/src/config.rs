//! Configuration of session tracking.

use crate::token::KeyRing;
use basalthill_policy::api::Time;

/// The source of session floors according to the platform's settings. It applies if there is no
/// [`SessionConfig`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformFloors {
    /// The read names the position of its session's last write. A session whose read names none is assumed to
    /// have written nothing.
    #[default]
    FromRequest,
    /// The router remembers the writes that it has served since it started.
    Remembered,
}

/// The floor of a session that sends neither a token nor an `after` position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultFloor {
    /// No floor, as in the platform's rules: such a session is assumed to have written nothing. An `after`
    /// position without a token is the floor, but at most the time at which the read arrived, and remembered
    /// writes do not apply.
    Platform,
    /// The floor that this router remembers for the session, and no floor if it remembers none.
    RememberedOnly,
    /// The floor that this router remembers for the session, but at least the time from which the router's
    /// floor table covers all writes: the start of the router, or the time in a restored snapshot.
    RouterStart,
    /// The time at which the read's connection was accepted.
    ConnectionAccept,
    /// The time at which the read arrived.
    ReadArrival,
}

/// The kinds of reply that carry a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenDelivery {
    /// No replies.
    Never,
    /// Replies to writes.
    WritesOnly,
    /// Replies to writes and to session reads, so that no read of a session sees an older state than an
    /// earlier read.
    WritesAndReads,
}

/// The operators' settings of session consistency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionConfig {
    /// The floor of sessions that send neither a token nor an `after` position.
    pub default_floor: DefaultFloor,
    /// Maximum difference between the clocks of routers and hosts.
    pub skew: Time,
    /// Time within which a write of unknown outcome commits, if ever, counted from when the router stopped
    /// waiting for its response.
    pub settle_time: Time,
    /// A read waits for a replica whose expected position is below the read's floor by at most this time.
    pub lead: Time,
    /// The kinds of reply that carry tokens.
    pub token_delivery: TokenDelivery,
    /// Whether a token is queued for the client when the first attempt of a write starts. Once received, the
    /// token covers the write even if this router exits before the reply. If this router is killed before it
    /// has sent the token, the write may commit, and the client has no token that covers it.
    pub early_tokens: bool,
    /// The keys that sign and verify tokens. Without keys, tokens are neither delivered nor accepted.
    pub keys: Option<KeyRing>,
}
