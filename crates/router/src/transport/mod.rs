//! Sockets: the listener, clients, connections to hosts, discovery's watch and timers, all on one thread.
//! It feeds what happens to routing and carries out the effects; it decides nothing.
//!
//! Each resource has one owner, a field of `Driver`, which releases it on drop. Tasks reference the
//! driver; [`serve`] ends them all before it returns.

mod backoff;
mod client;
mod conversation;
mod driver;
mod exchange;
mod fleet;
mod io;
mod listener;
mod maintenance;
mod notify;
mod pool;
mod reload;
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

/// A command of the program to a running router.
#[derive(Debug)]
pub enum ControlCommand {
    /// Take over a configuration that has been read again.
    Reload(Box<RouterConfig>),
    /// Stop in good order.
    Stop,
}

/// Why a router could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The listener can't be watched for connections.
    #[error("listener: {0}")]
    Listener(std::io::Error),
    /// The fleet's socket can't be opened.
    #[error("fleet: {listen}: {source}")]
    Fleet {
        /// Where it should listen.
        listen: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// Serves until the commands end or one of them is [`ControlCommand::Stop`], then shuts down gracefully.
///
/// # Errors
///
/// A socket that can't be set up at the start; a router that serves does not fail.
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
    // The tasks reference the driver: without its handle, dropping the executor ends them all.
    driver.tasks.close();
    driver.discovery.close_all();
    driver.fleet.close();
    snapshot_file::store(&driver, &local_settings, &config.name);
    Ok(())
}

/// Starts what runs beside the listener up to the end.
fn spawn_background_tasks(driver: &Rc<Driver>, has_endpoints: bool) -> [Option<Task<()>>; 3] {
    [
        driver.tasks.spawn(become_ready(Rc::clone(driver), has_endpoints)),
        driver.tasks.spawn(timers::run(Rc::clone(driver))),
        driver.tasks.spawn(maintenance::run(Rc::clone(driver))),
    ]
}

/// The endpoint list in the configuration, if there is one that can be read.
fn known_endpoints(config: &RouterConfig) -> Option<HostList> {
    if config.known_endpoints.is_null() {
        return None;
    }
    match HostList::deserialize(&config.known_endpoints) {
        Ok(list) => Some(list),
        Err(e) => {
            tracing::warn!(error = %e, "known: the list can't be read; waiting for discovery");
            None
        }
    }
}

/// The router is ready, and answers empty queries, once it has an endpoint list, from the configuration or
/// from discovery; or after a while without one, in which requests are rejected.
async fn become_ready(driver: Rc<Driver>, has_endpoints: bool) {
    if !has_endpoints {
        let list_arrived = async {
            driver.discovery.list_arrived().await;
            true
        };
        let timed_out = async {
            Timer::after(Duration::from_nanos(READY_TIMEOUT.0)).await;
            false
        };
        if !future::or(list_arrived, timed_out).await {
            tracing::warn!("no endpoint list has arrived; requests are rejected until one does");
        }
    }
    driver.clients.set_ready();
}
