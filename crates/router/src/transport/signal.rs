//! A note from one task to another on the same thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Set by many, awaited by one; notes add up to one until it is seen.
#[derive(Default)]
pub struct Signal {
    set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Leaves a note.
    pub fn notify(&self) {
        self.set.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Takes a note, if there is one.
    pub fn take(&self) -> bool {
        self.set.replace(false)
    }

    /// Waits for a note and takes it.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}
