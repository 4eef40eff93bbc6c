//! Settings of one client.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Default of [`Config::max_connections_per_router`].
const DEFAULT_MAX_CONNECTIONS_PER_ROUTER: usize = 32;
/// Default of [`Config::retry_ratio`]: if every request fails, the routers get on average 1.1 times the load
/// that they would get without retries.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default of [`Config::retry_budget_capacity`], in retries.
const DEFAULT_RETRY_BUDGET_CAPACITY: f64 = 10.0;
/// Default of [`Config::reconnect_spread`].
const DEFAULT_RECONNECT_SPREAD: Duration = Duration::from_secs(1);
/// Default of [`Config::idle_timeout`]: shorter than the two seconds after which routers close idle
/// connections at the earliest.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Default of [`Config::connection_lifetime`].
const DEFAULT_CONNECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Default of [`Config::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default of [`Config::ejection_cooldown`].
const DEFAULT_EJECTION_COOLDOWN: Duration = Duration::from_secs(1);

/// The settings of a client.
#[derive(Clone, Debug)]
pub struct Config {
    /// The addresses of the routers. Any router can serve any request.
    pub routers: Vec<SocketAddr>,
    /// Maximum number of connections to each router.
    pub max_connections_per_router: usize,
    /// The fraction of a retry that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Capacity of the retry budget, in retries.
    pub retry_budget_capacity: f64,
    /// Maximum random delay before the next connection is opened after one was lost. The delay is also at
    /// most half of the time that the first waiting request has left. Each time that a router rejects a
    /// connection because it is full, the maximum is doubled, up to three times, until a connection completes
    /// its startup.
    pub reconnect_spread: Duration,
    /// A connection that has been idle for this time is closed. Routers close idle connections after two
    /// seconds, so this should be shorter.
    pub idle_timeout: Duration,
    /// A connection is closed after a random time between 0.5 and 1.5 times this lifetime, as soon as the
    /// connection is idle, so that load returns to routers that have restarted.
    pub connection_lifetime: Duration,
    /// A connection that has not completed its startup within this time is closed and counts as failed.
    pub connect_timeout: Duration,
    /// How long a router is ejected when its circuit breaker opens, before a random factor between 0.5 and
    /// 1.5 is applied. Doubled with each further ejection, up to four times, until a connection to the router
    /// completes its startup.
    pub ejection_cooldown: Duration,
    /// Seed of the client's random numbers. Clients with the same seed generate the same sequence.
    pub seed: u64,
}

impl Config {
    /// Returns the default settings for these routers, with a seed made of the current time and the process
    /// id.
    pub fn new(routers: impl Into<Vec<SocketAddr>>) -> Config {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let process = u64::from(std::process::id());
        Config {
            routers: routers.into(),
            max_connections_per_router: DEFAULT_MAX_CONNECTIONS_PER_ROUTER,
            retry_ratio: DEFAULT_RETRY_RATIO,
            retry_budget_capacity: DEFAULT_RETRY_BUDGET_CAPACITY,
            reconnect_spread: DEFAULT_RECONNECT_SPREAD,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            connection_lifetime: DEFAULT_CONNECTION_LIFETIME,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            ejection_cooldown: DEFAULT_EJECTION_COOLDOWN,
            seed: since_epoch.as_nanos() as u64 ^ (process << 40),
        }
    }
}
