//! Reads and checks all configuration, and fills in the defaults.
//!
//! - [`settings`]: the settings of a deployment, used by the router and by the simulator's adapter (JSON);
//! - [`router`]: the configuration of one router, with its resource limits and timeouts (JSON and environment
//!   variables);
//! - [`local_settings`]: the features that the platform's settings do not cover (KDL).

mod error;
pub mod local_settings;
pub mod router;
pub mod settings;

pub use error::{ConfigError, Problem};
