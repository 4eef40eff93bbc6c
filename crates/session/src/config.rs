//! How a router is configured to track sessions.

use crate::token::KeyRing;
use basalthill_policy::api::Time;

/// Where session floors come from by the platform's settings. They apply where there is no
/// [`SessionConfig`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformFloors {
    /// The read names its session's last write; a session whose read names none has written nothing.
    #[default]
    FromRequest,
    /// The router remembers the writes that it has answered since it started.
    Remembered,
}

/// The floor of a session that sends neither a token nor an `after` position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultFloor {
    /// None, as by the platform's rules: such a session has written nothing, and an `after` position alone is
    /// passed on unchanged.
    Platform,
    /// None but what this router remembers of the session itself.
    RememberedOnly,
    /// What this router remembers, and its start for everything else.
    RouterStart,
    /// The moment at which the read's connection was accepted.
    ConnectionAccept,
    /// The moment at which the read arrived.
    ReadArrival,
}

/// Which answers carry a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenDelivery {
    /// None.
    Never,
    /// Answers to writes.
    WritesOnly,
    /// Answers to session reads too, so that a session never goes back in time.
    WritesAndReads,
}

/// How session consistency is enforced, by the operators' own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionConfig {
    /// The floor of sessions that send neither a token nor an `after` position.
    pub default_floor: DefaultFloor,
    /// How far the clocks of routers and hosts may be apart.
    pub skew: Time,
    /// A write whose outcome is unknown commits within this time after it ended, if ever.
    pub settle_time: Time,
    /// How far a replica's expected position may be behind a read's floor for the read to wait for it.
    pub lead: Time,
    /// Which answers carry tokens.
    pub token_delivery: TokenDelivery,
    /// Whether a token that covers a write is delivered as the write is sent, so that the client has one if
    /// this router dies before the answer.
    pub early_tokens: bool,
    /// The keys of tokens; without keys, tokens are neither delivered nor accepted.
    pub keys: Option<KeyRing>,
}
