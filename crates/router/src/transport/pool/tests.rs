use super::*;
use crate::transport::semaphore::Semaphore;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn a_connection_observes_the_reuse_delay_and_one_with_unexpected_input_is_closed() -> std::io::Result<()> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = host.local_addr()?;
    let budget = Semaphore::new(9);
    let connected = || -> std::io::Result<(HostConnection, TcpStream)> {
        let (near, far) = (TcpStream::connect(addr)?, host.accept()?.0);
        let permit = budget.take().expect("a descriptor");
        Ok((HostConnection { stream: Async::new(near)?, side: HostCodec::default(), _permit: permit }, far))
    };
    let (day, zero) = (Duration::from_secs(86_400), Duration::ZERO);
    let resting = Pool::new(day, day);
    let (one, _far) = connected()?;
    resting.put(addr, one);
    assert!(matches!(resting.take(addr), Taken::Resting(left) if left > zero));
    let rested = Pool::new(zero, day);
    let ((one, mut far), (two, _far_of_two)) = (connected()?, connected()?);
    far.write_all(b"D")?;
    far.flush()?;
    async_io::block_on(one.stream.readable())?;
    rested.put(addr, two);
    rested.put(addr, one);
    assert!(matches!(rested.take(addr), Taken::Ready(_)));
    assert!(matches!(rested.take(addr), Taken::Nothing), "the one that has brought more is closed");
    assert_eq!(budget.left(), 8);
    Ok(())
}

#[test]
fn connections_idle_since_before_an_instant_are_closed() -> std::io::Result<()> {
    let host = TcpListener::bind(("127.0.0.1", 0))?;
    let (addr, budget) = (host.local_addr()?, Semaphore::new(9));
    let pool = Pool::new(Duration::ZERO, Duration::from_secs(86_400));
    let mut far = Vec::new();
    let mut idles = || -> std::io::Result<()> {
        let near = TcpStream::connect(addr)?;
        far.push(host.accept()?.0);
        let _permit = budget.take().expect("a descriptor");
        pool.put(addr, HostConnection { stream: Async::new(near)?, side: HostCodec::default(), _permit });
        Ok(())
    };
    idles()?;
    let restarted = Instant::now();
    idles()?;
    pool.close_older(addr, restarted);
    assert_eq!((pool.len(), budget.left()), (1, 8));
    Ok(())
}
