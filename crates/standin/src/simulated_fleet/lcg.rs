//! The generator of simulated fleets: a linear congruential one with Knuth's constants for MMIX.
//!
//! Tests judge runs of given seeds, and some of their bounds hold for most sequences but not for all of them.
//! So the sequence of each seed stays what it was when the bounds were set.

/// Knuth's multiplier and increment.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Low bits of the state, which repeat soon, are left out.
const DROPPED_BITS: u32 = 33;

/// A seeded generator.
pub(super) struct Lcg(u64);

impl Lcg {
    pub fn with_seed(seed: u64) -> Lcg {
        Lcg(seed)
    }

    /// A number below `bound`, and below 2^31; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.0 >> DROPPED_BITS) % bound.max(1)
    }
}
