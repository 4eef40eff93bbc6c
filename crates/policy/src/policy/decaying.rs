//! Values that decay exponentially between updates.

use crate::api::Time;

/// A value that decays exponentially towards zero from its last update on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingValue {
    value: f64,
    updated_at: Time,
}

impl DecayingValue {
    /// Creates a value as of `now`.
    pub(super) fn new(value: f64, now: Time) -> DecayingValue {
        DecayingValue { value, updated_at: now }
    }

    /// Returns the fraction of the value that remains at `now` with a time constant in seconds.
    pub(super) fn retained_fraction(&self, now: Time, time_constant_s: f64) -> f64 {
        (-now.since(self.updated_at).secs() / time_constant_s).exp()
    }

    /// Returns the decayed value at `now` with a time constant in seconds.
    pub(super) fn at(&self, now: Time, time_constant_s: f64) -> f64 {
        self.value * self.retained_fraction(now, time_constant_s)
    }

    /// Returns the value as of its last update, without decay.
    pub(super) fn undecayed(&self) -> f64 {
        self.value
    }

    /// Decays the value up to `now` and adds `amount`.
    pub(super) fn add(&mut self, amount: f64, now: Time, time_constant_s: f64) {
        *self = DecayingValue::new(self.at(now, time_constant_s) + amount, now);
    }

    /// Decays the value up to `now` and updates it as an exponentially weighted moving average: moves it
    /// towards `sample` by the fraction `gain`.
    pub(super) fn update(&mut self, sample: f64, gain: f64, now: Time, time_constant_s: f64) {
        let decayed = self.at(now, time_constant_s);
        *self = DecayingValue::new(decayed + gain * (sample - decayed), now);
    }
}
