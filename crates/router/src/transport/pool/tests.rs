use super::*;
use crate::transport::memory_budget::MemoryBudget;
use crate::transport::semaphore::Semaphore;
use std::io::Write;
use std::net::TcpListener;

const DAY: Duration = Duration::from_secs(86_400);

/// Creates a pool whose connections never exceed the idle timeout.
fn pool(reuse_delay: Duration) -> HostPool {
    HostPool::new(PoolTimeouts { reuse_delay, idle: DAY, connect: DAY })
}

#[test]
fn a_connection_observes_the_reuse_delay_and_one_with_unexpected_input_is_closed() -> std::io::Result<()> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let descriptors = Semaphore::new(9);
    let connected = || -> std::io::Result<(HostConnection, TcpStream)> {
        let (client_stream, host_stream) = (TcpStream::connect(addr)?, host.accept()?.0);
        let permit = descriptors.acquire_now().expect("a descriptor");
        Ok((
            HostConnection {
                stream: Async::new(client_stream)?,
                codec: HostCodec::default(),
                memory: MemoryBudget::new(0).open_account(0),
                _descriptor: permit,
            },
            host_stream,
        ))
    };
    let delaying = pool(DAY);
    let (one, _host_stream_one) = connected()?;
    delaying.check_in(addr, one);
    assert!(matches!(delaying.check_out(addr), Checkout::ReusableAfter(delay) if delay > Duration::ZERO));
    let immediate = pool(Duration::ZERO);
    let ((one, mut host_stream), (two, _host_stream_two)) = (connected()?, connected()?);
    host_stream.write_all(b"D")?;
    host_stream.flush()?;
    async_io::block_on(one.stream.readable())?;
    immediate.check_in(addr, two);
    immediate.check_in(addr, one);
    assert!(matches!(immediate.check_out(addr), Checkout::Ready(_)));
    assert!(matches!(immediate.check_out(addr), Checkout::Empty), "the one with unexpected input is closed");
    assert_eq!(descriptors.available(), 8);
    Ok(())
}

#[test]
fn connections_idle_since_before_an_instant_are_closed() -> std::io::Result<()> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let (addr, descriptors) = (host.local_addr()?, Semaphore::new(9));
    let pool = pool(Duration::ZERO);
    let mut host_stream = Vec::new();
    let mut add_idle = || -> std::io::Result<()> {
        let client_stream = TcpStream::connect(addr)?;
        host_stream.push(host.accept()?.0);
        let _descriptor = descriptors.acquire_now().expect("a descriptor");
        pool.check_in(
            addr,
            HostConnection {
                stream: Async::new(client_stream)?,
                codec: HostCodec::default(),
                memory: MemoryBudget::new(0).open_account(0),
                _descriptor,
            },
        );
        Ok(())
    };
    add_idle()?;
    let restarted = Instant::now();
    add_idle()?;
    pool.close_idle_since_before(addr, restarted);
    assert_eq!((pool.len(), descriptors.available()), (1, 8));
    Ok(())
}
