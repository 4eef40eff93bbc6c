//! A write runs at most once, according to the host's record: when the host closes connections before, at and
//! after the last byte of a request, and when the deduplication window is shorter than the time to connect. A
//! host that is slow to connect does not delay requests to other hosts.

mod common;

use basalthill_standin::client::{startup, Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Endpoint};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::{unix_ms, Watched};
use common::router_thread::{
    error_code, primary_host, primary_parameters, primary_with_row, row, RouterThread, DEFAULT_DESCRIPTORS,
};
use common::{statement_text, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The timeout of each write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2900);
/// AuthenticationOk and ReadyForQuery: a host's response to the startup message.
const STARTUP_RESPONSE: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
/// The ReadyForQuery message, which ends a host's response.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
/// The minimum number of bytes that [`DisconnectingHost`] reads of a longer statement, to recognize health
/// checks.
const STATEMENT_PREFIX_LEN: usize = 64;

/// Returns the text of a write with this id and [`WRITE_TIMEOUT`].
fn write(id: &str) -> String {
    let deadline = format!("d={}", WRITE_TIMEOUT.as_millis());
    statement_text("write", "").replace("id=9", &format!("id={id}")).replace("d=480", &deadline)
}

/// Returns the settings with a connect timeout of two seconds.
fn with_long_connect_timeout(settings: &str) -> String {
    settings.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2000000000")
}

/// A host that accepts all connections and responds to health checks, but closes a connection once it has
/// read `close_after` bytes of a statement, or the whole statement if `None`. It records the statements that
/// have arrived complete.
struct DisconnectingHost {
    addr: SocketAddr,
    complete: Arc<Watched<Vec<String>>>,
}

impl DisconnectingHost {
    fn start(close_after: Option<usize>) -> DisconnectingHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let complete = Arc::new(Watched::<Vec<String>>::default());
        let recorded = Arc::clone(&complete);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let complete = Arc::clone(&recorded);
                std::thread::spawn(move || drop(serve_connection(stream, close_after, &complete)));
            }
        });
        DisconnectingHost { addr, complete }
    }

    /// Returns the number of complete statements that contain `text`.
    fn count(&self, text: &str) -> usize {
        self.complete.lock().iter().filter(|statement| statement.contains(text)).count()
    }
}

/// Serves one connection of a [`DisconnectingHost`] until it has read `close_after` bytes of a statement, or
/// the whole statement if `None`.
fn serve_connection(
    mut stream: TcpStream,
    close_after: Option<usize>,
    complete: &Watched<Vec<String>>,
) -> std::io::Result<()> {
    stream.read_exact(&mut vec![0; startup().len()])?;
    stream.write_all(STARTUP_RESPONSE)?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
        let mut body = vec![0; len.min(STATEMENT_PREFIX_LEN)];
        stream.read_exact(&mut body)?;
        if body.starts_with(b"SHOW vitals") {
            let report = format!("x0={}.0,x1=1", unix_ms() / 1000);
            let rows = basalthill_standin::host::row(report.as_bytes());
            stream.write_all(&[&rows[..], READY_FOR_QUERY].concat())?;
            continue;
        }
        let rest = close_after.unwrap_or(len).saturating_sub(body.len()).min(len - body.len());
        let mut more = vec![0; rest];
        stream.read_exact(&mut more)?;
        body.extend(more);
        if body.len() == len {
            complete.change(|statements| statements.push(String::from_utf8_lossy(&body).into_owned()));
        }
        return Ok(());
    }
}

#[test]
fn non_idempotent_write_over_closed_connections_arrives_complete_at_most_once() {
    for close_after in [Some(64), Some(1000), Some(60_000), None] {
        let host = DisconnectingHost::start(close_after);
        let router = RouterThread::with_settings(host.addr, SETTINGS);
        for (n, size) in [40, 2_000, 65_536].into_iter().enumerate() {
            let statement = write(&format!("cut{n}")).replace("9f03", &"9f".repeat(size));
            let reply = router.client().query(&statement).unwrap();
            let arrived = host.count(&format!("id=cut{n}"));
            assert!(
                arrived <= 1,
                "closed after {close_after:?} bytes, value of {size} bytes: arrived {arrived} times"
            );
            // Only a write that can't have run may get an error code that allows a retry.
            let failed = || error_code(&reply) == "58000";
            assert!(
                arrived == 0 || failed(),
                "closed after {close_after:?} bytes, value of {size} bytes: {reply:?}"
            );
        }
    }
}

#[test]
fn keyed_write_is_not_retried_after_its_deduplication_window_over_a_late_connection() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => {
            (Response::RowThenClose(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new())
        }
        text if text.contains("id=short") => (Response::Close, Vec::new()),
        _ => (Response::RowThenClose(b"x".to_vec()), primary_parameters()),
    })
    .unwrap();
    let window = Duration::from_millis(300);
    let keyed = SETTINGS.replace(
        "\"effect\": \"at_most_once\"",
        "\"effect\": \"deduplicated\", \"keyScope\": \"all\", \"window\": 300000000",
    );
    let router = RouterThread::with_settings(host.addr, &with_long_connect_timeout(&keyed));
    assert_eq!(router.client().query(&write("first")).unwrap(), row(b"x"));
    let mut client = router.client();
    client.send(&write("short")).unwrap();
    host.wait_for_statement("id=short").unwrap();
    // The host closed the connection after the last byte of the write. The connections for retries complete
    // their startup only after the deduplication window.
    host.record.change(|record| record.withhold_startup_response = true);
    std::thread::sleep(window + Duration::from_millis(100));
    host.record.change(|record| record.withhold_startup_response = false);
    assert!(matches!(client.read_reply().unwrap(), Reply::Error(..)));
    assert_eq!(router.client().query(&write("after")).unwrap(), row(b"x"));
    let record = host.record.lock();
    let attempts: Vec<_> = record.statements.iter().filter(|s| s.text.contains("id=short")).collect();
    let span = attempts.last().unwrap().received_at - attempts[0].received_at;
    assert!(
        span < window,
        "{} attempts, the last one {span:?} after the first, deduplication window {window:?}",
        attempts.len()
    );
}

#[test]
fn slow_connecting_host_does_not_delay_requests_to_other_hosts() {
    let slow = primary_with_row(b"x");
    let quick = primary_with_row(b"x");
    slow.record.change(|record| record.withhold_startup_response = true);
    let members = [
        Endpoint::new("s-1", quick.addr, 2, "active", "source"),
        Endpoint::new("s-2", slow.addr, 3, "active", "source"),
    ];
    let known = endpoint_list(1, true, &members);
    let (router, _discovery) = RouterThread::with_discovery(&known, DEFAULT_DESCRIPTORS, SETTINGS);
    let send_to_slow = |n: usize| {
        let mut client = router.client();
        client.send(&write(&format!("slow{n}")).replace("cluster=2", "cluster=3")).unwrap();
        client
    };
    let mut waiting: Vec<Client> = (0..40).map(send_to_slow).collect();
    for n in 0..50 {
        let started = Instant::now();
        assert_eq!(router.client().query(&write(&format!("quick{n}"))).unwrap(), row(b"x"));
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    }
    for client in &mut waiting {
        assert!(
            matches!(client.read_reply().unwrap(), Reply::Error(..)),
            "the request fails by its deadline"
        );
    }
    assert_eq!(
        slow.statement_count("INSERT"),
        0,
        "a write was sent to a host that has not completed a startup"
    );
}

/// The deadline in a forwarded statement is the time that remains when the statement is written, not the time
/// that remained when its connection was opened.
#[test]
fn late_connection_forwards_only_the_remaining_deadline() {
    let host = primary_host(|_| Response::RowThenClose(b"x".to_vec()));
    let router = RouterThread::with_settings(host.addr, &with_long_connect_timeout(SETTINGS));
    let mut client = router.client();
    host.record.change(|record| record.withhold_startup_response = true);
    let started_at = Instant::now();
    client.send(&write("late")).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    host.record.change(|record| record.withhold_startup_response = false);
    let statement = host.wait_for_statement("id=late").unwrap();
    let (_, rest) = statement.text.split_once(",d=").unwrap();
    let (deadline_ms, _) = rest.split_once(',').unwrap();
    let forwarded = Duration::from_millis(deadline_ms.parse().unwrap());
    let left = WRITE_TIMEOUT.saturating_sub(statement.received_at - started_at);
    assert!(forwarded <= left + Duration::from_millis(150), "{forwarded:?} forwarded, {left:?} left");
}
