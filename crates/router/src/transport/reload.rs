//! Applying a configuration that was read again.

use super::driver::Driver;
use super::fleet;
use super::watch::DiscoveryWatches;
use basalthill_config::router::RouterConfig;
use std::rc::Rc;

/// Applies the settings that can change in a running router, and logs a warning for each changed setting that
/// needs a restart.
pub fn apply(driver: &Rc<Driver>, started: &RouterConfig, reloaded: &RouterConfig) {
    for key in started.keys_requiring_restart(reloaded) {
        tracing::warn!(key, "configuration: {key} has changed, which needs a restart; the old value stays");
    }
    driver.clients.set_close_notice(reloaded.local_settings.close_notice);
    fleet::reload(driver, &started.name, reloaded.local_settings.fleet.as_ref());
    reload_sessions(driver, started, reloaded);
    reload_discovery(driver, reloaded);
}

fn reload_sessions(driver: &Driver, started: &RouterConfig, reloaded: &RouterConfig) {
    let session_config = reloaded.local_settings.sessions.as_ref().map(|s| s.config.clone());
    let table_bytes = started.limits.session_table_bytes();
    let mut router = driver.router.borrow_mut();
    let now = router.unix_time(driver.clock.now());
    router.sessions().reconfigure(now, session_config, table_bytes, started.seed);
}

fn reload_discovery(driver: &Rc<Driver>, reloaded: &RouterConfig) {
    let addr = reloaded.discovery;
    if addr == driver.discovery.addr() {
        tracing::info!(%addr, "configuration: read again, discovery stays");
        return;
    }
    tracing::info!(%addr, "configuration: read again, discovery has moved");
    DiscoveryWatches::open(driver, addr, None);
}
