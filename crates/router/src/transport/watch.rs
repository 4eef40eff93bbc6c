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

/// Follows the list for ever, from the version known at first.
pub async fn run(hub: Rc<Hub>, addr: SocketAddr, from: Option<u64>) {
    let mut version = from;
    let mut rest = REST_FIRST;
    loop {
        let mut heard = false;
        let error = follow(&hub, addr, &mut version, &mut heard).await;
        log::info!("discovery: {error}; opening the watch again");
        rest = if heard { REST_FIRST } else { (rest * 2).min(REST_MOST) };
        Timer::after(rest).await;
    }
}

/// One watch, to its end, which it tells.
async fn follow(hub: &Rc<Hub>, addr: SocketAddr, version: &mut Option<u64>, heard: &mut bool) -> String {
    let connect = async { Async::<TcpStream>::connect(addr).await.map_err(|e| e.to_string()) };
    let stream = match future::or(connect, silence()).await {
        Ok(stream) => stream,
        Err(e) => return e,
    };
    if let Err(e) = io::write(&stream, &[&watch_request(&addr.to_string(), *version)]).await {
        return e.to_string();
    }
    let mut side = WatchSide::default();
    loop {
        match side.next() {
            Ok(Some(WatchMessage::List(list))) => {
                (*version, *heard) = (Some(list.version), true);
                hub.input(Input::List(list));
                continue;
            }
            Ok(Some(WatchMessage::Nothing)) => {
                *heard = true;
                continue;
            }
            Ok(Some(WatchMessage::End)) => return "the watch has ended".into(),
            Ok(None) => {}
            Err(e) => {
                // The whole list comes next: what could not be read is made good by it.
                *version = None;
                return e.to_string();
            }
        }
        let read = async {
            let read = io::read(hub, &stream, |bytes| side.feed(bytes));
            match future::or(async { Some(read.await) }, async {
                hub.fetch.wait().await;
                None
            })
            .await
            {
                Some(Ok(0)) => Err("the connection has ended".to_string()),
                Some(Ok(_)) => Ok(()),
                Some(Err(e)) => Err(e.to_string()),
                None => Err("the whole list is wanted".to_string()),
            }
        };
        if let Err(e) = future::or(read, silence()).await {
            if e.contains("whole list") {
                *version = None;
            }
            side.closed();
            if let Ok(Some(WatchMessage::List(list))) = side.next() {
                *version = Some(list.version);
                hub.input(Input::List(list));
            }
            return e;
        }
    }
}

async fn silence<T>() -> Result<T, String> {
    Timer::after(SILENCE).await;
    Err("silent for too long".into())
}
