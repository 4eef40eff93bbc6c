//! The routers of a client: their load, their circuit breakers, and the choice of the router for a new
//! connection.

use crate::config::Config;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of consecutive transport failures that opens a router's circuit breaker.
const FAILURES_TO_EJECT: u32 = 3;
/// Maximum number of times that the cooldown is doubled.
const MAX_COOLDOWN_DOUBLINGS: u32 = 4;
/// Jitter of the cooldown: it is multiplied by a random factor between this value and this value plus one.
const MIN_COOLDOWN_FACTOR: f64 = 0.5;

/// The index of a router in [`Config::routers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterIndex(usize);

/// How a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransportFailure {
    /// The connect was refused: the router's process is not running.
    NotListening,
    /// Any other failure.
    Other,
}

/// The state of a router's circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CircuitBreaker {
    /// The router is in service.
    Closed,
    /// The router is ejected until this time. After it, one connection at a time is opened as a probe, and
    /// the breaker closes when a probe completes its startup.
    Open { until: Instant },
}

/// The state of one router.
#[derive(Debug)]
struct Router {
    address: SocketAddr,
    requests_in_flight: usize,
    connections: usize,
    consecutive_failures: u32,
    /// Number of ejections since a connection to the router last completed its startup.
    ejections: u32,
    breaker: CircuitBreaker,
    /// The time before which no new connection is opened, because the router was full and rejected one.
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

    /// Returns whether a new connection to the router may be opened now.
    fn accepts_connection(&self, now: Instant, max_connections: usize) -> bool {
        let is_full = self.full_until.is_some_and(|until| until > now) || self.connections >= max_connections;
        let is_ejected = match self.breaker {
            CircuitBreaker::Closed => false,
            CircuitBreaker::Open { until } => until > now || self.connections > 0,
        };
        !is_full && !is_ejected
    }

    /// Returns the end of the time for which no new connection may be opened because the router is ejected or
    /// full; it may have passed. `None` if there is no such time. The end of an ejection is left out while
    /// the router has a connection, since no other may be opened before that one completes its startup or is
    /// removed.
    fn available_at(&self) -> Option<Instant> {
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
    /// Creates the configured routers, all in service.
    pub(super) fn new(config: &Config) -> Routers {
        Routers {
            routers: config.routers.iter().copied().map(Router::new).collect(),
            max_connections: config.max_connections_per_router,
            cooldown: config.ejection_cooldown,
        }
    }

    /// Returns the router's address.
    pub(super) fn address(&self, router: RouterIndex) -> SocketAddr {
        self.routers[router.0].address
    }

    /// Returns the number of requests in flight on the router's connections.
    pub(super) fn requests_in_flight(&self, router: RouterIndex) -> usize {
        self.routers[router.0].requests_in_flight
    }

    /// Chooses the router for a new connection: the one with the fewest connections, and among equals a
    /// random one. Returns `None` if no router may get a connection now.
    pub(super) fn choose(&self, now: Instant, rng: &mut fastrand::Rng) -> Option<RouterIndex> {
        let mut best: Option<Candidate> = None;
        for (index, router) in self.routers.iter().enumerate() {
            // Generated for each router, so that the sequence of random numbers doesn't depend on the
            // routers' states.
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

    /// Returns the earliest time after `now` at which a connection may again be opened to a router that is
    /// ejected or full.
    pub(super) fn next_available_at(&self, now: Option<Instant>) -> Option<Instant> {
        let times = self.routers.iter().filter_map(Router::available_at);
        times.filter(|time| now.is_none_or(|now| *time > now)).min()
    }

    /// Records that a connection is being opened.
    pub(super) fn on_connection_opened(&mut self, router: RouterIndex) {
        self.routers[router.0].connections += 1;
    }

    /// Records that a connection was closed or could not be opened.
    pub(super) fn on_connection_removed(&mut self, router: RouterIndex) {
        self.routers[router.0].connections -= 1;
    }

    /// Closes the circuit breaker, since a connection to the router has completed its startup.
    pub(super) fn on_connection_ready(&mut self, router: RouterIndex) {
        let router = &mut self.routers[router.0];
        router.breaker = CircuitBreaker::Closed;
        router.consecutive_failures = 0;
        router.ejections = 0;
        router.full_until = None;
    }

    /// Records that the router has rejected a connection because it is full. No new connection to it is
    /// opened before `until`.
    pub(super) fn on_router_full(&mut self, router: RouterIndex, until: Instant) {
        self.routers[router.0].full_until = Some(until);
    }

    /// Records that a request was sent on one of the router's connections.
    pub(super) fn on_request_started(&mut self, router: RouterIndex) {
        self.routers[router.0].requests_in_flight += 1;
    }

    /// Records that a connection was removed with a request in flight.
    pub(super) fn on_request_abandoned(&mut self, router: RouterIndex) {
        self.routers[router.0].requests_in_flight -= 1;
    }

    /// Records a complete response. Even one with an error shows that the transport works, so the count of
    /// consecutive failures is reset.
    pub(super) fn on_response(&mut self, router: RouterIndex) {
        let router = &mut self.routers[router.0];
        router.requests_in_flight -= 1;
        router.consecutive_failures = 0;
    }

    /// Records that a connection has failed. Ejects the router if the connect was refused, if the connection
    /// was a probe, or if [`FAILURES_TO_EJECT`] connections failed in a row. Returns whether the router
    /// was ejected.
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

/// A router to which a new connection may be opened.
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
