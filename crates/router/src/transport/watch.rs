//! Discovery's watch: kept open, and opened again when it ends or falls silent. Each address has a watch of
//! its own, with its versions: those of another discovery may not compare.

use super::signal::Signal;
use super::{io, Hub};
use crate::protocol::discovery::{list_request, watch_request, WatchMessage, WatchSide};
use crate::routing::Input;
use async_executor::Task;
use async_io::{Async, Timer};
use basalthill_fleet::Budget;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// An empty line comes every two seconds: a watch that brings nothing for longer has died, and is opened anew
/// at next to no cost. Members that come and go unnoticed meanwhile cost requests.
const SILENCE: Duration = Duration::from_millis(2500);
const REST_FIRST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_secs(1);

/// Where discovery is followed.
pub struct Following {
    addr: Cell<SocketAddr>,
    /// The watches that are open: the newest, and until that has told its list the one before it.
    watches: RefCell<BTreeMap<u64, Task<()>>>,
    /// A call has been made.
    called: Cell<bool>,
    /// The whole list is asked for.
    pub fetch: Signal,
    /// A list has been told.
    pub listed: Signal,
}

impl Following {
    /// Nowhere yet; `addr` is where it will be.
    pub fn new(addr: SocketAddr) -> Following {
        let (fetch, listed) = (Signal::default(), Signal::default());
        Following {
            addr: Cell::new(addr),
            called: Cell::new(false),
            watches: RefCell::default(),
            fetch,
            listed,
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

    /// A watch has told its list; called from within it.
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
    loop {
        let mut told = false;
        match follow(&hub, number, addr, &mut version, &mut told).await {
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
    told: &mut bool,
) -> End {
    let stream = match ask(hub, addr, &watch_request(&addr.to_string(), *version)).await {
        Ok(stream) => stream,
        Err(end) => return end,
    };
    let mut side = WatchSide::default();
    let mut over = None;
    loop {
        match side.take() {
            Ok(Some(WatchMessage::List(list))) => {
                (*version, *told) = (Some(list.version), true);
                hub.input(Input::List(list));
                hub.following.told(number);
                continue;
            }
            Ok(Some(WatchMessage::Nothing)) => continue,
            Ok(Some(WatchMessage::End)) => {
                return over.unwrap_or_else(|| End::Failed("the watch has ended".into()))
            }
            Ok(None) => {}
            Err(e) => return End::Unreadable(e.to_string()),
        }
        if let Some(end) = over {
            return end;
        }
        let read = async {
            match io::read(hub, &stream, |bytes| side.feed(bytes)).await? {
                0 => Err(End::Failed("the connection has ended".into())),
                _ => Ok(()),
            }
        };
        if let Err(end) = future::or(read, silence()).await {
            // A body that ends with its connection may hold a last line.
            side.closed();
            over = Some(end);
        }
    }
}

/// Fetches the whole list, beside the watch, whenever it is asked for.
pub async fn fetches(hub: Rc<Hub>) {
    loop {
        hub.following.fetch.wait().await;
        let addr = hub.following.addr();
        if let Err(End::Failed(e) | End::Unreadable(e)) = fetch(&hub, addr).await {
            log::warn!("discovery: fetching the list: {e}");
        }
    }
}

async fn fetch(hub: &Rc<Hub>, addr: SocketAddr) -> Result<(), End> {
    let stream = ask(hub, addr, &list_request(&addr.to_string())).await?;
    let mut side = WatchSide::default();
    loop {
        match side.take().map_err(|e| End::Unreadable(e.to_string()))? {
            // Discovery may have moved meanwhile: its new address has told, or will tell, the newer list.
            Some(WatchMessage::List(_)) if addr != hub.following.addr() => {
                hub.following.fetch.notify();
                return Ok(());
            }
            Some(WatchMessage::List(list)) => {
                hub.input(Input::List(list));
                hub.following.listed.notify();
            }
            Some(WatchMessage::Nothing) => {}
            Some(WatchMessage::End) => return Ok(()),
            None => {
                let read = async { Ok(io::read(hub, &stream, |bytes| side.feed(bytes)).await?) };
                if future::or(read, silence()).await? == 0 {
                    side.closed();
                }
            }
        }
    }
}

/// Connects and writes a request, once all routers' budget for such calls has one for it.
async fn ask(hub: &Hub, addr: SocketAddr, request: &[u8]) -> Result<Async<TcpStream>, End> {
    // A router that has just started calls whatever the others do: it could not serve else.
    while hub.following.called.replace(true)
        && !hub.router.borrow_mut().spends(hub.clock.now(), Budget::ListCalls)
    {
        Timer::after(LOOK_AGAIN).await;
    }
    let asked = async {
        let stream = Async::<TcpStream>::connect(addr).await?;
        io::write(&stream, &[request]).await?;
        Ok(stream)
    };
    future::or(asked, silence()).await
}

async fn silence<T>() -> Result<T, End> {
    Timer::after(SILENCE).await;
    Err(End::Failed("silent for too long".into()))
}
