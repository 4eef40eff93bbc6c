//! Notification of one task by others on the same thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A notification that any number of tasks send and one task awaits. Notifications that are sent before that
/// task polls again are merged into one.
#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting task, or makes its next wait return immediately.
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
