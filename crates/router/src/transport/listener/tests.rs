use super::*;
use async_executor::LocalExecutor;
use basalthill_config::router::{parse, LoadPhase};

const CONFIG: &str = include_str!("../../../../../examples/router.json");

#[test]
fn the_backlog_is_accepted_before_the_listener_closes() -> io::Result<()> {
    let socket = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = socket.local_addr()?;
    let config = parse(CONFIG.as_bytes(), |_| None, LoadPhase::Startup).expect("a valid example");
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(&config, None, &executor);
    let waiting: io::Result<Vec<TcpStream>> = (0..50).map(|_| TcpStream::connect(addr)).collect();
    let waiting = waiting?;
    // The listener is told to stop before it has accepted any connection.
    driver.shutdown.stop_accepting();
    let listener = Listener::new(Rc::clone(&driver), Async::new(socket)?);
    async_io::block_on(executor.run(listener.run()));
    assert_eq!(driver.clients.len(), waiting.len());
    driver.tasks.close();
    Ok(())
}

#[test]
fn the_backlog_is_accepted_after_failed_calls_until_the_deadline() {
    let mut calls =
        [Err(ErrorKind::Interrupted), Err(ErrorKind::ConnectionAborted), Ok(1), Ok(2)].into_iter();
    let mut accept = || calls.next().unwrap_or(Err(ErrorKind::WouldBlock)).map_err(io::Error::from);
    let deadline = Instant::now() + Duration::from_secs(10);
    assert_eq!(next_from_backlog(&mut accept, deadline), Some(1));
    assert_eq!(next_from_backlog(&mut accept, deadline), Some(2));
    assert_eq!(next_from_backlog(&mut accept, deadline), None);
    assert_eq!(next_from_backlog(|| Ok(3), Instant::now()), None, "accepting stops at the deadline");
}
