//! Edge cases of clients' connections: they close, reset and cancel while their request waits for something,
//! bytes arrive as a connection is closed or the router stops. The assertions are on what the hosts have
//! received.

mod common;

use basalthill_standin::client::{query, startup, Client, Message};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::{unix_ms, Watched, TIMEOUT};
use common::served::{error_code, primary_host, primary_report, primary_with_row, row, RouterThread};
use common::{statement_text, SETTINGS};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn write_statement(id: &str) -> String {
    statement_text("write", "").replace("id=9", &format!("id={id}")).replace("d=480", "d=2900")
}

/// A connected client, and its cancel key.
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

/// Sends a cancel request with a key; the router closes its connection without an answer.
fn cancel(addr: SocketAddr, key: &[u8]) {
    let mut client = Client::connect_without_startup(addr).unwrap();
    client.stream.write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key].concat()).unwrap();
    assert!(client.wait_for_close());
}

/// A router whose host closes each connection after one answer, and now accepts connections without welcoming
/// them: the next request waits for a connection.
fn router_with_connecting_host() -> (Host, RouterThread) {
    let host = Host::start(|text| match text {
        "SHOW vitals" => {
            (Response::RowThenClose(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new())
        }
        _ => (Response::RowThenClose(b"x".to_vec()), primary_report()),
    })
    .unwrap();
    let settings = SETTINGS.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2000000000");
    let router = RouterThread::with_settings(host.addr, &settings);
    assert_eq!(router.client().query(&write_statement("first")).unwrap(), row(b"x"));
    host.record.change(|s| s.withhold_startup_response = true);
    (host, router)
}

/// A client whose write waits for a connection that its host has accepted. The client has read nothing yet.
fn send_waiting_write(host: &Host, router: &RouterThread, id: &str) -> Client {
    let before = host.record.lock().accepted;
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    client.stream.write_all(&[startup(), query(&write_statement(id))].concat()).unwrap();
    host.record.wait(|s| (s.accepted > before).then_some(())).unwrap();
    client
}

/// A client disconnects while its write waits for a connection, which then comes up: nothing of the request
/// is ever written.
fn assert_write_is_dropped(disconnect: impl FnOnce(Client)) {
    let (host, router) = router_with_connecting_host();
    let client = send_waiting_write(&host, &router, "gone");
    disconnect(client);
    // This long after a client has gone, a host may not be sent anything for it.
    std::thread::sleep(Duration::from_millis(100));
    host.record.change(|s| s.withhold_startup_response = false);
    assert_eq!(router.client().query(&write_statement("after")).unwrap(), row(b"x"));
    host.wait_for_statement("id=after").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(host.statement_count("id=gone"), 0, "a disconnected client's write is never sent");
}

#[test]
fn a_write_is_not_sent_after_its_client_closed() {
    assert_write_is_dropped(|mut client| client.read_until_ready().unwrap());
}

#[test]
fn a_write_is_not_sent_after_its_client_reset_the_connection() {
    // Closed over a welcome that it has not read, the connection is reset.
    assert_write_is_dropped(drop);
}

#[test]
fn a_client_close_behind_unread_bytes_is_detected() {
    assert_write_is_dropped(|mut client| {
        // More than the router reads while a request is in flight.
        let rest = query(&format!("SELECT {}", "7".repeat(100_000)));
        client.stream.write_all(&rest).unwrap();
        client.stream.shutdown(Shutdown::Both).unwrap();
    });
}

#[test]
fn a_cancelled_write_is_answered_immediately_and_never_sent() {
    let (host, router) = router_with_connecting_host();
    let (mut client, key) = connect_with_cancel_key(router.addr);
    let before = host.record.lock().accepted;
    client.send(&write_statement("cancelled")).unwrap();
    host.record.wait(|s| (s.accepted > before).then_some(())).unwrap();
    // A wrong secret, and a key that nobody has.
    cancel(router.addr, &[&key[..4], &[key[4] ^ 1], &key[5..]].concat());
    cancel(router.addr, &[0; 8]);
    let cancelled_at = Instant::now();
    cancel(router.addr, &key);
    assert_eq!(error_code(&client.read_reply().unwrap()), "57014");
    assert!(cancelled_at.elapsed() < Duration::from_millis(1500), "{:?}", cancelled_at.elapsed());
    std::thread::sleep(Duration::from_millis(100));
    host.record.change(|s| s.withhold_startup_response = false);
    assert_eq!(client.query(&write_statement("after")).unwrap(), row(b"x"), "its connection stays open");
    assert_eq!(host.statement_count("id=cancelled"), 0);
    // Without an open request it cancels nothing.
    cancel(router.addr, &key);
    assert_eq!(client.query(&write_statement("again")).unwrap(), row(b"x"));
}

/// Clients that send as fast as they can while `busy` holds: empty queries, many at once.
fn flood(addr: SocketAddr, clients: usize, busy: &Arc<AtomicBool>) {
    for _ in 0..clients {
        let busy = Arc::clone(busy);
        std::thread::spawn(move || {
            let mut client = Client::connect(addr).unwrap();
            let many: Vec<u8> = (0..2000).flat_map(|_| query("")).collect();
            let mut reader = client.stream.try_clone().unwrap();
            std::thread::spawn(move || while matches!(reader.read(&mut [0; 65536]), Ok(1..)) {});
            while busy.load(Ordering::Relaxed) && client.stream.write_all(&many).is_ok() {}
        });
    }
}

#[test]
fn under_a_flood_nothing_is_sent_100_ms_after_a_client_disconnected() {
    let (host, router) = router_with_connecting_host();
    let busy = Arc::new(AtomicBool::new(true));
    flood(router.addr, 4, &busy);
    let went = Arc::new(Watched::<Vec<Instant>>::default());
    let mut clients: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = router.client();
            client.send(&write_statement(&format!("left{n:02}"))).unwrap();
            client
        })
        .collect();
    let before = host.statement_count("id=left");
    for client in clients.drain(..) {
        drop(client);
        went.change(|w| w.push(Instant::now()));
        std::thread::sleep(Duration::from_millis(5));
    }
    host.record.change(|s| s.withhold_startup_response = false);
    let began = Instant::now();
    assert_eq!(router.client().query(&write_statement("after")).unwrap(), row(b"x"));
    assert!(began.elapsed() < Duration::from_secs(3), "others are not delayed: {:?}", began.elapsed());
    std::thread::sleep(Duration::from_millis(200));
    busy.store(false, Ordering::Relaxed);
    let seen = host.record.lock();
    let late = seen.statements.iter().filter(|s| {
        let left = s.text.split("id=left").nth(1).and_then(|t| t[..2].parse::<usize>().ok());
        left.is_some_and(|n| s.received_at > went.lock()[n] + Duration::from_millis(100))
    });
    assert_eq!(late.count(), 0, "{before} were out before they left");
}

/// Reads until the connection ends; what was received, and whether the connection was reset.
fn read_to_close(stream: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    let reset = stream.read_to_end(&mut all).is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
    (all, reset)
}

#[test]
fn requests_that_race_with_shutdown_are_answered_or_unread() {
    let host = primary_with_row(b"x");
    let mut router = RouterThread::with_primary(&host);
    let mut resting: Vec<Client> = (0..40).map(|_| router.client()).collect();
    let (mut half, mut sentinel) = (router.client(), router.client());
    let request = query(&write_statement("half"));
    half.stream.write_all(&request[..60]).unwrap();
    router.stop();
    // They are closed together: the first that ends shows the moment.
    assert!(sentinel.wait_for_close());
    half.stream.write_all(&request[60..]).unwrap();
    for (n, client) in resting.iter_mut().enumerate() {
        // A connection that is closed already may accept nothing; that is no answer either.
        let _ = client.stream.write_all(&query(&write_statement(&format!("cross{n:02}"))));
    }
    assert_eq!(half.read_reply().unwrap(), row(b"x"), "a request that had begun to arrive is completed");
    for (n, client) in resting.iter_mut().enumerate() {
        let (bytes, reset) = read_to_close(&mut client.stream);
        assert!(!reset, "client {n} is reset");
        let sent = host.statement_count(&format!("id=cross{n:02}"));
        assert_eq!(
            sent,
            usize::from(!bytes.is_empty()),
            "client {n} has its answer exactly if it was forwarded"
        );
    }
    assert!(router.stopped.wait(|o| o.then_some(())).is_some());
}

#[test]
fn a_close_with_unread_input_keeps_the_last_answer_complete() {
    let value = vec![7; 60_000];
    let large = value.clone();
    let host = primary_host(move |_| Response::Row(large.clone()));
    let mut router = RouterThread::with_primary(&host);
    let mut slow = router.client();
    let mut sentinel = router.client();
    // Answers beyond the socket's buffers wait in the router.
    const REQUESTS: usize = 12;
    for n in 0..REQUESTS {
        slow.send(&write_statement(&format!("large{n:02}"))).unwrap();
    }
    host.wait_for_statement(&format!("id=large{:02}", REQUESTS - 1)).unwrap();
    router.stop();
    assert!(sentinel.wait_for_close());
    slow.stream.write_all(&query(&write_statement("cross"))[..50]).unwrap();
    for n in 0..REQUESTS {
        assert_eq!(slow.read_reply().unwrap(), row(&value), "answer {n}");
    }
    let _ = read_to_close(&mut slow.stream);
}

#[test]
fn clients_that_send_without_pause_do_not_delay_shutdown() {
    let host = primary_with_row(b"x");
    let mut router = RouterThread::with_primary(&host);
    let busy = Arc::new(AtomicBool::new(true));
    flood(router.addr, 3, &busy);
    let mut sentinel = router.client();
    assert_eq!(sentinel.query(&write_statement("before")).unwrap(), row(b"x"));
    let began = Instant::now();
    router.stop();
    assert!(router.stopped.wait(|o| o.then_some(())).is_some());
    // Half a second of grace, and another for connections that are being closed.
    assert!(began.elapsed() < Duration::from_millis(2500), "{:?}", began.elapsed());
    busy.store(false, Ordering::Relaxed);
}

#[test]
fn at_the_shutdown_deadline_queued_requests_are_answered_too() {
    let host = primary_host(|_| Response::NoResponse);
    let mut router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let patient = |id: &str| statement_text("report", "").replace("id=9", id).replace("d=480", "d=60000");
    // A write behind a read waits for it.
    let behind = write_statement("2").replace("d=2900", "d=60000");
    client.stream.write_all(&[query(&patient("id=1")), query(&behind)].concat()).unwrap();
    host.wait_for_statement("id=1").unwrap();
    router.stop();
    assert_eq!(error_code(&client.read_reply().unwrap()), "58000");
    // It was read with the one before: it is rejected at once, and never forwarded.
    assert_eq!(error_code(&client.read_reply().unwrap()), "53300");
    assert!(client.wait_for_close());
    assert_eq!(host.statement_count("id=2"), 0);
    assert!(router.stopped.wait(|o| o.then_some(())).is_some());
}

/// The time of each pipelined command counts from its last byte on: one that expires behind the others is
/// rejected in its turn, and never forwarded.
#[test]
fn a_command_that_expired_in_the_pipeline_is_rejected_in_order() {
    let host = primary_host(|text| {
        if text.contains("id=1") {
            std::thread::sleep(Duration::from_millis(700)); // processing time
        }
        Response::Row(b"x".to_vec())
    });
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let timed = |id: &str, ms: u32| {
        query(&statement_text("write", "").replace("id=9", id).replace("d=480", &format!("d={ms}")))
    };
    let commands = [timed("id=1", 2900), timed("id=2", 600), timed("id=3", 5000)];
    client.stream.write_all(&commands.concat()).unwrap();
    assert_eq!(client.read_reply().unwrap(), row(b"x"));
    assert_eq!(error_code(&client.read_reply().unwrap()), "53300", "its client no longer waits for it");
    assert_eq!(
        client.read_reply().unwrap(),
        row(b"x"),
        "the next one has time left, and the connection stays open"
    );
    assert_eq!((host.statement_count("id=2"), host.statement_count("id=3")), (0, 1));
}

/// A client that is evicted as it sends a request is served, or its request was never forwarded.
#[test]
fn requests_that_race_with_an_eviction_are_answered_or_unread() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, 64);
    let mut unserved = 0;
    for round in 0..40 {
        let mut quiet = router.client();
        assert_eq!(quiet.query(&write_statement(&format!("quiet{round:02}"))).unwrap(), row(b"x"));
        std::thread::sleep(Duration::from_millis(25));
        let crowd = std::thread::spawn({
            let addr = router.addr;
            move || (0..30).filter_map(|_| Client::connect_without_startup(addr).ok()).collect::<Vec<_>>()
        });
        std::thread::sleep(Duration::from_micros(50 * (round % 20)));
        let id = format!("cross{round:02}");
        let answered = quiet.query(&write_statement(&id)).is_ok_and(|a| a == row(b"x"));
        let sent = host.statement_count(&format!("id={id}"));
        assert_eq!(sent, usize::from(answered), "round {round}");
        unserved += usize::from(!answered);
        drop(crowd.join().unwrap());
    }
    assert!(unserved < 40, "some requests arrive before the close");
}

/// A slow reader and a slow sender do not delay others, and release what they occupied.
#[test]
fn slow_clients_do_not_delay_other_clients() {
    let value = vec![7; 60_000];
    let host = primary_host(move |text| match text.contains("id=slow") {
        true => Response::Row(value.clone()),
        false => Response::Row(b"x".to_vec()),
    });
    let router = RouterThread::with_descriptors(&host, 64);
    let mut slow = router.client();
    for n in 0..100 {
        // It never reads: once the socket's buffers are full, the router's writes wait.
        slow.stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        if slow.send(&write_statement(&format!("slow{n:03}")).replace("d=2900", "d=60000")).is_err() {
            break;
        }
    }
    let mut drip = Client::connect_without_startup(router.addr).unwrap();
    for byte in &startup()[..20] {
        drip.stream.write_all(&[*byte]).unwrap();
        let began = Instant::now();
        assert_eq!(router.client().query(&write_statement("quick")).unwrap(), row(b"x"));
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    // Both the slow reader and the slow sender are disconnected in time.
    assert!(drip.stream.read_to_end(&mut Vec::new()).is_ok());
    let (began, mut ended) = (Instant::now(), false);
    while !ended && began.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(100));
        ended = host.statement_count("id=slow") > 0 && slow.stream.write(&[0]).is_err();
    }
    assert!(ended, "a client that reads nothing is never disconnected");
}
