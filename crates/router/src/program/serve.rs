//! `basalthill serve`: signals, the listening socket, and reloads of the configuration.

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

/// How long an address that another process still uses is waited for.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two attempts to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// On a reload, a file that can't be read is read again for this long: it may be just being replaced. Events
/// from discovery's new address count 4 s after the signal.
const RELOAD_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two attempts to read a file.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The pause after the system failed a call for signals.
const SIGNAL_RETRY_DELAY: Duration = Duration::from_millis(5);
/// So many failures of it in a row are an ordinary disturbance; more are logged as a warning, at powers of
/// two.
const QUIET_SIGNAL_FAILURES: u32 = 16;

/// Serves until a signal to stop.
pub(super) fn run(files: ConfigFiles) -> ExitCode {
    // The handlers stand before anything that may take a while: unhandled, SIGHUP would end the program.
    let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("basalthill: signals: {error}");
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
            tracing::info!("stopped before it listened");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("basalthill: listen {}: {error}", config.listen);
            return ExitCode::FAILURE;
        }
    };
    let address = listener.local_addr().unwrap_or(config.listen);
    tracing::info!("{} listens on {address}", config.name);
    match transport::serve(listener, config, commands(signals, files, reload)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// The result of waiting for the address.
enum Binding {
    /// The router listens.
    Bound {
        listener: TcpListener,
        /// A reload that was requested meanwhile.
        reload: Option<Reload>,
    },
    /// A signal to stop came first.
    Stopped,
}

/// Binds to the address; one that an earlier process still uses is waited for, for [`BIND_TIMEOUT`]. Signals
/// are handled meanwhile.
fn bind(address: SocketAddr, signals: &mut Signals, files: &ConfigFiles) -> io::Result<Binding> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    let mut reload = None;
    let mut in_use_logged = false;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(Binding::Bound { listener, reload }),
            Err(error) if error.kind() != io::ErrorKind::AddrInUse => return Err(error),
            Err(error) if Instant::now() >= give_up_at => return Err(error),
            Err(_) => {}
        }
        if !in_use_logged {
            tracing::warn!("{address} is in use; waiting for it");
            in_use_logged = true;
        }
        match async_io::block_on(signal_within(signals, BIND_RETRY_DELAY)) {
            None => {}
            Some(Signal::Hup) => reload = Some(start_reload(files)),
            Some(_) => return Ok(Binding::Stopped),
        }
    }
}

/// The next signal, if one comes within this time.
async fn signal_within(signals: &mut Signals, timeout: Duration) -> Option<Signal> {
    let signal = async { Some(next_signal(signals).await) };
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    future::or(signal, timer).await
}

/// The next signal. A call for one that fails is repeated: a router that nobody stopped goes on.
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
    if failures > QUIET_SIGNAL_FAILURES && failures.is_power_of_two() {
        tracing::warn!("signals: receiving failed {failures} times in a row: {error}");
    } else {
        tracing::debug!("signals: receiving failed {failures} times in a row: {error}");
    }
}

/// A reload under way, on a thread of its own, so that no request waits for the file.
type Reload = future::Boxed<Result<Box<RouterConfig>, ConfigError>>;

fn start_reload(files: &ConfigFiles) -> Reload {
    let files = files.clone();
    Box::pin(blocking::unblock(move || read_with_retries(&files)))
}

/// Reads the files again. One that can't be read at all may be just being replaced.
fn read_with_retries(files: &ConfigFiles) -> Result<Box<RouterConfig>, ConfigError> {
    let give_up_at = Instant::now() + RELOAD_READ_TIMEOUT;
    loop {
        match files.read(LoadPhase::Reload) {
            Err(error) if error.is_unreadable() && Instant::now() < give_up_at => {
                std::thread::sleep(RELOAD_RETRY_DELAY);
            }
            result => return result.map(Box::new),
        }
    }
}

/// What comes first: a signal, or the end of a reload.
enum Occurrence {
    Signal(Signal),
    Reloaded(Result<Box<RouterConfig>, ConfigError>),
}

/// The state of the stream of commands.
struct CommandSource {
    signals: Signals,
    files: ConfigFiles,
    reload: Option<Reload>,
}

/// The commands to the running router that the signals stand for. Another SIGHUP during a reload starts it
/// anew, so that the newest file counts.
fn commands(
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
            match self.next_occurrence().await {
                Occurrence::Signal(Signal::Hup) => self.reload = Some(start_reload(&self.files)),
                Occurrence::Signal(_) => {
                    self.reload = None;
                    return ControlCommand::Stop;
                }
                Occurrence::Reloaded(Ok(config)) => {
                    self.reload = None;
                    return ControlCommand::Reload(config);
                }
                Occurrence::Reloaded(Err(error)) => {
                    tracing::error!("configuration: reload failed, the previous one stays in force: {error}");
                    self.reload = None;
                }
            }
        }
    }

    async fn next_occurrence(&mut self) -> Occurrence {
        let CommandSource { signals, reload, .. } = self;
        let signal = async { Occurrence::Signal(next_signal(signals).await) };
        let reloaded = async {
            match reload.as_mut() {
                Some(reload) => Occurrence::Reloaded(reload.await),
                None => future::pending().await,
            }
        };
        future::or(signal, reloaded).await
    }
}
