//! Set-up for the tests of this crate.
#![allow(dead_code)] // each test binary uses a part of it

use basalthill_extproc::WriteId;
use basalthill_policy::api::Time;
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

/// A start of routers and clocks (Unix time).
pub const START: Time = Time::ms(1_767_225_600_000);

/// The id of a write created at a time; `n` tells ids of the same time apart.
pub fn write_id(created_at: Time, n: u64) -> WriteId {
    let ms = u128::from(created_at.0 / 1_000_000);
    WriteId::new(ms << 80 | 7 << 76 | 2 << 62 | u128::from(n)).unwrap()
}

/// Random numbers, the same in each run.
pub struct Numbers {
    random: TestRng,
}

impl Numbers {
    pub fn with_seed(seed: u8) -> Numbers {
        Numbers { random: TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]) }
    }

    /// The next number, below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }
}
