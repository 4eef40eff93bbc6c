//! One client's connection.

use super::budget::Permit;
use super::{io, Hub};
use crate::protocol::client::{self, ClientMessage, ClientSide};
use crate::protocol::frames::READY;
use crate::protocol::statement::Statement;
use crate::routing::{Answer, ClientId, Input};
use async_io::Async;
use basalthill_config::router::LARGE;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// Where a client's answer is left for its task, and how long the client has asked nothing.
#[derive(Default)]
pub struct Slot {
    answer: RefCell<Option<Answer>>,
    waker: RefCell<Option<Waker>>,
    idle: Cell<Option<Instant>>,
    ended: Cell<bool>,
}

impl Slot {
    /// How long the client has asked nothing; zero while a request of it is out.
    pub fn idle_for(&self) -> Duration {
        self.idle.get().map(|since| since.elapsed()).unwrap_or_default()
    }

    /// Has the connection closed, if it is between two requests.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake();
    }

    /// Leaves an answer.
    pub fn answer(&self, answer: Answer) {
        *self.answer.borrow_mut() = Some(answer);
        self.wake();
    }

    /// Wakes the task to look round.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    async fn until<T>(&self, mut look: impl FnMut() -> Option<T>) -> T {
        poll_fn(|cx| match look() {
            Some(found) => Poll::Ready(found),
            None => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// A client on the hub's books; off them when dropped, and its request with it.
struct Seat {
    hub: Rc<Hub>,
    id: ClientId,
    slot: Rc<Slot>,
    large: RefCell<Option<Permit>>,
    _permit: Permit,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.hub.clients.borrow_mut().remove(&self.id);
        self.hub.input(Input::ClientGone(self.id));
        self.hub.settled.notify();
    }
}

/// Why a connection has come to its end.
struct Over;

/// Serves a client until its connection ends.
pub async fn run(hub: Rc<Hub>, id: ClientId, stream: Async<TcpStream>, permit: Permit) {
    let _ = stream.get_ref().set_nodelay(true);
    let slot = Rc::new(Slot::default());
    hub.clients.borrow_mut().insert(id, Rc::clone(&slot));
    let seat = Seat { hub, id, slot, large: RefCell::default(), _permit: permit };
    let mut side = ClientSide::default();
    while let Ok(()) = turn(&seat, &stream, &mut side).await {}
}

/// Tells a client that there is no descriptor for it.
pub async fn turn_away(hub: Rc<Hub>, stream: Async<TcpStream>, _door: Permit) {
    log::warn!("no descriptor left for a client");
    if io::write(&stream, &[&client::fatal("53300", "too many connections")]).await.is_ok() {
        io::part(&hub, &stream).await;
    }
}

/// Takes the next message and answers it.
async fn turn(seat: &Seat, stream: &Async<TcpStream>, side: &mut ClientSide) -> Result<(), Over> {
    if side.waiting() <= LARGE {
        seat.large.take();
    }
    let message = match side.take() {
        Ok(Some(message)) => message,
        Ok(None) => return more(seat, stream, side).await,
        Err(e) => {
            log::debug!("client: {e}");
            if io::write(stream, &[&client::fatal("08P01", &e.to_string())]).await.is_ok() {
                io::part(&seat.hub, stream).await;
            }
            return Err(Over);
        }
    };
    let reply = match message {
        ClientMessage::Encryption => client::NO_ENCRYPTION.to_vec(),
        ClientMessage::CancelRequest | ClientMessage::Terminate => return Err(Over),
        ClientMessage::Startup { newer } => client::welcome(newer),
        ClientMessage::Unsupported(b'F') => client::error("0A000", "only simple queries are served", None),
        ClientMessage::Unsupported(_) => client::unsupported(),
        ClientMessage::Sync => READY.to_vec(),
        ClientMessage::Query(text) if text.trim_ascii().is_empty() => client::empty_query(),
        ClientMessage::Query(text) => match Statement::parse(text) {
            Ok(statement) => return request(seat, stream, side, statement).await,
            Err(e) => client::error(e.code, &e.message, None),
        },
    };
    io::write(stream, &[&reply]).await.map_err(|_| Over)
}

/// Waits for more bytes; between requests a router that stops closes its connections.
async fn more(seat: &Seat, stream: &Async<TcpStream>, side: &mut ClientSide) -> Result<(), Over> {
    let (hub, slot) = (&seat.hub, &seat.slot);
    slot.idle.set(Some(Instant::now()));
    let closing = slot.until(|| (hub.closing.get() || slot.ended.get()).then_some(Err(Over)));
    let fill = async {
        // Long statements are read on a few at a time, or they would fill the memory together.
        if side.waiting() > LARGE && seat.large.borrow().is_none() {
            let place = hub.large.wait().await;
            seat.large.replace(Some(place));
        }
        match io::read(hub, stream, |bytes| side.feed(bytes)).await {
            Ok(1..) => Ok(()),
            _ => Err(Over),
        }
    };
    let more = future::or(fill, closing).await;
    slot.idle.set(None);
    more
}

async fn request(
    seat: &Seat,
    stream: &Async<TcpStream>,
    side: &mut ClientSide,
    statement: Statement,
) -> Result<(), Over> {
    seat.hub.input(Input::Request(seat.id, Box::new(statement)));
    let answer = loop {
        let ready = async { Ok(Some(seat.slot.until(|| seat.slot.answer.borrow_mut().take()).await)) };
        // What comes meanwhile waits for its turn; a client that closes has gone away.
        let full = side.waiting() > LARGE;
        let fill = async {
            if full {
                future::pending::<()>().await;
            }
            match io::read(&seat.hub, stream, |bytes| side.feed(bytes)).await {
                Ok(1..) => Ok(None),
                _ => Err(Over),
            }
        };
        if let Some(answer) = future::or(ready, fill).await? {
            break answer;
        }
    };
    let reply = match answer {
        Answer::Served(row) => {
            let part = |n: usize| &row.bytes[row.parts[n].clone()];
            return io::write(stream, &[part(0), part(1), part(2), READY]).await.map_err(|_| Over);
        }
        Answer::Refused(after) => {
            let detail = after.map(|ms| ms.to_string());
            client::error("53300", "turned away; trying again does no harm", detail.as_deref())
        }
        Answer::Failed => client::error("58000", "no answer could be had", None),
        Answer::Invalid(e) => client::error(e.code, &e.message, None),
    };
    io::write(stream, &[&reply]).await.map_err(|_| Over)
}
