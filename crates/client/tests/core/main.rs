//! The core: its rules, case by case, and its invariants in a random simulation of routers.

mod attempts;
mod deadlines;
mod harness;
mod messages;
mod reconnects;
mod retries;
mod sessions;
mod simulation;
mod validation;
