//! Discovery's watch: kept open, and opened again when it ends or falls silent. Each address has a watch of
//! its own, with its versions: those of another discovery may not compare.

use super::backoff::{Backoff, Call};
use super::signal::Signal;
use super::{io, Hub};
use crate::protocol::discovery::{watch_request, WatchCodec, WatchMessage};
use crate::routing::Input;
use async_executor::Task;
use async_io::{Async, Timer};
use basalthill_fleet::Budget;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An empty line comes every two seconds: a watch that brings no whole message for longer has died, however
/// many bytes drip in, and is opened anew at next to no cost.
const SILENCE: Duration = Duration::from_millis(2250);
/// Discovery's agent is near, and answers at once: so long for a connection and the answer's head. A packet
/// that is lost on the way is sent again within it.
const HEAD_WITHIN: Duration = Duration::from_millis(1200);
/// Where lists are asked for, calls of all routers wait in turn, and discovery itself ends one that has
/// waited for two seconds. One given up before that has cost its work for nothing, and is asked again:
/// routers that did so by hundreds would never get a list.
const TURN_WITHIN: Duration = Duration::from_millis(2250);
/// Where discovery is followed.
pub struct Following {
    addr: Cell<SocketAddr>,
    /// The watches that are open: the newest, and until that has told its list the one before it.
    watches: RefCell<BTreeMap<u64, Task<()>>>,
    /// A call has been made.
    called: Cell<bool>,

    /// A list has been told.
    pub listed: Signal,
}

impl Following {
    /// Nowhere yet; `addr` is where it will be.
    pub fn new(addr: SocketAddr) -> Following {
        Following {
            addr: Cell::new(addr),
            called: Cell::new(false),
            watches: RefCell::default(),
            listed: Signal::default(),
        }
    }

    /// Where discovery answers.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Follows discovery at an address. The watch before goes on until the new one has told its list; what is
    /// known stays meanwhile.
    pub fn at(hub: &Rc<Hub>, addr: SocketAddr, from: Option<u64>) {
        let following = &hub.following;
        following.addr.set(addr);
        let number = following.watches.borrow().last_key_value().map_or(0, |(n, _)| n + 1);
        let task = hub.spawn(run(Rc::clone(hub), number, addr, from));
        let mut watches = following.watches.borrow_mut();
        // One that has told nothing yet has nothing to go on with.
        while watches.len() > 1 {
            watches.pop_last();
        }
        watches.extend(task.map(|t| (number, t)));
    }

    /// Ends all watches.
    pub fn end(&self) {
        self.watches.borrow_mut().clear();
    }

    /// A watch has told a list; called from within it.
    fn told(&self, number: u64) {
        self.watches.borrow_mut().retain(|n, _| *n >= number);
        self.listed.notify();
    }
}

/// How often one looks again whether a call may be made.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Why a watch has ended.
enum End {
    /// The connection, or the protocol on it, has failed.
    Failed(String),
    /// Discovery is there and does not get to the call: it says so, or ends it after a while without a word.
    TurnedAway(String),
    /// What came could not be read: the whole list is asked for next.
    Unreadable(String),
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> End {
        End::Failed(error.to_string())
    }
}

/// Follows the list for ever, from the version known at first.
async fn run(hub: Rc<Hub>, number: u64, addr: SocketAddr, from: Option<u64>) {
    let mut version = from;
    let mut backoff = if hub.turns { Backoff::drawn(hub.seed, number) } else { Backoff::steady() };
    // Discovery may have had, and so told, what a watch brings first since the one before last said anything.
    let mut heard = hub.clock.now();
    loop {
        let mut told = false;
        let end = follow(&hub, number, addr, &mut version, &mut heard, &mut told).await;
        let call = if matches!(end, End::TurnedAway(_)) { Call::TurnedAway } else { Call::Unanswered };
        match end {
            End::Failed(error) | End::TurnedAway(error) => {
                log::warn!("discovery: {error}; the watch is opened again, the list kept");
            }
            End::Unreadable(error) => {
                log::warn!("discovery: {error}; the whole list is asked for, the old one kept");
                version = None;
            }
        }
        if told {
            backoff.reset();
        }
        Timer::after(backoff.next(call)).await;
    }
}

/// One watch, to its end.
async fn follow(
    hub: &Rc<Hub>,
    number: u64,
    addr: SocketAddr,
    version: &mut Option<u64>,
    heard: &mut Time,
    told: &mut bool,
) -> End {
    let (stream, mut until) = match ask(hub, addr, &watch_request(&addr.to_string(), *version)).await {
        Ok(asked) => asked,
        Err(end) => return end,
    };
    let mut side = WatchCodec::default();
    let mut over = None;
    let (mut head, mut first) = (false, true);
    loop {
        let message = side.next_message();
        if !head && side.has_head() {
            (head, until) = (true, Instant::now() + SILENCE);
        }
        match message {
            Ok(Some(WatchMessage::List(list))) => {
                until = Instant::now() + SILENCE;
                let now = hub.clock.now();
                let since = if first { *heard } else { now };
                (*version, *told, *heard, first) = (Some(list.version), true, now, false);
                hub.input(Input::EndpointList { list, valid_since: since });
                hub.following.told(number);
                continue;
            }
            Ok(Some(WatchMessage::KeepAlive)) => {
                until = Instant::now() + SILENCE;
                // It has come after all that there was to tell.
                (*heard, first) = (hub.clock.now(), false);
                continue;
            }
            Ok(Some(WatchMessage::End)) => {
                return over.unwrap_or_else(|| End::Failed("the watch has ended".into()))
            }
            Ok(None) => {}
            // What is known stays known: asked for anew, the whole list would cost discovery the more.
            Err(e) if side.was_rejected() => {
                return End::TurnedAway(format!("the call is turned away ({e})"))
            }
            Err(e) => return End::Unreadable(e.to_string()),
        }
        if let Some(end) = over {
            return end;
        }
        let read = async { Ok(io::read(hub, &stream, |bytes| side.feed(bytes)).await?) };
        match future::or(read, silent(until)).await {
            Ok(0) if !head => return End::TurnedAway("the call has ended without an answer".into()),
            Ok(0) => {
                // A body that ends with its connection may hold a last line.
                side.on_close();
                over = Some(End::Failed("the connection has ended".into()));
            }
            Ok(_) => {}
            // A reset is no end, nor is silence: what came before it may be part of a line.
            Err(end) => return end,
        }
    }
}

/// Connects and writes a request, once all routers' budget for such calls has one for it; with the time by
/// which the answer's head is due.
async fn ask(hub: &Hub, addr: SocketAddr, request: &[u8]) -> Result<(Async<TcpStream>, Instant), End> {
    // A router that has just started calls whatever the others do: it could not serve else.
    while hub.following.called.replace(true)
        && !hub.router.borrow_mut().spend_budget(hub.clock.now(), Budget::ListCalls)
    {
        Timer::after(LOOK_AGAIN).await;
    }
    let until = Instant::now() + if hub.turns { TURN_WITHIN } else { HEAD_WITHIN };
    let asked = async {
        let stream = Async::<TcpStream>::connect(addr).await?;
        io::write(&stream, &[request]).await?;
        Ok((stream, until))
    };
    future::or(asked, silent(until)).await
}

async fn silent<T>(until: Instant) -> Result<T, End> {
    Timer::at(until).await;
    Err(End::Failed("silent for too long".into()))
}
