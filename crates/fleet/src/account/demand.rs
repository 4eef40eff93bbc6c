//! Demand for a limit at one router: its request rate, and the slots that it uses.

/// Time in which the fast average of the request rate follows a change, in seconds.
const FAST_AVERAGE_S: f64 = 0.25;
/// Time in which the slow average of the request rate follows a change, in seconds.
const SLOW_AVERAGE_S: f64 = 1.2;
/// Below this request rate there is no demand.
pub const MIN_RATE_PER_S: f64 = 0.02;
/// Down to this fill level of the token bucket, short peaks are left for its tokens to absorb.
const PEAK_FILL_LEVEL: f64 = 0.5;

/// What a router is requested to serve under one limit.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Requests since the last round.
    requests: u32,
    /// Exponential averages of the request rate, in requests a second.
    fast_rate: f64,
    slow_rate: f64,
    /// Most slots in use at a time, and slots that were missing, since the last round and in the round
    /// before.
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

    /// Records that a slot was missing while so many were in use.
    pub fn record_missing_slot(&mut self, in_use: u64) {
        self.peak_slots = self.peak_slots.max(in_use) + 1;
    }

    /// Ends a round of so many seconds, with so many slots in use.
    pub fn end_round(&mut self, round_s: f64, slots_in_use: u64) {
        let rate = f64::from(std::mem::take(&mut self.requests)) / round_s;
        self.fast_rate += (rate - self.fast_rate) * (round_s / FAST_AVERAGE_S).min(1.0);
        self.slow_rate += (rate - self.slow_rate) * (round_s / SLOW_AVERAGE_S).min(1.0);
        self.previous_peak_slots = self.peak_slots;
        self.peak_slots = slots_in_use;
    }

    /// The request rate that counts as demand, in requests a second, at a fill level of the token bucket. The
    /// fast average counts only while the bucket is low.
    pub fn request_rate(&self, fill_level: f64) -> f64 {
        let fast_rate = if fill_level < PEAK_FILL_LEVEL { self.fast_rate } else { 0.0 };
        self.slow_rate.max(fast_rate)
    }

    /// The most slots in use or missing in the last two rounds.
    pub fn peak_slots(&self) -> u64 {
        self.peak_slots.max(self.previous_peak_slots)
    }
}
