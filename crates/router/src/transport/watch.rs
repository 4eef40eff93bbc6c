//! Discovery's watch: kept open, and opened again when it ends or falls silent. Each address has a watch of
//! its own, with its versions: those of another discovery may not compare.

use super::{io, Hub};
use crate::protocol::discovery::{list_request, watch_request, WatchMessage, WatchSide};
use crate::routing::Input;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// An empty line comes every two seconds: a watch that brings nothing for longer has died, and is opened anew
/// at next to no cost. Members that come and go unnoticed meanwhile cost requests.
const SILENCE: Duration = Duration::from_millis(2500);
const REST_FIRST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_secs(1);

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
pub async fn run(hub: Rc<Hub>, number: u64, addr: SocketAddr, from: Option<u64>) {
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
    let stream = match ask(addr, &watch_request(&addr.to_string(), *version)).await {
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
                hub.told(number);
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
        hub.fetch.wait().await;
        let addr = hub.discovery.get();
        if let Err(End::Failed(e) | End::Unreadable(e)) = fetch(&hub, addr).await {
            log::warn!("discovery: fetching the list: {e}");
        }
    }
}

async fn fetch(hub: &Rc<Hub>, addr: SocketAddr) -> Result<(), End> {
    let stream = ask(addr, &list_request(&addr.to_string())).await?;
    let mut side = WatchSide::default();
    loop {
        match side.take().map_err(|e| End::Unreadable(e.to_string()))? {
            // Discovery may have moved meanwhile: its new address has told, or will tell, the newer list.
            Some(WatchMessage::List(_)) if addr != hub.discovery.get() => {
                hub.fetch.notify();
                return Ok(());
            }
            Some(WatchMessage::List(list)) => {
                hub.input(Input::List(list));
                hub.listed.notify();
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

/// Connects and writes a request.
async fn ask(addr: SocketAddr, request: &[u8]) -> Result<Async<TcpStream>, End> {
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
