//! The one place where configuration is read, checked and given defaults.
//!
//! - [`settings`]: the settings of a deployment, for the router and the simulator's adapter alike (JSON);
//! - [`router`]: the configuration of one router, with its limits and timeouts (JSON and variables);
//! - [`local_settings`]: the features beyond the platform's settings (KDL).

mod error;
pub mod local_settings;
pub mod router;
pub mod settings;

pub use error::{ConfigError, Problem};
