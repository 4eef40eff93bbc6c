use super::*;
use async_executor::LocalExecutor;
use futures_lite::future;
use std::cell::RefCell;

/// Runs the tasks of an executor until none of them can continue.
fn run_tasks(executor: &LocalExecutor<'_>) {
    while executor.try_tick() {}
}

#[test]
fn what_an_account_holds_beyond_its_share_is_charged_until_it_is_dropped() {
    let budget = MemoryBudget::new(1000);
    let account = budget.open_account(100);
    account.set_held(80);
    assert_eq!((budget.charged(), account.allowed()), (0, 100));
    account.add_held(50);
    assert_eq!(budget.charged(), 30);
    assert!(account.reserve_now(400));
    assert_eq!((budget.charged(), account.allowed()), (400, 500), "what is held is part of the reservation");
    account.set_held(2000);
    assert_eq!(budget.charged(), 1900, "bytes in memory are charged in any case");
    account.set_held(10);
    account.release_reservation();
    assert_eq!(budget.charged(), 0);
    assert!(account.reserve_now(700));
    drop(account);
    assert_eq!(budget.charged(), 0);
}

#[test]
fn spare_memory_is_the_half_that_is_left_to_accounts_that_cant_do_without() {
    let budget = MemoryBudget::new(1000);
    let accounts: Vec<MemoryAccount> = (0..3).map(|_| budget.open_account(0)).collect();
    assert!(accounts[0].reserve_spare(500));
    assert!(!accounts[1].reserve_spare(1));
    assert!(accounts[1].reserve_now(500));
    assert!(!accounts[2].reserve_now(1));
}

/// Guards against a request that waits without end because later ones are served before it.
#[test]
fn accounts_are_served_in_the_order_in_which_they_asked() {
    let budget = MemoryBudget::new(1000);
    let holder = budget.open_account(0);
    assert!(holder.reserve_now(1000));
    let accounts: Vec<MemoryAccount> = (0..4).map(|_| budget.open_account(0)).collect();
    let granted = RefCell::new(Vec::new());
    let executor = LocalExecutor::new();
    let mut tasks: Vec<_> = [(0, 300), (1, 900), (2, 100), (3, 50)]
        .into_iter()
        .map(|(index, bytes)| {
            let (accounts, granted) = (&accounts, &granted);
            executor.spawn(async move {
                accounts[index].reserve(bytes).await;
                granted.borrow_mut().push(index);
            })
        })
        .collect();
    run_tasks(&executor);
    assert_eq!((granted.borrow().len(), budget.waiting_bytes()), (0, 1350));
    holder.release_reservation();
    run_tasks(&executor);
    assert_eq!(*granted.borrow(), [0], "a later account does not overtake the second");
    assert!(!holder.reserve_now(10), "an account that did not wait does not overtake either");
    // The second account gives up its place.
    drop(tasks.remove(1));
    accounts[1].give_up();
    run_tasks(&executor);
    assert_eq!(*granted.borrow(), [0, 2, 3]);
    assert_eq!((budget.charged(), budget.has_waiters()), (450, false));
}

#[test]
fn an_account_keeps_its_place_until_it_gives_up() {
    let budget = MemoryBudget::new(100);
    let (holder, waiting) = (budget.open_account(0), budget.open_account(0));
    assert!(holder.reserve_now(100));
    let poll = |bytes| future::block_on(future::poll_once(waiting.reserve(bytes))).is_some();
    assert!(!poll(60));
    let since = waiting.waiting_since();
    assert!(!poll(60) && since.is_some() && waiting.waiting_since() == since);
    holder.release_reservation();
    assert_eq!(budget.charged(), 60, "the bytes are granted, though the account has not taken them yet");
    waiting.give_up();
    assert_eq!((budget.charged(), waiting.waiting_since()), (0, None));
    assert!(poll(60));
    assert_eq!(budget.charged(), 60);
}

#[test]
fn an_account_may_exceed_the_budget_if_it_is_the_only_one() {
    let budget = MemoryBudget::new(100);
    let account = budget.open_account(0);
    assert!(account.reserve_now(150));
    assert!(!budget.open_account(0).reserve_now(1));
}
