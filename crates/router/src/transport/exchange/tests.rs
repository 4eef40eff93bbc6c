use super::*;
use crate::protocol::discovery::HostList;
use crate::routing::ExchangeId;
use async_executor::LocalExecutor;
use basalthill_config::router::{parse, LoadPhase};
use basalthill_policy::api::{Attempt, MemberId, RequestId};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};

const CONFIG: &str = include_str!("../../../../../examples/router.json");

const PROBE: ExchangeId = ExchangeId::Probe(99);
/// One of a request that is not on the books: its client has left.
const DISCONNECTED: ExchangeId = ExchangeId::Attempt(RequestId(7), Attempt(0));

/// Runs a query on a pooled connection to the one member of a list, in a state and with a grace; how it
/// ended, and what came at the member.
fn run_on_pooled_connection(
    id: ExchangeId,
    state: &str,
    grace: &str,
    broken: bool,
) -> std::io::Result<(ExchangeResult, usize)> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let text = CONFIG.replace("\"drainGrace\": 1000000000", &format!("\"drainGrace\": {grace}"));
    // No probe takes the connection first.
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
    codec.feed(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
    assert_eq!(codec.next_message(), Ok(Some(HostMessage::Ready)));
    let descriptor = driver.descriptors.acquire_now().expect("a descriptor");
    let connection = HostConnection { stream: Async::new(stream)?, codec, _descriptor: descriptor };
    driver.pool.check_in(addr, connection);
    let query = Query::HealthCheck("SELECT 1");
    let start = ExchangeStart { id, member: MemberId(0), client: None, addr, query };
    // The far side answers nothing: it reads what comes, up to the end, and closes.
    let reader = std::thread::spawn(move || {
        let mut bytes = [0; 64];
        far.read(&mut bytes)
    });
    let result = async_io::block_on(executor.run(run(&driver, start)));
    driver.pool.close_all(addr);
    Ok((result, reader.join().expect("a reader")?))
}

#[test]
fn a_query_that_was_written_in_part_counts_as_not_sent() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(PROBE, "active", "1000000000", true)?, (ExchangeResult::NotSent, 0));
    Ok(())
}

#[test]
fn nothing_is_written_after_the_drain_grace() -> std::io::Result<()> {
    assert_eq!(run_on_pooled_connection(PROBE, "active", "0", false)?, (ExchangeResult::ConnectionLost, 14));
    assert_eq!(
        run_on_pooled_connection(PROBE, "leaving", "60000000000", false)?,
        (ExchangeResult::ConnectionLost, 14)
    );
    assert_eq!(run_on_pooled_connection(PROBE, "leaving", "0", false)?, (ExchangeResult::Skipped, 0));
    assert_eq!(run_on_pooled_connection(PROBE, "left", "0", false)?, (ExchangeResult::Skipped, 0));
    Ok(())
}

/// Runs a query while no descriptor is left; one comes free after the exchange has found none, and well
/// within its time for a connection. How it ended, and what came at the member after the startup.
fn run_without_descriptors(id: ExchangeId) -> std::io::Result<(ExchangeResult, usize)> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let config = parse(CONFIG.as_bytes(), |_| None, LoadPhase::Startup).expect("a sound example");
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(&config, None, &executor);
    let mut taken: Vec<_> = std::iter::from_fn(|| driver.descriptors.acquire_now()).collect();
    let far = std::thread::spawn(move || {
        let mut far = host.accept()?.0;
        let mut bytes = [0; 64];
        let _ = far.read(&mut bytes)?;
        far.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")?;
        far.read(&mut bytes)
    });
    let start =
        ExchangeStart { id, member: MemberId(0), client: None, addr, query: Query::HealthCheck("SELECT 1") };
    let free = async {
        Timer::after(RETRY_INTERVAL * 2).await;
        taken.pop();
        future::pending().await
    };
    let result = async_io::block_on(executor.run(future::or(run(&driver, start), free)));
    driver.pool.close_all(addr);
    Ok((result, far.join().expect("a far side")?))
}

#[test]
fn descriptor_exhaustion_is_waited_out_and_is_no_fault_of_the_member() -> std::io::Result<()> {
    // The query was written, and the member closed.
    assert_eq!(run_without_descriptors(PROBE)?, (ExchangeResult::ConnectionLost, 14));
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_the_reuse_delay() -> std::io::Result<()> {
    assert_eq!(
        run_on_pooled_connection(DISCONNECTED, "active", "1000000000", false)?,
        (ExchangeResult::Skipped, 0)
    );
    Ok(())
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_descriptor_exhaustion() -> std::io::Result<()> {
    assert_eq!(run_without_descriptors(DISCONNECTED)?, (ExchangeResult::Skipped, 0));
    Ok(())
}
