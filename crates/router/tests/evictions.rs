//! Which client connections the router closes when there are many: those that have stopped in the middle of a
//! message, before those of clients that have only paused.

mod common;

use basalthill_standin::client::{query, Client};
use common::router_thread::{primary_with_row, row, RouterThread};
use common::statement_text;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The number of descriptors of the router. With a quarter of it in use by clients, each new client causes an
/// eviction.
const DESCRIPTORS: usize = 256;
/// The number of clients that stop in the middle of a message: with the paused ones less than a quarter of
/// the descriptors.
const STOPPED_CLIENTS: usize = 50;
/// The number of clients that pause between two requests.
const PAUSED_CLIENTS: usize = 10;
/// The number of clients that connect one after another.
const NEW_CLIENTS: usize = 30;
/// A time after which a client that has sent nothing counts as stopped.
const STOPPED_FOR: Duration = Duration::from_millis(700);

/// Returns a read with a unique id.
fn read() -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let id = format!("id={:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    statement_text("view", "").replace("id=9b1f03aa5c7e2d41", &id).replace("d=480", "d=3000")
}

/// Guards against a router that closes the connections of clients that only pause, while others hold
/// descriptors with requests that they don't complete.
#[test]
fn stopped_clients_are_evicted_before_clients_that_pause() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, DESCRIPTORS);
    let mut paused: Vec<Client> = (0..PAUSED_CLIENTS).map(|_| router.client()).collect();
    for client in &mut paused {
        assert_eq!(client.query(&read()).unwrap(), row(b"x"));
    }
    let half = query(&read());
    let half = &half[..half.len() / 2];
    let _stopped: Vec<Client> = (0..STOPPED_CLIENTS)
        .map(|_| {
            let mut client = router.client();
            client.stream.write_all(half).unwrap();
            client
        })
        .collect();
    std::thread::sleep(STOPPED_FOR);
    for client in &mut paused {
        assert_eq!(client.query(&read()).unwrap(), row(b"x"), "before the new clients");
    }
    let _new: Vec<Client> = (0..NEW_CLIENTS)
        .map(|_| {
            let mut client = router.client();
            assert_eq!(client.query(&read()).unwrap(), row(b"x"));
            client
        })
        .collect();
    for (index, client) in paused.iter_mut().enumerate() {
        let reply = client.query(&read());
        assert!(reply.is_ok_and(|reply| reply == row(b"x")), "the connection of client {index} was closed");
    }
}
