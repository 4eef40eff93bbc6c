//! Counting semaphores for what is limited: descriptors, rejections in progress, large statements.

use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How long a task waits before it checks again for something that a limit or the system did not give it.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A number of permits that may be out at a time.
pub struct Semaphore(Rc<Cell<usize>>);

/// A permit that was acquired; released on drop.
pub struct Permit(Rc<Cell<usize>>);

impl Semaphore {
    /// A semaphore with so many permits.
    pub fn new(permits: usize) -> Semaphore {
        Semaphore(Rc::new(Cell::new(permits)))
    }

    /// How many permits can still be acquired.
    pub fn available(&self) -> usize {
        self.0.get()
    }

    /// Acquires a permit, waiting until one is released.
    pub async fn acquire(&self) -> Permit {
        loop {
            match self.acquire_now() {
                Some(permit) => return permit,
                None => drop(Timer::after(RETRY_INTERVAL).await),
            }
        }
    }

    /// Acquires a permit, if one is available.
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
