//! Sockets: listener, clients, connections to hosts, discovery's watch and timers, all on one thread. It
//! carries out what routing says and tells it what happened.

mod backoff;
mod client;
mod conversation;
mod disk;
mod exchange;
mod fleet;
mod io;
mod pool;
mod semaphore;
mod signal;
mod watch;

use crate::protocol::discovery::HostList;
use crate::routing::{
    ClientId, Clock, Effect, ExchangeId, ExchangeResult, ExchangeStart, Input, RequestCounters, Router,
};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use basalthill_config::local_settings::FleetSettings;
use basalthill_config::router::{
    shutdown_timeout, RouterConfig, HOST_REUSE_DELAY, IDLE_TIMEOUT_FRACTION, READY_TIMEOUT, STOP_GRACE,
};
use basalthill_policy::api::Time;
use basalthill_session::SessionCounts;
use client::{Clients, Eviction};
use fleet::Link;
use futures_lite::{future, Stream, StreamExt};
use pool::Pool;
use semaphore::{Permit, Semaphore};
use serde::Deserialize;
use signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use watch::Following;

/// How often idle connections are looked through.
const TIDY_EVERY: Duration = Duration::from_millis(500);
/// How often the log tells how it goes.
const TELL_EVERY: Duration = Duration::from_secs(10);
/// After a failed accept, the listener rests this long.
const ACCEPT_REST: Duration = Duration::from_millis(10);
/// So long at most are connections taken in that the machine still holds as the router stops listening.
const LAST_CALL: Duration = Duration::from_millis(50);
/// Bytes read at a time.
const READ_AT_ONCE: usize = 16 * 1024;

/// What the program asks of a router that runs.
#[derive(Debug)]
pub enum ControlCommand {
    /// The configuration has been read again.
    Reload(Box<RouterConfig>),
    /// Stop in good order.
    Stop,
}

/// When routing's next timer is due, and the word that it is sooner by now.
struct Alarm {
    armed: Cell<Time>,
    rearm: Signal,
}

impl Default for Alarm {
    fn default() -> Alarm {
        Alarm { armed: Cell::new(Time(u64::MAX)), rearm: Signal::default() }
    }
}

impl Alarm {
    fn set(&self, due: Option<Time>) {
        self.armed.set(due.unwrap_or(Time(u64::MAX)));
    }

    fn no_later_than(&self, due: Option<Time>) {
        if due.is_some_and(|due| due < self.armed.get()) {
            self.rearm.notify();
        }
    }
}

/// What all tasks of a router share.
struct Hub {
    clock: Clock,
    router: RefCell<Router>,
    executor: RefCell<Option<Rc<LocalExecutor<'static>>>>,
    clients: Clients,
    exchanges: RefCell<BTreeMap<ExchangeId, Task<()>>>,
    pool: Pool,
    descriptors: Semaphore,
    scratch: RefCell<Vec<u8>>,
    following: Following,
    /// The link to other routers, where there is one.
    link: RefCell<Option<Link>>,
    alarm: Alarm,
    settled: Signal,
    /// No more clients are taken in than have come.
    last_call: Signal,
    closing: Cell<bool>,
    connect_timeout: Duration,
    /// Discovery takes calls of all routers in turn.
    turns: bool,
    /// For random numbers.
    seed: u64,
}

impl Hub {
    /// A router that has just started.
    fn new(config: &RouterConfig, known: Option<HostList>, executor: &Rc<LocalExecutor<'static>>) -> Rc<Hub> {
        let clock = Clock::anchored();
        let connect_timeout = Duration::from_nanos(config.deployment.connect_timeout.0);
        let idle = Duration::from_nanos(config.deployment.conn_idle.times(IDLE_TIMEOUT_FRACTION).0);
        let mut effects = Vec::new();
        let now = clock.now();
        let sessions = disk::sessions(now, config);
        let router = Router::new(now, config.deployment.clone(), sessions, config.seed, known, &mut effects);
        let hub = Rc::new(Hub {
            clock,
            router: RefCell::new(router),
            executor: RefCell::new(Some(Rc::clone(executor))),
            clients: Clients::new(config),
            exchanges: RefCell::default(),
            pool: Pool::new(Duration::from_nanos(HOST_REUSE_DELAY.0), idle),
            descriptors: Semaphore::new(config.limits.descriptors()),
            scratch: RefCell::new(vec![0; READ_AT_ONCE]),
            following: Following::new(config.discovery),
            link: RefCell::default(),
            alarm: Alarm::default(),
            settled: Signal::default(),
            last_call: Signal::default(),
            closing: Cell::new(false),
            connect_timeout,
            turns: config.deployment.settings.poll_endpoint_list,
            seed: config.seed,
        });
        hub.carry_out(effects);
        hub
    }

    /// Hands an input to routing and carries out what comes of it.
    fn input(self: &Rc<Hub>, input: Input) {
        let mut effects = Vec::new();
        let (now, mut router) = (self.clock.now(), self.router.borrow_mut());
        if let Some(ahead) = self.clock.system_clock_offset_ns() {
            router.observe_system_clock(now, ahead, &mut effects);
        }
        router.handle(now, input, &mut effects);
        drop(router);
        self.carry_out(effects);
    }

    fn carry_out(self: &Rc<Hub>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StartExchange(order) => self.begin(order),
                Effect::AbortExchange(id) => drop(self.exchanges.borrow_mut().remove(&id)),
                Effect::SessionToken { client, token } => {
                    if let Some(slot) = self.clients.slot(client) {
                        slot.token(token);
                    }
                }
                Effect::SendDatagram { to, bytes } => {
                    if let Some(link) = self.link.borrow().as_ref() {
                        link.send(to, &bytes);
                    }
                }
                Effect::ProxyReply { .. } => {} // the front towards proxies is still to come
                Effect::Answer { client, command, answer } => {
                    if let Some(slot) = self.clients.slot(client) {
                        slot.answer(command, answer);
                    }
                }
                Effect::CloseIdleConnections(addr) => self.pool.close(addr),
                Effect::CloseConnectionsIdleSince { addr, before: at } => {
                    self.pool.close_older(addr, self.clock.instant(at))
                }
            }
        }
        let router = self.router.borrow();
        self.alarm.no_later_than(router.next_due());
        if router.unanswered() == 0 {
            self.settled.notify();
        }
    }

    /// Spawns a task, unless the router is being taken down.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        Some(self.executor.borrow().as_ref()?.spawn(task))
    }

    fn begin(self: &Rc<Hub>, order: ExchangeStart) {
        let (hub, id) = (Rc::clone(self), order.id);
        let task = self.spawn(async move {
            let ended = exchange::run(&hub, order).await;
            hub.finished(id, ended);
        });
        self.exchanges.borrow_mut().extend(task.map(|t| (id, t)));
    }

    /// An exchange's task has come to its end; called from within it.
    fn finished(self: &Rc<Hub>, id: ExchangeId, ended: ExchangeResult) {
        if let Some(task) = self.exchanges.borrow_mut().remove(&id) {
            task.detach();
        }
        self.input(Input::ExchangeFinished(id, ended));
    }

    /// A descriptor from the budget. When it is spent, the connection to a host that has idled longest makes
    /// room, or else a client.
    async fn permit(&self) -> Option<Permit> {
        if let Some(permit) = self.descriptors.take() {
            return Some(permit);
        }
        self.pool.close_oldest();
        if let Some(permit) = self.descriptors.take() {
            return Some(permit);
        }
        self.clients.evict(Eviction::Soon).await;
        self.descriptors.take()
    }
}

/// Serves until the commands end or say so, then takes the router down in good order.
pub fn serve(
    listener: TcpListener,
    config: RouterConfig,
    commands: impl Stream<Item = ControlCommand>,
) -> std::io::Result<()> {
    let listener = Async::new(listener)?;
    let limit = shutdown_timeout(&config.deployment);
    let known = known(&config);
    let from = known.as_ref().map(|list| list.version);
    let named = known.as_ref().is_some_and(|list| !list.servers.is_empty());
    let executor = Rc::new(LocalExecutor::new());
    let hub = Hub::new(&config, known, &executor);
    let listening = hub.spawn(accept(Rc::clone(&hub), listener));
    let always = [
        hub.spawn(ready(Rc::clone(&hub), named)),
        hub.spawn(timers(Rc::clone(&hub))),
        hub.spawn(tidy(Rc::clone(&hub))),
    ];
    join(&hub, &config)?;
    Following::at(&hub, config.discovery, from);
    let mut own = config.local_settings.clone();
    async_io::block_on(executor.run(async {
        let mut commands = std::pin::pin!(commands);
        while let Some(ControlCommand::Reload(again)) = commands.next().await {
            reload(&hub, &config, &again);
            own = again.local_settings;
        }
        stop_in_order(&hub, listening, limit).await;
    }));
    drop(always);
    // Without an executor the hub spawns nothing more; dropping the last handle ends every task.
    hub.executor.borrow_mut().take();
    hub.following.end();
    hub.link.borrow_mut().take();
    disk::keep(&hub, &own, &config.name);
    Ok(())
}

/// Joins the fleet, if our own settings name one.
fn join(hub: &Rc<Hub>, config: &RouterConfig) -> std::io::Result<()> {
    let Some(settings) = &config.local_settings.fleet else { return Ok(()) };
    let Some(listen) = fleet::address(&config.name, settings) else { return Ok(()) };
    let link = Link::start(hub, listen, settings)
        .map_err(|e| std::io::Error::new(e.kind(), format!("fleet: {listen}: {e}")))?;
    hub.link.replace(Some(link));
    let mut effects = Vec::new();
    let now = hub.clock.now();
    hub.router.borrow_mut().join_fleet(now, &config.name, settings, config.seed, &mut effects);
    hub.carry_out(effects);
    Ok(())
}

/// Takes over what has changed of the fleet; where the socket would change, the old one stays.
fn rejoin(hub: &Rc<Hub>, name: &str, again: Option<&FleetSettings>) {
    let mut effects = Vec::new();
    match (hub.link.borrow().as_ref(), again) {
        (None, None) => {}
        (None, Some(_)) | (Some(_), None) => {
            log::warn!("configuration: fleet has come or gone, which needs a restart; it stays as it was");
        }
        (Some(link), Some(settings)) => {
            if fleet::address(name, settings) != Some(link.listen()) {
                log::warn!(
                    "configuration: fleet.listen has changed, which needs a restart; the old one stays"
                );
            }
            link.keys(settings);
            hub.router.borrow_mut().reload_fleet(hub.clock.now(), settings, &mut effects);
        }
    }
    hub.carry_out(effects);
}

/// Takes over what can change in a running router, and says what can't.
fn reload(hub: &Rc<Hub>, started: &RouterConfig, again: &RouterConfig) {
    for key in started.needs_restart(again) {
        log::warn!("configuration: {key} has changed, which needs a restart; the old value stays");
    }
    hub.clients.farewell.set(again.local_settings.close_notice);
    rejoin(hub, &started.name, again.local_settings.fleet.as_ref());
    let plan = again.local_settings.sessions.as_ref().map(|s| s.plan.clone());
    let bytes = started.limits.session_table_bytes();
    let mut router = hub.router.borrow_mut();
    let now = router.unix_time(hub.clock.now());
    router.sessions().reconfigure(now, plan, bytes, started.seed);
    drop(router);
    match again.discovery == hub.following.addr() {
        true => log::info!("configuration: read again, discovery stays at {}", again.discovery),
        false => {
            log::info!("configuration: read again, discovery is at {} from now on", again.discovery);
            Following::at(hub, again.discovery, None);
        }
    }
}

/// The list in the configuration, if there is one that can be read.
fn known(config: &RouterConfig) -> Option<HostList> {
    if config.known_endpoints.is_null() {
        return None;
    }
    let list = HostList::deserialize(&config.known_endpoints);
    list.inspect_err(|e| log::warn!("known: {e}; waiting for discovery")).ok()
}

/// Goes on as usual for a while, then takes nothing new, and ends once all is answered or the limit has come.
async fn stop_in_order(hub: &Rc<Hub>, listening: Option<Task<()>>, limit: Time) {
    let stopped = hub.clock.now();
    log::info!("stopping: {} requests unanswered", hub.router.borrow().unanswered());
    Timer::after(Duration::from_nanos(STOP_GRACE.0)).await;
    // What the machine has accepted by now is taken in; no more comes after that.
    hub.last_call.notify();
    if let Some(listening) = listening {
        listening.await;
    }
    hub.closing.set(true);
    hub.clients.ready.set(true);
    hub.clients.wake();
    let done = async {
        while hub.clients.count() > 0 {
            hub.settled.wait().await;
        }
    };
    let end = hub.clock.instant(stopped.plus(limit));
    let late = async {
        Timer::at(end).await;
        hub.input(Input::Shutdown);
        Timer::after(TIDY_EVERY / 5).await;
    };
    future::or(done, late).await;
    tell_sessions(hub);
    let mut effects = Vec::new();
    hub.router.borrow_mut().leave_fleet(hub.clock.now(), &mut effects);
    hub.carry_out(effects);
    log::info!("stopped");
}

/// The router is ready, and answers empty queries, once a list is there, known or told; or after a while
/// without one, in which requests are turned away.
async fn ready(hub: Rc<Hub>, named: bool) {
    if !named {
        let listed = async {
            hub.following.listed.wait().await;
            true
        };
        let late = async {
            Timer::after(Duration::from_nanos(READY_TIMEOUT.0)).await;
            false
        };
        if !future::or(listed, late).await {
            log::warn!("no list of members has come; requests are turned away until one does");
        }
    }
    hub.clients.ready.set(true);
    hub.clients.wake();
}

/// Takes clients in, up to the note that no more are to come.
async fn accept(hub: Rc<Hub>, listener: Async<TcpListener>) {
    let mut count = 0;
    loop {
        let next = async { Some(listener.accept().await) };
        let stop = async {
            hub.last_call.wait().await;
            None
        };
        match future::or(stop, next).await {
            Some(Ok((stream, _))) => {
                count += 1;
                admit(&hub, ClientId(count), stream, client::ADMISSION_TRIES).await;
            }
            // One that has gone before it was accepted, or a call that was interrupted.
            Some(Err(e)) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Some(Err(e)) => {
                log::warn!("accept: {e}");
                hub.pool.close_oldest();
                Timer::after(ACCEPT_REST).await;
            }
            None => break,
        }
    }
    // Those that the machine has accepted would be reset as the listener closes. More may come without end.
    let until = Instant::now() + LAST_CALL;
    let wants = |e: &std::io::Error| e.kind() != ErrorKind::WouldBlock;
    let make_room = |e: &std::io::Error| {
        if wants(e) {
            hub.pool.close_oldest()
        }
    };
    let pending = || listener.get_ref().accept().inspect_err(make_room);
    while let Some((stream, _)) = next_pending(pending, until) {
        if let Ok(stream) = Async::new(stream) {
            count += 1;
            admit(&hub, ClientId(count), stream, 1).await;
        }
    }
}

/// The next connection that waits to be accepted, if there is one. A call that fails for a moment leaves
/// those behind it where they are.
fn next_pending<T>(mut accept: impl FnMut() -> std::io::Result<T>, until: Instant) -> Option<T> {
    while Instant::now() < until {
        match accept() {
            Ok(connection) => return Some(connection),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
    None
}

/// Gives a connection its task. Room that is not there at once is looked for so often, for a few at a time
/// beside accepting: those behind them don't wait unread.
async fn admit(hub: &Rc<Hub>, id: ClientId, stream: Async<TcpStream>, tries: u32) {
    let came = Instant::now();
    let mut permits = hub.clients.admission(hub, 1).await;
    let mut rejection_slot = None;
    if permits.is_none() {
        rejection_slot = hub.clients.rejection_slots.take();
        if rejection_slot.is_none() {
            permits = hub.clients.admission(hub, tries).await;
        }
    }
    let (hub, spawner) = (Rc::clone(hub), Rc::clone(hub));
    let task = spawner.spawn(async move {
        if permits.is_none() && rejection_slot.is_some() {
            permits = hub.clients.admission(&hub, tries).await;
        }
        match permits {
            Some(permits) => {
                drop(rejection_slot);
                client::run(hub, id, stream, permits, came).await;
            }
            // A few are turned away gently at a time, or they would hold more descriptors than there are.
            None => client::reject(hub, stream, rejection_slot).await,
        }
    });
    task.into_iter().for_each(Task::detach);
    // Many may come at once: others get their turn in between.
    future::yield_now().await;
}

/// Lets routing's timers fire, never early.
async fn timers(hub: Rc<Hub>) {
    loop {
        let due = hub.router.borrow().next_due();
        hub.alarm.set(due);
        match due {
            Some(due) if due <= hub.clock.now() => {
                hub.input(Input::Tick);
                future::yield_now().await;
            }
            Some(due) => {
                let at = hub.clock.instant(due);
                let sleep = async {
                    Timer::at(at).await;
                };
                future::or(sleep, hub.alarm.rearm.wait()).await;
            }
            None => hub.alarm.rearm.wait().await,
        }
    }
}

/// Tells what has been counted of sessions. Where floors are not ours to make it says nothing that the tally
/// doesn't.
fn tell_sessions(hub: &Hub) {
    let mut router = hub.router.borrow_mut();
    let counts = router.take_session_counts();
    if router.sessions().manages_floors() && counts != SessionCounts::default() {
        log::info!("{counts}");
    }
}

/// Closes what has been idle for too long, and tells now and then how it goes.
async fn tidy(hub: Rc<Hub>) {
    let mut told = Instant::now();
    loop {
        Timer::after(TIDY_EVERY).await;
        hub.pool.tidy();
        let (away, dismissed) = hub.clients.sent_away();
        if away + dismissed > 0 {
            log::warn!("clients: {away} turned away for want of descriptors, {dismissed} told to go");
        }
        if told.elapsed() >= TELL_EVERY {
            told = Instant::now();
            let tally = hub.router.borrow_mut().take_request_counters();
            tell_sessions(&hub);
            if tally != RequestCounters::default() {
                let (clients, idle, left) = (hub.clients.count(), hub.pool.len(), hub.descriptors.left());
                let open = hub.exchanges.borrow().len();
                log::info!(
                    "{tally}; {clients} clients, {open} exchanges, {idle} idle, {left} descriptors left"
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
