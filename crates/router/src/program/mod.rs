//! The command line, the logger, start and stop.

mod ask;
mod fleet;
mod logger;

use crate::protocol::host::{self, HostCodec, HostMessage, QueryOutcome};
use crate::transport::{self, ControlCommand as Ask};
use async_io::Timer;
use async_signal::{Signal, Signals};
use basalthill_config::router::{load, LoadPhase, RouterConfig};
use basalthill_config::ConfigError;
use clap::{Parser, Subcommand};
use futures_lite::{future, stream, Stream, StreamExt};
use log::Level;
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
    /// Ask routers one thing, as a client with retries and a deadline; exit code 0 if it was served, 1 if
    /// not, 3 if it may have run all the same.
    Ask(ask::Options),
    /// Ask a running router about its fleet: members with their states, each limit with its shares.
    Fleet(fleet::Options),
    /// Print the version.
    Version,
}

#[derive(clap::Args)]
struct ConfigArgument {
    /// The configuration file.
    #[arg(long, env = "BALANCER_CONFIG")]
    config: Option<PathBuf>,
    /// Our own settings, a KDL file; nothing of what it switches on is on without it.
    #[arg(long, env = "BASALTHILL_SETTINGS")]
    settings: Option<PathBuf>,
}

/// The files that make up a router's configuration.
#[derive(Clone)]
struct Files {
    config: PathBuf,
    settings: Option<PathBuf>,
}

const BAD_CONFIGURATION: u8 = 2;
const LISTEN_WITHIN: Duration = Duration::from_secs(5);
const LISTEN_AGAIN: Duration = Duration::from_millis(20);
const READY_WITHIN: Duration = Duration::from_secs(2);
/// After SIGHUP a file that can't be read is read again for this long: what discovery's new address has to
/// tell counts 4 s after the signal.
const READ_WITHIN: Duration = Duration::from_secs(1);
const READ_AGAIN: Duration = Duration::from_millis(50);
/// Between two calls for a signal that fail.
const SIGNALS_REST: Duration = Duration::from_millis(5);

/// Runs the program.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logger::start(arguments.log);
    let variable = |name| std::env::var_os(name).filter(|v| !v.is_empty()).map(PathBuf::from);
    let from_variable =
        || ConfigArgument { config: variable("BALANCER_CONFIG"), settings: variable("BASALTHILL_SETTINGS") };
    let code = match arguments.command.unwrap_or_else(|| Command::Serve(from_variable())) {
        Command::Version => {
            println!("basalthill {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::CheckConfig(argument) => match files(argument).and_then(|f| read(&f, LoadPhase::Startup)) {
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
        Command::Ask(options) => ask::run(options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Serve(argument) => match files(argument) {
            Ok(files) => serve(files),
            Err(e) => bad(&e),
        },
    };
    log::logger().flush();
    code
}

fn files(argument: ConfigArgument) -> Result<Files, ConfigError> {
    let missing = || ConfigError::new("BALANCER_CONFIG", "is not set, and no --config is given");
    Ok(Files { config: argument.config.ok_or_else(missing)?, settings: argument.settings })
}

fn read(files: &Files, phase: LoadPhase) -> Result<RouterConfig, ConfigError> {
    let config = load(&files.config, files.settings.as_deref(), |name| std::env::var(name).ok(), phase)?;
    for key in &config.overridden_keys {
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
    let mut side = HostCodec::default();
    let mut bytes = [0; 1024];
    loop {
        match side.next_message().map_err(|e| std::io::Error::other(e.to_string()))? {
            Some(HostMessage::Ready) => side.begin_query(),
            Some(HostMessage::QueryEnded(QueryOutcome::Empty, _)) => return Ok(()),
            Some(other) => return Err(std::io::Error::other(format!("it answered {other:?}"))),
            None => match stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => side.feed(&bytes[..n]),
            },
        }
    }
}

/// What came of listening.
enum Listening {
    /// It listens. The configuration may have changed while the address was waited for.
    Begun(TcpListener, Option<Again>),
    /// A signal to stop came first.
    Stopped,
}

/// The file as it is read again, on a thread of its own.
type Again = future::Boxed<Result<RouterConfig, ConfigError>>;

fn again(files: &Files) -> Again {
    let files = files.clone();
    Box::pin(blocking::unblock(move || {
        let until = Instant::now() + READ_WITHIN;
        loop {
            match read(&files, LoadPhase::Reload) {
                // It may be replaced just now, or a call has failed for a moment.
                Err(e) if e.unread.is_some() && Instant::now() < until => std::thread::sleep(READ_AGAIN),
                done => return done,
            }
        }
    }))
}

/// The next signal. A call that fails is none: a router that nobody told to stop goes on.
async fn next_signal(signals: &mut Signals) -> Signal {
    for failures in 1u32.. {
        match signals.next().await {
            Some(Ok(signal)) => return signal,
            Some(Err(e)) => {
                let level =
                    if failures.is_power_of_two() && failures > 16 { Level::Warn } else { Level::Debug };
                log::log!(level, "signals: not heard {failures} times running: {e}");
                Timer::after(SIGNALS_REST).await;
            }
            None => break,
        }
    }
    future::pending().await
}

/// Listens; an address that an earlier process still holds is waited for, for a while. Signals are heard
/// meanwhile.
fn listen(address: SocketAddr, signals: &mut Signals, files: &Files) -> std::io::Result<Listening> {
    let until = Instant::now() + LISTEN_WITHIN;
    let (mut said, mut reload) = (false, None);
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut said, true) {
                    log::warn!("{address} is in use; waiting for it");
                }
                let signal = async { Some(next_signal(signals).await) };
                let rest = async {
                    Timer::after(LISTEN_AGAIN).await;
                    None
                };
                match async_io::block_on(future::or(signal, rest)) {
                    None => {}
                    Some(Signal::Hup) => reload = Some(again(files)),
                    Some(_) => return Ok(Listening::Stopped),
                }
            }
            done => return Ok(Listening::Begun(done?, reload)),
        }
    }
}

fn serve(files: Files) -> ExitCode {
    // The handlers stand before anything that may take a while: unhandled, SIGHUP would end the program.
    let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("basalthill: signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    let config = match read(&files, LoadPhase::Startup) {
        Ok(config) => config,
        Err(e) => return bad(&e),
    };
    let (listener, reload) = match listen(config.listen, &mut signals, &files) {
        Ok(Listening::Begun(listener, reload)) => (listener, reload),
        Ok(Listening::Stopped) => {
            log::info!("stopped before it listened");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("basalthill: listen {}: {e}", config.listen);
            return ExitCode::FAILURE;
        }
    };
    let listen = listener.local_addr().unwrap_or(config.listen);
    log::info!("{} listens on {listen}", config.name);
    match transport::serve(listener, config, commands(signals, files, reload)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// What the signals ask for. On SIGHUP the file is read on a thread of its own, so that no request waits for
/// it; another signal meanwhile is heard, and the newest file counts.
fn commands(signals: Signals, files: Files, reload: Option<Again>) -> impl Stream<Item = Ask> {
    stream::unfold((signals, files, reload), |(mut signals, files, mut reload)| async move {
        loop {
            let signal = async { Err(next_signal(&mut signals).await) };
            let file = async {
                match reload.as_mut() {
                    Some(file) => Ok(file.await),
                    None => future::pending().await,
                }
            };
            match future::or(signal, file).await {
                Err(Signal::Hup) => reload = Some(again(&files)),
                Err(_) => return Some((Ask::Stop, (signals, files, None))),
                Ok(Ok(config)) => return Some((Ask::Reload(Box::new(config)), (signals, files, None))),
                Ok(Err(e)) => {
                    log::error!("configuration: not taken over, the old one stays in force: {e}");
                    reload = None;
                }
            }
        }
    })
}
