//! `basalthill ask`: the client library on the command line.

use basalthill_client::{Client, Config, Idempotency, Request, RequestOutcome, RequestReport, Session};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// What to ask, and of whom.
#[derive(clap::Args)]
pub struct Options {
    /// A router; may be given several times.
    #[arg(long, env = "BALANCER_LISTEN", required = true)]
    router: Vec<SocketAddr>,
    /// The class.
    #[arg(long)]
    class: String,
    /// The group.
    #[arg(long)]
    group: u32,
    /// The tenant.
    #[arg(long, default_value = "")]
    tenant: String,
    /// The deadline, in milliseconds from now.
    #[arg(long, default_value_t = 900)]
    within_ms: u64,
    /// A write's repeats are dropped by its group for this long, in milliseconds; without it a write must
    /// never run twice.
    #[arg(long)]
    keyed_ms: Option<u64>,
    /// A file that keeps the session over calls; it is made if it is not there.
    #[arg(long)]
    session: Option<PathBuf>,
    /// The key.
    key: String,
    /// The value to write; without it the key is read.
    value: Option<String>,
}

/// It may have run.
const MAY_HAVE_RUN: u8 = 3;

/// Asks, and says what came of it.
pub fn run(options: Options) -> ExitCode {
    match asked(options) {
        Ok(RequestReport { outcome: end, attempts: tries, elapsed: took }) => {
            let ms = took.as_millis();
            let said = match &end {
                RequestOutcome::Served(Some(value)) => format!("served: {}", String::from_utf8_lossy(value)),
                RequestOutcome::Served(None) => "served: null".into(),
                RequestOutcome::Rejected(None) => "refused; trying again does no harm".into(),
                RequestOutcome::Rejected(Some(after)) => {
                    format!("refused; come back in {} ms", after.as_millis())
                }
                RequestOutcome::DeadlineExceeded => "too late; nothing has run".into(),
                RequestOutcome::Failed => "failed; trying again does no harm".into(),
                RequestOutcome::MayHaveRun => "it may have run, or may yet: look before you ask again".into(),
                RequestOutcome::Invalid(invalid) => format!("invalid: {invalid}"),
                RequestOutcome::Stopped => "not asked".into(),
            };
            println!("{said}");
            if !matches!(end, RequestOutcome::Served(_)) || tries.len() > 1 {
                let tries: Vec<String> = tries.iter().map(|t| format!("{} {:?}", t.router, t.end)).collect();
                eprintln!("{ms} ms, {} tries: {}", tries.len(), tries.join(", "));
            }
            match end {
                RequestOutcome::Served(_) => ExitCode::SUCCESS,
                RequestOutcome::MayHaveRun => ExitCode::from(MAY_HAVE_RUN),
                _ => ExitCode::FAILURE,
            }
        }
        Err(e) => {
            eprintln!("basalthill: {e}");
            ExitCode::from(super::BAD_CONFIGURATION)
        }
    }
}

fn asked(options: Options) -> Result<RequestReport, Box<dyn std::error::Error>> {
    let Options { router, class, group, tenant, within_ms, keyed_ms, session: path, key, value } = options;
    let session = match path.as_ref().filter(|p| p.exists()) {
        Some(path) => Some(Session::import(&std::fs::read(path)?)?),
        None => path.as_ref().map(|_| Session::new("")).transpose()?,
    };
    let request = match &value {
        Some(value) => Request::write(&class, group, &key, value.as_bytes()),
        None => Request::read(&class, group, &key),
    };
    let mut request = request.tenant(&tenant).timeout(Duration::from_millis(within_ms));
    if let Some(ms) = keyed_ms {
        request = request.idempotency(Idempotency::Keyed(Duration::from_millis(ms)));
    }
    if let Some(session) = &session {
        request = request.session(session);
    }
    let report = Client::start(Config::new(router))?.execute_blocking(request);
    if let (Some(path), Some(session)) = (path, session) {
        std::fs::write(path, session.export())?;
    }
    Ok(report)
}
