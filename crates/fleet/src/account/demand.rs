//! The demand for a limit at one router: its request rate, and the slots that it uses.

/// Time constant of the fast average of the request rate, in seconds.
const FAST_TIME_CONSTANT_S: f64 = 0.25;
/// Time constant of the slow average of the request rate, in seconds.
const SLOW_TIME_CONSTANT_S: f64 = 1.2;
/// The request rate, in requests per second, below which there is no demand.
pub const MIN_RATE_PER_S: f64 = 0.02;
/// The fill level of the token bucket below which the fast average counts as demand. At higher levels the
/// tokens in the bucket absorb short peaks.
const FAST_AVERAGE_FILL_LEVEL: f64 = 0.5;

/// The demand for one limit at one router.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Requests since the last round.
    requests: u32,
    /// Exponentially weighted moving averages of the request rate, in requests per second.
    fast_rate: f64,
    slow_rate: f64,
    /// The peak number of slots in use or missing, since the last round and in the round before it.
    peak_slots: u64,
    previous_peak_slots: u64,
}

impl Demand {
    /// Records a request.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Records the number of slots in use.
    pub fn record_slots(&mut self, in_use: u64) {
        self.peak_slots = self.peak_slots.max(in_use);
    }

    /// Records that no slot was free for a request while `in_use` slots were in use.
    pub fn record_missing_slot(&mut self, in_use: u64) {
        self.peak_slots = self.peak_slots.max(in_use) + 1;
    }

    /// Ends a round that lasted `round_s` seconds, with `slots_in_use` slots in use at its end.
    pub fn end_round(&mut self, round_s: f64, slots_in_use: u64) {
        let rate = f64::from(std::mem::take(&mut self.requests)) / round_s;
        self.fast_rate += (rate - self.fast_rate) * (round_s / FAST_TIME_CONSTANT_S).min(1.0);
        self.slow_rate += (rate - self.slow_rate) * (round_s / SLOW_TIME_CONSTANT_S).min(1.0);
        self.previous_peak_slots = self.peak_slots;
        self.peak_slots = slots_in_use;
    }

    /// Returns the request rate that counts as demand, in requests per second, at a fill level of the token
    /// bucket. The fast average counts only below `FAST_AVERAGE_FILL_LEVEL`.
    pub fn request_rate(&self, fill_level: f64) -> f64 {
        let fast_rate = if fill_level < FAST_AVERAGE_FILL_LEVEL { self.fast_rate } else { 0.0 };
        self.slow_rate.max(fast_rate)
    }

    /// Returns the peak number of slots in use or missing in the last two rounds.
    pub fn peak_slots(&self) -> u64 {
        self.peak_slots.max(self.previous_peak_slots)
    }
}
