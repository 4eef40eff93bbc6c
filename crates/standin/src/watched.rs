//! A value behind a mutex whose changes other threads can wait for.

use crate::TIMEOUT;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A value that threads change and wait for: a mutex with its condition variable.
///
/// A panic of another thread while it held the lock is ignored: the value stays usable.
#[derive(Debug, Default)]
pub struct Watched<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Watched<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Watched<T> {
        Watched { value: Mutex::new(value), changed: Condvar::new() }
    }

    /// Locks the value, to look at it. Changes made through the guard wake nobody.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the value and wakes all threads that wait for it.
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until `f` returns a value, checked at once and after each change. `None` after [`TIMEOUT`].
    pub fn wait<R>(&self, mut f: impl FnMut(&mut T) -> Option<R>) -> Option<R> {
        let deadline = Instant::now() + TIMEOUT;
        let mut value = self.lock();
        loop {
            if let Some(found) = f(&mut value) {
                return Some(found);
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            let woken = self.changed.wait_timeout(value, left).unwrap_or_else(PoisonError::into_inner);
            value = woken.0;
        }
    }
}
