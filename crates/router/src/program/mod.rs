//! The command line of `basalthill`: its subcommands, exit codes and logging.

mod fleet;
mod logging;
mod query;
mod ready;
mod serve;

use basalthill_config::router::{load, LoadPhase, RouterConfig};
use basalthill_config::ConfigError;
use clap::{Parser, Subcommand};
use logging::{LogFormat, LogLevel};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "basalthill", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Log events of this level and of more severe ones.
    #[arg(long, global = true, env = "BALANCER_LOG", default_value = "info", ignore_case = true)]
    log: LogLevel,
    /// The format of log lines.
    #[arg(long, global = true, env = "BALANCER_LOG_FORMAT", default_value = "text", ignore_case = true)]
    log_format: LogFormat,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT; this is the default command.
    Serve(ConfigArguments),
    /// Read and check the configuration, and print the error if it is invalid.
    CheckConfig(ConfigArguments),
    /// Check whether the router that listens on an address is ready; exit code 0 if it is, 1 otherwise.
    Ready {
        /// The router's address.
        #[arg(long, env = "BALANCER_LISTEN")]
        listen: SocketAddr,
    },
    /// Send one request through the routers, as a client with retries and a deadline; exit code 0 if it was
    /// served, 1 if not, 2 if it could not be sent or its session file could not be read or written, 3 if it
    /// was not served and may have been executed.
    #[command(visible_alias = "ask")]
    Query(query::Options),
    /// Print a running router's view of its fleet: the routers with their states, and each limit with its
    /// quotas.
    Fleet(fleet::Options),
    /// Print the version.
    Version,
}

#[derive(clap::Args)]
struct ConfigArguments {
    /// The configuration file, in JSON.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: Option<PathBuf>,
    /// The local settings file, in KDL; the features that it enables are off without it.
    #[arg(long, env = "BASALTHILL_SETTINGS")]
    settings: Option<PathBuf>,
}

impl ConfigArguments {
    /// Returns the arguments for a command line without a subcommand, which are read from the environment
    /// only.
    fn from_environment() -> ConfigArguments {
        let path = |name| std::env::var_os(name).filter(|value| !value.is_empty()).map(PathBuf::from);
        ConfigArguments { config: path("BALANCER_CONFIG"), settings: path("BASALTHILL_SETTINGS") }
    }
}

/// The files that make up a router's configuration.
#[derive(Clone)]
struct ConfigFiles {
    config: PathBuf,
    settings: Option<PathBuf>,
}

impl TryFrom<ConfigArguments> for ConfigFiles {
    type Error = ConfigError;

    fn try_from(arguments: ConfigArguments) -> Result<ConfigFiles, ConfigError> {
        let config = arguments.config.ok_or_else(ConfigError::no_config_file)?;
        Ok(ConfigFiles { config, settings: arguments.settings })
    }
}

impl ConfigFiles {
    /// Reads the files and the environment. Logs each key of the file that an environment variable overrides.
    fn read(&self, phase: LoadPhase) -> Result<RouterConfig, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok();
        let config = load(&self.config, self.settings.as_deref(), variable, phase)?;
        for key in &config.overridden_keys {
            tracing::warn!("configuration: an environment variable overrides the file's {key}");
        }
        Ok(config)
    }
}

/// The exit code for an invalid configuration.
const BAD_CONFIGURATION: u8 = 2;

/// Runs the program.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Dropped at the end of the function, which writes the lines that are still queued.
    let _log = logging::init(arguments.log, arguments.log_format);
    match arguments.command.unwrap_or_else(|| Command::Serve(ConfigArguments::from_environment())) {
        Command::Serve(arguments) => match ConfigFiles::try_from(arguments) {
            Ok(files) => serve::run(files),
            Err(error) => bad_configuration(&error),
        },
        Command::CheckConfig(arguments) => check_config(arguments),
        Command::Ready { listen } => ready::run(listen),
        Command::Query(options) => query::run(options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Version => {
            println!("basalthill {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

fn check_config(arguments: ConfigArguments) -> ExitCode {
    match ConfigFiles::try_from(arguments).and_then(|files| files.read(LoadPhase::Startup)) {
        Ok(config) => {
            println!("{}: the configuration is sound", config.name);
            ExitCode::SUCCESS
        }
        Err(error) => bad_configuration(&error),
    }
}

fn bad_configuration(error: &ConfigError) -> ExitCode {
    eprintln!("basalthill: {error}");
    ExitCode::from(BAD_CONFIGURATION)
}
