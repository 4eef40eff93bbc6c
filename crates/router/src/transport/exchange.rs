//! One query at one host: on a pooled connection, or on a new one. Nothing is sent twice.

use super::budget::LOOK_AGAIN;
use super::pool::{HostConnection, Taken};
use super::{io, Hub};
use crate::protocol::host::{self, Ending, HostMessage, HostSide, Telling};
use crate::routing::{Ended, Order, Query};
use async_io::{Async, Timer};
use basalthill_config::router::ANSWER_PAUSE;
use basalthill_fleet::Budget;
use futures_lite::future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Runs a query to its end. Dropped before that, it closes its connection: an answer that comes late must not
/// meet the next request.
pub async fn run(hub: &Rc<Hub>, order: Order) -> Ended {
    let Order { member, addr, query, .. } = order;
    let mut connection = loop {
        match hub.pool.take(addr) {
            Taken::Ready(connection) => break connection,
            Taken::Resting(left) => drop(Timer::after(left).await),
            // A want of connects over all routers says nothing of the member. Probes have a budget of
            // their own.
            Taken::Nothing if !may_connect(hub, &query) => return Ended::Withheld,
            Taken::Nothing => match connect(hub, addr).await {
                Ok(connection) => break connection,
                Err(ended) => return ended,
            },
        }
    };
    // The connection may have come up after a drain's grace, or its host's parting may have been told
    // meanwhile.
    if !hub.router.borrow().may_write(hub.clock.now(), member) {
        hub.pool.put(addr, connection);
        return Ended::Withheld;
    }
    connection.side.begin();
    if let Err(e) = write(&connection.stream, &query).await {
        log::debug!("{addr}: broke before the last byte: {e}");
        return Ended::NotSent;
    }
    let ended = answer(hub, addr, &mut connection).await;
    if connection.side.idle() && !hub.closing.get() {
        hub.pool.put(addr, connection);
    }
    ended
}

fn may_connect(hub: &Hub, query: &Query) -> bool {
    let own = matches!(query, Query::Own(_));
    own || hub.router.borrow_mut().spends(hub.clock.now(), Budget::Connects)
}

async fn connect(hub: &Rc<Hub>, addr: SocketAddr) -> Result<HostConnection, Ended> {
    let up = async {
        // A want of descriptors is this router's own and passes as exchanges end: it is waited out within the
        // time for a connection, or the decisions would take it for the member's failure.
        let permit = loop {
            match hub.permit().await {
                Some(permit) => break permit,
                None => drop(Timer::after(LOOK_AGAIN).await),
            }
            if let Taken::Ready(connection) = hub.pool.take(addr) {
                return Ok(connection);
            }
        };
        let stream = Async::<TcpStream>::connect(addr).await.map_err(|_| Ended::NotSent)?;
        let _ = stream.get_ref().set_nodelay(true);
        io::write(&stream, &[&host::startup()]).await.map_err(|_| Ended::NotSent)?;
        let mut side = HostSide::default();
        loop {
            match side.take() {
                Ok(Some(HostMessage::Ready)) => return Ok(HostConnection { stream, side, _permit: permit }),
                Ok(Some(HostMessage::Unwelcome(code))) => return Err(Ended::Unwelcome(code)),
                Ok(Some(HostMessage::Done(..))) => return Err(Ended::NotSent),
                Ok(None) => {}
                Err(e) => {
                    log::warn!("{addr}: {e}");
                    return Err(Ended::NotSent);
                }
            }
            if !matches!(io::read(hub, &stream, |bytes| side.feed(bytes)).await, Ok(1..)) {
                return Err(Ended::NotSent);
            }
        }
    };
    let late = async {
        Timer::after(hub.connect_timeout).await;
        if hub.budget.left() == 0 {
            log::warn!("{addr}: no descriptor left for a connection");
        }
        Err(Ended::NotSent)
    };
    future::or(up, late).await
}

async fn write(stream: &Async<TcpStream>, query: &Query) -> std::io::Result<()> {
    match query {
        Query::Statement(statement, patience, floor) => {
            let (figure, floor) = (patience.to_string(), floor.map(|ms| ms.to_string()));
            let text = statement.parts(&figure, floor.as_deref());
            let head = host::query_head(text.iter().map(|part| part.len()).sum());
            let mut parts = Vec::with_capacity(text.len() + 2);
            parts.push(&head[..]);
            parts.extend(text);
            parts.push(&[0]);
            io::write(stream, &parts).await
        }
        Query::Own(text) => io::write(stream, &[&host::query(text)]).await,
    }
}

/// The host's answer, or how it came to nothing. One that has begun and does not go on is not waited for: its
/// host has written all that it ever will.
async fn answer(hub: &Rc<Hub>, addr: SocketAddr, connection: &mut HostConnection) -> Ended {
    let HostConnection { stream, side, .. } = connection;
    let salvaged = |side: &mut HostSide| match side.spoilt() {
        Some(row) => Ended::Answered(Ending::Row(row), Telling::default()),
        None => Ended::Spoilt,
    };
    loop {
        match side.take() {
            Ok(Some(HostMessage::Done(ending, telling))) => return Ended::Answered(ending, telling),
            Ok(Some(_)) => return Ended::Spoilt,
            Ok(None) => {}
            Err(e) => {
                log::debug!("{addr}: {e}");
                return salvaged(side);
            }
        }
        let begun = side.begun();
        let pause = async {
            match begun {
                true => drop(Timer::after(Duration::from_nanos(ANSWER_PAUSE.0)).await),
                false => future::pending().await,
            }
            None
        };
        let read = async { Some(io::read(hub, stream, |bytes| side.feed(bytes)).await) };
        match future::or(read, pause).await {
            Some(Ok(1..)) => {}
            // An error that ends the connection comes without ReadyForQuery.
            Some(_) => {
                return side.closed().map_or(Ended::Broken, |(e, telling)| Ended::Answered(e, telling))
            }
            None => {
                log::debug!("{addr}: an answer that has begun does not go on");
                return salvaged(side);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::discovery::HostList;
    use crate::routing::ExchangeId;
    use async_executor::LocalExecutor;
    use basalthill_config::router::{parse, Reading};
    use basalthill_policy::api::MemberId;
    use std::io::{Read, Write};
    use std::net::{Shutdown, TcpListener};

    const CONFIG: &str = include_str!("../../../../examples/router.json");

    /// Runs a query on a pooled connection to the one member of a list, in a state and with a grace; how it
    /// ended, and what came at the member.
    fn ended(state: &str, grace: &str, broken: bool) -> std::io::Result<(Ended, usize)> {
        let host = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = host.local_addr()?;
        let text = CONFIG.replace("\"drainGrace\": 1000000000", &format!("\"drainGrace\": {grace}"));
        let config = parse(text.as_bytes(), |_| None, Reading::Start).expect("a sound example");
        let member = format!(r#"{{"id":"a","addr":"{addr}","cell":1,"state":"{state}"}}"#);
        let list = format!(r#"{{"version":1,"full":true,"servers":[{member}]}}"#);
        let executor = Rc::new(LocalExecutor::new());
        let known = HostList::parse(list.as_bytes()).ok();
        let hub = Hub::new(&config, known, &executor);
        let stream = TcpStream::connect(addr)?;
        let (mut far, _) = host.accept()?;
        if broken {
            stream.shutdown(Shutdown::Write)?;
        }
        let mut side = HostSide::default();
        side.feed(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
        assert_eq!(side.take(), Ok(Some(HostMessage::Ready)));
        let permit = hub.budget.take().expect("a descriptor");
        hub.pool.put(addr, HostConnection { stream: Async::new(stream)?, side, _permit: permit });
        let (id, query) = (ExchangeId::Probe(99), Query::Own("SELECT 1"));
        let order = Order { id, member: MemberId(0), addr, query };
        // The far side answers nothing: it reads what comes, up to the end, and closes.
        let reader = std::thread::spawn(move || {
            let mut bytes = [0; 64];
            far.read(&mut bytes)
        });
        let ended = async_io::block_on(executor.run(run(&hub, order)));
        hub.pool.close(addr);
        Ok((ended, reader.join().expect("a reader")?))
    }

    #[test]
    fn a_request_that_can_not_be_written_whole_was_not_sent() -> std::io::Result<()> {
        assert_eq!(ended("active", "1000000000", true)?, (Ended::NotSent, 0));
        Ok(())
    }

    #[test]
    fn nothing_is_written_once_a_drains_grace_has_passed() -> std::io::Result<()> {
        assert_eq!(ended("active", "0", false)?, (Ended::Broken, 14));
        assert_eq!(ended("leaving", "60000000000", false)?, (Ended::Broken, 14));
        assert_eq!(ended("leaving", "0", false)?, (Ended::Withheld, 0));
        assert_eq!(ended("left", "0", false)?, (Ended::Withheld, 0));
        Ok(())
    }

    #[test]
    fn a_want_of_descriptors_is_waited_out_and_no_failure_of_the_member() -> std::io::Result<()> {
        let host = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = host.local_addr()?;
        let config = parse(CONFIG.as_bytes(), |_| None, Reading::Start).expect("a sound example");
        let executor = Rc::new(LocalExecutor::new());
        let hub = Hub::new(&config, None, &executor);
        let mut taken: Vec<_> = std::iter::from_fn(|| hub.budget.take()).collect();
        let far = std::thread::spawn(move || {
            let mut far = host.accept()?.0;
            let mut bytes = [0; 64];
            let _ = far.read(&mut bytes)?;
            far.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")?;
            far.read(&mut bytes)
        });
        let order =
            Order { id: ExchangeId::Probe(99), member: MemberId(0), addr, query: Query::Own("SELECT 1") };
        let free = async {
            // Long enough for the exchange to find nothing, and well within its time for a connection.
            Timer::after(LOOK_AGAIN * 2).await;
            taken.pop();
            future::pending().await
        };
        let ended = async_io::block_on(executor.run(future::or(run(&hub, order), free)));
        assert_eq!(ended, Ended::Broken, "the query was written, and the member closed");
        assert_eq!(far.join().expect("a far side")?, 14);
        Ok(())
    }
}
