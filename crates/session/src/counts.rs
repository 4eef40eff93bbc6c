//! Counters of session reads, tokens and writes, for the log.

use std::fmt;

/// Counts of events since the counters were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Session reads that sent at least one token, all of them valid.
    pub by_token: u64,
    /// Other session reads that sent an `after` position.
    pub by_after: u64,
    /// Other session reads that got the default floor, or whose token was rejected.
    pub by_default_floor: u64,
    /// Session reads without any floor.
    pub no_floor: u64,
    /// Session reads whose floor was lowered to the time of their arrival plus the skew, because it was later
    /// or because a write of the session is unsettled.
    pub clipped: u64,
    /// Tokens issued.
    pub issued: u64,
    /// Tokens that cannot be decoded, or are of an unknown version.
    pub malformed: u64,
    /// Tokens whose key is not in the key ring.
    pub unknown_key: u64,
    /// Tokens whose signature does not match.
    pub forged: u64,
    /// Tokens of another session.
    pub other_session: u64,
    /// Tokens older than the keys' `max_age`.
    pub expired: u64,
    /// Tokens issued later than now by more than the clock skew.
    pub issued_in_future: u64,
    /// Positions reported by hosts that are ahead of this router's clock by more than the configured skew.
    pub clock_ahead: u64,
    /// Writes that completed with an unknown outcome.
    pub unknown_writes: u64,
    /// Evictions from the floor table that raised their bucket's shared floor.
    pub evicted: u64,
}

impl SessionCounts {
    /// Returns each counter with its label in the log.
    fn labelled(&self) -> [(u64, &'static str); 15] {
        [
            (self.by_token, "by token"),
            (self.by_after, "by after"),
            (self.by_default_floor, "by stand-in"),
            (self.no_floor, "without a floor"),
            (self.clipped, "clipped to arrival"),
            (self.issued, "tokens issued"),
            (self.malformed, "tokens malformed"),
            (self.unknown_key, "tokens of an unknown key"),
            (self.forged, "tokens forged"),
            (self.other_session, "tokens of another session"),
            (self.expired, "tokens too old"),
            (self.issued_in_future, "tokens from the future"),
            (self.clock_ahead, "positions past the skew"),
            (self.unknown_writes, "writes of unknown end"),
            (self.evicted, "floors folded"),
        ]
    }
}

impl fmt::Display for SessionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sessions:")?;
        let mut separator = " ";
        for (count, label) in self.labelled().into_iter().filter(|(count, _)| *count > 0) {
            write!(f, "{separator}{count} {label}")?;
            separator = ", ";
        }
        Ok(())
    }
}
