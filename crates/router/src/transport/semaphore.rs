//! Semaphores: what there is only so much of, descriptors and places for large statements.

use async_io::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How often one who waits looks again.
pub const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// What may still be taken.
pub struct Semaphore(Rc<Cell<usize>>);

/// One that was taken; given back when dropped.
pub struct Permit(Rc<Cell<usize>>);

impl Semaphore {
    /// So many in all.
    pub fn new(sockets: usize) -> Semaphore {
        Semaphore(Rc::new(Cell::new(sockets)))
    }

    /// How many are left.
    pub fn left(&self) -> usize {
        self.0.get()
    }

    /// Takes one, waiting until there is one.
    pub async fn wait(&self) -> Permit {
        loop {
            match self.take() {
                Some(permit) => return permit,
                None => drop(Timer::after(LOOK_AGAIN).await),
            }
        }
    }

    /// Takes one, if any is left.
    pub fn take(&self) -> Option<Permit> {
        let left = self.0.get().checked_sub(1)?;
        self.0.set(left);
        Some(Permit(Rc::clone(&self.0)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}
