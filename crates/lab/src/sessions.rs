//! Sessions write and read through routers that are killed and restarted; an oracle knows what each read
//! should have seen.

use crate::results::{chart, table, Axes, Line, Table};
use crate::{Common, Done, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::{GroupBehavior, StaleRead};
use basalthill_standin::session_load::{ConnectionMode, SessionLoad, SessionLoadReport};
use clap::ValueEnum;
use hdrhistogram::Histogram;
use std::time::Duration;

/// How sessions come in, and what holds them together.
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
    /// No settings of ours: nothing is promised to clients that bring nothing.
    Off,
}

impl Mode {
    /// The settings and the way of connecting.
    pub fn plan(self, more: &str) -> (Option<String>, ConnectionMode) {
        let own = |floor: &str, tokens: &str| {
            let key = "key 1 \"00112233445566778899aabbccddeeff\" signs=#true";
            let tokens =
                if tokens.is_empty() { String::new() } else { format!("{tokens} {{\n {key}\n }}\n") };
            Some(format!("sessions floor=\"{floor}\" {{\n{tokens}{more}\n}}\n"))
        };
        match self {
            Mode::Connection => (own("connection", ""), ConnectionMode::OneAtATime),
            Mode::Arrival => (own("arrival", ""), ConnectionMode::Pooled),
            Mode::Tokens => {
                (own("nothing", "tokens with=\"writes\" early=#true"), ConnectionMode::PooledTokens)
            }
            Mode::TokensReads => {
                (own("nothing", "tokens with=\"reads\" early=#true"), ConnectionMode::PooledTokens)
            }
            Mode::Router => (own("router", ""), ConnectionMode::OneRouter),
            Mode::Off => (None, ConnectionMode::OneAtATime),
        }
    }
}

/// What replicas do with reads that they are behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum WhenBehind {
    /// They wait for their log, 100 ms at most.
    Waits,
    /// They turn them away.
    Refuses,
    /// They answer from what they have.
    Answers,
}

impl WhenBehind {
    /// In the stand-in's terms.
    pub fn behind(self) -> StaleRead {
        match self {
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

/// The share of reads that were served within each time, in milliseconds.
fn curve(tally: &SessionLoadReport) -> Result<Vec<(f64, f64)>, Box<dyn std::error::Error>> {
    let mut histogram = Histogram::<u32>::new_with_bounds(1, 10_000_000, 3)?;
    tally.latencies_us.iter().try_for_each(|us| histogram.record(u64::from(*us).max(1)))?;
    let points = histogram.iter_quantiles(5).map(|v| (v.value_iterated_to() as f64 / 1000.0, v.quantile()));
    Ok(points.collect())
}

pub fn run(options: &Options, common: &Common) -> Done {
    let all = [Mode::Connection, Mode::Arrival, Mode::Tokens, Mode::TokensReads, Mode::Router];
    let modes = if options.mode.is_empty() { all.to_vec() } else { options.mode.clone() };
    let (mut sum, mut lines, mut rows) = (SessionLoadReport::default(), Vec::new(), Vec::new());
    let mut kept = true;
    for mode in modes {
        let (own, way) = mode.plan(&options.more);
        let manner = GroupBehavior {
            lag_ms: options.lag_ms,
            stale_reads: options.behind.behind(),
            ..GroupBehavior::default()
        };
        let folder = std::env::temp_dir();
        let mut world =
            Deployment::start(&common.program()?, &folder, options.routers, manner, own.as_deref())?;
        let load = SessionLoad {
            mode: way,
            sessions: options.sessions,
            reads: options.reads,
            status_every: 8,
            max_think_time_us: 8000,
            seed: common.seed,
        };
        let tally = world.run_load(&load, options.kills, &[]);
        println!("mode={mode:?} kills={} {tally}", options.kills);
        tally.first_stale.iter().for_each(|s| println!("  {s}"));
        kept &= tally.stale == 0 || mode == Mode::Off;
        rows.push(vec![
            format!("{mode:?}"),
            tally.reads.to_string(),
            options.kills.to_string(),
            tally.stale.to_string(),
            format!("{:.4}", tally.replica_fraction()),
            format!("{:.1}", f64::from(tally.quantile_us(0.5)) / 1000.0),
            format!("{:.1}", f64::from(tally.quantile_us(0.99)) / 1000.0),
            tally.writes.to_string(),
            tally.unknown.to_string(),
            tally.not_served.to_string(),
        ]);
        lines.push(Line { name: format!("{mode:?}"), points: curve(&tally)? });
        sum.add(tally);
    }
    let heads = vec![
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
    if let Some(out) = &common.out {
        let words = format!(
            "Real router processes and sockets, stand-in group: {} routers, {} sessions, replicas {} ms \
             behind (what they do with reads then: {:?}), seed {}. {}",
            options.routers, options.sessions, options.lag_ms, options.behind, common.seed, options.more
        );
        table(out, &options.name, &words, &Table { heads, rows })?;
        let (title, x, y) = ("Session reads served within", "ms", "share");
        chart(out, &options.name, &Axes { title, x, y, range: 0.0..1.0 }, &lines)?;
    }
    let (reads, stale, kills) = (sum.reads, sum.stale, options.kills);
    let line =
        format!("reads={reads} kills={kills} stale={stale} replica_share={:.4}", sum.replica_fraction());
    let line = format!("{line} p50_us={} p99_us={}", sum.quantile_us(0.5), sum.quantile_us(0.99));
    Ok(Outcome { line, kept })
}
