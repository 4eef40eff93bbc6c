//! Faults of discovery: watches that send nothing, send an endless line, are closed or hang; discovery that
//! is unreachable and recovers, or whose address changes; lists that are outdated or late. The assertions are
//! on what the hosts have received.

mod common;

use basalthill_standin::client::{Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint, ResponseMode};
use basalthill_standin::host::Host;
use common::router_thread::{primary_and_successor, primary_list, primary_with_row, row, RouterThread};
use common::{statement_text, SETTINGS};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time after which a list counts as received, from the point at which discovery could be reached.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// The drain grace period of the settings (1 s), which starts when [`LIST_TIMEOUT`] has passed, plus 50 ms:
/// on real sockets the platform tolerates this delay of the machine beyond each time limit of its settings.
const DRAIN_GRACE: Duration = Duration::from_millis(1050);

/// Returns an endpoint list in which `one` is draining and `two` is the new primary.
fn failover_list(version: u64, full: bool, one: &Host, two: &Host) -> String {
    let members = [
        Endpoint::new("s-1", one.addr, 2, "leaving", "copy"),
        Endpoint::new("s-2", two.addr, 2, "active", "source"),
    ];
    endpoint_list(version, full, &members)
}

/// Starts discovery with a list. Its first requests get these responses.
fn discovery_with_responses(list: String, responses: &[ResponseMode]) -> Discovery {
    let discovery = Discovery::start(list).unwrap();
    discovery.state.change(|state| state.next_responses.extend(responses));
    discovery
}

/// Sends writes until the successor has served a write, and then for another `after`. Returns the time until
/// the successor served its first write. A router without a free descriptor may close the connection; the
/// next write then opens another connection.
fn time_until_failover(addr: SocketAddr, after: Duration) -> Duration {
    let (started_at, mut failover_time) = (Instant::now(), None);
    let mut client = None;
    let mut count = 0;
    while failover_time.is_none_or(|time: Duration| started_at.elapsed() < time + after) {
        assert!(
            started_at.elapsed() < 2 * LIST_TIMEOUT,
            "no write was served by the successor within {:?}",
            2 * LIST_TIMEOUT
        );
        count += 1;
        let text = statement_text("write", "").replace("id=9", &format!("id={count:x}a"));
        let mut connection = client.take().or_else(|| Client::connect(addr).ok());
        match connection.as_mut().map(|c| c.query(&text)) {
            Some(Ok(reply)) => {
                if reply == row(b"two") && failover_time.is_none() {
                    failover_time = Some(started_at.elapsed());
                }
                client = connection;
            }
            _ => client = None,
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    failover_time.unwrap()
}

/// Returns when a host received its last write.
fn last_write_received_at(host: &Host) -> Option<Instant> {
    let record = host.record.lock();
    let writes = record.statements.iter().filter(|s| s.text.contains("INSERT"));
    writes.map(|s| s.received_at).max()
}

/// Asserts that a drain takes effect in time, according to the record of the drained host. Discovery gets the
/// drain while the first watch is sending an endless line, the requests after that watch get the responses
/// `failures`, and clients occupy all the descriptors that the router grants them.
fn assert_drain_takes_effect_after(failures: &[ResponseMode]) {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let discovery = discovery_with_responses(known.clone(), &[ResponseMode::EndlessLine]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    let clients: Vec<_> = (0..80).map(|_| Client::connect_without_startup(router.addr).unwrap()).collect();
    // Discovery now has the list with the drain and could send it.
    discovery.state.change(|state| state.next_responses.extend(failures));
    discovery.restart_watches(failover_list(2, true, &one, &two));
    let available_at = Instant::now();
    let failover_time = time_until_failover(router.addr, DRAIN_GRACE);
    assert!(failover_time < LIST_TIMEOUT, "{failures:?}: failover after {failover_time:?}");
    let last = last_write_received_at(&one).unwrap();
    assert!(
        last < available_at + LIST_TIMEOUT + DRAIN_GRACE,
        "{failures:?}: the drained host received a write {:?} after the drain",
        last - available_at
    );
    drop(clients);
}

#[test]
fn a_watch_that_sends_an_endless_line_times_out() {
    assert_drain_takes_effect_after(&[]);
}

#[test]
fn a_drain_takes_effect_in_time_after_an_unanswered_and_a_closed_request() {
    assert_drain_takes_effect_after(&[ResponseMode::NoResponse, ResponseMode::Close]);
}

#[test]
fn a_drain_takes_effect_in_time_after_a_closed_request_and_a_response_without_body() {
    assert_drain_takes_effect_after(&[ResponseMode::Close, ResponseMode::HeadOnly]);
}

#[test]
fn a_drain_takes_effect_in_time_after_two_closed_requests_and_an_unanswered_one() {
    assert_drain_takes_effect_after(&[ResponseMode::Close, ResponseMode::Close, ResponseMode::NoResponse]);
}

/// Discovery is unreachable for 2.5 s, after which the intervals between the router's requests are long. When
/// discovery recovers, its list has the drain.
#[test]
fn a_drain_takes_effect_promptly_once_discovery_recovers() {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = unused.local_addr().unwrap();
    drop(unused);
    let router = RouterThread::start(&known, addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    std::thread::sleep(Duration::from_millis(2500));
    let _discovery = Discovery::start_at(addr, failover_list(2, true, &one, &two)).unwrap();
    let available_at = Instant::now();
    let failover_time = time_until_failover(router.addr, DRAIN_GRACE);
    assert!(failover_time < Duration::from_secs(2), "{failover_time:?}");
    assert!(last_write_received_at(&one).unwrap() < available_at + Duration::from_secs(2) + DRAIN_GRACE);
}

/// The old discovery address never responds, and the new one does not respond to its first request.
#[test]
fn a_new_discovery_address_takes_effect_in_time_although_its_first_request_gets_no_response() {
    let (one, two) = primary_and_successor();
    let known = primary_list(70, one.addr);
    let old = discovery_with_responses(known.clone(), &[ResponseMode::NoResponse; 8]);
    let new = discovery_with_responses(failover_list(3, true, &one, &two), &[ResponseMode::NoResponse]);
    let router = RouterThread::start(&known, old.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    let clients: Vec<_> = (0..80).map(|_| Client::connect_without_startup(router.addr).unwrap()).collect();
    router.reload_with_discovery(old.addr, new.addr);
    let failover_time = time_until_failover(router.addr, Duration::from_millis(1));
    assert!(failover_time < Duration::from_secs(4), "{failover_time:?} after the reload");
    drop(clients);
}

/// Discovery had the drain before the process started, so the grace period counts from the start of the
/// process, even if the first request gets no response. It has ended when the list arrives.
#[test]
fn a_drain_from_before_the_start_has_no_grace_left_when_its_list_arrives_late() {
    let one = primary_with_row(b"one");
    let known = primary_list(1, one.addr);
    let leaving = endpoint_list(2, true, &[Endpoint::new("s-1", one.addr, 2, "leaving", "source")]);
    let discovery = discovery_with_responses(leaving, &[ResponseMode::NoResponse]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    discovery.state.wait(|state| (state.requests.len() >= 2).then_some(())).unwrap();
    let requested_again_at = Instant::now();
    while requested_again_at.elapsed() < DRAIN_GRACE {
        let _ = router.client().query(&statement_text("write", ""));
    }
    // The bound allows half the grace period for the list to arrive and for writes in flight.
    let last = last_write_received_at(&one).unwrap();
    assert!(
        last < requested_again_at + DRAIN_GRACE / 2,
        "the draining host received a write {:?} after the second request to discovery",
        last - requested_again_at
    );
}

/// Discovery serves all routers in turn, and could not send a full list after each request that it rejects.
/// So the router keeps its list, and its next request is for changes only.
#[test]
fn a_rejected_request_is_repeated_for_changes_only() {
    let (one, two) = primary_and_successor();
    let known = primary_list(7, one.addr);
    let list = failover_list(8, false, &one, &two);
    let discovery = discovery_with_responses(list, &[ResponseMode::Unavailable; 3]);
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    let router = RouterThread::start(&known, discovery.addr, 64, &settings);
    let requests =
        discovery.state.wait(|state| (state.requests.len() >= 4).then(|| state.requests.clone())).unwrap();
    assert!(requests.iter().all(|r| r.contains("watch=1") && r.contains("from=7")), "{requests:?}");
    time_until_failover(router.addr, 2 * DRAIN_GRACE);
    assert!(
        two.statement_count("INSERT") > 0,
        "the new primary has received no write: the change has not taken effect"
    );
}

#[test]
fn an_indented_list_is_parsed() {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let list = failover_list(2, true, &one, &two);
    let discovery = discovery_with_responses(list, &[ResponseMode::Indented; 8]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert!(time_until_failover(router.addr, Duration::from_millis(1)) < Duration::from_secs(2));
    let mut client = router.client();
    assert!(matches!(client.query(&statement_text("write", "")), Ok(Reply::Row(_))));
}
