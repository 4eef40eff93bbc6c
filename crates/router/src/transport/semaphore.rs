//! Counting semaphores for limited resources: descriptors and rejections in progress.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The pause before a task tries again to obtain a permit, or a resource of the operating system.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A semaphore with a fixed number of permits.
pub struct Semaphore(Rc<Cell<usize>>);

/// An acquired permit; released on drop.
pub struct Permit(Rc<Cell<usize>>);

impl Semaphore {
    /// Creates a semaphore with `permits` permits.
    pub fn new(permits: usize) -> Semaphore {
        Semaphore(Rc::new(Cell::new(permits)))
    }

    /// Returns the number of permits that can be acquired now.
    pub fn available(&self) -> usize {
        self.0.get()
    }

    /// Acquires a permit without waiting, or returns `None` if none is available.
    pub fn acquire_now(&self) -> Option<Permit> {
        let remaining = self.0.get().checked_sub(1)?;
        self.0.set(remaining);
        Some(Permit(Rc::clone(&self.0)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}
