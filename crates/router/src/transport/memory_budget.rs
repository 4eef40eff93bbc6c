//! A budget of bytes that many connections share. Each connection has a [`MemoryAccount`] with a share of its
//! own; only what it holds beyond that share is charged to the budget. Accounts that need more wait in the
//! order in which they asked, and none overtakes an earlier one.

use super::notify::Notify;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

/// A budget of bytes; clones refer to the same budget.
#[derive(Clone)]
pub struct MemoryBudget(Rc<BudgetState>);

struct BudgetState {
    limit: usize,
    /// What the accounts hold or have reserved beyond their shares. It may exceed `limit` for a moment, while
    /// bytes pass from one account to another.
    charged: Cell<usize>,
    waiters: RefCell<VecDeque<Rc<Waiter>>>,
    /// Notified when an account begins to wait.
    shortage: Notify,
}

/// The place of an account in the queue.
struct Waiter {
    bytes: usize,
    since: Instant,
    granted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, all of them available.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(BudgetState {
            limit,
            charged: Cell::new(0),
            waiters: RefCell::default(),
            shortage: Notify::default(),
        }))
    }

    /// Opens an account that may hold up to `share` bytes without charge.
    pub fn open_account(&self, share: usize) -> MemoryAccount {
        MemoryAccount {
            budget: self.clone(),
            share,
            held: Cell::new(0),
            reserved: Cell::new(0),
            place: RefCell::default(),
        }
    }

    /// Returns the number of bytes that are charged.
    pub fn charged(&self) -> usize {
        self.0.charged.get()
    }

    /// Returns whether more than a quarter of the budget is charged, so that it should be kept for accounts
    /// that can't do without.
    pub fn is_scarce(&self) -> bool {
        self.charged() > self.0.limit / 4
    }

    /// Returns whether an account waits for bytes.
    pub fn has_waiters(&self) -> bool {
        !self.0.waiters.borrow().is_empty()
    }

    /// Returns the number of bytes that accounts wait for.
    pub fn waiting_bytes(&self) -> usize {
        self.0.waiters.borrow().iter().map(|waiter| waiter.bytes).sum()
    }

    /// Waits until an account has begun to wait for bytes since the last call.
    pub async fn shortage(&self) {
        self.0.shortage.notified().await;
    }

    /// Returns whether `bytes` more can be charged now. A single account may exceed the limit if nothing else
    /// is charged, so that each wait ends.
    fn fits(&self, bytes: usize) -> bool {
        let charged = self.0.charged.get();
        charged == 0 || charged + bytes <= self.0.limit
    }

    /// Appends a place for `bytes` to the queue.
    fn enqueue(&self, bytes: usize) -> Rc<Waiter> {
        let waiter = Rc::new(Waiter {
            bytes,
            since: Instant::now(),
            granted: Cell::default(),
            waker: RefCell::default(),
        });
        self.0.waiters.borrow_mut().push_back(Rc::clone(&waiter));
        self.0.shortage.notify();
        waiter
    }

    /// Removes a place from the queue, or releases the bytes that it has been granted.
    fn leave(&self, place: &Rc<Waiter>) {
        if place.granted.get() {
            return self.release(place.bytes);
        }
        self.0.waiters.borrow_mut().retain(|waiter| !Rc::ptr_eq(waiter, place));
        // The next account in the queue may need fewer bytes.
        self.grant();
    }

    fn add(&self, bytes: usize) {
        self.0.charged.set(self.0.charged.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.0.charged.set(self.0.charged.get() - bytes);
        self.grant();
    }

    /// Grants bytes to the waiting accounts in their order, up to the first whose bytes are not available.
    fn grant(&self) {
        let mut waiters = self.0.waiters.borrow_mut();
        while waiters.front().is_some_and(|waiter| self.fits(waiter.bytes)) {
            let Some(waiter) = waiters.pop_front() else { return };
            self.add(waiter.bytes);
            waiter.granted.set(true);
            let waker = waiter.waker.take();
            waker.into_iter().for_each(Waker::wake);
        }
    }
}

/// What one connection holds and has reserved of a budget. Everything is released on drop.
pub struct MemoryAccount {
    budget: MemoryBudget,
    /// The number of bytes that are not charged.
    share: usize,
    held: Cell<usize>,
    reserved: Cell<usize>,
    /// The account's place in the queue while it waits.
    place: RefCell<Option<Rc<Waiter>>>,
}

impl MemoryAccount {
    /// Records that the connection now holds this many bytes. They are charged even if the budget is used up:
    /// they are in memory, whoever accounts for them.
    pub fn set_held(&self, bytes: usize) {
        self.update(bytes, self.reserved.get());
    }

    /// Records that the connection holds `bytes` more.
    pub fn add_held(&self, bytes: usize) {
        self.set_held(self.held.get() + bytes);
    }

    /// Returns how many bytes the connection holds.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns how many bytes the connection may hold now: its share, and what it has reserved.
    pub fn allowed(&self) -> usize {
        self.share + self.reserved.get()
    }

    /// Reserves memory so that the connection may hold `bytes` beyond its share, if that is possible without
    /// waiting. Returns whether it was possible.
    pub fn reserve_now(&self, bytes: usize) -> bool {
        let more = self.additional_charge(bytes);
        let is_granted = more == 0 || (!self.budget.has_waiters() && self.budget.fits(more));
        if is_granted {
            self.raise_reservation(bytes);
        }
        is_granted
    }

    /// Like [`MemoryAccount::reserve_now`], but leaves half of the budget to accounts that can't do without.
    pub fn reserve_spare(&self, bytes: usize) -> bool {
        let charged = self.budget.charged() + self.additional_charge(bytes);
        charged <= self.budget.0.limit / 2 && self.reserve_now(bytes)
    }

    /// Reserves memory so that the connection may hold `bytes` beyond its share. Waits until it is
    /// available, behind all accounts that have been waiting for longer. Dropping the future keeps the
    /// account's place in the queue for the next call, until [`MemoryAccount::give_up`].
    pub async fn reserve(&self, bytes: usize) {
        if self.place.borrow().is_none() {
            if self.reserve_now(bytes) {
                return;
            }
            *self.place.borrow_mut() = Some(self.budget.enqueue(self.additional_charge(bytes)));
        }
        poll_fn(|context| self.poll_granted(context)).await;
        // The granted bytes become part of the reservation.
        let granted = self.place.take().map_or(0, |waiter| waiter.bytes);
        self.budget.0.charged.set(self.budget.charged() - granted);
        self.raise_reservation(bytes);
        self.budget.grant();
    }

    /// Returns since when the account has been waiting, if it is waiting.
    pub fn waiting_since(&self) -> Option<Instant> {
        self.place.borrow().as_ref().map(|waiter| waiter.since)
    }

    /// Leaves the queue.
    pub fn give_up(&self) {
        if let Some(waiter) = self.place.take() {
            self.budget.leave(&waiter);
        }
    }

    fn poll_granted(&self, context: &mut Context<'_>) -> Poll<()> {
        let place = self.place.borrow();
        let Some(waiter) = place.as_ref().filter(|waiter| !waiter.granted.get()) else {
            return Poll::Ready(());
        };
        *waiter.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }

    /// Gives back what has been reserved. What is held remains charged.
    pub fn release_reservation(&self) {
        self.update(self.held.get(), 0);
    }

    /// Returns how many bytes are charged to the budget.
    pub fn charge(&self) -> usize {
        self.held.get().saturating_sub(self.share).max(self.reserved.get())
    }

    /// Returns how much more is charged once `bytes` are reserved.
    fn additional_charge(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.charge())
    }

    fn raise_reservation(&self, bytes: usize) {
        self.update(self.held.get(), bytes.max(self.reserved.get()));
    }

    fn update(&self, held: usize, reserved: usize) {
        let before = self.charge();
        self.held.set(held);
        self.reserved.set(reserved);
        let after = self.charge();
        if after > before {
            self.budget.add(after - before);
        } else if after < before {
            self.budget.release(before - after);
        }
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.give_up();
        self.update(0, 0);
    }
}

#[cfg(test)]
mod tests;
