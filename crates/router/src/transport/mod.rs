//! I/O of the router: the listener, client connections, host connections, the discovery watch and timers.
//! All of it runs on one thread, except the receiving side of the fleet socket. This module passes inputs to
//! [`routing`](crate::routing) and carries out the effects that routing returns; it makes no routing
//! decisions.
//!
//! Each resource is owned by one field of `Driver` and released when that field is dropped. Tasks hold
//! references to the driver; [`serve`] drops all tasks before it returns.

mod backoff;
mod client;
mod conversation;
mod driver;
mod exchange;
mod fleet;
mod io;
mod listener;
mod maintenance;
mod memory_budget;
mod memory_reclaim;
mod notify;
mod pool;
mod reload;
mod response_memory;
mod semaphore;
mod shutdown;
mod snapshot_file;
mod tasks;
mod timers;
mod watch;

use crate::protocol::discovery::HostList;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use basalthill_config::router::{shutdown_timeout, RouterConfig, READY_TIMEOUT};
use driver::Driver;
use futures_lite::{future, Stream, StreamExt};
use listener::Listener;
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use watch::DiscoveryWatches;

/// A command from the program to a running router.
#[derive(Debug)]
pub enum ControlCommand {
    /// Apply a configuration that has been read again.
    Reload(Box<RouterConfig>),
    /// Shut down gracefully.
    Stop,
}

/// Why a router could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The listener could not be registered with the reactor.
    #[error("can't register the listener: {0}")]
    Listener(std::io::Error),
    /// The fleet's UDP socket could not be opened.
    #[error("fleet: can't open the socket on {listen}: {source}")]
    Fleet {
        /// The address that the socket should have been bound to.
        listen: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Serves clients until `commands` yields [`ControlCommand::Stop`] or ends, then shuts down gracefully.
///
/// # Errors
///
/// Returns an error if a socket can't be set up at startup. A router that is serving does not fail.
pub fn serve(
    listener: TcpListener,
    config: RouterConfig,
    commands: impl Stream<Item = ControlCommand>,
) -> Result<(), ServeError> {
    let listener = Async::new(listener).map_err(ServeError::Listener)?;
    let known = known_endpoints(&config);
    let known_version = known.as_ref().map(|list| list.version);
    let has_endpoints = known.as_ref().is_some_and(|list| !list.servers.is_empty());
    let executor = Rc::new(LocalExecutor::new());
    let driver = Driver::new(&config, known, &executor);
    let accepting = driver.tasks.spawn(Listener::new(Rc::clone(&driver), listener).run());
    let background_tasks = spawn_background_tasks(&driver, has_endpoints);
    fleet::join(&driver, &config)?;
    DiscoveryWatches::open(&driver, config.discovery, known_version);
    let mut local_settings = config.local_settings.clone();
    async_io::block_on(executor.run(async {
        let mut commands = std::pin::pin!(commands);
        while let Some(ControlCommand::Reload(reloaded)) = commands.next().await {
            reload::apply(&driver, &config, &reloaded);
            local_settings = reloaded.local_settings;
        }
        shutdown::run(&driver, accepting, shutdown_timeout(&config.deployment)).await;
    }));
    drop(background_tasks);
    // The tasks reference the driver, and the driver the executor. Closing the driver's handle breaks the
    // cycle, so that dropping the executor drops all tasks.
    driver.tasks.close();
    driver.discovery.close_all();
    driver.fleet.close();
    snapshot_file::store(&driver, &local_settings, &config.name);
    Ok(())
}

/// Spawns the background tasks: the readiness check, the timers, the periodic maintenance and the reclaiming
/// of memory. They run until the shutdown has completed.
fn spawn_background_tasks(driver: &Rc<Driver>, has_endpoints: bool) -> [Option<Task<()>>; 4] {
    [
        driver.tasks.spawn(wait_until_ready(Rc::clone(driver), has_endpoints)),
        driver.tasks.spawn(timers::run(Rc::clone(driver))),
        driver.tasks.spawn(maintenance::run(Rc::clone(driver))),
        driver.tasks.spawn(memory_reclaim::run(Rc::clone(driver))),
    ]
}

/// Returns the endpoint list in the configuration, if there is a valid one.
fn known_endpoints(config: &RouterConfig) -> Option<HostList> {
    if config.known_endpoints.is_null() {
        return None;
    }
    match HostList::deserialize(&config.known_endpoints) {
        Ok(list) => Some(list),
        Err(e) => {
            tracing::warn!(error = %e, "configuration: invalid \"known\" list; waiting for discovery");
            None
        }
    }
}

/// Waits until the router is ready, and then makes it reply to empty queries. The router is ready once it has
/// an endpoint list from the configuration or from discovery, or after [`READY_TIMEOUT`] without one. Without
/// a list, requests are rejected.
async fn wait_until_ready(driver: Rc<Driver>, has_endpoints: bool) {
    if !has_endpoints {
        let list_received = async {
            driver.discovery.list_received().await;
            true
        };
        let timed_out = async {
            Timer::after(Duration::from_nanos(READY_TIMEOUT.0)).await;
            false
        };
        if !future::or(list_received, timed_out).await {
            tracing::warn!(
                "no endpoint list received within {:?}; rejecting requests until one is received",
                Duration::from_nanos(READY_TIMEOUT.0)
            );
        }
    }
    driver.clients.set_ready();
}
