//! A wake-up from one task to another on the same thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Notified by any number of tasks, awaited by one. Notifications that arrive before it looks merge into one.
#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting task, or lets its next wait return at once.
    pub fn notify(&self) {
        self.notified.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for a notification and consumes it.
    pub async fn notified(&self) {
        poll_fn(|cx| {
            if self.notified.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}
