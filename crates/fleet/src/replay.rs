//! Replay protection: a sliding window over the sequence numbers of a peer's packets.

/// The size of the window: the number of sequence numbers that are remembered, counted back from the highest.
const WINDOW: u64 = u64::BITS as u64;

/// The packets that have been received from one incarnation of a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the packet whose number is `n` below the highest has been received.
    received: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns whether it is new; a number below the window counts as not new.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let advance = number - self.highest;
            self.received = if advance < WINDOW { self.received << advance | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let distance = self.highest - number;
        let is_new = distance < WINDOW && self.received & (1 << distance) == 0;
        if is_new {
            self.received |= 1 << distance;
        }
        is_new
    }
}

#[cfg(test)]
mod tests;
