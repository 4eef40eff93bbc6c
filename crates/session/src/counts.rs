//! What the operators see of sessions.

use std::fmt;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident: $shown:literal,)*) => {
        /// Counts since they were last taken.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct SessionCounts {
            $($(#[$doc])* pub $name: u64,)*
        }
        impl fmt::Display for SessionCounts {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("sessions:")?;
                let all = [$(($shown, self.$name),)*];
                let mut told = all.iter().filter(|(_, n)| *n > 0);
                if let Some((shown, n)) = told.next() {
                    write!(f, " {n} {shown}")?;
                }
                told.try_for_each(|(shown, n)| write!(f, ", {n} {shown}"))
            }
        }
    };
}

counts! {
    /// Session reads that brought a token that counts.
    by_token: "by token",
    /// Session reads that brought `after` and no token.
    by_after: "by after",
    /// Session reads with neither, to which the stand-in applied.
    by_stand_in: "by stand-in",
    /// Session reads without any floor.
    no_floor: "without a floor",
    /// Reads clipped to their arrival: the floor lay later, or a write of the session is unsettled.
    clipped: "clipped to arrival",
    /// Tokens handed out.
    issued: "tokens issued",
    /// Tokens that can't be read, or are of a version that is not known here.
    malformed: "tokens malformed",
    /// Tokens whose key is not among those configured.
    unknown_key: "tokens of an unknown key",
    /// Tokens that their key did not make.
    forged: "tokens forged",
    /// Tokens of another session.
    other_session: "tokens of another session",
    /// Tokens older than their time.
    old: "tokens too old",
    /// Tokens issued later than the clocks' skew allows.
    future: "tokens from the future",
    /// Positions told by hosts further ahead of this clock than the configured skew.
    clock_ahead: "positions past the skew",
    /// Writes that ended without it being known whether they ran.
    unknown_writes: "writes of unknown end",
    /// Floors that the book has folded into its buckets.
    folded: "floors folded",
}
