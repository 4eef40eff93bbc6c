//! `basalthill query`, which has the alias `ask`: sends one request with the client library.

use basalthill_client::{
    AttemptRecord, Client, Config, Idempotency, InvalidSession, Request, RequestOutcome, RequestReport,
    Session,
};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The exit code if the request could not be sent, or its session file could not be read or written.
const EXIT_NOT_SENT: u8 = 2;
/// The exit code of a request that may have been executed.
const EXIT_MAY_HAVE_RUN: u8 = 3;

/// The request and the routers that it is sent to.
#[derive(clap::Args)]
pub struct Options {
    /// A router's address; may be given several times.
    #[arg(long = "router", value_name = "ROUTER", env = "BALANCER_LISTEN", required = true)]
    routers: Vec<SocketAddr>,
    /// The class of the request.
    #[arg(long)]
    class: String,
    /// The group of databases.
    #[arg(long)]
    group: u32,
    /// The tenant that the request belongs to.
    #[arg(long, default_value = "")]
    tenant: String,
    /// The deadline, in milliseconds from now.
    #[arg(long = "within-ms", value_name = "WITHIN_MS", default_value_t = 900)]
    timeout_ms: u64,
    /// The time in milliseconds for which the group drops repetitions of a write with the same key; without
    /// it a write is never sent twice if it may have been executed.
    #[arg(long = "keyed-ms", value_name = "KEYED_MS")]
    idempotency_window_ms: Option<u64>,
    /// The file that stores the session between calls; it is created if it does not exist.
    #[arg(long = "session", value_name = "SESSION")]
    session_file: Option<PathBuf>,
    /// The key to read or write.
    key: String,
    /// The value to write; without it the key is read.
    value: Option<String>,
}

/// Why no request was sent, or its session was not stored.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    #[error("can't read session file {}: {source}", path.display())]
    ReadSession { path: PathBuf, source: io::Error },
    #[error("invalid session file {}: {source}", path.display())]
    InvalidSession { path: PathBuf, source: InvalidSession },
    #[error("can't write session file {}: {source}", path.display())]
    WriteSession { path: PathBuf, source: io::Error },
    #[error("can't start the client: {0}")]
    StartClient(io::Error),
}

/// Sends one request, prints its outcome and returns the exit code.
pub fn run(options: Options) -> ExitCode {
    match execute(options) {
        Ok(report) => {
            print_report(&report);
            exit_code(&report.outcome)
        }
        Err(e) => {
            eprintln!("basalthill: {e}");
            ExitCode::from(EXIT_NOT_SENT)
        }
    }
}

fn execute(options: Options) -> Result<RequestReport, QueryError> {
    let session = options.session_file.as_deref().map(load_session).transpose()?;
    let request = request(&options, session.as_ref());
    let client = Client::start(Config::new(options.routers)).map_err(QueryError::StartClient)?;
    let report = client.execute_blocking(request);
    if let (Some(path), Some(session)) = (options.session_file, session) {
        let written = std::fs::write(&path, session.export());
        written.map_err(|source| QueryError::WriteSession { path, source })?;
    }
    Ok(report)
}

/// Returns the session stored in a file, or a new session if the file does not exist. A new session has an
/// empty name, because the request's key identifies it.
fn load_session(path: &Path) -> Result<Session, QueryError> {
    let path = path.to_path_buf();
    let session = if path.exists() {
        match std::fs::read(&path) {
            Ok(bytes) => Session::import(&bytes),
            Err(source) => return Err(QueryError::ReadSession { path, source }),
        }
    } else {
        Session::new("")
    };
    session.map_err(|source| QueryError::InvalidSession { path, source })
}

fn request(options: &Options, session: Option<&Session>) -> Request {
    let Options { class, group, key, .. } = options;
    let mut request = match &options.value {
        Some(value) => Request::write(class, *group, key, value.as_bytes()),
        None => Request::read(class, *group, key),
    };
    request = request.tenant(&options.tenant).timeout(Duration::from_millis(options.timeout_ms));
    if let Some(window_ms) = options.idempotency_window_ms {
        request = request.idempotency(Idempotency::Keyed(Duration::from_millis(window_ms)));
    }
    if let Some(session) = session {
        request = request.session(session);
    }
    request
}

/// Prints the outcome on standard output. Prints the attempts on standard error unless the first one was
/// served.
fn print_report(report: &RequestReport) {
    println!("{}", describe(&report.outcome));
    let is_served = matches!(report.outcome, RequestOutcome::Served(_));
    if is_served && report.attempts.len() <= 1 {
        return;
    }
    let attempt = |attempt: &AttemptRecord| format!("{} {:?}", attempt.router, attempt.outcome);
    let attempts: Vec<String> = report.attempts.iter().map(attempt).collect();
    let elapsed_ms = report.elapsed.as_millis();
    eprintln!("{elapsed_ms} ms, {} tries: {}", attempts.len(), attempts.join(", "));
}

/// Returns the line for standard output. Scripts match its wording.
fn describe(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Served(Some(value)) => format!("served: {}", String::from_utf8_lossy(value)),
        RequestOutcome::Served(None) => "served: null".into(),
        RequestOutcome::Rejected(None) => "refused; trying again does no harm".into(),
        RequestOutcome::Rejected(Some(retry_after)) => {
            format!("refused; come back in {} ms", retry_after.as_millis())
        }
        RequestOutcome::DeadlineExceeded => "too late; nothing has run".into(),
        RequestOutcome::Failed => "failed; trying again does no harm".into(),
        RequestOutcome::MayHaveRun => "it may have run, or may yet: look before you ask again".into(),
        RequestOutcome::Invalid(invalid) => format!("invalid: {invalid}"),
        RequestOutcome::Stopped => "not asked".into(),
    }
}

fn exit_code(outcome: &RequestOutcome) -> ExitCode {
    match outcome {
        RequestOutcome::Served(_) => ExitCode::SUCCESS,
        RequestOutcome::MayHaveRun => ExitCode::from(EXIT_MAY_HAVE_RUN),
        _ => ExitCode::FAILURE,
    }
}
