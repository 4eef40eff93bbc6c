//! A mutex with a condition variable, so that threads can wait for changes of the value.

use crate::TIMEOUT;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A value that threads change and wait for: a mutex with a condition variable.
///
/// Poisoning is ignored: the value stays usable after a thread has panicked while it held the lock.
#[derive(Debug, Default)]
pub struct Watched<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Watched<T> {
    /// Creates a watched value.
    pub fn new(value: T) -> Watched<T> {
        Watched { value: Mutex::new(value), changed: Condvar::new() }
    }

    /// Locks the value for reading. Changes made through the guard don't wake waiting threads.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the value and wakes all waiting threads.
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Calls `f` immediately and after each change until it returns a value. Returns `None` after
    /// [`TIMEOUT`].
    pub fn wait<R>(&self, mut f: impl FnMut(&mut T) -> Option<R>) -> Option<R> {
        let deadline = Instant::now() + TIMEOUT;
        let mut value = self.lock();
        loop {
            if let Some(found) = f(&mut value) {
                return Some(found);
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            let guard_and_timeout =
                self.changed.wait_timeout(value, remaining).unwrap_or_else(PoisonError::into_inner);
            value = guard_and_timeout.0;
        }
    }
}
