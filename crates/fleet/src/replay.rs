//! Replay protection: a sliding window over the sequence numbers of a peer's packets.

/// The numbers that the window remembers, counted back from the highest.
const WINDOW: u64 = u64::BITS as u64;

/// Which packets of one incarnation of a peer have been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the packet `n` below the highest has been received.
    received: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns whether it is new; numbers too far below the highest never are.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let advance = number - self.highest;
            self.received = if advance < WINDOW { self.received << advance | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        let is_new = age < WINDOW && self.received & (1 << age) == 0;
        if is_new {
            self.received |= 1 << age;
        }
        is_new
    }
}

#[cfg(test)]
mod tests;
