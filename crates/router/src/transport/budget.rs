//! Descriptors as a budget that clients and hosts share.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that may still be opened.
pub struct Budget(Rc<Cell<usize>>);

/// One descriptor; given back when dropped.
pub struct Permit(Rc<Cell<usize>>);

impl Budget {
    /// So many in all.
    pub fn new(sockets: usize) -> Budget {
        Budget(Rc::new(Cell::new(sockets)))
    }

    /// How many are left.
    pub fn left(&self) -> usize {
        self.0.get()
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
