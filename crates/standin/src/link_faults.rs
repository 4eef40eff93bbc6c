//! What goes wrong on the links between routers: loss, duplicates, delay and partitions.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// The faults of all links between a number of routers.
#[derive(Clone, Debug)]
pub struct LinkFaults {
    /// Datagrams lost, in a thousand.
    pub loss_per_mille: u64,
    /// Datagrams that arrive twice, in a thousand.
    pub duplicates_per_mille: u64,
    /// How long a datagram is on its way, in microseconds; always the shortest time if the range is empty.
    pub delay_us: Range<u64>,
    /// Pairs of routers whose datagrams from the first to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
}

impl LinkFaults {
    /// No faults, and a delay.
    pub fn none(delay_us: Range<u64>) -> LinkFaults {
        LinkFaults { loss_per_mille: 0, duplicates_per_mille: 0, delay_us, cut: BTreeSet::new() }
    }

    /// Cuts all links between groups of routers, and repairs all others.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        self.cut.clear();
        for (n, group) in groups.iter().enumerate() {
            for (_, other) in groups.iter().enumerate().filter(|(m, _)| *m != n) {
                for from in group {
                    self.cut.extend(other.iter().map(|to| (*from, *to)));
                }
            }
        }
    }

    /// The delays of the copies of a datagram that arrive; none if it is lost. `draw` gives a random number
    /// below its argument.
    pub fn deliveries(&self, from: usize, to: usize, mut draw: impl FnMut(u64) -> u64) -> Vec<Duration> {
        if self.cut.contains(&(from, to)) || draw(1000) < self.loss_per_mille {
            return Vec::new();
        }
        let copies = 1 + usize::from(draw(1000) < self.duplicates_per_mille);
        let Range { start, end } = self.delay_us;
        let spread = end.saturating_sub(start).max(1);
        (0..copies).map(|_| Duration::from_micros(start + draw(spread))).collect()
    }
}
