//! The state that a router's tasks share. It passes inputs to routing and carries out the effects that
//! routing returns.

use super::client::{ClientRegistry, EvictionPriority};
use super::exchange::{self, FinishedExchange, RunningExchanges};
use super::fleet::FleetLink;
use super::io::ReadBuffer;
use super::memory_budget::{MemoryAccount, MemoryBudget};
use super::pool::{HostPool, PoolTimeouts};
use super::semaphore::{Permit, Semaphore};
use super::shutdown::Shutdown;
use super::snapshot_file;
use super::tasks::TaskSpawner;
use super::timers::TimerDeadline;
use super::watch::DiscoveryWatches;
use crate::protocol::discovery::HostList;
use crate::routing::{Clock, Effect, ExchangeId, ExchangeResult, ExchangeStart, Input, Router};
use async_executor::LocalExecutor;
use basalthill_config::router::{RouterConfig, HOST_REUSE_DELAY, IDLE_TIMEOUT_FRACTION};
use basalthill_policy::api::Time;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The state that a router's tasks share; each field owns one resource.
pub struct Driver {
    /// The clock that inputs are timestamped with.
    pub clock: Clock,
    /// The routing state, without I/O.
    pub router: RefCell<Router>,
    /// The handle for spawning tasks, until the shutdown.
    pub tasks: TaskSpawner,
    /// The client connections.
    pub clients: ClientRegistry,
    /// The exchanges with hosts that are in flight.
    pub exchanges: RunningExchanges,
    /// The idle connections to hosts.
    pub pool: HostPool,
    /// The file descriptors that client and host connections may use together.
    pub descriptors: Semaphore,
    /// The memory that requests may use on all connections, from the client's socket to the host's.
    pub request_memory: MemoryBudget,
    /// The memory of requests whose clients have their reply or have disconnected, while an attempt is in
    /// flight.
    completed_requests: MemoryAccount,
    /// The memory that responses may use on all connections, from the host's socket to the client's.
    pub response_memory: MemoryBudget,
    /// The number of connections up to which a client may have several requests in flight.
    pipelining_descriptors: usize,
    /// The number of bytes that each connection may hold without a reservation.
    connection_share: usize,
    /// The buffer that all sockets are read into.
    pub read_buffer: ReadBuffer,
    /// The watches on discovery's endpoint list.
    pub discovery: DiscoveryWatches,
    /// The link to the peers in the fleet, if this router belongs to one.
    pub fleet: FleetLink,
    /// The time until which the timer task sleeps.
    pub timers: TimerDeadline,
    /// The progress of a graceful shutdown.
    pub shutdown: Shutdown,
}

impl Driver {
    /// Creates the state of a starting router, whose tasks run on `executor`.
    pub fn new(
        config: &RouterConfig,
        known_endpoints: Option<HostList>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Driver> {
        let clock = Clock::anchored();
        let mut effects = Vec::new();
        let now = clock.now();
        let sessions = snapshot_file::load_sessions(now, config);
        let deployment = config.deployment.clone();
        let request_memory = MemoryBudget::new(config.limits.request_memory_bytes());
        let response_memory = MemoryBudget::new(config.limits.response_memory_bytes());
        let router = Router::new(now, deployment, sessions, config.seed, known_endpoints, &mut effects);
        let driver = Rc::new(Driver {
            clock,
            router: RefCell::new(router),
            tasks: TaskSpawner::new(executor),
            clients: ClientRegistry::new(config),
            exchanges: RunningExchanges::default(),
            pool: HostPool::new(pool_timeouts(config)),
            descriptors: Semaphore::new(config.limits.descriptors()),
            completed_requests: request_memory.open_account(0),
            request_memory,
            response_memory,
            pipelining_descriptors: config.limits.pipelining_descriptors(),
            connection_share: config.limits.connection_share_bytes(),
            read_buffer: ReadBuffer::default(),
            discovery: DiscoveryWatches::new(config),
            fleet: FleetLink::default(),
            timers: TimerDeadline::default(),
            shutdown: Shutdown::default(),
        });
        driver.apply_effects(effects);
        driver
    }

    /// Passes an input to routing and carries out the resulting effects.
    pub fn handle(self: &Rc<Driver>, input: Input) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        if let Some(offset_ns) = self.clock.system_clock_offset_ns() {
            router.observe_system_clock(now, offset_ns, &mut effects);
        }
        router.handle(now, input, &mut effects);
        drop(router);
        self.apply_effects(effects);
    }

    /// Calls `call` with the routing state and the time, and carries out the effects that it appends.
    pub fn with_router(self: &Rc<Driver>, call: impl FnOnce(&mut Router, Time, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let now = self.clock.now();
        call(&mut self.router.borrow_mut(), now, &mut effects);
        self.apply_effects(effects);
    }

    fn apply_effects(self: &Rc<Driver>, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(effect);
        }
        let router = self.router.borrow();
        self.completed_requests.set_held(router.completed_request_memory());
        self.timers.wake_before(router.next_due());
        if router.unanswered() == 0 {
            self.shutdown.notify_progress();
        }
    }

    fn apply_effect(self: &Rc<Driver>, effect: Effect) {
        match effect {
            Effect::StartExchange(start) => self.start_exchange(start),
            Effect::AbortExchange(id) => self.exchanges.abort(id),
            Effect::SessionToken { client, token } => {
                if let Some(handle) = self.clients.handle(client) {
                    handle.set_session_token(token);
                }
            }
            Effect::SendDatagram { to, bytes } => self.fleet.send(to, &bytes),
            // Produced only by a front end for other proxies, which does not exist yet.
            Effect::ProxyReply { .. } => {}
            Effect::Reply { client, command, reply } => {
                if let Some(handle) = self.clients.handle(client) {
                    handle.push_reply(command, reply);
                }
            }
            Effect::CloseIdleConnections(addr) => self.pool.close_all(addr),
            Effect::CloseConnectionsIdleSince { addr, before } => {
                self.pool.close_idle_since_before(addr, self.clock.instant(before));
            }
        }
    }

    fn start_exchange(self: &Rc<Driver>, start: ExchangeStart) {
        let driver = Rc::clone(self);
        let id = start.id;
        let task = self.tasks.spawn(async move {
            let FinishedExchange { result, row_memory } = exchange::run(&driver, start).await;
            driver.finish_exchange(id, result);
            // From here on, the row is charged to the account of its client.
            drop(row_memory);
        });
        if let Some(task) = task {
            self.exchanges.insert(id, task);
        }
    }

    /// Passes the result of an exchange to routing. The exchange's own task calls this at its end.
    fn finish_exchange(self: &Rc<Driver>, id: ExchangeId, result: ExchangeResult) {
        self.exchanges.detach(id);
        self.handle(Input::ExchangeFinished(id, result));
    }

    /// Returns whether there are so many descriptors and so much memory for responses that a client may have
    /// several requests in flight.
    pub fn has_spare_resources(&self) -> bool {
        let connections = self.clients.len() + self.exchanges.len();
        connections < self.pipelining_descriptors && !self.response_memory.is_scarce()
    }

    /// Opens the account of a client's connection for its requests.
    pub fn open_request_account(&self) -> MemoryAccount {
        self.request_memory.open_account(self.connection_share)
    }

    /// Opens the account of a connection for the responses that it receives from a host or writes to a
    /// client.
    pub fn open_response_account(&self) -> MemoryAccount {
        self.response_memory.open_account(self.connection_share)
    }

    /// Acquires a permit for a descriptor. If none is left, closes the host connection that has been idle the
    /// longest, and if that frees no descriptor, evicts a client connection. Returns `None` if neither frees
    /// one.
    pub async fn acquire_descriptor(&self) -> Option<Permit> {
        if let Some(permit) = self.descriptors.acquire_now() {
            return Some(permit);
        }
        self.pool.close_oldest();
        if let Some(permit) = self.descriptors.acquire_now() {
            return Some(permit);
        }
        self.clients.evict(EvictionPriority::NotYet).await;
        self.descriptors.acquire_now()
    }
}

fn pool_timeouts(config: &RouterConfig) -> PoolTimeouts {
    PoolTimeouts {
        reuse_delay: Duration::from_nanos(HOST_REUSE_DELAY.0),
        idle: Duration::from_nanos(config.deployment.idle_timeout.times(IDLE_TIMEOUT_FRACTION).0),
        connect: Duration::from_nanos(config.deployment.connect_timeout.0),
    }
}
