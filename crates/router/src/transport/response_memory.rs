//! Reserves the memory for rows before they are read from hosts. A row for which there is none stays in the
//! host's socket for a while, and is then discarded.

use super::driver::Driver;
use super::memory_budget::MemoryAccount;
use super::pool::HostConnection;
use crate::routing::Requester;
use async_io::Timer;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::time::{Duration, Instant};

/// The part of an attempt's time that remains after the wait for memory: enough to discard the row and to
/// reply, so that the request has its final reply before its deadline.
const DISCARD_TIME: Time = Time::ms(40);

/// The longest time for which a row waits for the replies before it while there is no spare memory.
const TURN_WAIT: Duration = Duration::from_millis(50);

/// A response that a client's command awaits.
#[derive(Clone, Copy)]
pub struct AwaitedResponse {
    /// The command.
    pub requester: Requester,
    /// The deadline of the attempt.
    pub deadline: Time,
}

/// Makes room for the next read from a host. If the connection has used up what it may hold, reserves memory
/// for the rest of the message that is being received. A row for which none is available in the time of its
/// attempt is discarded.
pub async fn reserve_next_read(
    driver: &Driver,
    connection: &mut HostConnection,
    awaited: Option<AwaitedResponse>,
) {
    let HostConnection { codec, memory, .. } = connection;
    memory.set_held(codec.memory());
    if memory.held() < memory.allowed() {
        return;
    }
    let needed = codec.memory() + codec.missing_bytes();
    let is_reserved = match awaited.filter(|_| codec.is_receiving_row()) {
        Some(awaited) => reserve_for_row(driver, memory, needed, awaited).await,
        None => {
            memory.reserve(needed).await;
            true
        }
    };
    if is_reserved {
        codec.reserve_message();
    } else {
        driver.clients.memory_counts.count_discarded_row();
        codec.discard_row();
        memory.set_held(codec.memory());
    }
}

/// Reserves `needed` bytes for a row. The connection's share remains for the messages that follow the row.
/// Returns whether they were reserved in time.
async fn reserve_for_row(
    driver: &Driver,
    memory: &MemoryAccount,
    needed: usize,
    awaited: AwaitedResponse,
) -> bool {
    let reserved = reserve_in_turn(driver, memory, needed, awaited.requester);
    let timed_out = async {
        Timer::at(driver.clock.instant(awaited.deadline.minus(DISCARD_TIME))).await;
        false
    };
    let is_reserved = future::or(reserved, timed_out).await;
    memory.give_up();
    is_reserved
}

/// Reserves memory for a row in its turn. The row that its client receives next waits in the budget's
/// queue. A row that follows another reply would hold its memory until that reply is there, so it only
/// takes spare memory, or else waits until it is next, for [`TURN_WAIT`] at most: meanwhile its host counts
/// as busy. Returns false if the row has not become the next one in this time, or if the client has
/// disconnected.
async fn reserve_in_turn(
    driver: &Driver,
    memory: &MemoryAccount,
    needed: usize,
    requester: Requester,
) -> bool {
    let turn_wait_ends_at = Instant::now() + TURN_WAIT;
    loop {
        let Some(client) = driver.clients.handle(requester.client) else { return false };
        let next_reply_changed = client.next_reply_changed.listen();
        if client.next_reply.get() == Some(requester.command) {
            memory.reserve(needed).await;
            return true;
        }
        if memory.reserve_spare(needed) {
            return true;
        }
        let is_changed = async {
            next_reply_changed.await;
            true
        };
        let timed_out = async {
            Timer::at(turn_wait_ends_at).await;
            false
        };
        if !future::or(is_changed, timed_out).await {
            return false;
        }
    }
}
