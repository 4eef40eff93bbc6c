//! Shared set-up of the tests of this crate.
#![allow(dead_code)] // each test binary uses only a part of this module

use basalthill_extproc::WriteId;
use basalthill_policy::api::Time;
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

/// The time at which routers start, in most tests (Unix time).
pub const START: Time = Time::ms(1_767_225_600_000);

/// Returns the id of a write that was created at `created_at`. `n` distinguishes ids with the same creation
/// time.
pub fn write_id(created_at: Time, n: u64) -> WriteId {
    let ms = u128::from(created_at.0 / 1_000_000);
    WriteId::new(ms << 80 | 7 << 76 | 2 << 62 | u128::from(n)).unwrap()
}

/// A generator of pseudorandom numbers, which are the same in each test run.
pub struct RandomNumbers {
    random: TestRng,
}

impl RandomNumbers {
    pub fn with_seed(seed: u8) -> RandomNumbers {
        RandomNumbers { random: TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]) }
    }

    /// Returns the next number, below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }
}
