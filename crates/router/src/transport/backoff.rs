//! How long to rest before discovery is called again.

use fastrand::Rng;
use std::time::Duration;

const FIRST: Duration = Duration::from_millis(100);
/// What discovery has counts as told 6 s after it can be reached, whatever became of calls before. The
/// longest way to it: a silent watch (2.25 s), a rest, a call that is given up (1.2 s before its head, 2.25 s
/// after it), a rest, one that is refused, a rest, and the call that tells: 5.1 s.
const MOST: Duration = Duration::from_millis(500);
/// Where calls of all routers wait in turn, discovery takes one of each in eight seconds at the worst. Called
/// more often by routers that it turns away, it would be busy with calls that are too late by the time they
/// have their turn, and no router would ever get a list.
const MOST_IN_TURN: Duration = Duration::from_millis(8000);
/// One that is away and comes back has 6 s for what it has to tell, too, after however long an outage: a call
/// that is given up (2.25 s), and the longest drawn rest (3 s).
const MOST_AWAY: Duration = Duration::from_millis(2000);

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Nobody answered: discovery is away.
    Unanswered,
    /// Discovery is there, and did not get to it.
    TurnedAway,
}

/// Rests that double, up to a limit, until a call brings something.
#[derive(Debug)]
pub struct Backoff {
    rest: Duration,
    most: Duration,
    random: Option<Rng>,
}

impl Backoff {
    /// For a discovery that answers each router by itself, at once and at no cost.
    pub fn steady() -> Backoff {
        Backoff { rest: FIRST, most: MOST, random: None }
    }

    /// For one that all routers share. Those that it turns away together come again at moments of their own:
    /// the rests are drawn, from half to one and a half times their length.
    pub fn drawn(seed: u64, watch: u64) -> Backoff {
        let random = Rng::with_seed(seed ^ watch.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Backoff { rest: FIRST, most: MOST_IN_TURN, random: Some(random) }
    }

    /// A call has brought something.
    pub fn reset(&mut self) {
        self.rest = FIRST / 2;
    }

    /// The next rest, after what became of the last call.
    pub fn next(&mut self, call: Call) -> Duration {
        let most = if call == Call::TurnedAway { self.most } else { self.most.min(MOST_AWAY) };
        let rest = self.rest.min(most);
        self.rest = (rest * 2).min(most);
        match &mut self.random {
            Some(random) => rest.mul_f64(0.5 + random.f64()),
            None => rest,
        }
    }
}

#[cfg(test)]
mod tests;
