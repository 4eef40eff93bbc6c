//! Edge cases of client connections: a client closes or resets its connection or cancels its request while
//! the request waits, and bytes arrive while the router closes the connection or shuts down. The assertions
//! are on what the hosts have received.

mod common;

use basalthill_standin::client::{query, startup, Client, Message};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::{unix_ms, Watched, TIMEOUT};
use common::router_thread::{
    error_code, primary_host, primary_parameters, primary_with_row, row, RouterThread,
};
use common::{statement_text, SETTINGS};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn write_statement(id: &str) -> String {
    statement_text("write", "").replace("id=9", &format!("id={id}")).replace("d=480", "d=2900")
}

/// Connects a client and returns it with its cancel key.
fn connect_with_cancel_key(addr: SocketAddr) -> (Client, Vec<u8>) {
    let mut client = Client::connect_without_startup(addr).unwrap();
    client.stream.write_all(&startup()).unwrap();
    let mut key = Vec::new();
    loop {
        match client.read_message().unwrap() {
            Message { kind: b'K', body } => key = body,
            Message { kind: b'Z', .. } => return (client, key),
            _ => {}
        }
    }
}

/// Sends a cancel request with this key. The router closes the connection of the cancel request without a
/// reply.
fn cancel(addr: SocketAddr, key: &[u8]) {
    let mut client = Client::connect_without_startup(addr).unwrap();
    // The length of the message (16) and the code of a CancelRequest (80877102).
    client.stream.write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key].concat()).unwrap();
    assert!(client.wait_for_close(), "the router did not close the connection of a cancel request");
}

/// Waits until all connections that the host has accepted are closed.
fn wait_for_no_open_connection(host: &Host) {
    let closed = host.record.wait(|record| (record.open == 0).then_some(()));
    assert!(closed.is_some(), "{} connections of the host are still open", host.record.lock().open);
}

/// Starts a host that closes each connection after one response, and a router that has sent it one write.
/// After this write, the host accepts connections without responding to their startup messages, so that the
/// next request waits for its host connection.
fn start_with_withheld_startup_responses() -> (Host, RouterThread) {
    let host = Host::start(|text| match text {
        "SHOW vitals" => {
            (Response::RowThenClose(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new())
        }
        _ => (Response::RowThenClose(b"x".to_vec()), primary_parameters()),
    })
    .unwrap();
    let settings = SETTINGS.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2000000000");
    let router = RouterThread::with_settings(host.addr, &settings);
    // The router may reuse a connection until the host has closed it, so each close is awaited. The first
    // health check opens the first connection.
    host.wait_for_statement("SHOW vitals").unwrap();
    wait_for_no_open_connection(&host);
    assert_eq!(router.client().query(&write_statement("first")).unwrap(), row(b"x"));
    wait_for_no_open_connection(&host);
    host.record.change(|record| record.withhold_startup_response = true);
    (host, router)
}

/// Connects a client that sends a write, and waits until the host has accepted the connection for it. The
/// client has not read anything yet.
fn send_waiting_write(host: &Host, router: &RouterThread, id: &str) -> Client {
    let accepted_before = host.record.lock().accepted;
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    client.stream.write_all(&[startup(), query(&write_statement(id))].concat()).unwrap();
    host.record.wait(|record| (record.accepted > accepted_before).then_some(())).unwrap();
    client
}

/// Asserts that a write is never sent if its client disconnects while the write waits for a host connection,
/// even though the connection completes its startup afterwards.
fn assert_write_is_never_sent(disconnect: impl FnOnce(Client)) {
    let (host, router) = start_with_withheld_startup_responses();
    let client = send_waiting_write(&host, &router, "gone");
    disconnect(client);
    // Nothing may be sent to a host for a client that disconnected 100 ms ago or earlier.
    std::thread::sleep(Duration::from_millis(100));
    host.record.change(|record| record.withhold_startup_response = false);
    assert_eq!(router.client().query(&write_statement("after")).unwrap(), row(b"x"));
    host.wait_for_statement("id=after").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(host.statement_count("id=gone"), 0, "a disconnected client's write was sent to the host");
}

#[test]
fn a_write_is_not_sent_after_its_client_closed() {
    assert_write_is_never_sent(|mut client| client.read_until_ready().unwrap());
}

#[test]
fn a_write_is_not_sent_after_its_client_reset_the_connection() {
    // The client has not read the startup response, so that closing the connection resets it.
    assert_write_is_never_sent(drop);
}

#[test]
fn a_write_is_not_sent_after_its_client_sent_more_bytes_and_closed() {
    assert_write_is_never_sent(|mut client| {
        // More bytes than the router reads while a request is in flight.
        let rest = query(&format!("SELECT {}", "7".repeat(100_000)));
        client.stream.write_all(&rest).unwrap();
        client.stream.shutdown(Shutdown::Both).unwrap();
    });
}

#[test]
fn a_cancelled_write_gets_its_reply_immediately_and_is_never_sent() {
    let (host, router) = start_with_withheld_startup_responses();
    let (mut client, key) = connect_with_cancel_key(router.addr);
    let accepted_before = host.record.lock().accepted;
    client.send(&write_statement("cancelled")).unwrap();
    host.record.wait(|record| (record.accepted > accepted_before).then_some(())).unwrap();
    // Neither a key with a wrong secret nor the key of no connection cancels the request.
    cancel(router.addr, &[&key[..4], &[key[4] ^ 1], &key[5..]].concat());
    cancel(router.addr, &[0; 8]);
    let cancelled_at = Instant::now();
    cancel(router.addr, &key);
    assert_eq!(error_code(&client.read_reply().unwrap()), "57014");
    assert!(cancelled_at.elapsed() < Duration::from_millis(1500), "{:?}", cancelled_at.elapsed());
    std::thread::sleep(Duration::from_millis(100));
    host.record.change(|record| record.withhold_startup_response = false);
    assert_eq!(
        client.query(&write_statement("after")).unwrap(),
        row(b"x"),
        "the client's connection stays open"
    );
    assert_eq!(host.statement_count("id=cancelled"), 0, "a cancelled write was sent to the host");
    // A cancel request without an open request has no effect.
    cancel(router.addr, &key);
    wait_for_no_open_connection(&host);
    assert_eq!(client.query(&write_statement("again")).unwrap(), row(b"x"));
}

/// Starts clients that send empty queries in batches of 2,000, as fast as they can, while `is_active` is
/// true.
fn flood(addr: SocketAddr, clients: usize, is_active: &Arc<AtomicBool>) {
    for _ in 0..clients {
        let is_active = Arc::clone(is_active);
        std::thread::spawn(move || {
            let mut client = Client::connect(addr).unwrap();
            let batch: Vec<u8> = (0..2000).flat_map(|_| query("")).collect();
            let mut reader = client.stream.try_clone().unwrap();
            std::thread::spawn(move || while matches!(reader.read(&mut [0; 65536]), Ok(1..)) {});
            while is_active.load(Ordering::Relaxed) && client.stream.write_all(&batch).is_ok() {}
        });
    }
}

#[test]
fn under_a_flood_no_write_is_sent_later_than_100_ms_after_its_client_disconnected() {
    let (host, router) = start_with_withheld_startup_responses();
    let is_active = Arc::new(AtomicBool::new(true));
    flood(router.addr, 4, &is_active);
    let disconnected_at = Arc::new(Watched::<Vec<Instant>>::default());
    let mut clients: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = router.client();
            client.send(&write_statement(&format!("left{n:02}"))).unwrap();
            client
        })
        .collect();
    let sent_before = host.statement_count("id=left");
    for client in clients.drain(..) {
        drop(client);
        disconnected_at.change(|times| times.push(Instant::now()));
        std::thread::sleep(Duration::from_millis(5));
    }
    host.record.change(|record| record.withhold_startup_response = false);
    let started_at = Instant::now();
    assert_eq!(router.client().query(&write_statement("after")).unwrap(), row(b"x"));
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "a request of another client took {:?}",
        started_at.elapsed()
    );
    std::thread::sleep(Duration::from_millis(200));
    is_active.store(false, Ordering::Relaxed);
    let record = host.record.lock();
    let late = record.statements.iter().filter(|s| {
        let client = s.text.split("id=left").nth(1).and_then(|t| t[..2].parse::<usize>().ok());
        client.is_some_and(|n| s.received_at > disconnected_at.lock()[n] + Duration::from_millis(100))
    });
    assert_eq!(
        late.count(),
        0,
        "writes were sent over 100 ms after their clients disconnected; {sent_before} were sent before"
    );
}

/// Reads until the connection is closed. Returns the bytes received and whether the connection was reset.
fn read_to_close(stream: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    let reset = stream.read_to_end(&mut all).is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    (all, reset)
}

#[test]
fn requests_that_race_with_shutdown_are_served_or_never_forwarded() {
    let host = primary_with_row(b"x");
    let mut router = RouterThread::with_primary(&host);
    let mut idle: Vec<Client> = (0..40).map(|_| router.client()).collect();
    let (mut partial, mut sentinel) = (router.client(), router.client());
    let request = query(&write_statement("partial"));
    partial.stream.write_all(&request[..60]).unwrap();
    router.stop();
    // All idle connections are closed together, so the close of this one shows when the others are being
    // closed.
    assert!(sentinel.wait_for_close());
    partial.stream.write_all(&request[60..]).unwrap();
    for (n, client) in idle.iter_mut().enumerate() {
        // Writing fails if the connection is already closed; the request then has no reply either.
        let _ = client.stream.write_all(&query(&write_statement(&format!("cross{n:02}"))));
    }
    assert_eq!(partial.read_reply().unwrap(), row(b"x"), "a request that had begun to arrive is completed");
    for (n, client) in idle.iter_mut().enumerate() {
        let (bytes, reset) = read_to_close(&mut client.stream);
        assert!(!reset, "the connection of client {n} was reset");
        let sent = host.statement_count(&format!("id=cross{n:02}"));
        assert_eq!(
            sent,
            usize::from(!bytes.is_empty()),
            "client {n} must get a reply if and only if its request was forwarded"
        );
    }
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
}

#[test]
fn a_close_with_unread_input_delivers_the_last_reply_complete() {
    let value = vec![7; 60_000];
    let large = value.clone();
    let host = primary_host(move |_| Response::Row(large.clone()));
    let mut router = RouterThread::with_primary(&host);
    let mut slow_reader = router.client();
    let mut sentinel = router.client();
    // Replies that do not fit into the socket buffers are queued in the router.
    const REQUESTS: usize = 12;
    for n in 0..REQUESTS {
        slow_reader.send(&write_statement(&format!("large{n:02}"))).unwrap();
    }
    host.wait_for_statement(&format!("id=large{:02}", REQUESTS - 1)).unwrap();
    router.stop();
    assert!(sentinel.wait_for_close());
    slow_reader.stream.write_all(&query(&write_statement("cross"))[..50]).unwrap();
    for n in 0..REQUESTS {
        assert_eq!(slow_reader.read_reply().unwrap(), row(&value), "reply {n}");
    }
    let _ = read_to_close(&mut slow_reader.stream);
}

#[test]
fn clients_that_send_without_pause_do_not_delay_shutdown() {
    let host = primary_with_row(b"x");
    let mut router = RouterThread::with_primary(&host);
    let is_active = Arc::new(AtomicBool::new(true));
    flood(router.addr, 3, &is_active);
    let mut sentinel = router.client();
    assert_eq!(sentinel.query(&write_statement("before")).unwrap(), row(b"x"));
    let started_at = Instant::now();
    router.stop();
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
    // The grace period takes 0.5 s, and connections that are being closed take up to 0.5 s; the rest of the
    // bound allows for a busy machine.
    assert!(started_at.elapsed() < Duration::from_millis(2500), "{:?}", started_at.elapsed());
    is_active.store(false, Ordering::Relaxed);
}

#[test]
fn requests_queued_at_the_shutdown_deadline_are_rejected() {
    let host = primary_host(|_| Response::NoResponse);
    let mut router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let long_read = |id: &str| statement_text("report", "").replace("id=9", id).replace("d=480", "d=60000");
    // A write after a read in the same pipeline waits for the read to complete.
    let queued_write = write_statement("2").replace("d=2900", "d=60000");
    client.stream.write_all(&[query(&long_read("id=1")), query(&queued_write)].concat()).unwrap();
    host.wait_for_statement("id=1").unwrap();
    router.stop();
    assert_eq!(error_code(&client.read_reply().unwrap()), "58000");
    // The router has already received the write, so it rejects the write at once and never forwards it.
    assert_eq!(error_code(&client.read_reply().unwrap()), "53300");
    assert!(client.wait_for_close());
    assert_eq!(host.statement_count("id=2"), 0);
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
}

/// The timeout of a pipelined command starts with the arrival of its last byte. A command that expires while
/// it waits for earlier ones is rejected in its turn and never forwarded.
#[test]
fn a_command_that_expired_in_the_pipeline_is_rejected_in_order() {
    let host = primary_host(|text| {
        if text.contains("id=1") {
            std::thread::sleep(Duration::from_millis(700)); // the host's processing time
        }
        Response::Row(b"x".to_vec())
    });
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let write_with_timeout = |id: &str, ms: u32| {
        query(&statement_text("write", "").replace("id=9", id).replace("d=480", &format!("d={ms}")))
    };
    let commands =
        [write_with_timeout("id=1", 2900), write_with_timeout("id=2", 600), write_with_timeout("id=3", 5000)];
    client.stream.write_all(&commands.concat()).unwrap();
    assert_eq!(client.read_reply().unwrap(), row(b"x"));
    assert_eq!(error_code(&client.read_reply().unwrap()), "53300", "the second command has expired");
    assert_eq!(
        client.read_reply().unwrap(),
        row(b"x"),
        "the third command has not expired, and the connection stays open"
    );
    assert_eq!((host.statement_count("id=2"), host.statement_count("id=3")), (0, 1));
}

/// The request of a client that is evicted while it sends is either served or never forwarded.
#[test]
fn requests_that_race_with_an_eviction_are_served_or_never_forwarded() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, 64);
    let mut unserved = 0;
    for round in 0..40 {
        let mut existing = router.client();
        assert_eq!(existing.query(&write_statement(&format!("existing{round:02}"))).unwrap(), row(b"x"));
        std::thread::sleep(Duration::from_millis(25));
        let newcomers = std::thread::spawn({
            let addr = router.addr;
            move || (0..30).filter_map(|_| Client::connect_without_startup(addr).ok()).collect::<Vec<_>>()
        });
        std::thread::sleep(Duration::from_micros(50 * (round % 20)));
        let id = format!("cross{round:02}");
        let served = existing.query(&write_statement(&id)).is_ok_and(|reply| reply == row(b"x"));
        let sent = host.statement_count(&format!("id={id}"));
        assert_eq!(sent, usize::from(served), "round {round}");
        unserved += usize::from(!served);
        drop(newcomers.join().unwrap());
    }
    assert!(unserved < 40, "no request arrived before its connection was closed");
}

/// A slow reader and a slow sender do not delay other clients, and the router disconnects both.
#[test]
fn slow_clients_do_not_delay_other_clients() {
    let value = vec![7; 60_000];
    let host = primary_host(move |text| match text.contains("id=slow") {
        true => Response::Row(value.clone()),
        false => Response::Row(b"x".to_vec()),
    });
    let router = RouterThread::with_descriptors(&host, 64);
    let mut slow_reader = router.client();
    for n in 0..100 {
        // The client never reads: once the socket buffers are full, the router's writes have to wait.
        slow_reader.stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        if slow_reader.send(&write_statement(&format!("slow{n:03}")).replace("d=2900", "d=60000")).is_err() {
            break;
        }
    }
    let mut slow_sender = Client::connect_without_startup(router.addr).unwrap();
    for byte in &startup()[..20] {
        slow_sender.stream.write_all(&[*byte]).unwrap();
        let started_at = Instant::now();
        assert_eq!(router.client().query(&write_statement("quick")).unwrap(), row(b"x"));
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(
        slow_sender.stream.read_to_end(&mut Vec::new()).is_ok(),
        "the slow sender's connection was reset, or was not closed within {TIMEOUT:?}"
    );
    let (started_at, mut is_disconnected) = (Instant::now(), false);
    while !is_disconnected && started_at.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(100));
        is_disconnected = host.statement_count("id=slow") > 0 && slow_reader.stream.write(&[0]).is_err();
    }
    assert!(is_disconnected, "the client that reads nothing was not disconnected within {TIMEOUT:?}");
}
