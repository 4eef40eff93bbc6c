//! Sessions write and read through routers that are killed and restarted; an oracle knows what each read
//! should have seen.

use crate::results::{write_table_and_chart, Axes, Chart, Line, Table};
use crate::{CommonOptions, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::{GroupBehavior, StaleRead};
use basalthill_standin::session_load::{ConnectionMode, SessionLoad, SessionLoadReport};
use clap::ValueEnum;
use hdrhistogram::Histogram;
use std::time::Duration;

/// How sessions connect, and how their reads get a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Mode {
    /// One connection at a time; the accept's moment stands in.
    Connection,
    /// Shared connections; the read's arrival stands in.
    Arrival,
    /// Shared connections; tokens are handed out with writes.
    Tokens,
    /// Shared connections; tokens are handed out with reads too.
    TokensReads,
    /// Each session at one router, over shared connections; the router's memory.
    Router,
    /// No settings of the routers' own: nothing is promised to clients that bring nothing.
    Off,
}

impl Mode {
    /// All modes that promise something.
    const WITH_FLOORS: [Mode; 5] =
        [Mode::Connection, Mode::Arrival, Mode::Tokens, Mode::TokensReads, Mode::Router];

    /// Routers' own settings (KDL), with further lines of the node `sessions`.
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

    /// How sessions connect.
    fn connection_mode(self) -> ConnectionMode {
        match self {
            Mode::Connection | Mode::Off => ConnectionMode::OneAtATime,
            Mode::Arrival => ConnectionMode::Pooled,
            Mode::Tokens | Mode::TokensReads => ConnectionMode::PooledTokens,
            Mode::Router => ConnectionMode::OneRouter,
        }
    }
}

/// What replicas do with reads that they are too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum WhenBehind {
    /// They wait for their log, 100 ms at most.
    Waits,
    /// They reject them.
    Refuses,
    /// They answer from what they have.
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
    /// Reads in each mode.
    #[arg(long, default_value_t = 50_000)]
    reads: usize,
    /// Routers killed and restarted meanwhile.
    #[arg(long, default_value_t = 20)]
    kills: usize,
    /// Routers.
    #[arg(long, default_value_t = 3)]
    routers: usize,
    /// Sessions at a time.
    #[arg(long, default_value_t = 48)]
    sessions: usize,
    /// How long replicas take to apply what was written.
    #[arg(long, default_value_t = 12)]
    lag_ms: u64,
    /// What replicas do when they are behind.
    #[arg(long, value_enum, default_value = "waits")]
    behind: WhenBehind,
    /// Modes; all but `off` if none is named.
    #[arg(long, value_enum)]
    mode: Vec<Mode>,
    /// Further lines of the settings' node `sessions`.
    #[arg(long, default_value = "")]
    more: String,
    /// The name of the results.
    #[arg(long, default_value = "sessions")]
    name: String,
}

/// One in so many reads sees all writes.
const STATUS_EVERY: u64 = 8;
/// The longest pause before a read, in microseconds.
const MAX_THINK_TIME_US: u64 = 8000;
/// The longest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// The fraction of reads that were served within each time, in milliseconds.
fn latency_curve(report: &SessionLoadReport) -> anyhow::Result<Vec<(f64, f64)>> {
    let mut histogram = Histogram::<u32>::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    for us in &report.latencies_us {
        histogram.record(u64::from(*us).max(1))?;
    }
    let points = histogram.iter_quantiles(5).map(|v| (v.value_iterated_to() as f64 / 1000.0, v.quantile()));
    Ok(points.collect())
}

/// Runs the load in one mode.
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
        "Real router processes and sockets, stand-in group: {} routers, {} sessions, replicas {} ms \
         behind (what they do with reads then: {:?}), seed {}. {}",
        options.routers, options.sessions, options.lag_ms, options.behind, common.seed, options.more
    );
    let axes = Axes { title: "Session reads served within", x: "ms", y: "share", y_range: 0.0..1.0 };
    let chart = Chart { axes, lines };
    write_table_and_chart(common.out.as_deref(), &options.name, &description, table, &chart)
}

/// Runs the experiment. It passes if no read was stale, but for the mode that promises nothing.
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
        "replica share",
        "p50 ms",
        "p99 ms",
        "writes",
        "of unknown end",
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
