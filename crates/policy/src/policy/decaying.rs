//! Figures that fade while nothing renews them.

use crate::api::Time;

/// A figure that decays exponentially from the moment at which it was last renewed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Decaying {
    value: f64,
    renewed_at: Time,
}

impl Decaying {
    /// The figure `value` as of `now`.
    pub(super) fn new(value: f64, now: Time) -> Decaying {
        Decaying { value, renewed_at: now }
    }

    /// The fraction that is left at `now` with a time constant in seconds.
    pub(super) fn retained(&self, now: Time, time_constant_s: f64) -> f64 {
        (-now.since(self.renewed_at).secs() / time_constant_s).exp()
    }

    /// The decayed figure at `now` with a time constant in seconds.
    pub(super) fn at(&self, now: Time, time_constant_s: f64) -> f64 {
        self.value * self.retained(now, time_constant_s)
    }

    /// The figure as it was last renewed, not decayed.
    pub(super) fn undecayed(&self) -> f64 {
        self.value
    }

    /// Decays the figure up to `now` and adds to it.
    pub(super) fn add(&mut self, amount: f64, now: Time, time_constant_s: f64) {
        *self = Decaying::new(self.at(now, time_constant_s) + amount, now);
    }

    /// Decays the figure up to `now` and moves it towards `sample` by the fraction `gain`.
    pub(super) fn follow(&mut self, sample: f64, gain: f64, now: Time, time_constant_s: f64) {
        let decayed = self.at(now, time_constant_s);
        *self = Decaying::new(decayed + gain * (sample - decayed), now);
    }
}
