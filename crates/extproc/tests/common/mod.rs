//! Set-up for the tests of this crate.
#![allow(dead_code)] // each test binary uses a part of it

use basalthill_extproc::WriteId;
use basalthill_policy::api::Time;

/// A start of routers and clocks (Unix time).
pub const START: Time = Time::ms(1_767_225_600_000);

/// The id of a write created at a time; `n` tells ids of the same time apart.
pub fn write_id(created_at: Time, n: u64) -> WriteId {
    let ms = u128::from(created_at.0 / 1_000_000);
    WriteId::new(ms << 80 | 7 << 76 | 2 << 62 | u128::from(n)).unwrap()
}

/// Numbers that look random and are the same in each run.
pub struct Numbers {
    state: u64,
}

impl Numbers {
    pub fn with_seed(seed: u64) -> Numbers {
        Numbers { state: seed }
    }

    /// The next number, below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.state = self.state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.state >> 33) % limit
    }
}
