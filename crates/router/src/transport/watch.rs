//! Discovery's watch: kept open, and opened again when it ends or falls silent. Each address has a watch of
//! its own, with its versions: those of another discovery may not compare.

use super::signal::Signal;
use super::{io, Hub};
use crate::protocol::discovery::{list_request, watch_request, WatchMessage, WatchSide};
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
const REST_FIRST: Duration = Duration::from_millis(50);
/// What discovery has counts as told 6 s after it can be reached, whatever became of calls before. The
/// longest way to it: a silent watch (2.25 s), a rest, a call that is given up (1.2 s before its head, 2.25 s
/// after it), a rest, one that is refused, a rest, and the call that tells: 5.1 s.
const REST_MOST: Duration = Duration::from_millis(500);

/// Where discovery is followed.
pub struct Following {
    addr: Cell<SocketAddr>,
    /// The watches that are open: the newest, and until that has told its list the one before it.
    watches: RefCell<BTreeMap<u64, Task<()>>>,
    /// A call has been made.
    called: Cell<bool>,
    /// The newest version that a watch has told, and where.
    version: Cell<Option<(SocketAddr, u64)>>,
    /// The whole list is asked for.
    pub fetch: Signal,
    /// A list has been told.
    pub listed: Signal,
    /// Discovery has moved: a call to where it was is not waited for.
    moved: Signal,
}

impl Following {
    /// Nowhere yet; `addr` is where it will be.
    pub fn new(addr: SocketAddr) -> Following {
        Following {
            addr: Cell::new(addr),
            called: Cell::new(false),
            version: Cell::new(None),
            watches: RefCell::default(),
            fetch: Signal::default(),
            listed: Signal::default(),
            moved: Signal::default(),
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
        following.moved.notify();
        let number = following.watches.borrow().last_key_value().map_or(0, |(n, _)| n + 1);
        let task = hub.spawn(run(Rc::clone(hub), number, addr, from));
        let mut watches = following.watches.borrow_mut();
        // One that has told nothing yet has nothing to go on with.
        while watches.len() > 1 {
            watches.pop_last();
        }
        watches.extend(task.map(|t| (number, t)));
    }

    /// Whether a watch has told more than a list of this version, at the same address.
    fn outdated(&self, addr: SocketAddr, version: u64) -> bool {
        self.version.get().is_some_and(|(at, newest)| at == addr && version < newest)
    }

    /// Ends all watches.
    pub fn end(&self) {
        self.watches.borrow_mut().clear();
    }

    /// A watch has told a list; called from within it.
    fn told(&self, number: u64, addr: SocketAddr, version: u64) {
        self.version.set(Some((addr, version)));
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
    let mut rest = REST_FIRST;
    // Discovery may have had, and so told, what a watch brings first since the one before last said anything.
    let mut heard = hub.clock.now();
    loop {
        let mut told = false;
        match follow(&hub, number, addr, &mut version, &mut heard, &mut told).await {
            End::Failed(error) => log::warn!("discovery: {error}; the watch is opened again, the list kept"),
            End::Unreadable(error) => {
                log::warn!("discovery: {error}; the whole list is asked for, the old one kept");
                version = None;
            }
        }
        rest = if told { REST_FIRST } else { (rest * 2).min(REST_MOST) };
        Timer::after(rest).await;
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
    let mut side = WatchSide::default();
    let mut over = None;
    let (mut head, mut first) = (false, true);
    loop {
        let message = side.take();
        if !head && side.has_head() {
            (head, until) = (true, Instant::now() + SILENCE);
        }
        match message {
            Ok(Some(WatchMessage::List(list))) => {
                until = Instant::now() + SILENCE;
                let now = hub.clock.now();
                let since = if first { *heard } else { now };
                (*version, *told, *heard, first) = (Some(list.version), true, now, false);
                let number_of_list = list.version;
                hub.input(Input::List(list, since));
                hub.following.told(number, addr, number_of_list);
                continue;
            }
            Ok(Some(WatchMessage::Nothing)) => {
                until = Instant::now() + SILENCE;
                // It has come after all that there was to tell.
                (*heard, first) = (hub.clock.now(), false);
                continue;
            }
            Ok(Some(WatchMessage::End)) => {
                return over.unwrap_or_else(|| End::Failed("the watch has ended".into()))
            }
            Ok(None) => {}
            Err(e) => return End::Unreadable(e.to_string()),
        }
        if let Some(end) = over {
            return end;
        }
        let read = async { Ok(io::read(hub, &stream, |bytes| side.feed(bytes)).await?) };
        match future::or(read, silent(until)).await {
            Ok(0) => {
                // A body that ends with its connection may hold a last line.
                side.closed();
                over = Some(End::Failed("the connection has ended".into()));
            }
            Ok(_) => {}
            // A reset is no end, nor is silence: what came before it may be part of a line.
            Err(end) => return end,
        }
    }
}

/// Fetches the whole list, beside the watch, whenever it is asked for.
pub async fn fetches(hub: Rc<Hub>) {
    loop {
        hub.following.fetch.wait().await;
        hub.following.moved.take();
        let addr = hub.following.addr();
        let moved = async {
            hub.following.moved.wait().await;
            hub.following.fetch.notify();
            Err(End::Failed("discovery has moved meanwhile".into()))
        };
        if let Err(End::Failed(e) | End::Unreadable(e)) = future::or(fetch(&hub, addr), moved).await {
            log::warn!("discovery: fetching the list: {e}");
        }
    }
}

async fn fetch(hub: &Rc<Hub>, addr: SocketAddr) -> Result<(), End> {
    let asked = hub.clock.now();
    let (stream, mut until) = ask(hub, addr, &list_request(&addr.to_string())).await?;
    let mut side = WatchSide::default();
    let mut head = false;
    loop {
        let message = side.take().map_err(|e| End::Unreadable(e.to_string()))?;
        if !head && side.has_head() {
            (head, until) = (true, Instant::now() + SILENCE);
        }
        match message {
            // A watch has told a newer one meanwhile: a drain in it would be forgotten.
            Some(WatchMessage::List(list)) if hub.following.outdated(addr, list.version) => {}
            Some(WatchMessage::List(list)) => {
                hub.input(Input::List(list, asked));
                hub.following.listed.notify();
            }
            Some(WatchMessage::Nothing) => {}
            Some(WatchMessage::End) => return Ok(()),
            None => {
                let read = async { Ok(io::read(hub, &stream, |bytes| side.feed(bytes)).await?) };
                if future::or(read, silent(until)).await? == 0 {
                    side.closed();
                }
            }
        }
    }
}

/// Connects and writes a request, once all routers' budget for such calls has one for it; with the time by
/// which the answer's head is due.
async fn ask(hub: &Hub, addr: SocketAddr, request: &[u8]) -> Result<(Async<TcpStream>, Instant), End> {
    // A router that has just started calls whatever the others do: it could not serve else.
    while hub.following.called.replace(true)
        && !hub.router.borrow_mut().spends(hub.clock.now(), Budget::ListCalls)
    {
        Timer::after(LOOK_AGAIN).await;
    }
    let until = Instant::now() + HEAD_WITHIN;
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
