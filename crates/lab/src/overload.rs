//! Sends more load than the hosts can serve, and measures how many attempts retries add to it.

use crate::client_load::{run_clients, ClientKind, ClientLoad};
use crate::host_records::count_at_hosts;
use crate::results::{print_and_write_table, Table};
use crate::{CommonOptions, Outcome};
use anyhow::bail;
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Number of clients.
    #[arg(long, default_value_t = 400)]
    clients: usize,
    /// Requests per second of each client.
    #[arg(long, default_value_t = 3.0)]
    per_s: f64,
    /// Maximum number of statements that each host executes concurrently; each takes 20 ms.
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// The longest Retry-After that routers send, in milliseconds.
    #[arg(long = "come-back-ms", value_name = "COME_BACK_MS", default_value_t = 100)]
    max_retry_after_ms: u64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

/// Time that a host takes to execute a statement.
const READ_DELAY: Duration = Duration::from_millis(20);
const ROUTERS: usize = 2;
/// The library's retry budget allows one retry for every ten requests.
const BUDGET_FRACTION: f64 = 0.1;
/// Number of retries that each client of the library may send beyond [`BUDGET_FRACTION`], since its retry
/// budget is full at the start.
const INITIAL_RETRIES: f64 = 10.0;

/// The results for one kind of client.
struct KindResult {
    attempts_per_request: f64,
    row: Vec<String>,
}

fn measure(
    options: &Options,
    common: &CommonOptions,
    name: &str,
    kind: ClientKind,
) -> anyhow::Result<KindResult> {
    let behavior = GroupBehavior {
        read_delay: READ_DELAY,
        max_concurrent: options.slots,
        retry_after_ms: options.max_retry_after_ms,
        ..GroupBehavior::default()
    };
    let folder = std::env::temp_dir();
    let deployment = Deployment::start(&common.program()?, &folder, ROUTERS, behavior, None)?;
    let load = ClientLoad {
        kind,
        clients: options.clients,
        per_s: options.per_s,
        write_every: 0,
        duration: Duration::from_secs(options.seconds),
        timeout: Duration::from_millis(900),
        seed: common.seed,
    };
    let epoch = Instant::now();
    let addrs: Vec<_> = deployment.routers.iter().map(|r| r.addr).collect();
    let record = run_clients(&addrs, &load, epoch, || {})?;
    let elapsed_s = epoch.elapsed().as_secs_f64();
    let host_counts = count_at_hosts(&deployment, epoch);
    let attempts_per_request = record.attempts_per_request();
    let row = vec![
        name.to_string(),
        format!("{:.0}", record.completed.len() as f64 / elapsed_s),
        format!("{:.0}", record.served() as f64 / elapsed_s),
        format!("{attempts_per_request:.3}"),
        format!("{:.0}", record.attempts as f64 / elapsed_s),
        format!("{:.0}", host_counts.statements as f64 / elapsed_s),
        host_counts.late_statements.to_string(),
    ];
    Ok(KindResult { attempts_per_request, row })
}

/// Runs the experiment. It passes if the number of retries sent by the library stays within its retry budget.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let kinds = [
        ("no retries", ClientKind::NoRetries),
        ("naive", ClientKind::Naive),
        ("library", ClientKind::Library),
    ];
    let (mut rows, mut attempts) = (Vec::new(), Vec::new());
    for (name, kind) in kinds {
        let result = measure(options, common, name, kind)?;
        rows.push(result.row);
        attempts.push(result.attempts_per_request);
    }
    let headers = vec![
        "clients",
        "requests/s",
        "served in time/s",
        "attempts per request",
        "attempts/s at the routers",
        "statements/s at the hosts",
        "statements received after their deadline",
    ];
    let table = Table { headers, rows };
    let description = format!(
        "Real router processes and sockets, stand-in group of three hosts, each of which executes {} \
         statements of 20 ms concurrently: {} clients with {} reads per second each, one at a time, two \
         routers that send a Retry-After of at most {} ms, {} s.",
        options.slots, options.clients, options.per_s, options.max_retry_after_ms, options.seconds
    );
    print_and_write_table(common.out.as_deref(), "overload", &description, &table)?;
    let [no_retries, naive, library] = attempts[..] else {
        bail!("expected 3 kinds of clients, got {}", attempts.len())
    };
    let summary = format!("tries_once={no_retries:.3} tries_naive={naive:.3} tries_library={library:.3}");
    let requests_per_client = options.per_s * options.seconds as f64;
    let max_attempts = 1.0 + BUDGET_FRACTION + INITIAL_RETRIES / requests_per_client;
    Ok(Outcome { summary, passed: library <= max_attempts })
}
