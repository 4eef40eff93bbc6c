//! One client's connection.

use super::conversation::{Conversation, Step};
use super::semaphore::{Permit, Semaphore, LOOK_AGAIN};
use super::{io, Hub};
use crate::protocol::client::{self, CancelKey};
use crate::routing::{Answer, ClientId, ClientRequest, CommandId, Input};
use async_io::{Async, Timer};
use basalthill_config::router::{
    RouterConfig, CLIENT_EVICTION_IDLE, CLIENT_MESSAGE_TIMEOUT, CLIENT_WRITE_TIMEOUT, RESERVED_SOCKETS,
};
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It has asked nothing so far, since it connected.
    Unasked(Instant),
    /// Requests of it are out, or answers to be written.
    Busy,
    /// It has had its answers and asked nothing more since then.
    Idle(Instant),
    /// It has been told that its connection ends.
    Draining(Instant),
}

/// Where a client's answers are left for its task, and what the connection is at.
pub struct Slot {
    answers: RefCell<Vec<(CommandId, Answer)>>,
    token: RefCell<Option<String>>,
    /// Something has been left, or has changed, since its task looked.
    news: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    stage: Cell<Stage>,
    /// When the first byte of the message came that is not whole yet.
    begun: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Its socket, while its task goes on.
    stream: Weak<Async<TcpStream>>,
    key: CancelKey,
}

/// How often it is looked whether a client is still there behind what it has sent and what is not read on.
const LOOK_BEHIND: Duration = Duration::from_millis(25);
/// So many messages of one client are handled before others get their turn: it may send without end.
const STEPS_AT_ONCE: usize = 16;
/// So many answers are gathered into one write.
const SLICES: usize = 16;

/// How often room is looked for before a client is turned away: no longer than one that has just come may
/// take to ask.
pub const ADMISSION_TRIES: u32 = 8;

/// The clients of a router, and what there is for them.
pub struct Clients {
    slots: RefCell<BTreeMap<ClientId, Rc<Slot>>>,
    /// Their part of the descriptors.
    admissions: Semaphore,
    /// From so many on, quiet ones make room for newcomers.
    crowd: usize,
    /// Places for those that are turned away gently.
    pub rejection_slots: Semaphore,
    /// Places for large statements.
    large: Semaphore,
    /// Empty queries are answered: the router has its list, or has waited for it long enough.
    pub ready: Cell<bool>,
    /// They are told when their connection is closed between two requests.
    pub farewell: Cell<bool>,
    /// Draws the secrets of cancel keys.
    secrets: RandomState,
    /// Turned away, and told to go, since the log told of them.
    rejected: Cell<u32>,
    dismissed: Cell<u32>,
}

impl Clients {
    /// None yet.
    pub fn new(config: &RouterConfig) -> Clients {
        Clients {
            slots: RefCell::default(),
            admissions: Semaphore::new(config.limits.client_descriptors()),
            crowd: config.limits.client_eviction_threshold(),
            rejection_slots: Semaphore::new(RESERVED_SOCKETS / 3),
            large: Semaphore::new(config.limits.max_large_statements()),
            ready: Cell::new(false),
            farewell: Cell::new(config.local_settings.close_notice),
            secrets: RandomState::new(),
            rejected: Cell::new(0),
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
        (self.rejected.take(), self.dismissed.take())
    }

    /// Descriptors for a client, out of the clients' part. When there are many, one that has asked nothing
    /// makes room, or the one that has been quiet for longest; one that has only just come is given a moment,
    /// and one in the middle of a message is ended only where there is no place at all. Room is looked for so
    /// often.
    pub async fn admission(&self, hub: &Hub, tries: u32) -> Option<[Permit; 2]> {
        if self.slots.borrow().len() >= self.crowd {
            self.evict(Eviction::Begun(Duration::MAX)).await;
        }
        for left in (0..tries).rev() {
            if let Some(admitted) = self.admissions.take() {
                return Some([hub.permit().await?, admitted]);
            }
            match self.evict(Eviction::Soon).await {
                Eviction::No => break,
                Eviction::Soon if left == 0 => break,
                Eviction::Soon => drop(Timer::after(LOOK_AGAIN).await),
                Eviction::Begun(_) | Eviction::Idle(_) | Eviction::Unasked(_) => {
                    if let Some(admitted) = self.admissions.take() {
                        return Some([hub.permit().await?, admitted]);
                    }
                }
            }
        }
        None
    }

    /// Ends the connection of the client that makes room most readily, if it does so more readily than told.
    pub async fn evict(&self, than: Eviction) -> Eviction {
        let found = self.slots.borrow().values().map(|s| (s.eviction(), Rc::clone(s))).max_by_key(|f| f.0);
        let Some((room, slot)) = found else { return Eviction::No };
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
pub enum Eviction {
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
            answers: RefCell::default(),
            news: Cell::new(false),
            token: RefCell::default(),
            waker: RefCell::default(),
            stage: Cell::new(Stage::Unasked(Instant::now())),
            begun: Cell::default(),
            ended: Cell::new(false),
            stream: Rc::downgrade(stream),
            key,
        }
    }

    /// How readily it makes room.
    pub fn eviction(&self) -> Eviction {
        let (quiet, stage) = (Duration::from_nanos(CLIENT_EVICTION_IDLE.0), self.stage.get());
        // One that is at its message gets a good part of its time for it, whoever else may come.
        let begun = self.begun.get().map(|since| match since.elapsed() {
            age if age < Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0 / 2) => Eviction::Soon,
            age => Eviction::Begun(age),
        });
        match stage {
            Stage::Busy => Eviction::No,
            // Its task is on its way out.
            _ if self.ended.get() => Eviction::Soon,
            Stage::Unasked(since) | Stage::Idle(since) | Stage::Draining(since)
                if since.elapsed() < quiet =>
            {
                Eviction::Soon
            }
            Stage::Idle(since) => begun.unwrap_or(Eviction::Idle(since.elapsed())),
            Stage::Unasked(since) => begun.unwrap_or(Eviction::Unasked(since.elapsed())),
            Stage::Draining(since) => Eviction::Unasked(since.elapsed()),
        }
    }

    /// Has the connection closed, if it is between two requests.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake();
    }

    /// Leaves a command's answer.
    pub fn answer(&self, command: CommandId, answer: Answer) {
        self.answers.borrow_mut().push((command, answer));
        self.wake();
    }

    /// Leaves its session's token; a newer one takes the place of one that has not gone out.
    pub fn token(&self, token: String) {
        *self.token.borrow_mut() = Some(token);
        self.wake();
    }

    /// Wakes the task to look round.
    pub fn wake(&self) {
        self.news.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until something has been left or has changed.
    async fn news(&self) {
        poll_fn(|cx| match self.news.take() {
            true => Poll::Ready(()),
            false => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// A client that has been admitted. Dropped, it is off the hub's books, and its requests with it.
struct Admitted {
    hub: Rc<Hub>,
    id: ClientId,
    slot: Rc<Slot>,
    large: RefCell<Option<Permit>>,
    /// When its connection came.
    came: Instant,
    permits: RefCell<Option<[Permit; 2]>>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.hub.clients.slots.borrow_mut().remove(&self.id);
        self.hub.input(Input::ClientDisconnected(self.id));
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

/// Serves a client until its connection ends; what it has sent may wait in its socket since `came`.
pub async fn run(hub: Rc<Hub>, id: ClientId, stream: Async<TcpStream>, permits: [Permit; 2], came: Instant) {
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let key = hub.clients.key(id);
    let slot = Rc::new(Slot::new(&stream, key));
    hub.clients.slots.borrow_mut().insert(id, Rc::clone(&slot));
    hub.input(Input::ClientConnected(id));
    let since = hub.clock.now().minus(Time(came.elapsed().as_nanos() as u64));
    let talk = RefCell::new(Conversation::new(key, since));
    let (large, permits) = (RefCell::default(), RefCell::new(Some(permits)));
    let admitted = Admitted { hub, id, slot, large, came, permits };
    let over = converse(&admitted, &stream, &talk).await;
    if let Some(message) = talk.borrow().dismissed() {
        log::debug!("client {}: {message}", admitted.id.0);
        admitted.hub.clients.dismissed.set(admitted.hub.clients.dismissed.get() + 1);
    }
    if let Over::Closed = over {
        linger(&admitted, &stream).await;
    }
}

/// The one way in which a connection is closed from this side, once nothing is left to be answered on it.
/// Closed over bytes that have come and are not read, a connection is reset, and the tail of the last answer
/// may be lost: so the sending ends first, and what comes is dropped until the client closes, too. One that
/// makes room for another gives its descriptor's place up and takes one of the few kept for such, if there is
/// any; else it is not waited for.
async fn linger(admitted: &Admitted, stream: &Async<TcpStream>) {
    admitted.slot.stage.set(Stage::Draining(Instant::now()));
    admitted.slot.begun.take();
    admitted.large.take();
    let mut rejection_slot = None;
    let enough = async {
        loop {
            if admitted.slot.ended.get() && rejection_slot.is_none() {
                rejection_slot = admitted.hub.clients.rejection_slots.take();
                if rejection_slot.is_none() {
                    return;
                }
                admitted.permits.take();
            }
            admitted.slot.news().await;
        }
    };
    io::lingering_close(&admitted.hub, stream, enough).await;
}

/// Carries a conversation: what is to be asked goes to routing, its answers and the bytes of both directions
/// come and go, none waiting for another.
async fn converse(admitted: &Admitted, stream: &Async<TcpStream>, talk: &RefCell<Conversation>) -> Over {
    let (hub, slot) = (&admitted.hub, &admitted.slot);
    let (takes, whole) =
        (Duration::from_nanos(CLIENT_WRITE_TIMEOUT.0), Duration::from_nanos(CLIENT_MESSAGE_TIMEOUT.0));
    let quiet = Duration::from_nanos(CLIENT_EVICTION_IDLE.0);
    let mut stuck = None; // since when the answer that is being written has its client's time
    loop {
        let more = admitted.pass_on(&mut talk.borrow_mut());
        admitted.show(&talk.borrow());
        let (now, mut due) = (Instant::now(), None);
        let mut wait_until = |at: Instant| due = Some(due.map_or(at, |due: Instant| due.min(at)));
        let (resting, speaks) = (talk.borrow().resting(), talk.borrow().speaks());
        if resting && talk.borrow().ending() {
            return Over::Closed;
        }
        match speaks {
            true if now >= *stuck.get_or_insert(now) + takes => {
                io::abort(stream);
                return Over::Gone;
            }
            true => wait_until(stuck.unwrap_or(now) + takes),
            false => stuck = None,
        }
        // A client has its time for its first request, and for each message.
        let unasked = resting && !talk.borrow().used() && !talk.borrow().ending();
        let begun = talk.borrow().begun().map(|at| hub.clock.instant(at));
        let late = begun.into_iter().chain(unasked.then_some(admitted.came)).map(|since| since + whole).min();
        match late {
            Some(late) if now >= late => {
                talk.borrow_mut().late();
                continue;
            }
            Some(late) => wait_until(late),
            None => {}
        }
        // The router stops: what has come by now is taken, and the rest of what has begun; one that has only
        // just come may still ask.
        if hub.closing.get() {
            let grace = (unasked && begun.is_none()).then_some(admitted.came + quiet).filter(|at| now < *at);
            match grace {
                Some(grace) => wait_until(grace),
                None if !talk.borrow().called() => {
                    talk.borrow_mut().last_call(io::unread(stream));
                    if let Err(over) = admitted.look(stream, talk) {
                        return over;
                    }
                    continue;
                }
                None if resting && !talk.borrow().takes() && !talk.borrow().ending() => {
                    admitted.close_between_requests(&mut talk.borrow_mut());
                    continue;
                }
                None => {}
            }
        }
        // It makes room for another: what has come by now is still served.
        if slot.ended.get() && resting && !talk.borrow().ending() {
            match admitted.look(stream, talk) {
                Err(over) => return over,
                Ok(0) => admitted.close_between_requests(&mut talk.borrow_mut()),
                Ok(_) => {}
            }
            continue;
        }
        // One that sends without end would else keep the thread to itself.
        future::yield_now().await;
        if more {
            continue;
        }
        let late = async {
            match due {
                Some(due) => drop(Timer::at(due).await),
                None => future::pending().await,
            }
            Ok(())
        };
        let news = async {
            slot.news().await;
            Ok(())
        };
        let write = async {
            if !speaks {
                return future::pending().await;
            }
            if admitted.write(stream, talk).await.map_err(|_| Over::Gone)? {
                stuck = None;
            }
            Ok(())
        };
        let read = admitted.read(stream, talk);
        let next: Result<(), Over> = future::or(late, future::or(write, future::or(news, read))).await;
        if let Err(over) = next {
            return over;
        }
    }
}

impl Admitted {
    /// Hands over the answers that have come and what may be asked; whether there is more to do at once.
    fn pass_on(&self, talk: &mut Conversation) -> bool {
        for _ in 0..STEPS_AT_ONCE {
            if let Some(token) = self.slot.token.take() {
                talk.token(&token);
            }
            for (command, answer) in self.slot.answers.take() {
                talk.answer(command, answer);
            }
            match talk.step(self.hub.clients.ready.get()) {
                None => return false,
                Some(Step::Done) => {}
                Some(Step::Ask(command, statement, came)) => {
                    let asked = ClientRequest { client: self.id, command, statement, arrived_at: came };
                    self.hub.input(Input::Request(asked));
                }
                Some(Step::Cancel(key)) => {
                    if let Some(client) = self.hub.clients.of_key(key) {
                        self.hub.input(Input::CancelRequested(client));
                    }
                }
            }
        }
        true
    }

    /// Lets others see what the connection is at.
    fn show(&self, talk: &Conversation) {
        let stage = match self.slot.stage.get() {
            Stage::Draining(since) => Stage::Draining(since),
            _ if talk.ending() && talk.answered() => Stage::Draining(Instant::now()),
            _ if !talk.resting() => Stage::Busy,
            Stage::Idle(since) => Stage::Idle(since),
            _ if talk.used() => Stage::Idle(Instant::now()),
            _ => Stage::Unasked(self.came),
        };
        self.slot.stage.set(stage);
        self.slot.begun.set(talk.begun().map(|at| self.hub.clock.instant(at)));
    }

    /// Reads off what has come by now, without waiting.
    fn look(&self, stream: &Async<TcpStream>, talk: &RefCell<Conversation>) -> Result<usize, Over> {
        match io::uninterrupted(|| self.take_in(stream.get_ref(), talk)) {
            Ok(0) => Err(Over::Gone),
            Ok(n) => Ok(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock || io::passes(&e) => Ok(0),
            Err(_) => Err(Over::Gone),
        }
    }

    fn take_in(&self, mut stream: &TcpStream, talk: &RefCell<Conversation>) -> std::io::Result<usize> {
        let mut scratch = self.hub.scratch.borrow_mut();
        match stream.read(&mut scratch) {
            Ok(n) => {
                talk.borrow_mut().read(&scratch[..n], n < scratch.len(), self.hub.clock.now());
                Ok(n)
            }
            Err(e) => {
                if e.kind() == ErrorKind::WouldBlock {
                    talk.borrow_mut().drained();
                }
                Err(e)
            }
        }
    }

    /// Reads on, as far as there is room; notices all the same that the client has gone.
    async fn read(&self, stream: &Async<TcpStream>, talk: &RefCell<Conversation>) -> Result<(), Over> {
        if !talk.borrow().takes() {
            talk.borrow_mut().pause(self.hub.clock.now());
            while !io::hung_up(stream) {
                Timer::after(LOOK_BEHIND).await;
            }
            return Err(Over::Gone);
        }
        // Long statements are read on a few at a time, or they would fill the memory together.
        let large = talk.borrow().large();
        if !large {
            self.large.take();
        } else if self.large.borrow().is_none() {
            talk.borrow_mut().pause(self.hub.clock.now());
            let place = self.hub.clients.large.wait().await;
            self.large.replace(Some(place));
        }
        talk.borrow_mut().resume(self.hub.clock.now());
        match io::read_with(stream, |s| self.take_in(s, talk)).await {
            Ok(1..) => Ok(()),
            _ => Err(Over::Gone),
        }
    }

    /// Writes some of what is to be written; whether an answer has gone out whole.
    async fn write(&self, stream: &Async<TcpStream>, talk: &RefCell<Conversation>) -> std::io::Result<bool> {
        let call = |mut s: &TcpStream| {
            let talk = talk.borrow();
            let mut slices = [IoSlice::new(&[]); SLICES];
            let count = talk.fill(&mut slices);
            s.write_vectored(&slices[..count])
        };
        match io::write_with(stream, call).await? {
            0 => Err(ErrorKind::WriteZero.into()),
            n => Ok(talk.borrow_mut().wrote(n)),
        }
    }

    /// Closes between two requests. No whole request has been read that is not answered, and none will be:
    /// for a client that asks meanwhile, that is a proof.
    fn close_between_requests(&self, talk: &mut Conversation) {
        match self.hub.clients.farewell.get() {
            true => talk.farewell(),
            false => talk.end(),
        }
    }
}

/// Tells a client that there is no descriptor for it. Without a rejection slot it is told
/// what fits, and that is all.
pub async fn reject(hub: Rc<Hub>, stream: Async<TcpStream>, rejection_slot: Option<Permit>) {
    hub.clients.rejected.set(hub.clients.rejected.get() + 1);
    let _ = stream.get_ref().set_nodelay(true);
    let words = client::fatal("53300", "too many connections");
    if rejection_slot.is_some() && io::write(&stream, &[&words]).await.is_ok() {
        return io::lingering_close(&hub, &stream, future::pending()).await;
    }
    // What has come is read, or closing would reset the connection before the client has read its answer.
    let _ = io::read_now(&hub, &stream, |_| {});
    let _ = stream.get_ref().write(&words);
}
