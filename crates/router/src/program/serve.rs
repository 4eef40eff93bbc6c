//! `basalthill serve`: signals, the listening socket, and configuration reloads.

use super::{bad_configuration, ConfigFiles};
use crate::transport::{self, ControlCommand};
use async_io::Timer;
use async_signal::{Signal, Signals};
use basalthill_config::router::{LoadPhase, RouterConfig};
use basalthill_config::ConfigError;
use futures_lite::{future, stream, Stream, StreamExt};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The limit on waiting for an address that another process still uses.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two attempts to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The limit on retries of reading the files at a reload. A file may be unreadable while it is being
/// replaced. The limit leaves time to receive the list from a changed discovery address within 4 s of the
/// signal.
const RELOAD_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two attempts to read a file.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The pause after a failure to receive a signal.
const SIGNAL_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The number of consecutive failures to receive a signal that are logged at debug level only. After these,
/// each failure whose number is a power of two is logged as a warning.
const SIGNAL_FAILURES_BEFORE_WARNING: u32 = 16;

/// Serves until SIGTERM or SIGINT, and returns the exit code.
pub(super) fn run(files: ConfigFiles) -> ExitCode {
    // The handlers are installed before anything that may block, because an unhandled SIGHUP would terminate
    // the process.
    let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("basalthill: can't install signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let config = match files.read(LoadPhase::Startup) {
        Ok(config) => config,
        Err(error) => return bad_configuration(&error),
    };
    let (listener, reload) = match bind(config.listen, &mut signals, &files) {
        Ok(Binding::Bound { listener, reload }) => (listener, reload),
        Ok(Binding::Stopped) => {
            tracing::info!("stopped by a signal before listening");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("basalthill: can't listen on {}: {error}", config.listen);
            return ExitCode::FAILURE;
        }
    };
    let address = listener.local_addr().unwrap_or(config.listen);
    tracing::info!("{} listens on {address}", config.name);
    match transport::serve(listener, config, control_commands(signals, files, reload)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// The result of binding to the address.
enum Binding {
    /// The address is bound.
    Bound {
        listener: TcpListener,
        /// The reload that was requested while waiting for the address, if any.
        reload: Option<Reload>,
    },
    /// A signal to stop was received before the address was bound.
    Stopped,
}

/// Binds to the address. If another process still uses it, retries for up to [`BIND_TIMEOUT`] and handles
/// signals between the attempts.
fn bind(address: SocketAddr, signals: &mut Signals, files: &ConfigFiles) -> io::Result<Binding> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut reload = None;
    let mut in_use_logged = false;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(Binding::Bound { listener, reload }),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse => return Err(error),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => {}
        }
        if !in_use_logged {
            tracing::warn!("{address} is in use; waiting for it for up to {BIND_TIMEOUT:?}");
            in_use_logged = true;
        }
        match async_io::block_on(signal_within(signals, BIND_RETRY_DELAY)) {
            None => {}
            Some(Signal::Hup) => reload = Some(start_reload(files)),
            Some(_) => return Ok(Binding::Stopped),
        }
    }
}

/// Returns the next signal, or `None` if none is received within `timeout`.
async fn signal_within(signals: &mut Signals, timeout: Duration) -> Option<Signal> {
    let signal = async { Some(next_signal(signals).await) };
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    future::or(signal, timer).await
}

/// Returns the next signal. Retries after a failure to receive one, because a failure must not stop the
/// router.
async fn next_signal(signals: &mut Signals) -> Signal {
    for failures in 1u32.. {
        match signals.next().await {
            Some(Ok(signal)) => return signal,
            Some(Err(error)) => {
                log_signal_failure(failures, &error);
                Timer::after(SIGNAL_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    future::pending().await
}

fn log_signal_failure(failures: u32, error: &io::Error) {
    if failures > SIGNAL_FAILURES_BEFORE_WARNING && failures.is_power_of_two() {
        tracing::warn!("signals: receiving failed {failures} times in a row: {error}");
    } else {
        tracing::debug!("signals: receiving failed {failures} times in a row: {error}");
    }
}

/// A reload in progress. It runs on another thread, so that requests are not delayed by reading the files.
type Reload = future::Boxed<Result<Box<RouterConfig>, ConfigError>>;

fn start_reload(files: &ConfigFiles) -> Reload {
    let files = files.clone();
    Box::pin(blocking::unblock(move || read_with_retries(&files)))
}

/// Reads the files again. Retries for up to [`RELOAD_READ_TIMEOUT`] if a file can't be read, which may happen
/// while it is being replaced.
fn read_with_retries(files: &ConfigFiles) -> Result<Box<RouterConfig>, ConfigError> {
    let deadline = Instant::now() + RELOAD_READ_TIMEOUT;
    loop {
        match files.read(LoadPhase::Reload) {
            Err(error) if error.is_unreadable() && Instant::now() < deadline => {
                std::thread::sleep(RELOAD_RETRY_DELAY);
            }
            result => return result.map(Box::new),
        }
    }
}

/// An event that [`CommandSource`] handles: a signal, or the completion of a reload.
enum ControlEvent {
    Signal(Signal),
    Reloaded(Result<Box<RouterConfig>, ConfigError>),
}

/// The state of the stream of control commands.
struct CommandSource {
    signals: Signals,
    files: ConfigFiles,
    reload: Option<Reload>,
}

/// Returns the stream of commands that the signals request. Another SIGHUP during a reload restarts the
/// reload, so that the newest files are read.
fn control_commands(
    signals: Signals,
    files: ConfigFiles,
    reload: Option<Reload>,
) -> impl Stream<Item = ControlCommand> {
    stream::unfold(CommandSource { signals, files, reload }, |mut source| async move {
        let command = source.next_command().await;
        Some((command, source))
    })
}

impl CommandSource {
    async fn next_command(&mut self) -> ControlCommand {
        loop {
            match self.next_event().await {
                ControlEvent::Signal(Signal::Hup) => self.reload = Some(start_reload(&self.files)),
                ControlEvent::Signal(_) => {
                    self.reload = None;
                    return ControlCommand::Stop;
                }
                ControlEvent::Reloaded(Ok(config)) => {
                    self.reload = None;
                    return ControlCommand::Reload(config);
                }
                ControlEvent::Reloaded(Err(error)) => {
                    tracing::error!("configuration: reload failed, the previous one stays in force: {error}");
                    self.reload = None;
                }
            }
        }
    }

    async fn next_event(&mut self) -> ControlEvent {
        let CommandSource { signals, reload, .. } = self;
        let signal = async { ControlEvent::Signal(next_signal(signals).await) };
        let reloaded = async {
            match reload.as_mut() {
                Some(reload) => ControlEvent::Reloaded(reload.await),
                None => future::pending().await,
            }
        };
        future::or(signal, reloaded).await
    }
}
