use super::*;
use crate::protocol::discovery::HostList;
use crate::routing::ExchangeId;
use async_executor::LocalExecutor;
use basalthill_config::router::{parse, LoadPhase};
use basalthill_policy::api::{Attempt, MemberId, RequestId};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};

const CONFIG: &str = include_str!("../../../../../examples/router.json");

const HEALTH_CHECK: ExchangeId = ExchangeId::Probe(99);
/// An attempt of a request that is not open any more: its client has disconnected.
const DISCONNECTED: ExchangeId = ExchangeId::Attempt(RequestId(7), Attempt(0));
/// The settings' drain grace in nanoseconds.
const GRACE: &str = "1000000000";
const LONG_GRACE: &str = "60000000000";
const NO_GRACE: &str = "0";
const QUERY: Query = Query::HealthCheck("SELECT 1");
/// AuthenticationOk and ReadyForQuery.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";

/// How an exchange ended.
#[derive(Debug, PartialEq)]
struct Outcome {
    result: ExchangeResult,
    /// How many bytes of the query the host has received.
    received: usize,
}

impl Outcome {
    /// The query was written, and the host closed the connection.
    const WRITTEN: Outcome = Outcome { result: ExchangeResult::ConnectionLost, received: 14 };
    /// Nothing was written.
    const SKIPPED: Outcome = Outcome { result: ExchangeResult::Skipped, received: 0 };
    /// The connection broke before the query was written.
    const NOT_SENT: Outcome = Outcome { result: ExchangeResult::NotSent, received: 0 };
}

/// Runs a query on a pooled connection to the one member of a list, by its state and the drain grace;
/// `broken` if the connection can't be written.
fn run_on_pooled_connection(
    id: ExchangeId,
    state: &str,
    grace: &str,
    broken: bool,
) -> std::io::Result<Outcome> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let text = CONFIG.replace("\"drainGrace\": 1000000000", &format!("\"drainGrace\": {grace}"));
    // No health check takes the connection first.
    let text = text.replace("\"probes\": true", "\"probes\": false");
    let config = parse(text.as_bytes(), |_| None, LoadPhase::Startup).expect("a sound example");
    let member = format!(r#"{{"id":"a","addr":"{addr}","cell":1,"state":"{state}"}}"#);
    let list = format!(r#"{{"version":1,"full":true,"servers":[{member}]}}"#);
    let executor = Rc::new(LocalExecutor::new());
    let known = HostList::parse(list.as_bytes()).ok();
    let driver = Driver::new(&config, known, &executor);
    let stream = TcpStream::connect(addr)?;
    let (mut far, _) = host.accept()?;
    if broken {
        stream.shutdown(Shutdown::Write)?;
    }
    let mut codec = HostCodec::default();
    codec.feed(WELCOME);
    assert_eq!(codec.next_message(), Ok(Some(HostMessage::Ready)));
    let descriptor = driver.descriptors.acquire_now().expect("a descriptor");
    let connection = HostConnection { stream: Async::new(stream)?, codec, _descriptor: descriptor };
    driver.pool.check_in(addr, connection);
    let start = ExchangeStart { id, member: MemberId(0), client: None, addr, query: QUERY };
    // The host answers nothing: it reads once and closes.
    let reader = std::thread::spawn(move || {
        let mut bytes = [0; 64];
        far.read(&mut bytes)
    });
    let result = async_io::block_on(executor.run(run(&driver, start)));
    driver.pool.close_all(addr);
    Ok(Outcome { result, received: reader.join().expect("a reader")? })
}

#[test]
fn a_query_that_was_written_in_part_counts_as_not_sent() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "active", GRACE, true)?, Outcome::NOT_SENT);
    Ok(())
}

#[test]
fn nothing_is_written_after_the_drain_grace() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "active", NO_GRACE, false)?, Outcome::WRITTEN);
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "leaving", LONG_GRACE, false)?, Outcome::WRITTEN);
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "leaving", NO_GRACE, false)?, Outcome::SKIPPED);
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "left", NO_GRACE, false)?, Outcome::SKIPPED);
    Ok(())
}

/// Runs a query while no descriptor is left; one is released after the exchange has found none, and well
/// within the connect timeout.
fn run_without_descriptors(id: ExchangeId) -> std::io::Result<Outcome> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let config = parse(CONFIG.as_bytes(), |_| None, LoadPhase::Startup).expect("a sound example");
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(&config, None, &executor);
    let mut acquired: Vec<_> = std::iter::from_fn(|| driver.descriptors.acquire_now()).collect();
    let far = std::thread::spawn(move || {
        let mut far = host.accept()?.0;
        let mut bytes = [0; 64];
        let _ = far.read(&mut bytes)?;
        far.write_all(WELCOME)?;
        far.read(&mut bytes)
    });
    let start = ExchangeStart { id, member: MemberId(0), client: None, addr, query: QUERY };
    let release_one = async {
        Timer::after(RETRY_INTERVAL * 2).await;
        acquired.pop();
        future::pending().await
    };
    let result = async_io::block_on(executor.run(future::or(run(&driver, start), release_one)));
    driver.pool.close_all(addr);
    Ok(Outcome { result, received: far.join().expect("a host")? })
}

#[test]
fn descriptor_exhaustion_is_waited_out_and_is_no_fault_of_the_member() -> std::io::Result<()> {
    assert_eq!(run_without_descriptors(HEALTH_CHECK)?, Outcome::WRITTEN);
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_the_reuse_delay() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(DISCONNECTED, "active", GRACE, false)?, Outcome::SKIPPED);
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_descriptor_exhaustion() -> std::io::Result<()> {
    assert_eq!(run_without_descriptors(DISCONNECTED)?, Outcome::SKIPPED);
    Ok(())
}
