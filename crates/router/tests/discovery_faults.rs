//! Faults of discovery: watches that fall silent, drip, end or hang, discovery that is unreachable and
//! recovers or moves, lists that are old or late. The assertions are on what the hosts have received.

mod common;

use basalthill_standin::client::{Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint, ResponseMode};
use basalthill_standin::host::Host;
use common::served::{primary_and_successor, primary_list, primary_with_row, row, RouterThread};
use common::{statement_text, SETTINGS};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A list counts as received this long after discovery could be reached.
const LIST_DEADLINE: Duration = Duration::from_secs(6);
/// The settings' drain grace after that, and the tolerance of the rules.
const GRACE: Duration = Duration::from_millis(1050);

fn drained(version: u64, full: bool, one: &Host, two: &Host) -> String {
    let members = [
        Endpoint::new("s-1", one.addr, 2, "leaving", "copy"),
        Endpoint::new("s-2", two.addr, 2, "active", "source"),
    ];
    endpoint_list(version, full, &members)
}

/// Discovery with a list, which answers its first calls as given.
fn discovery_with_responses(list: String, responses: &[ResponseMode]) -> Discovery {
    let discovery = Discovery::start(list).unwrap();
    discovery.state.change(|t| t.next_responses.extend(responses));
    discovery
}

/// Writes until the successor serves, and for `after` beyond that; how long the former took. A router without
/// a free descriptor may close the connection: the next one is opened.
fn time_until_failover(addr: SocketAddr, after: Duration) -> Duration {
    let (began, mut moved) = (Instant::now(), None);
    let mut client = None;
    let mut count = 0;
    while moved.is_none_or(|m: Duration| began.elapsed() < m + after) {
        assert!(began.elapsed() < 2 * LIST_DEADLINE, "the drain never takes effect");
        count += 1;
        let text = statement_text("write", "").replace("id=9", &format!("id={count:x}a"));
        let mut at = client.take().or_else(|| Client::connect(addr).ok());
        match at.as_mut().map(|c| c.query(&text)) {
            Some(Ok(answer)) => {
                if answer == row(b"two") && moved.is_none() {
                    moved = Some(began.elapsed());
                }
                client = at;
            }
            _ => client = None,
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    moved.unwrap()
}

/// When a host received its last write.
fn last_write(host: &Host) -> Option<Instant> {
    let seen = host.record.lock();
    let writes = seen.statements.iter().filter(|s| s.text.contains("INSERT"));
    writes.map(|s| s.received_at).max()
}

/// The first watch drips while discovery learns of a drain, and the calls after it fail as given; clients
/// occupy all the descriptors that they can get. The drain takes effect in time, by the host's own record.
fn assert_drain_takes_effect_after(calls: &[ResponseMode]) {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let discovery = discovery_with_responses(known.clone(), &[ResponseMode::EndlessLine]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    let clients: Vec<_> = (0..80).map(|_| Client::connect_without_startup(router.addr).unwrap()).collect();
    // From now on discovery has the drain, and could send it.
    discovery.state.change(|t| t.next_responses.extend(calls));
    discovery.restart_watches(drained(2, true, &one, &two));
    let had = Instant::now();
    let moved = time_until_failover(router.addr, GRACE);
    assert!(moved < LIST_DEADLINE, "{calls:?}: {moved:?}");
    let last = last_write(&one).unwrap();
    assert!(last < had + LIST_DEADLINE + GRACE, "{calls:?}: {:?}", last - had);
    drop(clients);
}

#[test]
fn a_watch_that_drips_an_incomplete_line_times_out() {
    assert_drain_takes_effect_after(&[]);
}

#[test]
fn a_drain_takes_effect_in_time_after_a_silent_and_a_closed_call() {
    assert_drain_takes_effect_after(&[ResponseMode::NoResponse, ResponseMode::Close]);
}

#[test]
fn a_drain_takes_effect_in_time_after_a_closed_call_and_one_cut_after_its_head() {
    assert_drain_takes_effect_after(&[ResponseMode::Close, ResponseMode::HeadOnly]);
}

#[test]
fn a_drain_takes_effect_in_time_after_two_closed_calls_and_a_silent_one() {
    assert_drain_takes_effect_after(&[ResponseMode::Close, ResponseMode::Close, ResponseMode::NoResponse]);
}

/// Discovery is unreachable for so long that calls are far apart; as it recovers, it has the drain.
#[test]
fn discovery_that_recovers_is_followed_at_once() {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = nobody.local_addr().unwrap();
    drop(nobody);
    let router = RouterThread::start(&known, addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    std::thread::sleep(Duration::from_millis(2500));
    let _discovery = Discovery::start_at(addr, drained(2, true, &one, &two)).unwrap();
    let had = Instant::now();
    let moved = time_until_failover(router.addr, GRACE);
    assert!(moved < Duration::from_secs(2), "{moved:?}");
    assert!(last_write(&one).unwrap() < had + Duration::from_secs(2) + GRACE);
}

/// The old address hangs and the first call to the new one is never answered.
#[test]
fn a_new_discovery_address_is_followed_in_time_though_its_first_call_is_lost() {
    let (one, two) = primary_and_successor();
    let known = primary_list(70, one.addr);
    let old = discovery_with_responses(known.clone(), &[ResponseMode::NoResponse; 8]);
    let new = discovery_with_responses(drained(3, true, &one, &two), &[ResponseMode::NoResponse]);
    let router = RouterThread::start(&known, old.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    let clients: Vec<_> = (0..80).map(|_| Client::connect_without_startup(router.addr).unwrap()).collect();
    router.reload_with_discovery(old.addr, new.addr);
    let moved = time_until_failover(router.addr, Duration::from_millis(1));
    assert!(moved < Duration::from_secs(4), "{moved:?} after the signal");
    drop(clients);
}

/// Discovery had the drain before the process started, so the drain counts from then on, also where the first
/// call was lost: nothing of its grace is left when the list arrives.
#[test]
fn a_drain_from_before_the_start_has_no_grace_left_when_it_arrives_late() {
    let one = primary_with_row(b"one");
    let known = primary_list(1, one.addr);
    let leaving = endpoint_list(2, true, &[Endpoint::new("s-1", one.addr, 2, "leaving", "source")]);
    let discovery = discovery_with_responses(leaving, &[ResponseMode::NoResponse]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert_eq!(router.client().query(&statement_text("write", "")).unwrap(), row(b"one"));
    discovery.state.wait(|t| (t.requests.len() >= 2).then_some(())).unwrap();
    let called_again = Instant::now();
    while called_again.elapsed() < GRACE {
        let _ = router.client().query(&statement_text("write", ""));
    }
    // A moment for the list to arrive, and for writes that were on their way.
    let last = last_write(&one).unwrap();
    assert!(last < called_again + GRACE / 2, "{:?} after the second call", last - called_again);
}

/// Where one discovery serves all routers in turn, a full list for each rejected call would be more than it
/// can send: what is known stays known, and the next call requests changes only.
#[test]
fn a_rejected_call_is_repeated_for_changes_only() {
    let (one, two) = primary_and_successor();
    let known = primary_list(7, one.addr);
    let list = drained(8, false, &one, &two);
    let discovery = discovery_with_responses(list, &[ResponseMode::Unavailable; 3]);
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    let router = RouterThread::start(&known, discovery.addr, 64, &settings);
    let requests = discovery.state.wait(|t| (t.requests.len() >= 4).then(|| t.requests.clone())).unwrap();
    assert!(requests.iter().all(|r| r.contains("watch=1") && r.contains("from=7")), "{requests:?}");
    time_until_failover(router.addr, 2 * GRACE);
    assert!(two.statement_count("INSERT") > 0, "the change takes effect");
}

#[test]
fn an_indented_list_is_read() {
    let (one, two) = primary_and_successor();
    let known = primary_list(1, one.addr);
    let list = drained(2, true, &one, &two);
    let discovery = discovery_with_responses(list, &[ResponseMode::Indented; 8]);
    let router = RouterThread::start(&known, discovery.addr, 64, SETTINGS);
    assert!(time_until_failover(router.addr, Duration::from_millis(1)) < Duration::from_secs(2));
    let mut client = router.client();
    assert!(matches!(client.query(&statement_text("write", "")), Ok(Reply::Row(_))));
}
