//! The command line, the logger, start and stop.

mod logger;

use crate::protocol::host::{self, Ending, HostMessage, HostSide};
use crate::transport;
use async_signal::{Signal, Signals};
use basalthill_config::router::{load, RouterConfig};
use basalthill_config::ConfigError;
use clap::{Parser, Subcommand};
use futures_lite::StreamExt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

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
    /// Ask a router that listens here whether it is ready; exit code 0 if it is, else 1.
    Ready {
        /// The router's address.
        #[arg(long, env = "BALANCER_LISTEN")]
        listen: SocketAddr,
    },
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
const LISTEN_WITHIN: Duration = Duration::from_secs(5);
const LISTEN_AGAIN: Duration = Duration::from_millis(20);
const READY_WITHIN: Duration = Duration::from_secs(2);

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
        Command::Ready { listen } => match ready(listen) {
            Ok(()) => {
                println!("{listen} is ready");
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("basalthill: {listen} is not ready: {e}");
                ExitCode::FAILURE
            }
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

/// An empty query, which a router answers once it has its list.
fn ready(listen: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&listen, READY_WITHIN)?;
    stream.set_read_timeout(Some(READY_WITHIN))?;
    stream.write_all(&[host::startup(), host::query("")].concat())?;
    let mut side = HostSide::default();
    let mut bytes = [0; 1024];
    loop {
        match side.take().map_err(|e| std::io::Error::other(e.to_string()))? {
            Some(HostMessage::Ready) => side.begin(),
            Some(HostMessage::Done(Ending::Nothing, _)) => return Ok(()),
            Some(other) => return Err(std::io::Error::other(format!("it answered {other:?}"))),
            None => match stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => side.feed(&bytes[..n]),
            },
        }
    }
}

/// Listens; an address that an earlier process still holds is waited for, for a while.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let until = Instant::now() + LISTEN_WITHIN;
    let mut said = false;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut said, true) {
                    log::warn!("{address} is in use; waiting for it");
                }
                std::thread::sleep(LISTEN_AGAIN);
            }
            done => return done,
        }
    }
}

fn serve(config: RouterConfig) -> ExitCode {
    let started = (|| {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok::<_, std::io::Error>((signals, listen(config.listen)?))
    })();
    let (mut signals, listener) = match started {
        Ok(started) => started,
        Err(e) => {
            eprintln!("basalthill: listen {}: {e}", config.listen);
            return ExitCode::FAILURE;
        }
    };
    let listen = listener.local_addr().unwrap_or(config.listen);
    log::info!("{} listens on {listen}", config.name);
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
