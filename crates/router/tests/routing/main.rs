//! Tests of the router without sockets: requests, attempts, health checks, timers, endpoint lists and the
//! leases of other proxies.

#[path = "../common/mod.rs"]
mod common;

mod attempts;
mod endpoints;
mod harness;
mod invariants;
mod proxies;
mod requests;
mod timers;
