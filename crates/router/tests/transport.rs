//! The complete router over loopback, against stand-ins.

mod common;

use basalthill_standin::client::{query, startup, Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{self, Response};
use basalthill_standin::TIMEOUT;
use common::router_thread::{
    error_code, primary_and_successor, primary_host, primary_list, primary_with_row, row,
    unreachable_address, RouterThread, DEFAULT_DESCRIPTORS,
};
use common::{statement_text, SETTINGS};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

#[test]
fn a_statement_is_forwarded_unchanged_except_for_its_remaining_time() {
    let host = primary_with_row(b"\x9f\x03");
    let router = RouterThread::with_primary(&host);
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    // The startup message and the first query are sent in one segment.
    client.stream.write_all(&[startup(), query(&statement_text("write", ""))].concat()).unwrap();
    client.read_until_ready().unwrap();
    assert_eq!(client.read_reply().unwrap(), row(b"\x9f\x03"));
    let seen = host.wait_for_statement("INSERT").unwrap().text;
    let (before, after) = seen.split_once(",d=").unwrap();
    let (deadline_ms, after) = after.split_once(',').unwrap();
    assert_eq!(format!("{before},d=480,{after}"), statement_text("write", ""));
    assert!((1..480).contains(&deadline_ms.parse().unwrap()), "{deadline_ms}");
}

#[test]
fn split_and_pipelined_queries_are_answered_in_order() {
    let host = primary_host(|text| Response::Row(text.split("id=").nth(1).unwrap().as_bytes()[..1].to_vec()));
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let numbered = |n: u8| statement_text("status", "").replace("id=9", &format!("id={n}"));
    let all: Vec<u8> =
        [query(&numbered(1)), query(""), query(&numbered(2)), query("SELECT 1"), query(&numbered(3))]
            .concat();
    for part in all.chunks(7) {
        client.stream.write_all(part).unwrap();
    }
    assert_eq!(client.read_reply().unwrap(), row(b"1"));
    assert_eq!(client.read_reply().unwrap(), Reply::Empty);
    assert_eq!(client.read_reply().unwrap(), row(b"2"));
    assert_eq!(error_code(&client.read_reply().unwrap()), "42601");
    assert_eq!(client.read_reply().unwrap(), row(b"3"));
    assert_eq!(host.statement_count("SELECT 1"), 0, "an unsupported statement never reaches a host");
}

#[test]
fn encryption_is_declined_and_a_protocol_violation_closes_the_connection() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_primary(&host);
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    // The length of the message (8) and the code of an SSLRequest (80877103).
    client.stream.write_all(&[0, 0, 0, 8, 4, 210, 22, 47]).unwrap();
    let mut reply = [0];
    client.stream.read_exact(&mut reply).unwrap();
    assert_eq!(&reply, b"N");
    client.stream.write_all(&startup()).unwrap();
    client.read_until_ready().unwrap();
    assert_eq!(client.query("").unwrap(), Reply::Empty);
    client.stream.write_all(b"X\0\0\0\x04").unwrap();
    assert!(client.wait_for_close());
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    client.stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(error_code(&client.read_reply().unwrap()), "08P01");
    assert!(client.wait_for_close());
}

#[test]
fn a_host_connection_lost_after_the_last_byte_fails_the_write_without_retry() {
    let host = primary_host(|_| Response::Close);
    let router = RouterThread::with_primary(&host);
    assert_eq!(error_code(&router.client().query(&statement_text("write", "")).unwrap()), "58000");
    assert_eq!(host.statement_count("INSERT"), 1);
}

#[test]
fn a_fatal_53300_from_a_host_means_the_request_did_not_run() {
    let host = primary_host(|_| Response::Fatal("53300"));
    let router = RouterThread::with_primary(&host);
    let reply = router.client().query(&statement_text("write", "")).unwrap();
    let Reply::Error(code, Some(after)) = reply else { panic!("{reply:?}") };
    assert_eq!(code, "53300");
    assert!(after.parse::<u64>().unwrap() > 0);
}

#[test]
fn an_unreachable_host_means_the_request_did_not_run() {
    let router = RouterThread::with_settings(unreachable_address(), SETTINGS);
    assert_eq!(error_code(&router.client().query(&statement_text("write", "")).unwrap()), "53300");
}

#[test]
fn a_malformed_host_response_is_never_forwarded() {
    let host = primary_host(|_| Response::Raw(b"D\0\0\0\x08\0\x01\0\0Z\0\0\0\x05I".to_vec()));
    let router = RouterThread::with_primary(&host);
    assert_eq!(error_code(&router.client().query(&statement_text("write", "")).unwrap()), "58000");
    assert_eq!(host.statement_count("INSERT"), 1);
}

#[test]
fn a_late_response_is_never_sent_as_the_reply_to_the_next_request() {
    let host = primary_host(|text| match text.contains("id=1") {
        true => Response::RowOnRelease(b"late".to_vec()),
        false => Response::Row(b"good".to_vec()),
    });
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let short = statement_text("write", "").replace("id=9", "id=1").replace("d=480", "d=120");
    assert_eq!(error_code(&client.query(&short).unwrap()), "58000");
    host.release();
    for _ in 0..5 {
        assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"good"));
    }
    let abandoned = host.wait_for_statement("id=1").unwrap().connection;
    let last = host.record.lock().statements.iter().rfind(|s| s.connection == abandoned).cloned();
    let last = last.unwrap().text;
    assert!(last.contains("id=1"), "the abandoned connection was used again: {last}");
}

#[test]
fn pooled_connections_are_reused_and_closed_ones_replaced() {
    let host = primary_host(|text| match text.contains("id=1") {
        true => Response::RowThenClose(b"last".to_vec()),
        false => Response::Row(b"x".to_vec()),
    });
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    for _ in 0..5 {
        assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"x"));
    }
    // The health check at startup may have opened a second connection.
    let accepted = host.record.lock().accepted;
    assert!(accepted <= 2, "{accepted} connections for five sequential requests");
    for _ in 0..10 {
        let open = host.record.lock().open;
        assert_eq!(client.query(&statement_text("write", "").replace("id=9", "id=1")).unwrap(), row(b"last"));
        host.record.wait(|record| (record.open < open.max(1)).then_some(())).unwrap();
        assert_eq!(
            client.query(&statement_text("write", "")).unwrap(),
            row(b"x"),
            "a write was lost to a closed connection"
        );
    }
}

#[test]
fn idle_host_connections_are_closed_before_the_configured_timeout() {
    let host = primary_with_row(b"x");
    // Probes are disabled, since health checks would keep a connection in use.
    let settings = SETTINGS.replace("\"connIdle\": 15000000000", "\"connIdle\": 1000000000");
    let settings = settings.replace("\"probes\": true", "\"probes\": false");
    let router = RouterThread::with_settings(host.addr, &settings);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"x"));
    assert_eq!(host.record.lock().open, 1);
    let closed = host.record.wait(|record| (record.open == 0).then_some(()));
    assert!(closed.is_some(), "the idle host connection was not closed within {TIMEOUT:?}");
}

#[test]
fn a_disconnected_clients_read_is_aborted_at_the_host() {
    let host = primary_host(|_| Response::NoResponse);
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    client.send(&statement_text("status", "").replace("d=480", "d=9000")).unwrap();
    host.wait_for_statement("SELECT v").unwrap();
    let open = host.record.lock().open;
    client.stream.shutdown(Shutdown::Both).unwrap();
    let closed = host.record.wait(|record| (record.open < open).then_some(()));
    assert!(closed.is_some(), "the host connection of the read was not closed within {TIMEOUT:?}");
}

#[test]
fn a_64_kib_value_reaches_a_slow_reader_complete() {
    let value: Vec<u8> = (0..65536u32).map(|n| n as u8).collect();
    let host_value = value.clone();
    let host = primary_host(move |_| Response::Row(host_value.clone()));
    let router = RouterThread::with_primary(&host);
    let mut clients: Vec<Client> = (0..4).map(|_| router.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&statement_text("write", "").replace("id=9", &format!("id={n}"))).unwrap();
    }
    host.record.wait(|record| {
        (record.statements.iter().filter(|s| s.text.contains("INSERT")).count() == 4).then_some(())
    });
    for client in &mut clients {
        assert_eq!(client.read_reply().unwrap(), row(&value));
    }
}

#[test]
fn clients_beyond_the_descriptor_budget_are_rejected_cleanly() {
    let host = primary_host(|_| Response::RowOnRelease(b"x".to_vec()));
    let router = RouterThread::with_descriptors(&host, 48);
    // 24 of the 48 descriptors are reserved. Clients may use 12 of the others, and connections to members the
    // rest.
    let mut clients: Vec<Client> = (0..12).map(|_| router.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .send(
                &statement_text("report", "").replace("id=9", &format!("id={n}")).replace("d=480", "d=60000"),
            )
            .unwrap();
        host.wait_for_statement(&format!("id={n}")).unwrap();
    }
    let mut newcomer = Client::connect_without_startup(router.addr).unwrap();
    newcomer.stream.write_all(&startup()).unwrap();
    assert_eq!(error_code(&newcomer.read_reply().unwrap()), "53300");
    assert!(newcomer.wait_for_close());
    host.release();
    for client in &mut clients {
        assert_eq!(client.read_reply().unwrap(), row(b"x"), "admitted clients stay connected");
    }
    let until = Instant::now() + TIMEOUT;
    let newcomer = std::iter::from_fn(|| (Instant::now() < until).then(|| Client::connect(router.addr)));
    let mut newcomer = newcomer.flatten().next().expect("an idle client is evicted");
    assert_eq!(newcomer.query(&statement_text("write", "")).unwrap(), row(b"x"));
}

#[test]
fn idle_clients_are_evicted_for_new_connections() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, 64);
    // Clients may use 20 of the 64 descriptors, so 60 clients can connect only if the router evicts idle
    // ones.
    let mut clients: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = router.client();
            assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"x"));
            client
        })
        .collect();
    let last = clients.split_off(40);
    assert!(
        clients.iter_mut().all(Client::wait_for_close),
        "the clients that have been idle for longest are evicted"
    );
    for mut client in last.into_iter().skip(12) {
        assert_eq!(
            client.query(&statement_text("write", "")).unwrap(),
            row(b"x"),
            "the latest clients stay connected"
        );
    }
}

#[test]
fn a_client_mid_request_is_not_evicted_while_others_are_idle() {
    // Guards against the eviction of clients that write a request in pieces: a request whose last piece has
    // already been written would be lost with its connection.
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, 64);
    let send_write =
        |client: &mut Client| assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"x"));
    let mut slow = [router.client(), router.client()];
    send_write(&mut slow[0]);
    // One client has already sent a request, the other has not. Each has written a part of its next request.
    let request = query(&statement_text("write", ""));
    slow.iter_mut().for_each(|c| c.stream.write_all(&request[..40]).unwrap());
    let clients: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = router.client();
            send_write(&mut client);
            client
        })
        .collect();
    for client in &mut slow {
        client.stream.write_all(&request[40..]).unwrap();
        assert_eq!(client.read_reply().unwrap(), row(b"x"));
    }
    drop(clients);
}

#[test]
fn silent_connections_are_evicted_and_time_out() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_descriptors(&host, 48);
    let started_at = Instant::now();
    let mut silent: Vec<Client> =
        (0..100).map(|_| Client::connect_without_startup(router.addr).unwrap()).collect();
    // One client sends part of a startup message, one part of a query, and one a byte every 200 ms.
    silent[97].stream.write_all(&startup()[..20]).unwrap();
    silent[98]
        .stream
        .write_all(&[startup(), query(&statement_text("write", ""))[..50].to_vec()].concat())
        .unwrap();
    let mut slow_sender = silent[99].stream.try_clone().unwrap();
    std::thread::spawn(move || {
        startup().iter().try_for_each(|byte| {
            std::thread::sleep(Duration::from_millis(200));
            slow_sender.write_all(&[*byte])
        })
    });
    for _ in 0..20 {
        let mut client = router.client();
        assert_eq!(
            client.query(&statement_text("write", "")).unwrap(),
            row(b"x"),
            "clients with requests are served"
        );
    }
    for client in &mut silent {
        assert!(client.stream.read_to_end(&mut Vec::new()).is_ok());
    }
    assert!(started_at.elapsed() < Duration::from_secs(6), "{:?}", started_at.elapsed());
}

#[test]
fn invalid_commands_are_answered_in_order_and_then_close_the_connection() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let invalid = [
        "SELECT 1".to_string(),
        statement_text("write", "").replace("d=480", "d=soon"),
        statement_text("odd", ""),
    ];
    let commands: Vec<u8> = (0..300).flat_map(|n| query(&invalid[n % 3])).collect();
    let mut stream = client.stream.try_clone().unwrap();
    std::thread::spawn(move || stream.write_all(&commands));
    for n in 0..16 {
        assert_eq!(error_code(&client.read_reply().unwrap()), ["42601", "22023", "22023"][n % 3]);
    }
    assert_eq!(error_code(&client.read_reply().unwrap()), "08P01");
    assert!(client.wait_for_close());
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"x"));
    assert_eq!(host.statement_count("INSERT"), 1, "a member must receive only the valid write");
}

#[test]
fn a_60_mb_statement_is_rejected_by_its_header() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    let mut stream = client.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        let size = 60 << 20;
        let _ = stream.write_all(&[b"Q", &(size as u32 + 4).to_be_bytes()[..]].concat());
        (0..size / 65536).try_for_each(|_| stream.write_all(&[b'7'; 65536]))
    });
    assert_eq!(error_code(&client.read_reply().unwrap()), "08P01");
    let _ = sender.join().unwrap();
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"x"));
}

#[test]
fn shutdown_answers_open_requests_and_serves_new_connections_for_a_grace_period() {
    let host = primary_host(|text| match text.contains("id=1") {
        true => Response::RowOnRelease(b"released".to_vec()),
        false => Response::Row(b"x".to_vec()),
    });
    let mut router = RouterThread::with_primary(&host);
    let (mut idle, mut busy) = (router.client(), router.client());
    busy.send(&statement_text("write", "").replace("id=9", "id=1").replace("d=480", "d=2900")).unwrap();
    host.wait_for_statement("id=1").unwrap();
    router.stop();
    // During the grace period new connections are accepted, and existing ones are still served.
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"x"));
    assert_eq!(idle.query(&statement_text("write", "")).unwrap(), row(b"x"));
    assert!(idle.wait_for_close(), "idle connections are closed after the grace period");
    assert!(!*router.stopped.lock(), "the router stopped before an open request was answered");
    host.release();
    assert_eq!(busy.read_reply().unwrap(), row(b"released"));
    assert!(busy.wait_for_close());
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
    assert!(TcpStream::connect(router.addr).is_err(), "a stopped router accepted a connection");
}

#[test]
fn shutdown_fails_unanswered_requests_and_completes_in_time() {
    let host = primary_host(|_| Response::NoResponse);
    let mut router = RouterThread::with_primary(&host);
    let mut client = router.client();
    client.send(&statement_text("report", "").replace("d=480", "d=60000")).unwrap();
    host.wait_for_statement("SELECT v").unwrap();
    router.stop();
    assert_eq!(error_code(&client.read_reply().unwrap()), "58000");
    assert!(client.wait_for_close());
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
}

#[test]
fn list_changes_take_effect_despite_malformed_lists_and_closed_watches() {
    let (one, two) = primary_and_successor();
    let (router, discovery) =
        RouterThread::with_discovery(&primary_list(1, one.addr), DEFAULT_DESCRIPTORS, SETTINGS);
    let mut client = router.client();
    assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"one"));
    // After a malformed list the router keeps the known one, and reopens the watch for the full list.
    discovery.publish("{\"version\": nonsense".into());
    let again = discovery.state.wait(|state| state.requests.get(1).cloned()).unwrap();
    assert!(again.contains("watch=1") && !again.contains("from="), "{again}");
    assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"one"));
    // Another host replaces the first one. The watch is closed, and the next one starts with a full list.
    discovery.restart_watches(endpoint_list(
        9,
        true,
        &[Endpoint::new("s-2", two.addr, 2, "active", "source")],
    ));
    // During the grace period after its removal the old host may still receive writes.
    let until = Instant::now() + TIMEOUT;
    let mut has_moved = false;
    while !has_moved && Instant::now() < until {
        has_moved = client.query(&statement_text("write", "")).unwrap() == row(b"two");
    }
    assert!(has_moved, "no write was served by the new primary within {TIMEOUT:?}");
}

#[test]
fn without_a_known_list_the_router_is_ready_after_the_first_list() {
    let host = primary_with_row(b"x");
    let discovery = Discovery::start(primary_list(1, host.addr)).unwrap();
    discovery.state.change(|state| state.withhold_responses = true);
    let router = RouterThread::start("null", discovery.addr, DEFAULT_DESCRIPTORS, SETTINGS);
    let mut client = Client::connect_without_startup(router.addr).unwrap();
    client.stream.write_all(&[startup(), query("")].concat()).unwrap();
    discovery.state.wait(|state| (!state.requests.is_empty()).then_some(())).unwrap();
    discovery.state.change(|state| state.withhold_responses = false);
    client.read_until_ready().unwrap();
    assert_eq!(client.read_reply().unwrap(), Reply::Empty);
    assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"x"));
}

/// An open watch delivers each change. Polls of the full list during a watch would take capacity from
/// discovery, which serves all routers in turn.
#[test]
fn the_list_is_not_polled_while_a_watch_is_open() {
    let host = primary_with_row(b"x");
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    let settings = settings.replace("\"rules\": {", "\"rules\": {\"askEvery\": 20000000, ");
    let (router, discovery) =
        RouterThread::with_discovery(&primary_list(1, host.addr), DEFAULT_DESCRIPTORS, &settings);
    // The stand-in sends nothing until the watch times out. A router that polled every 10 ms, twice per poll
    // interval (`askEvery`), would have sent two hundred requests in this time.
    let again = discovery.state.wait(|state| state.requests.get(1).cloned()).unwrap();
    assert!(again.contains("watch=1") && again.contains("from=1"), "{again}");
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"x"));
}

/// The time after which a router closes the connection of a client that has stopped in a statement.
const CLIENT_STOPS_FOR: Duration = Duration::from_secs(2);

/// Guards against a statement that is not read until the client before it has sent its own.
#[test]
fn concurrent_reads_of_large_statements_are_limited() {
    let host = primary_with_row(b"x");
    let router = RouterThread::with_primary(&host);
    let large =
        |id: &str| statement_text("write", "").replace("9f03", &"9f".repeat(65_536)).replace("id=9", id);
    // There is memory for one large statement at a time. The first client has sent most of one, and stops.
    let (mut first, mut second, mut third) = (router.client(), router.client(), router.client());
    let part = query(&large("id=1"));
    first.stream.write_all(&part[..100_000]).unwrap();
    for _ in 0..20 {
        assert_eq!(third.query(&statement_text("write", "")).unwrap(), row(b"x"));
    }
    let sent_at = Instant::now();
    second.send(&large("id=2")).unwrap();
    for _ in 0..20 {
        assert_eq!(
            third.query(&statement_text("write", "")).unwrap(),
            row(b"x"),
            "small statements are still served"
        );
    }
    assert_eq!(second.read_reply().unwrap(), row(b"x"));
    assert!(sent_at.elapsed() < CLIENT_STOPS_FOR, "the second statement waited for the rest of the first");
    // The memory of the first statement was needed for the second, so it is rejected once it is complete.
    first.stream.write_all(&part[100_000..]).unwrap();
    assert_eq!(error_code(&first.read_reply().unwrap()), "53300");
    assert_eq!(host.statement_count("id=1"), 0);
    assert_eq!(first.query(&large("id=3")).unwrap(), row(b"x"), "the connection is used on");
    assert_eq!(host.statement_count("id=2") + host.statement_count("id=3"), 2);
}

#[test]
fn a_silent_watch_is_reopened_from_the_last_version() {
    let host = primary_with_row(b"x");
    let (router, discovery) =
        RouterThread::with_discovery(&primary_list(7, host.addr), DEFAULT_DESCRIPTORS, SETTINGS);
    // The stand-in sends its list, and then nothing for longer than two keep-alive intervals.
    let again = discovery.state.wait(|state| state.requests.get(1).cloned()).unwrap();
    assert!(again.contains("watch=1") && again.contains("from=7"), "{again}");
    assert_eq!(
        router.client().query(&statement_text("write", "")).unwrap(),
        row(b"x"),
        "the router keeps its list"
    );
}

#[test]
fn malformed_responses_end_their_attempts_at_once_and_never_reach_a_client() {
    let complete = host::row(b"x");
    let malformed = [
        complete[..10].to_vec(),
        complete[..40].to_vec(),
        b"-ERR what can't be read, and has no end".to_vec(),
        [&complete[..27], b"D\xb2\xd0\x5e\x06\0\x01\xb2\xd0\x5e\0", &[7; 100_000]].concat(),
    ];
    let count = malformed.len();
    let host = primary_host(move |text| {
        let response = malformed.iter().enumerate().find(|(n, _)| text.contains(&format!("id=bad{n}")));
        response.map_or(Response::Row(b"x".to_vec()), |(_, bytes)| Response::Raw(bytes.clone()))
    });
    let router = RouterThread::with_primary(&host);
    let mut client = router.client();
    for n in 0..count {
        let started_at = Instant::now();
        let bad =
            statement_text("write", "").replace("id=9", &format!("id=bad{n}")).replace("d=480", "d=9000");
        assert_eq!(error_code(&client.query(&bad).unwrap()), "58000", "malformed response {n}");
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "malformed response {n}: reply after {:?}",
            started_at.elapsed()
        );
        // The member still serves requests, and no client gets the malformed response.
        assert_eq!(
            client.query(&statement_text("write", "")).unwrap(),
            row(b"x"),
            "after malformed response {n}"
        );
    }
}

#[test]
fn a_new_discovery_address_takes_effect_at_once_while_the_old_one_hangs() {
    let (one, two) = primary_and_successor();
    let known = primary_list(70, one.addr);
    let old = Discovery::start(known.clone()).unwrap();
    old.state.change(|state| state.withhold_responses = true);
    // The new discovery's list has a lower version: versions of two discoveries can't be compared.
    let new =
        Discovery::start(endpoint_list(3, true, &[Endpoint::new("s-2", two.addr, 2, "active", "source")]))
            .unwrap();
    let router = RouterThread::start(&known, old.addr, DEFAULT_DESCRIPTORS, SETTINGS);
    old.state.wait(|state| (!state.requests.is_empty()).then_some(())).unwrap();
    let mut client = router.client();
    assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"one"));
    let reloaded_at = Instant::now();
    router.reload_with_discovery(old.addr, new.addr);
    let request = new.state.wait(|state| state.requests.first().cloned()).unwrap();
    assert!(
        request.contains("watch=1") && !request.contains("from="),
        "the full list is requested: {request}"
    );
    // The new list arrives at once, although the old discovery hangs. During the grace period after its
    // removal the old member may still receive writes.
    let moved_to_two = (0..).find(|_| client.query(&statement_text("write", "")).unwrap() == row(b"two"));
    assert!(
        moved_to_two.is_some() && reloaded_at.elapsed() < Duration::from_secs(4),
        "the new primary served its first write {:?} after the reload, limit 4 s",
        reloaded_at.elapsed()
    );
    new.publish(endpoint_list(
        4,
        false,
        &[
            Endpoint::new("s-1", one.addr, 2, "active", "source"),
            Endpoint::new("s-2", two.addr, 2, "left", "copy"),
        ],
    ));
    assert!(
        (0..100_000).any(|_| client.query(&statement_text("write", "")).unwrap() == row(b"one")),
        "a change from the new discovery has not taken effect"
    );
}

#[test]
fn an_unreachable_new_discovery_address_keeps_service_and_the_old_watch() {
    let (one, two) = primary_and_successor();
    let (router, old) =
        RouterThread::with_discovery(&primary_list(1, one.addr), DEFAULT_DESCRIPTORS, SETTINGS);
    let mut client = router.client();
    old.state.wait(|state| (!state.requests.is_empty()).then_some(())).unwrap();
    for _ in 0..3 {
        router.reload_with_discovery(old.addr, unreachable_address());
        assert_eq!(client.query(&statement_text("write", "")).unwrap(), row(b"one"));
    }
    old.publish(endpoint_list(
        2,
        false,
        &[
            Endpoint::new("s-1", one.addr, 2, "left", "copy"),
            Endpoint::new("s-2", two.addr, 2, "active", "source"),
        ],
    ));
    assert!(
        (0..100_000).any(|_| client.query(&statement_text("write", "")).unwrap() == row(b"two")),
        "a change from the old discovery has not taken effect"
    );
    let mut router = router;
    router.stop();
    let stopped = router.stopped.wait(|stopped| stopped.then_some(()));
    assert!(stopped.is_some(), "the router did not stop within {TIMEOUT:?}");
}
