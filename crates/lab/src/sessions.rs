//! Runs sessions that write and read through routers that are killed and restarted, and checks each read
//! against the writes that it must return.

use crate::results::{write_table_and_chart, Axes, Chart, Line, Table};
use crate::{CommonOptions, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::{GroupBehavior, StaleRead};
use basalthill_standin::session_load::{ConnectionMode, SessionLoad, SessionLoadReport};
use clap::ValueEnum;
use hdrhistogram::Histogram;
use std::time::Duration;

/// How sessions connect, and where the floors of their reads come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Mode {
    /// One connection at a time for each session; the floor is the time at which the connection was accepted.
    Connection,
    /// Shared connections; the floor is the time at which the read arrived.
    Arrival,
    /// Shared connections; the floor comes from session tokens, which routers send with replies to writes.
    Tokens,
    /// Like `tokens`, but routers also send tokens with replies to reads.
    TokensReads,
    /// One router for each session, over shared connections; the floor comes from the router's memory.
    Router,
    /// No local settings: reads of clients that send neither a token nor a position may be stale.
    Off,
}

impl Mode {
    /// The modes in which no read may be stale.
    const WITH_FLOORS: [Mode; 5] =
        [Mode::Connection, Mode::Arrival, Mode::Tokens, Mode::TokensReads, Mode::Router];

    /// Returns the routers' local settings (KDL), with additional lines inside the node `sessions`.
    pub fn local_settings(self, more: &str) -> Option<String> {
        let (floor, tokens) = match self {
            Mode::Connection => ("connection", ""),
            Mode::Arrival => ("arrival", ""),
            Mode::Tokens => ("nothing", "tokens with=\"writes\" early=#true"),
            Mode::TokensReads => ("nothing", "tokens with=\"reads\" early=#true"),
            Mode::Router => ("router", ""),
            Mode::Off => return None,
        };
        let key = "key 1 \"00112233445566778899aabbccddeeff\" signs=#true";
        let tokens = if tokens.is_empty() { String::new() } else { format!("{tokens} {{\n {key}\n }}\n") };
        Some(format!("sessions floor=\"{floor}\" {{\n{tokens}{more}\n}}\n"))
    }

    /// Returns how sessions connect.
    fn connection_mode(self) -> ConnectionMode {
        match self {
            Mode::Connection | Mode::Off => ConnectionMode::OneAtATime,
            Mode::Arrival => ConnectionMode::Pooled,
            Mode::Tokens | Mode::TokensReads => ConnectionMode::PooledTokens,
            Mode::Router => ConnectionMode::OneRouter,
        }
    }
}

/// What replicas do with a read whose floor they have not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum WhenBehind {
    /// Replicas wait up to 100 ms for the log position, then reject the read.
    Waits,
    /// Replicas reject the read immediately.
    Refuses,
    /// Replicas serve the read from the log position that they have applied.
    Answers,
}

impl From<WhenBehind> for StaleRead {
    fn from(when_behind: WhenBehind) -> StaleRead {
        match when_behind {
            WhenBehind::Waits => StaleRead::Wait(Duration::from_millis(100)),
            WhenBehind::Refuses => StaleRead::Reject,
            WhenBehind::Answers => StaleRead::Serve,
        }
    }
}

#[derive(clap::Args)]
pub struct Options {
    /// Number of reads in each mode.
    #[arg(long, default_value_t = 50_000)]
    reads: usize,
    /// Number of times that a router is killed and restarted during the load, in each mode.
    #[arg(long, default_value_t = 20)]
    kills: usize,
    /// Number of routers.
    #[arg(long, default_value_t = 3)]
    routers: usize,
    /// Number of concurrent sessions.
    #[arg(long, default_value_t = 48)]
    sessions: usize,
    /// Time that replicas take to apply a write, in milliseconds.
    #[arg(long, default_value_t = 12)]
    lag_ms: u64,
    /// What replicas do with a read whose floor they have not applied yet.
    #[arg(long, value_enum, default_value = "waits")]
    behind: WhenBehind,
    /// Modes to run [default: all but `off`].
    #[arg(long, value_enum)]
    mode: Vec<Mode>,
    /// Additional lines inside the node `sessions` of the routers' local settings.
    #[arg(long, default_value = "")]
    more: String,
    /// Base name of the files that results are written to.
    #[arg(long, default_value = "sessions")]
    name: String,
}

/// A read is of the class `status`, whose reads must reflect all earlier writes, with a probability of one in
/// this number.
const STATUS_EVERY: u64 = 8;
/// The longest pause of a session before a read, in microseconds.
const MAX_THINK_TIME_US: u64 = 8000;
/// Maximum latency that the histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Returns pairs of a latency in milliseconds and the fraction of reads that were served within it.
fn latency_curve(report: &SessionLoadReport) -> anyhow::Result<Vec<(f64, f64)>> {
    let mut histogram = Histogram::<u32>::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    for us in &report.latencies_us {
        histogram.record(u64::from(*us).max(1))?;
    }
    let points = histogram.iter_quantiles(5).map(|v| (v.value_iterated_to() as f64 / 1000.0, v.quantile()));
    Ok(points.collect())
}

/// Runs the load in one mode while routers are killed.
fn measure(options: &Options, common: &CommonOptions, mode: Mode) -> anyhow::Result<SessionLoadReport> {
    let behavior = GroupBehavior {
        lag_ms: options.lag_ms,
        stale_reads: options.behind.into(),
        ..GroupBehavior::default()
    };
    let settings = mode.local_settings(&options.more);
    let folder = std::env::temp_dir();
    let program = common.program()?;
    let mut deployment =
        Deployment::start(&program, &folder, options.routers, behavior, settings.as_deref())?;
    let load = SessionLoad {
        mode: mode.connection_mode(),
        sessions: options.sessions,
        reads: options.reads,
        status_every: STATUS_EVERY,
        max_think_time_us: MAX_THINK_TIME_US,
        seed: common.seed,
    };
    Ok(deployment.run_load(&load, options.kills, &[]))
}

fn row(options: &Options, mode: Mode, report: &SessionLoadReport) -> Vec<String> {
    vec![
        format!("{mode:?}"),
        report.reads.to_string(),
        options.kills.to_string(),
        report.stale.to_string(),
        format!("{:.4}", report.replica_fraction()),
        format!("{:.1}", f64::from(report.quantile_us(0.5)) / 1000.0),
        format!("{:.1}", f64::from(report.quantile_us(0.99)) / 1000.0),
        report.writes.to_string(),
        report.unknown.to_string(),
        report.not_served.to_string(),
    ]
}

fn write_results(
    options: &Options,
    common: &CommonOptions,
    table: &Table,
    lines: &[Line],
) -> anyhow::Result<()> {
    let description = format!(
        "Real router processes and sockets, stand-in group: {} routers, {} sessions, replicas with a lag of \
         {} ms (mode for reads whose floor they have not applied: {:?}), seed {}. {}",
        options.routers, options.sessions, options.lag_ms, options.behind, common.seed, options.more
    );
    let axes = Axes {
        title: "Session reads by latency",
        x: "latency, ms",
        y: "fraction of reads",
        y_range: 0.0..1.0,
    };
    let chart = Chart { axes, lines };
    write_table_and_chart(common.out.as_deref(), &options.name, &description, table, &chart)
}

/// Runs the experiment. It passes if no read was stale in any mode except [`Mode::Off`].
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let modes = if options.mode.is_empty() { Mode::WITH_FLOORS.to_vec() } else { options.mode.clone() };
    let mut total = SessionLoadReport::default();
    let (mut lines, mut rows) = (Vec::new(), Vec::new());
    let mut passed = true;
    for mode in modes {
        let report = measure(options, common, mode)?;
        println!("mode={mode:?} kills={} {report}", options.kills);
        for stale in &report.first_stale {
            println!("  {stale}");
        }
        passed &= report.stale == 0 || mode == Mode::Off;
        rows.push(row(options, mode, &report));
        lines.push(Line { name: format!("{mode:?}"), points: latency_curve(&report)? });
        total.add(report);
    }
    let headers = vec![
        "mode",
        "reads",
        "kills",
        "stale",
        "fraction served by replicas",
        "p50 ms",
        "p99 ms",
        "writes",
        "writes of unknown outcome",
        "not served",
    ];
    write_results(options, common, &Table { headers, rows }, &lines)?;
    let (reads, stale, kills) = (total.reads, total.stale, options.kills);
    let summary = format!(
        "reads={reads} kills={kills} stale={stale} replica_share={:.4} p50_us={} p99_us={}",
        total.replica_fraction(),
        total.quantile_us(0.5),
        total.quantile_us(0.99)
    );
    Ok(Outcome { summary, passed })
}
