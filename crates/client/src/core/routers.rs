//! The routers as this client sees them: load, circuit breakers, and the choice of one for a new connection.

use crate::config::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Consecutive transport failures that open a router's circuit breaker.
const FAILURES_TO_EJECT: u32 = 3;
/// The cooldown doubles up to this many times.
const MAX_COOLDOWN_DOUBLINGS: u32 = 4;
/// The cooldown is drawn between this fraction of it and this fraction plus one.
const MIN_COOLDOWN_FACTOR: f64 = 0.5;

/// A router, by its place in [`Config::routers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterIndex(usize);

/// How a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransportFailure {
    /// The connect was refused: the router's process is not up.
    NotListening,
    /// Any other way.
    Other,
}

/// Whether a router is in service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CircuitBreaker {
    /// In service.
    Closed,
    /// Ejected until this time. After it, one connection at a time is opened as a probe.
    Open { until: Instant },
}

/// One router.
#[derive(Debug)]
struct Router {
    address: SocketAddr,
    requests_in_flight: usize,
    connections: usize,
    consecutive_failures: u32,
    /// Ejections since the router last completed a connection's startup.
    ejections: u32,
    breaker: CircuitBreaker,
    /// The router was full: it gets no new connection before this time.
    full_until: Option<Instant>,
}

impl Router {
    fn new(address: SocketAddr) -> Router {
        Router {
            address,
            requests_in_flight: 0,
            connections: 0,
            consecutive_failures: 0,
            ejections: 0,
            breaker: CircuitBreaker::Closed,
            full_until: None,
        }
    }

    /// Whether a new connection may be opened now.
    fn accepts_connection(&self, now: Instant, max_connections: usize) -> bool {
        let is_full = self.full_until.is_some_and(|until| until > now) || self.connections >= max_connections;
        let is_ejected = match self.breaker {
            CircuitBreaker::Closed => false,
            CircuitBreaker::Open { until } => until > now || self.connections > 0,
        };
        !is_full && !is_ejected
    }

    /// When a new connection may be opened, if something forbids it for a time; may have passed.
    fn accepts_connection_at(&self) -> Option<Instant> {
        match self.breaker {
            CircuitBreaker::Open { until } if self.connections == 0 => {
                Some(until.max(self.full_until.unwrap_or(until)))
            }
            _ => self.full_until,
        }
    }
}

/// All routers of a client.
#[derive(Debug)]
pub(super) struct Routers {
    routers: Vec<Router>,
    max_connections: usize,
    cooldown: Duration,
}

impl Routers {
    /// The configured routers, all in service.
    pub(super) fn new(config: &Config) -> Routers {
        Routers {
            routers: config.routers.iter().copied().map(Router::new).collect(),
            max_connections: config.max_connections_per_router,
            cooldown: config.ejection_cooldown,
        }
    }

    /// The router's address.
    pub(super) fn address(&self, router: RouterIndex) -> SocketAddr {
        self.routers[router.0].address
    }

    /// Requests on the router's connections.
    pub(super) fn requests_in_flight(&self, router: RouterIndex) -> usize {
        self.routers[router.0].requests_in_flight
    }

    /// The router for a new connection: the one with the fewest connections, ties drawn; `None` if none may
    /// get one now.
    pub(super) fn choose(&self, now: Instant, rng: &mut fastrand::Rng) -> Option<RouterIndex> {
        let mut best: Option<Candidate> = None;
        for (index, router) in self.routers.iter().enumerate() {
            // Drawn for each router, so that the sequence of draws doesn't depend on their states.
            let tie_break = rng.f64();
            if !router.accepts_connection(now, self.max_connections) {
                continue;
            }
            let candidate =
                Candidate { connections: router.connections, tie_break, router: RouterIndex(index) };
            if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best.map(|best| best.router)
    }

    /// The earliest time after `now` at which a router that gets no connections may get one again.
    pub(super) fn next_acceptance(&self, now: Option<Instant>) -> Option<Instant> {
        let times = self.routers.iter().filter_map(Router::accepts_connection_at);
        times.filter(|time| now.is_none_or(|now| *time > now)).min()
    }

    /// A connection is being opened.
    pub(super) fn on_connection_opened(&mut self, router: RouterIndex) {
        self.routers[router.0].connections += 1;
    }

    /// A connection has ended or was given up.
    pub(super) fn on_connection_removed(&mut self, router: RouterIndex) {
        self.routers[router.0].connections -= 1;
    }

    /// A connection has completed its startup: the router is in service.
    pub(super) fn on_connection_ready(&mut self, router: RouterIndex) {
        let router = &mut self.routers[router.0];
        router.breaker = CircuitBreaker::Closed;
        router.consecutive_failures = 0;
        router.ejections = 0;
        router.full_until = None;
    }

    /// The router has rejected a connection because it is full.
    pub(super) fn on_router_full(&mut self, router: RouterIndex, until: Instant) {
        self.routers[router.0].full_until = Some(until);
    }

    /// A statement is being written.
    pub(super) fn on_request_started(&mut self, router: RouterIndex) {
        self.routers[router.0].requests_in_flight += 1;
    }

    /// A statement's connection was removed.
    pub(super) fn on_request_abandoned(&mut self, router: RouterIndex) {
        self.routers[router.0].requests_in_flight -= 1;
    }

    /// A complete response has been received, whatever it says: the transport works.
    pub(super) fn on_response(&mut self, router: RouterIndex) {
        let router = &mut self.routers[router.0];
        router.requests_in_flight -= 1;
        router.consecutive_failures = 0;
    }

    /// A connection has failed. Returns whether the router is ejected for it.
    pub(super) fn on_transport_failure(
        &mut self,
        now: Instant,
        router: RouterIndex,
        failure: TransportFailure,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let factor = MIN_COOLDOWN_FACTOR + rng.f64();
        let router = &mut self.routers[router.0];
        router.consecutive_failures += 1;
        let was_probe = matches!(router.breaker, CircuitBreaker::Open { .. });
        let is_ejected = failure == TransportFailure::NotListening
            || was_probe
            || router.consecutive_failures >= FAILURES_TO_EJECT;
        if is_ejected {
            let cooldown = self.cooldown * (1 << router.ejections.min(MAX_COOLDOWN_DOUBLINGS));
            router.breaker = CircuitBreaker::Open { until: now + cooldown.mul_f64(factor) };
            router.ejections += 1;
        }
        is_ejected
    }
}

/// A router that may get a new connection.
struct Candidate {
    connections: usize,
    tie_break: f64,
    router: RouterIndex,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.connections, self.tie_break) < (other.connections, other.tie_break)
    }
}
