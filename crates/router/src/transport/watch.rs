//! Discovery's watch: kept open, and opened again when it ends or falls silent.

use super::{io, Hub};
use crate::protocol::discovery::{watch_request, WatchMessage, WatchSide};
use crate::routing::Input;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// An empty line comes every two seconds; after several of them missing the watch is opened anew.
const SILENCE: Duration = Duration::from_secs(7);
const REST_FIRST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_secs(1);

/// Why a watch has ended.
enum End {
    /// The connection, or the protocol on it, has failed.
    Failed(String),
    /// What came could not be read: the whole list is asked for next.
    Unreadable(String),
    /// The whole list is wanted.
    Fetch,
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> End {
        End::Failed(error.to_string())
    }
}

/// Follows the list for ever, from the version known at first.
pub async fn run(hub: Rc<Hub>, addr: SocketAddr, from: Option<u64>) {
    let mut version = from;
    let mut rest = REST_FIRST;
    loop {
        let mut told = false;
        match follow(&hub, addr, &mut version, &mut told).await {
            End::Fetch => version = None,
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
async fn follow(hub: &Rc<Hub>, addr: SocketAddr, version: &mut Option<u64>, told: &mut bool) -> End {
    let connect = async { Ok(Async::<TcpStream>::connect(addr).await?) };
    let stream = match future::or(connect, silence()).await {
        Ok(stream) => stream,
        Err(end) => return end,
    };
    if let Err(e) = io::write(&stream, &[&watch_request(&addr.to_string(), *version)]).await {
        return e.into();
    }
    let mut side = WatchSide::default();
    let mut over = None;
    loop {
        match side.take() {
            Ok(Some(WatchMessage::List(list))) => {
                (*version, *told) = (Some(list.version), true);
                hub.input(Input::List(list));
                hub.listed.notify();
                continue;
            }
            Ok(Some(WatchMessage::Nothing)) => continue,
            Ok(Some(WatchMessage::End)) => return End::Failed("the watch has ended".into()),
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
        let fetch = async {
            hub.fetch.wait().await;
            Err(End::Fetch)
        };
        if let Err(end) = future::or(read, future::or(fetch, silence())).await {
            // A body that ends with its connection may hold a last line.
            side.closed();
            over = Some(end);
        }
    }
}

async fn silence<T>() -> Result<T, End> {
    Timer::after(SILENCE).await;
    Err(End::Failed("silent for too long".into()))
}
