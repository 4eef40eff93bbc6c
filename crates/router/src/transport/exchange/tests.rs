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
/// An attempt of a request that routing no longer tracks because its client has disconnected.
const ATTEMPT_OF_DISCONNECTED_CLIENT: ExchangeId = ExchangeId::Attempt(RequestId(7), Attempt(0));
/// The drain grace of the example settings, in nanoseconds.
const EXAMPLE_GRACE: &str = "1000000000";
const LONG_GRACE: &str = "60000000000";
const NO_GRACE: &str = "0";
const QUERY: Query = Query::HealthCheck("SELECT 1");
/// The messages AuthenticationOk and ReadyForQuery.
const STARTUP_RESPONSE: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";

/// The result of an exchange, and how much of its query the host received.
#[derive(Debug, PartialEq)]
struct Outcome {
    result: ExchangeResult,
    /// The number of bytes of the query that the host received.
    received: usize,
}

impl Outcome {
    /// The query was written, and the host closed the connection without a response.
    const WRITTEN: Outcome = Outcome { result: ExchangeResult::ConnectionLost, received: 14 };
    /// Nothing was written.
    const SKIPPED: Outcome = Outcome { result: ExchangeResult::Skipped, received: 0 };
    /// The connection failed before the query was written.
    const NOT_SENT: Outcome = Outcome { result: ExchangeResult::NotSent, received: 0 };
}

/// Runs a query on a pooled connection to the only member of the endpoint list, which has this state, with
/// this drain grace. If `broken`, the write side of the connection is shut down first.
fn run_on_pooled_connection(
    id: ExchangeId,
    state: &str,
    grace: &str,
    broken: bool,
) -> std::io::Result<Outcome> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let text = CONFIG.replace("\"drainGrace\": 1000000000", &format!("\"drainGrace\": {grace}"));
    // A health check would take the pooled connection first.
    let text = text.replace("\"probes\": true", "\"probes\": false");
    let config = parse(text.as_bytes(), |_| None, LoadPhase::Startup).expect("a valid example");
    let member = format!(r#"{{"id":"a","addr":"{addr}","cell":1,"state":"{state}"}}"#);
    let list = format!(r#"{{"version":1,"full":true,"servers":[{member}]}}"#);
    let executor = Rc::new(LocalExecutor::new());
    let known = HostList::parse(list.as_bytes()).ok();
    let driver = Driver::new(&config, known, &executor);
    let stream = TcpStream::connect(addr)?;
    let (mut host_stream, _) = host.accept()?;
    if broken {
        stream.shutdown(Shutdown::Write)?;
    }
    let mut codec = HostCodec::default();
    codec.feed(STARTUP_RESPONSE);
    assert_eq!(codec.next_event(), Ok(Some(HostEvent::Ready)));
    let descriptor = driver.descriptors.acquire_now().expect("a descriptor");
    let memory = driver.open_response_account();
    let connection = HostConnection { stream: Async::new(stream)?, codec, memory, _descriptor: descriptor };
    driver.pool.check_in(addr, connection);
    let start = ExchangeStart { id, member: MemberId(0), requester: None, addr, query: QUERY };
    // The host sends no response: it reads once and closes.
    let reader = std::thread::spawn(move || {
        let mut bytes = [0; 64];
        host_stream.read(&mut bytes)
    });
    let result = async_io::block_on(executor.run(run(&driver, start))).result;
    driver.pool.close_all(addr);
    Ok(Outcome { result, received: reader.join().expect("the reader thread")? })
}

#[test]
fn a_query_that_was_not_written_completely_counts_as_not_sent() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(HEALTH_CHECK, "active", EXAMPLE_GRACE, true)?, Outcome::NOT_SENT);
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

/// Runs a query while no descriptor is available. A descriptor is released after the exchange has failed to
/// acquire one, and well within the connect timeout.
fn run_without_descriptors(id: ExchangeId) -> std::io::Result<Outcome> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let config = parse(CONFIG.as_bytes(), |_| None, LoadPhase::Startup).expect("a valid example");
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(&config, None, &executor);
    let mut acquired: Vec<_> = std::iter::from_fn(|| driver.descriptors.acquire_now()).collect();
    let host_thread = std::thread::spawn(move || {
        let mut host_stream = host.accept()?.0;
        let mut bytes = [0; 64];
        let _ = host_stream.read(&mut bytes)?;
        host_stream.write_all(STARTUP_RESPONSE)?;
        host_stream.read(&mut bytes)
    });
    let start = ExchangeStart { id, member: MemberId(0), requester: None, addr, query: QUERY };
    let release_one = async {
        Timer::after(RETRY_INTERVAL * 2).await;
        acquired.pop();
        future::pending().await
    };
    let result = async_io::block_on(executor.run(future::or(run(&driver, start), release_one))).result;
    driver.pool.close_all(addr);
    Ok(Outcome { result, received: host_thread.join().expect("the host thread")? })
}

#[test]
fn an_exchange_waits_for_a_descriptor_within_the_connect_timeout() -> std::io::Result<()> {
    assert_eq!(run_without_descriptors(HEALTH_CHECK)?, Outcome::WRITTEN);
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_the_reuse_delay() -> std::io::Result<()> {
    assert_eq!(
        run_on_pooled_connection(ATTEMPT_OF_DISCONNECTED_CLIENT, "active", EXAMPLE_GRACE, false)?,
        Outcome::SKIPPED
    );
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_descriptor_exhaustion() -> std::io::Result<()> {
    assert_eq!(run_without_descriptors(ATTEMPT_OF_DISCONNECTED_CLIENT)?, Outcome::SKIPPED);
    Ok(())
}
