//! No effect twice, by a host's own record: connections cut before, in and after a request's last byte, and
//! windows for repeats that are shorter than a connect. A slow host takes nothing from others.

mod common;

use basalthill_standin::client::{startup, Answer, Client};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, Reply};
use basalthill_standin::{unix_ms, Watched};
use common::served::{error_code, primary_host, primary_report, row, RouterThread};
use common::{statement_text, SETTINGS};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn write(id: &str) -> String {
    statement_text("write", "").replace("id=9", &format!("id={id}")).replace("d=480", "d=2900")
}

/// A router of one host, with settings.
fn served(addr: SocketAddr, settings: &str) -> RouterThread {
    let known = endpoint_list(1, true, &[Endpoint::new("s-1", addr, 2, "active", "source")]);
    let discovery = Discovery::start(known.clone()).unwrap();
    RouterThread::start(&known, discovery.addr, 256, settings)
}

/// A host that welcomes all, answers probes, and reads so many bytes of a statement, or all of it, before it
/// closes. It keeps the statements that have come whole.
fn cuts(after: Option<usize>) -> (SocketAddr, Arc<Watched<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let whole = Arc::new(Watched::<Vec<String>>::default());
    let seen = Arc::clone(&whole);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            std::thread::spawn(move || drop(cut(stream, after, &seen)));
        }
    });
    (addr, whole)
}

fn cut(mut stream: TcpStream, after: Option<usize>, seen: &Watched<Vec<String>>) -> std::io::Result<()> {
    stream.read_exact(&mut vec![0; startup().len()])?;
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
        let mut body = vec![0; len.min(64)];
        stream.read_exact(&mut body)?;
        if body.starts_with(b"SHOW vitals") {
            let report = format!("x0={}.0,x1=1", unix_ms() / 1000);
            let rows = basalthill_standin::host::row(report.as_bytes());
            stream.write_all(&[&rows[..], b"Z\0\0\0\x05I"].concat())?;
            continue;
        }
        let rest = after.unwrap_or(len).saturating_sub(body.len()).min(len - body.len());
        let mut more = vec![0; rest];
        stream.read_exact(&mut more)?;
        body.extend(more);
        if body.len() == len {
            seen.change(|s| s.push(String::from_utf8_lossy(&body).into_owned()));
        }
        return Ok(());
    }
}

#[test]
fn non_idempotent_write_over_cut_connections_arrives_complete_at_most_once() {
    for after in [Some(64), Some(1000), Some(60_000), None] {
        let (addr, whole) = cuts(after);
        let served = served(addr, SETTINGS);
        for (n, size) in [40, 2_000, 65_536].into_iter().enumerate() {
            let statement = write(&format!("cut{n}")).replace("9f03", &"9f".repeat(size));
            let answer = served.client().query(&statement).unwrap();
            let came = whole.lock().iter().filter(|t| t.contains(&format!("id=cut{n}"))).count();
            assert!(came <= 1, "cut after {after:?} of {size}: {came} times");
            // Only what can't have run is called harmless to ask again.
            assert!(came == 0 || error_code(&answer) == "58000", "cut after {after:?} of {size}: {answer:?}");
        }
    }
}

#[test]
fn keyed_write_is_not_retried_after_its_deduplication_window_over_a_late_connection() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => {
            (Reply::RowThenClose(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new())
        }
        text if text.contains("id=short") => (Reply::Close, Vec::new()),
        _ => (Reply::RowThenClose(b"x".to_vec()), primary_report()),
    })
    .unwrap();
    let window = Duration::from_millis(300);
    let keyed = SETTINGS.replace(
        "\"effect\": \"at_most_once\"",
        "\"effect\": \"deduplicated\", \"keyScope\": \"all\", \"window\": 300000000",
    );
    let keyed = keyed.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2000000000");
    let served = served(host.addr, &keyed);
    assert_eq!(served.client().query(&write("first")).unwrap(), row(b"x"));
    let mut client = served.client();
    client.send(&write("short")).unwrap();
    host.wait_for_statement("id=short").unwrap();
    // Its connection has broken after the last byte; the next ones come up late, after the window.
    host.seen.change(|s| s.withhold_welcome = true);
    std::thread::sleep(window + Duration::from_millis(100));
    host.seen.change(|s| s.withhold_welcome = false);
    assert!(matches!(client.read_answer().unwrap(), Answer::Error(..)));
    assert_eq!(served.client().query(&write("after")).unwrap(), row(b"x"));
    let seen = host.seen.lock();
    let times: Vec<_> = seen.statements.iter().filter(|s| s.text.contains("id=short")).collect();
    let span = times.last().unwrap().received_at - times[0].received_at;
    assert!(span < window, "{} came, the last {span:?} after the first", times.len());
}

#[test]
fn slow_connecting_host_does_not_delay_requests_to_other_hosts() {
    let (slow, quick) =
        (primary_host(|_| Reply::Row(b"x".to_vec())), primary_host(|_| Reply::Row(b"x".to_vec())));
    slow.seen.change(|s| s.withhold_welcome = true);
    let members = [
        Endpoint::new("s-1", quick.addr, 2, "active", "source"),
        Endpoint::new("s-2", slow.addr, 3, "active", "source"),
    ];
    let known = endpoint_list(1, true, &members);
    let discovery = Discovery::start(known.clone()).unwrap();
    let served = RouterThread::start(&known, discovery.addr, 256, SETTINGS);
    let mut waiting: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = served.client();
            client.send(&write(&format!("slow{n}")).replace("cluster=2", "cluster=3")).unwrap();
            client
        })
        .collect();
    for n in 0..50 {
        let began = Instant::now();
        assert_eq!(served.client().query(&write(&format!("quick{n}"))).unwrap(), row(b"x"));
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    }
    for client in &mut waiting {
        assert!(matches!(client.read_answer().unwrap(), Answer::Error(..)), "given up in its time");
    }
    assert_eq!(slow.statement_count("INSERT"), 0);
}

/// The time that a host is told is what is left as the statement is written, not as its connection was begun.
#[test]
fn late_connection_forwards_only_the_remaining_deadline() {
    let host = primary_host(|_| Reply::RowThenClose(b"x".to_vec()));
    let late = SETTINGS.replace("\"connectTimeout\": 250000000", "\"connectTimeout\": 2000000000");
    let served = served(host.addr, &late);
    let mut client = served.client();
    host.seen.change(|s| s.withhold_welcome = true);
    let sent = Instant::now();
    client.send(&write("late")).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    host.seen.change(|s| s.withhold_welcome = false);
    let text = host.wait_for_statement("id=late").unwrap().text;
    let told: u64 = text.split_once(",d=").unwrap().1.split_once(',').unwrap().0.parse().unwrap();
    let at = host.seen.lock();
    let n = at.statements.iter().position(|s| s.text.contains("id=late")).unwrap();
    let left = Duration::from_millis(2900).saturating_sub(at.statements[n].received_at - sent);
    assert!(
        Duration::from_millis(told) <= left + Duration::from_millis(150),
        "{told} ms told, {left:?} left"
    );
}
