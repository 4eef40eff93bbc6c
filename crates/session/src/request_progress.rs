//! The progress of a request from its arrival to the end of its last attempt, which may be after its client
//! has left or has received a reply.

use basalthill_policy::api::Attempt;

/// The attempts of a request that are in flight, and whether the request is completed or served. `A` is what
/// the owner stores for an attempt in flight.
#[derive(Clone, Debug)]
pub struct RequestProgress<A> {
    /// The attempts by number; `None` for an attempt that has ended.
    attempts: Vec<Option<A>>,
    completed: bool,
    served: bool,
}

impl<A> Default for RequestProgress<A> {
    fn default() -> RequestProgress<A> {
        RequestProgress { attempts: Vec::new(), completed: false, served: false }
    }
}

impl<A> RequestProgress<A> {
    /// Records the next attempt and returns its number. `in_flight` is `None` if the attempt could not be
    /// started.
    pub fn add_attempt(&mut self, in_flight: Option<A>) -> Attempt {
        let number = self.next_attempt();
        self.attempts.push(in_flight);
        number
    }

    /// Returns the number of the next attempt, which is also the number of attempts so far.
    pub fn next_attempt(&self) -> Attempt {
        Attempt(self.attempts.len() as u16)
    }

    /// Records the end of an attempt. Returns what was stored for it, or `None` if it was not in flight.
    pub fn end_attempt(&mut self, number: Attempt) -> Option<A> {
        self.attempts.get_mut(usize::from(number.0))?.take()
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Records that the client has been sent the reply or has left. Returns false if that was recorded
    /// before.
    pub fn complete(&mut self) -> bool {
        !std::mem::replace(&mut self.completed, true)
    }

    /// Returns whether the client has been sent the reply or has left.
    pub fn is_completed(&self) -> bool {
        self.completed
    }

    /// Records that a member has served the request. Returns false if that was recorded before.
    pub fn record_served(&mut self) -> bool {
        !std::mem::replace(&mut self.served, true)
    }

    /// Returns whether a member has served the request.
    pub fn is_served(&self) -> bool {
        self.served
    }

    /// Returns whether nothing more can happen to the request: it is completed, and no attempt is in flight.
    pub fn has_ended(&self) -> bool {
        self.completed && !self.has_attempt_in_flight()
    }
}
