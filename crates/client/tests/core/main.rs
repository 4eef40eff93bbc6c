//! Tests of the core: one module for each part of its behaviour, and `simulation`, which checks its
//! invariants against randomly failing routers.

mod attempts;
mod deadlines;
mod harness;
mod messages;
mod reconnects;
mod retries;
mod sessions;
mod simulation;
mod validation;
