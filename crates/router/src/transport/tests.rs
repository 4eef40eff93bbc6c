use super::*;
use basalthill_config::router::{parse, LoadPhase};

const CONFIG: &str = include_str!("../../../../examples/router.json");

#[test]
fn the_backlog_is_accepted_before_the_listener_closes() -> std::io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let addr = listener.local_addr()?;
    let config = parse(CONFIG.as_bytes(), |_| None, LoadPhase::Startup).expect("a sound example");
    let executor = Rc::new(LocalExecutor::new());
    let hub = Hub::new(&config, None, &executor);
    let waiting: std::io::Result<Vec<TcpStream>> = (0..50).map(|_| TcpStream::connect(addr)).collect();
    let waiting = waiting?;
    // The note comes before any of them has been looked at.
    hub.last_call.notify();
    async_io::block_on(executor.run(accept(Rc::clone(&hub), Async::new(listener)?)));
    assert_eq!(hub.clients.count(), waiting.len());
    hub.executor.borrow_mut().take();
    Ok(())
}

#[test]
fn a_failed_accept_leaves_the_backlog_to_be_accepted() {
    let mut calls =
        [Err(ErrorKind::Interrupted), Err(ErrorKind::ConnectionAborted), Ok(1), Ok(2)].into_iter();
    let mut accept = || calls.next().unwrap_or(Err(ErrorKind::WouldBlock)).map_err(std::io::Error::from);
    let until = Instant::now() + Duration::from_secs(10);
    assert_eq!(next_pending(&mut accept, until), Some(1));
    assert_eq!(next_pending(&mut accept, until), Some(2));
    assert_eq!(next_pending(&mut accept, until), None);
    assert_eq!(next_pending(|| Ok(3), Instant::now()), None, "more may come without end");
}
