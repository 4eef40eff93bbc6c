//! One client's connection.

use super::budget::{Budget, Permit, LOOK_AGAIN};
use super::{io, Hub, READ_AT_ONCE};
use crate::protocol::client::{self, CancelKey, ClientMessage, ClientSide};
use crate::protocol::statement::Statement;
use crate::routing::{Answer, ClientId, Input};
use async_io::{Async, Timer};
use basalthill_config::router::{
    RouterConfig, CLIENT_FAULTS, CLIENT_QUIET, CLIENT_TAKES, CLIENT_WHOLE, LARGE, SOCKETS_RESERVED,
};
use basalthill_policy::api::Time;
use basalthill_wire::READY;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It has asked nothing so far, since it connected.
    Unasked(Instant),
    /// Its request is out.
    Busy,
    /// It has had its answers and asked nothing more since then.
    Idle(Instant),
    /// It has been told that its connection ends.
    Leaving(Instant),
}

/// What is left for a client with a request.
enum Word {
    Answer(Answer),
    Token(String),
}

/// Where a client's answer is left for its task, and what the connection is at.
pub struct Slot {
    answer: RefCell<Option<Answer>>,
    token: RefCell<Option<String>>,
    waker: RefCell<Option<Waker>>,
    stage: Cell<Stage>,
    /// When the first byte of the message came that is not whole yet.
    begun: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// The router stops, and it has been looked once more for what had come by then.
    looked: Cell<bool>,
    /// Its socket, while its task goes on.
    stream: Weak<Async<TcpStream>>,
    key: CancelKey,
}

/// How often it is looked whether a client is still there behind what it has sent and what is not read on.
const LOOK_BEHIND: Duration = Duration::from_millis(25);

/// How often room is looked for before a client is turned away: no longer than one that has just come may
/// take to ask.
pub const SEAT_TRIES: u32 = 8;

/// The clients of a router, and what there is for them.
pub struct Clients {
    slots: RefCell<BTreeMap<ClientId, Rc<Slot>>>,
    /// Their part of the descriptors.
    seats: Budget,
    /// From so many on, quiet ones make room for newcomers.
    crowd: usize,
    /// Places for those that are turned away gently.
    pub doors: Budget,
    /// Places for large statements.
    large: Budget,
    /// They are told when their connection is closed between two requests.
    pub farewell: Cell<bool>,
    /// Draws the secrets of cancel keys.
    secrets: RandomState,
    /// Turned away, and told to go, since the log told of them.
    turned_away: Cell<u32>,
    dismissed: Cell<u32>,
}

impl Clients {
    /// None yet.
    pub fn new(config: &RouterConfig) -> Clients {
        Clients {
            slots: RefCell::default(),
            seats: Budget::new(config.limits.client_descriptors()),
            crowd: config.limits.quiet_clients(),
            doors: Budget::new(SOCKETS_RESERVED / 3),
            large: Budget::new(config.limits.large_statements()),
            farewell: Cell::new(config.own.farewell),
            secrets: RandomState::new(),
            turned_away: Cell::new(0),
            dismissed: Cell::new(0),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Where a client's answer is left, while it is there.
    pub fn slot(&self, client: ClientId) -> Option<Rc<Slot>> {
        self.slots.borrow().get(&client).cloned()
    }

    /// The key of a client's connection.
    fn key(&self, client: ClientId) -> CancelKey {
        CancelKey { process: client.0 as u32, secret: self.secrets.hash_one(client.0) as u32 }
    }

    /// The client whose connection has this key.
    fn of_key(&self, key: CancelKey) -> Option<ClientId> {
        let client = ClientId(u64::from(key.process));
        self.slots.borrow().get(&client).filter(|slot| slot.key == key).map(|_| client)
    }

    /// Whether a client is known to have closed its connection, though its task may not have seen it yet.
    pub fn left(&self, client: ClientId) -> bool {
        let stream = self.slots.borrow().get(&client).map(|slot| slot.stream.upgrade());
        stream.is_none_or(|stream| stream.is_none_or(|stream| io::ended(&stream)))
    }

    /// Has them all look whether the router stops.
    pub fn wake(&self) {
        self.slots.borrow().values().for_each(|slot| slot.wake());
    }

    /// How many were turned away, and told to go, since this was last asked.
    pub fn sent_away(&self) -> (u32, u32) {
        (self.turned_away.take(), self.dismissed.take())
    }

    /// Descriptors for a client, out of the clients' part. When there are many, one that has asked nothing
    /// makes room, or the one that has been quiet for longest; one that has only just come is given a moment,
    /// and one in the middle of a message is ended only where there is no place at all. Room is looked for so
    /// often.
    pub async fn seat(&self, hub: &Hub, tries: u32) -> Option<[Permit; 2]> {
        if self.slots.borrow().len() >= self.crowd {
            self.make_room(Room::Begun(Duration::MAX)).await;
        }
        for left in (0..tries).rev() {
            if let Some(seat) = self.seats.take() {
                return Some([hub.permit().await?, seat]);
            }
            match self.make_room(Room::Soon).await {
                Room::No => break,
                Room::Soon if left == 0 => break,
                Room::Soon => drop(Timer::after(LOOK_AGAIN).await),
                Room::Begun(_) | Room::Idle(_) | Room::Unasked(_) => {}
            }
        }
        None
    }

    /// Ends the connection of the client that makes room most readily, if it does so more readily than told.
    pub async fn make_room(&self, than: Room) -> Room {
        let found = self.slots.borrow().values().map(|s| (s.room(), Rc::clone(s))).max_by_key(|f| f.0);
        let Some((room, slot)) = found else { return Room::No };
        if room > than {
            slot.end();
            // Its task is awake by now and ends before this one goes on.
            future::yield_now().await;
        }
        room
    }
}

/// How readily a client makes room where descriptors are short, the readiest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// Not at all.
    No,
    /// Not yet, but in a moment.
    Soon,
    /// It has been at its message for so long: it may have written the rest by now.
    Begun(Duration),
    /// It has idled for so long.
    Idle(Duration),
    /// It has asked nothing, or is leaving, for so long.
    Unasked(Duration),
}

impl Slot {
    fn new(stream: &Rc<Async<TcpStream>>, key: CancelKey) -> Slot {
        Slot {
            answer: RefCell::default(),
            token: RefCell::default(),
            waker: RefCell::default(),
            stage: Cell::new(Stage::Unasked(Instant::now())),
            begun: Cell::default(),
            ended: Cell::new(false),
            looked: Cell::new(false),
            stream: Rc::downgrade(stream),
            key,
        }
    }

    /// How readily it makes room.
    pub fn room(&self) -> Room {
        let (quiet, stage) = (Duration::from_nanos(CLIENT_QUIET.0), self.stage.get());
        // One that is at its message gets a good part of its time for it, whoever else may come.
        let begun = self.begun.get().map(|since| match since.elapsed() {
            age if age < Duration::from_nanos(CLIENT_WHOLE.0 / 2) => Room::Soon,
            age => Room::Begun(age),
        });
        match stage {
            Stage::Busy => Room::No,
            // Its task is on its way out.
            _ if self.ended.get() => Room::Soon,
            Stage::Unasked(since) | Stage::Idle(since) | Stage::Leaving(since) if since.elapsed() < quiet => {
                Room::Soon
            }
            Stage::Idle(since) => begun.unwrap_or(Room::Idle(since.elapsed())),
            Stage::Unasked(since) => begun.unwrap_or(Room::Unasked(since.elapsed())),
            Stage::Leaving(since) => Room::Unasked(since.elapsed()),
        }
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

    /// Leaves its session's token; a newer one takes the place of one that has not gone out.
    pub fn token(&self, token: String) {
        *self.token.borrow_mut() = Some(token);
        self.wake();
    }

    /// What has been left: the answer, or a token that is not to wait for it.
    fn word(&self) -> Option<Word> {
        let answer = self.answer.borrow_mut().take().map(Word::Answer);
        answer.or_else(|| self.token.borrow_mut().take().map(Word::Token))
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
    /// Commands running that were none of ours.
    faults: Cell<u32>,
    /// Since when nothing is read on, so that what waits in the socket may be as old.
    paused: Cell<Option<Time>>,
    _permits: [Permit; 2],
}

impl Seat {
    /// Nothing is read from here on, though more may come.
    fn paused(&self) {
        self.paused.set(self.paused.get().or(Some(self.hub.clock.now())));
    }

    /// Takes in what has been read: it came just now, or while nothing was read.
    fn feed(&self, side: &mut ClientSide, bytes: &[u8]) {
        side.feed(bytes, self.paused.get().unwrap_or_else(|| self.hub.clock.now()));
        // Less than there was room for: the socket is empty.
        if bytes.len() < READ_AT_ONCE {
            self.paused.take();
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.hub.clients.slots.borrow_mut().remove(&self.id);
        self.hub.input(Input::ClientGone(self.id));
        self.hub.settled.notify();
    }
}

/// Why a connection has come to its end.
enum Over {
    /// The client has closed it, or takes nothing any more.
    Gone,
    /// It is closed from this side: what was written last still has to arrive.
    Closed,
}

/// Serves a client until its connection ends.
pub async fn run(hub: Rc<Hub>, id: ClientId, stream: Async<TcpStream>, permits: [Permit; 2]) {
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let slot = Rc::new(Slot::new(&stream, hub.clients.key(id)));
    hub.clients.slots.borrow_mut().insert(id, Rc::clone(&slot));
    hub.input(Input::ClientCame(id));
    let (large, faults, paused) = (RefCell::default(), Cell::default(), Cell::default());
    let seat = Seat { hub, id, slot, large, faults, paused, _permits: permits };
    let mut side = ClientSide::default();
    let over = loop {
        match turn(&seat, &stream, &mut side).await {
            // One that sends without end would else keep the thread to itself.
            Ok(()) => future::yield_now().await,
            Err(over) => break over,
        }
    };
    if let Over::Closed = over {
        linger(&seat, &stream).await;
    }
}

/// The one way in which a connection is closed from this side, once nothing is left to be answered on it.
/// Closed over bytes that have come and are not read, a connection is reset, and the tail of the last answer
/// may be lost: so the sending ends first, and what comes is dropped until the client closes, too. One that
/// makes room for another is not waited for.
async fn linger(seat: &Seat, stream: &Async<TcpStream>) {
    seat.slot.stage.set(Stage::Leaving(Instant::now()));
    seat.slot.begun.take();
    seat.large.take();
    io::part(&seat.hub, stream, seat.slot.until(|| seat.slot.ended.get().then_some(()))).await;
}

/// Tells a client that there is no descriptor for it. Without a door it is told what fits, and that is all.
pub async fn turn_away(hub: Rc<Hub>, stream: Async<TcpStream>, door: Option<Permit>) {
    hub.clients.turned_away.set(hub.clients.turned_away.get() + 1);
    let _ = stream.get_ref().set_nodelay(true);
    let words = client::fatal("53300", "too many connections");
    if door.is_some() && io::write(&stream, &[&words]).await.is_ok() {
        return io::part(&hub, &stream, future::pending()).await;
    }
    // What has come is read, or closing would reset the connection before the client has read its answer.
    let _ = io::read_now(&hub, &stream, |_| {});
    let _ = stream.get_ref().write(&words);
}

/// Writes to a client, which has its time to take it.
async fn write(stream: &Async<TcpStream>, parts: &[&[u8]]) -> Result<(), Over> {
    let late = async {
        Timer::after(Duration::from_nanos(CLIENT_TAKES.0)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    future::or(io::write(stream, parts), late).await.map_err(|_| Over::Gone)
}

/// Says that the connection ends.
async fn dismiss(seat: &Seat, stream: &Async<TcpStream>, code: &str, message: &str) -> Over {
    log::debug!("client {}: {message}", seat.id.0);
    let hub = &seat.hub;
    hub.clients.dismissed.set(hub.clients.dismissed.get() + 1);
    seat.slot.stage.set(Stage::Leaving(Instant::now()));
    match write(stream, &[&client::fatal(code, message)]).await {
        Ok(()) => Over::Closed,
        Err(over) => over,
    }
}

/// Takes the next message and answers it.
async fn turn(seat: &Seat, stream: &Async<TcpStream>, side: &mut ClientSide) -> Result<(), Over> {
    if side.waiting() <= LARGE {
        seat.large.take();
    }
    let (message, came) = match side.take() {
        Ok(Some(next)) => next,
        Ok(None) => return more(seat, stream, side).await,
        Err(e) => return Err(dismiss(seat, stream, "08P01", &e.to_string()).await),
    };
    seat.slot.begun.take();
    let reply = match message {
        ClientMessage::Encryption => client::NO_ENCRYPTION.to_vec(),
        ClientMessage::CancelRequest(key) => {
            if let Some(client) = seat.hub.clients.of_key(key) {
                seat.hub.input(Input::Cancelled(client));
            }
            return Err(Over::Closed);
        }
        ClientMessage::Terminate => return Err(Over::Closed),
        ClientMessage::Startup { newer } => client::welcome(newer, seat.slot.key),
        ClientMessage::Unsupported(kind) => {
            let whole = client::error("0A000", "only simple queries are served", None);
            return fault(seat, stream, if kind == b'F' { whole } else { client::unsupported() }).await;
        }
        ClientMessage::Sync => READY.to_vec(),
        ClientMessage::Query(text) if text.trim_ascii().is_empty() => {
            seat.slot.stage.set(Stage::Busy);
            client::empty_query()
        }
        ClientMessage::Query(text) => match Statement::parse(text) {
            Ok(statement) => return request(seat, stream, side, statement, came).await,
            Err(e) => return fault(seat, stream, client::error(e.code, &e.message, None)).await,
        },
    };
    write(stream, &[&reply]).await
}

/// Answers what is none of ours. A client that goes on with such ends its connection, and others get their
/// turn in between: it may send as fast as it can.
async fn fault(seat: &Seat, stream: &Async<TcpStream>, reply: Vec<u8>) -> Result<(), Over> {
    seat.faults.set(seat.faults.get() + 1);
    write(stream, &[&reply]).await?;
    if seat.faults.get() >= CLIENT_FAULTS {
        return Err(dismiss(seat, stream, "08P01", "too many commands that are not served").await);
    }
    future::yield_now().await;
    Ok(())
}

/// What comes of waiting for more.
enum More {
    Bytes,
    Closing,
    Late,
}

/// Waits for more bytes; between requests a router that stops closes its connections. A client that has long
/// asked nothing, or does not finish what it has begun, is told so.
async fn more(seat: &Seat, stream: &Async<TcpStream>, side: &mut ClientSide) -> Result<(), Over> {
    let (hub, slot) = (&seat.hub, &seat.slot);
    if slot.stage.get() == Stage::Busy {
        slot.stage.set(Stage::Idle(Instant::now()));
    }
    if side.waiting() > 0 && slot.begun.get().is_none() {
        slot.begun.set(Some(Instant::now()));
    }
    // One that sends without a pause would else keep a router that stops for as long as it may take.
    let looked = hub.closing.get() && side.waiting() == 0 && slot.looked.replace(true);
    // When the router stops, one that is in the middle of a request may finish it, and one that has only just
    // come may ask. One that makes room for another has had its time.
    let grace = match (side.waiting() > 0, slot.stage.get()) {
        (true, _) => slot.begun.get().map(|since| since + Duration::from_nanos(CLIENT_WHOLE.0)),
        (false, Stage::Unasked(since)) => Some(since + Duration::from_nanos(CLIENT_QUIET.0)),
        (false, _) => None,
    };
    let closing = async {
        slot.until(|| (hub.closing.get() || slot.ended.get()).then_some(())).await;
        if let Some(grace) = grace {
            let sleep = async {
                Timer::at(grace).await;
            };
            future::or(slot.until(|| slot.ended.get().then_some(())), sleep).await;
        }
        Ok(More::Closing)
    };
    let fill = async {
        // Long statements are read on a few at a time, or they would fill the memory together.
        if side.waiting() > LARGE && seat.large.borrow().is_none() {
            seat.paused();
            let place = hub.clients.large.wait().await;
            seat.large.replace(Some(place));
        }
        match io::read(hub, stream, |bytes| seat.feed(side, bytes)).await {
            Ok(1..) => Ok(More::Bytes),
            _ => Err(Over::Gone),
        }
    };
    let late = async {
        let unasked = match slot.stage.get() {
            Stage::Unasked(since) => Some(since),
            _ => None,
        };
        match unasked.or(slot.begun.get()) {
            Some(since) => drop(Timer::at(since + Duration::from_nanos(CLIENT_WHOLE.0)).await),
            None => future::pending().await,
        }
        Ok(More::Late)
    };
    let done = async {
        if looked {
            Ok(More::Closing)
        } else {
            future::pending().await
        }
    };
    let what = future::or(done, future::or(fill, future::or(closing, late))).await?;
    match what {
        More::Bytes => Ok(()),
        More::Late => Err(dismiss(seat, stream, "57P05", "no whole request has come in time").await),
        More::Closing => {
            // What has come by this moment was taken, and is served.
            if !looked {
                match io::read_now(hub, stream, |bytes| seat.feed(side, bytes)) {
                    Ok(1..) => return Ok(()),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    _ => return Err(Over::Gone),
                }
            }
            // No whole request has been read, and none will be: for a client that asks meanwhile, that is a
            // proof.
            if hub.clients.farewell.get() {
                seat.slot.stage.set(Stage::Leaving(Instant::now()));
                write(stream, &[&client::fatal("57P01", "closed between two requests")]).await?;
            }
            Err(Over::Closed)
        }
    }
}

async fn request(
    seat: &Seat,
    stream: &Async<TcpStream>,
    side: &mut ClientSide,
    statement: Statement,
    came: Time,
) -> Result<(), Over> {
    let before = seat.slot.stage.replace(Stage::Busy);
    seat.hub.input(Input::Request(seat.id, Box::new(statement), came));
    let answer = loop {
        let ready = async { Ok(Some(seat.slot.until(|| seat.slot.word()).await)) };
        // What comes meanwhile waits for its turn; a client that closes has gone away.
        let full = side.waiting() > LARGE;
        let fill = async {
            // So much waits that no more is read: the connection's end lies behind it, and is looked for.
            if full {
                seat.paused();
                while !io::hung_up(stream) {
                    Timer::after(LOOK_BEHIND).await;
                }
                return Err(Over::Gone);
            }
            match io::read(&seat.hub, stream, |bytes| seat.feed(side, bytes)).await {
                Ok(1..) => Ok(None),
                _ => Err(Over::Gone),
            }
        };
        match future::or(ready, fill).await? {
            Some(Word::Answer(answer)) => break answer,
            Some(Word::Token(token)) => write(stream, &[&client::session_token(&token)]).await?,
            None => {}
        }
    };
    let token = seat.slot.token.take().map(|t| client::session_token(&t)).unwrap_or_default();
    let reply = match answer {
        Answer::Served(row) => {
            seat.faults.set(0);
            let part = |n: usize| &row.bytes[row.parts[n].clone()];
            return write(stream, &[part(0), part(1), part(2), &token, READY]).await;
        }
        Answer::Refused(after) => {
            let detail = after.map(|ms| ms.to_string());
            client::error("53300", "turned away; trying again does no harm", detail.as_deref())
        }
        Answer::Failed => client::error("58000", "no answer could be had", None),
        Answer::Cancelled => client::error("57014", "called off at its client's wish", None),
        Answer::Invalid(e) => {
            seat.slot.stage.set(before);
            return fault(seat, stream, client::error(e.code, &e.message, None)).await;
        }
    };
    write(stream, &[&token, &reply]).await
}
