//! Settings of one client.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Default of [`Config::max_connections_per_router`].
const DEFAULT_MAX_CONNECTIONS_PER_ROUTER: usize = 32;
/// Default of [`Config::retry_ratio`]: an overloaded tier sees 1.1 times its load in the long run.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default of [`Config::retry_budget_capacity`], in retries.
const DEFAULT_RETRY_BUDGET_CAPACITY: f64 = 10.0;
/// Default of [`Config::reconnect_spread`].
const DEFAULT_RECONNECT_SPREAD: Duration = Duration::from_secs(1);
/// Default of [`Config::idle_timeout`]: routers close idle connections after two seconds at the soonest.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Default of [`Config::connection_lifetime`].
const DEFAULT_CONNECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Default of [`Config::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Default of [`Config::ejection_cooldown`].
const DEFAULT_EJECTION_COOLDOWN: Duration = Duration::from_secs(1);

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// The routers; any of them can serve any request.
    pub routers: Vec<SocketAddr>,
    /// Upper limit of open connections to each router.
    pub max_connections_per_router: usize,
    /// Retries that each request adds to the retry budget, as a fraction of one retry.
    pub retry_ratio: f64,
    /// Upper limit of the retry budget, in retries.
    pub retry_budget_capacity: f64,
    /// After a lost connection the next one is opened at a random moment within this time, and within half of
    /// the time that the next waiting request has left.
    pub reconnect_spread: Duration,
    /// A connection without a request for this long is closed. Routers close theirs after two seconds.
    pub idle_timeout: Duration,
    /// A connection is replaced after about this long (half of it to one and a half times it), so that load
    /// returns to routers that have come back.
    pub connection_lifetime: Duration,
    /// A connection that has not completed its startup within this time has failed.
    pub connect_timeout: Duration,
    /// How long a router is ejected when its circuit breaker opens for the first time; doubled each time that
    /// it fails again.
    pub ejection_cooldown: Duration,
    /// Seed of the client's random numbers: two clients with the same seed make the same draws.
    pub seed: u64,
}

impl Config {
    /// The defaults for these routers, with a seed made of the time and the process's id.
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
