//! Faults of the links between routers: loss, duplication, delay and partitions.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// Faults of the links between routers. All links have the same rates and delays.
#[derive(Clone, Debug)]
pub struct LinkFaults {
    /// Lost datagrams per thousand.
    pub loss_per_mille: u64,
    /// Datagrams delivered twice, per thousand.
    pub duplicates_per_mille: u64,
    /// Delay of a datagram in microseconds, uniformly distributed over the range; if the range is empty, the
    /// delay is always its start.
    pub delay_us: Range<u64>,
    /// Links that are cut, as pairs of a sending and a receiving router. All datagrams on them are lost.
    pub cut: BTreeSet<(usize, usize)>,
}

impl LinkFaults {
    /// Returns faults that only delay datagrams.
    pub fn none(delay_us: Range<u64>) -> LinkFaults {
        LinkFaults { loss_per_mille: 0, duplicates_per_mille: 0, delay_us, cut: BTreeSet::new() }
    }

    /// Cuts all links between the groups of routers in both directions, and repairs all other links.
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

    /// Returns the delay of each delivered copy of a datagram; empty if the datagram is lost. `random_below`
    /// returns a random number below its argument.
    pub fn deliveries(
        &self,
        from: usize,
        to: usize,
        mut random_below: impl FnMut(u64) -> u64,
    ) -> Vec<Duration> {
        if self.cut.contains(&(from, to)) || random_below(1000) < self.loss_per_mille {
            return Vec::new();
        }
        let copies = 1 + usize::from(random_below(1000) < self.duplicates_per_mille);
        let Range { start, end } = self.delay_us;
        let spread = end.saturating_sub(start).max(1);
        (0..copies).map(|_| Duration::from_micros(start + random_below(spread))).collect()
    }
}
