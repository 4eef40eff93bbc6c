//! The command line, the logger, start and stop.

mod logger;

use crate::transport;
use async_signal::{Signal, Signals};
use basalthill_config::router::{load, RouterConfig};
use basalthill_config::ConfigError;
use clap::{Parser, Subcommand};
use futures_lite::StreamExt;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "basalthill", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Log lines from this level up: error, warn, info, debug.
    #[arg(long, global = true, env = "BALANCER_LOG", default_value = "info")]
    log: log::LevelFilter,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM or SIGINT; the command when none is given.
    Serve(ConfigArgument),
    /// Read and check the configuration, say what is wrong with it, and end.
    CheckConfig(ConfigArgument),
    /// Print the version.
    Version,
}

#[derive(clap::Args)]
struct ConfigArgument {
    /// The configuration file.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: Option<PathBuf>,
}

const BAD_CONFIGURATION: u8 = 2;

/// Runs the program.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logger::start(arguments.log);
    let from_variable = || ConfigArgument { config: std::env::var_os("BALANCER_CONFIG").map(PathBuf::from) };
    let code = match arguments.command.unwrap_or_else(|| Command::Serve(from_variable())) {
        Command::Version => {
            println!("basalthill {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::CheckConfig(argument) => match read(argument) {
            Ok(config) => {
                println!("{}: the configuration is sound", config.name);
                ExitCode::SUCCESS
            }
            Err(e) => bad(&e),
        },
        Command::Serve(argument) => match read(argument) {
            Ok(config) => serve(config),
            Err(e) => bad(&e),
        },
    };
    log::logger().flush();
    code
}

fn read(argument: ConfigArgument) -> Result<RouterConfig, ConfigError> {
    let Some(path) = argument.config else {
        return Err(ConfigError::new("BALANCER_CONFIG", "is not set, and no --config is given"));
    };
    let config = load(&path, |name| std::env::var(name).ok())?;
    for key in &config.overruled {
        log::warn!("configuration: a variable overrules the file's {key}");
    }
    Ok(config)
}

fn bad(error: &ConfigError) -> ExitCode {
    eprintln!("basalthill: {error}");
    ExitCode::from(BAD_CONFIGURATION)
}

fn serve(config: RouterConfig) -> ExitCode {
    let started = (|| {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok::<_, std::io::Error>((signals, TcpListener::bind(config.listen)?))
    })();
    let (mut signals, listener) = match started {
        Ok(started) => started,
        Err(e) => {
            eprintln!("basalthill: listen {}: {e}", config.listen);
            return ExitCode::FAILURE;
        }
    };
    log::info!("{} listens on {}", config.name, config.listen);
    let stop = async move {
        signals.next().await;
    };
    match transport::serve(listener, config, stop) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
