//! Clients that send small or invalid messages at full speed on few connections. Meanwhile the requests of
//! other clients are served in time, and the router's memory stays within its limit.

mod common;

use basalthill_standin::client::{query, Client};
use common::memory::*;
use common::router_process::RouterLimits;
use common::statement_text;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The least memory that a router has, with the most descriptors.
const LIMITS: RouterLimits = RouterLimits { memory_mb: 32, sockets: 1024 };
/// The number of connections that send at full speed.
const FLOODING_CONNECTIONS: usize = 4;
/// The number of messages in one write.
const BATCH: u64 = 64;
/// The time for which a flooding client waits for the router to read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns a message of this type.
fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Returns a valid request with this number as id, in which `from` is replaced by `to`.
fn request(class: &str, number: u64, from: &str, to: &str) -> Vec<u8> {
    let id = format!("id={number:016x}");
    query(&statement_text(class, "").replace("id=9b1f03aa5c7e2d41", &id).replace(from, to))
}

/// Sends messages at full speed until `until`, on a new connection after each that the router has closed.
fn flood(addr: SocketAddr, reads_replies: bool, until: Instant, mut next: impl FnMut() -> Vec<u8>) {
    while Instant::now() < until {
        let Ok(mut client) = Client::connect(addr) else { continue };
        client.stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        let mut reader = client.stream.try_clone().unwrap();
        if reads_replies {
            std::thread::spawn(move || while matches!(reader.read(&mut [0; 65_536]), Ok(1..)) {});
        }
        let mut is_open = true;
        while is_open && Instant::now() < until {
            let batch: Vec<u8> = (0..BATCH).flat_map(|_| next()).collect();
            is_open = client.stream.write_all(&batch).is_ok();
        }
    }
}

/// Plays floods of one kind of message, with and without clients that read their replies. `message` returns
/// the message with a number that is different each time.
fn assert_flood_harms_no_other(kind: &str, message: impl Fn(u64) -> Vec<u8> + Copy + Send + Sync + 'static) {
    for reads_replies in [true, false] {
        println!("{kind}, reads its replies: {reads_replies}");
        assert_others_are_served(LIMITS, READS, FLOODING_CONNECTIONS, move |addr, connection, until| {
            let mut number = (connection as u64) << 40;
            flood(addr, reads_replies, until, || {
                number += 1;
                message(number)
            });
        });
    }
}

/// Guards against a router that handles one connection's messages for so long that others wait.
#[test]
fn floods_of_short_messages_do_not_delay_others() {
    assert_flood_harms_no_other("Sync", |_| message(b'S', b""));
    assert_flood_harms_no_other("CopyData", |_| message(b'd', b"x"));
    assert_flood_harms_no_other("Parse of ever new names", |number| {
        message(b'P', format!("name{number}\0SELECT 1\0\0\0").as_bytes())
    });
}

/// Guards against a router that keeps something for each name that it is sent.
#[test]
fn floods_of_ever_new_names_do_not_delay_others() {
    assert_flood_harms_no_other("classes", |number| {
        request("view", number, "c=view", &format!("c=class{number}"))
    });
    assert_flood_harms_no_other("tenants", |number| {
        request("view", number, "t=acme", &format!("t=tenant{number}"))
    });
    assert_flood_harms_no_other("sessions", |number| request("own", number, "k1", &format!("key{number}")));
}

/// Guards against a router that parses long statements of one connection for so long that others wait.
#[test]
fn floods_of_long_statements_do_not_delay_others() {
    assert_flood_harms_no_other("no end of a literal", |number| {
        query(&format!("SELECT v FROM records WHERE k = '{} {number}", "''".repeat(60_000)))
    });
    assert_flood_harms_no_other("many fields", |number| {
        request("view", number, " */", &format!("{} */", ",a=1".repeat(30_000)))
    });
}
