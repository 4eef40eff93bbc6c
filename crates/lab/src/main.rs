//! `basalthill-lab`: load experiments against real router processes, stand-in hosts and the client library.
//!
//! Each sub-command runs one experiment. It prints its results as tables and, with `--out`, writes them to a
//! folder as Markdown and, for some experiments, as an SVG chart. The last line of its output is a summary of
//! `key=value` pairs. The exit code is 0 if all guarantees that the experiment checks were met, 1 if one was
//! violated, and 2 if the experiment could not be run.

mod client_load;
mod cost;
mod fleet_limits;
mod floor_table;
mod host_records;
mod overhead;
mod overload;
mod reconnect;
mod restart;
mod results;
mod sessions;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts allocations, for the experiment `overhead`.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Exit code if a guarantee that the experiment checks was violated.
const EXIT_BROKEN: u8 = 1;
/// Exit code if the experiment could not be run.
const EXIT_FAILED: u8 = 2;

/// Runs load experiments against basalthill routers.
#[derive(Parser)]
#[command(name = "basalthill-lab", version)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
    #[command(flatten)]
    common: CommonOptions,
}

/// Options of all experiments.
#[derive(clap::Args)]
struct CommonOptions {
    /// Path of the router executable [default: `basalthill` in the directory of this executable].
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Folder that the tables and charts are written to; nothing is written without it.
    #[arg(long, global = true)]
    out: Option<PathBuf>,
    /// Seed of the random number generators.
    #[arg(long, global = true, default_value_t = 16)]
    seed: u64,
}

#[derive(Subcommand)]
enum Experiment {
    /// Runs sessions while routers are killed; counts stale reads and the fraction of reads served by
    /// replicas.
    Sessions(sessions::Options),
    /// Compares the bounded table of session floors with an unbounded ordered map.
    #[command(name = "book")]
    FloorTable(floor_table::Options),
    /// Measures the cost per request of session floors and session tokens.
    Cost(cost::Options),
    /// Kills and restarts a router; compares how clients of the library and naive clients reconnect.
    Reconnect(reconnect::Options),
    /// Overloads the hosts; compares the library's retry budget with naive retries and with none.
    Overload(overload::Options),
    /// Measures the cost per request of the client library against a plain socket loop.
    Overhead(overhead::Options),
    /// Measures a fleet-wide rate limit while links and routers fail: the fraction used and any excess.
    FleetLimits(fleet_limits::Options),
    /// Measures how a snapshot of session floors affects reads after a graceful restart while replicas lag.
    Restart(restart::Options),
}

/// The outcome of an experiment.
struct Outcome {
    /// The last line of output: `key=value` pairs.
    summary: String,
    /// Whether all guarantees that the experiment checks were met.
    passed: bool,
}

impl CommonOptions {
    fn program(&self) -> anyhow::Result<PathBuf> {
        match &self.program {
            Some(program) => Ok(program.clone()),
            None => Ok(std::env::current_exe()?.with_file_name("basalthill")),
        }
    }
}

fn run(experiment: Experiment, common: &CommonOptions) -> anyhow::Result<Outcome> {
    match experiment {
        Experiment::Sessions(options) => sessions::run(&options, common),
        Experiment::FloorTable(options) => floor_table::run(&options, common),
        Experiment::Cost(options) => cost::run(&options, common),
        Experiment::Reconnect(options) => reconnect::run(&options, common),
        Experiment::Overload(options) => overload::run(&options, common),
        Experiment::Overhead(options) => overhead::run(&options, common),
        Experiment::FleetLimits(options) => fleet_limits::run(&options, common),
        Experiment::Restart(options) => restart::run(&options, common),
    }
}

fn main() -> ExitCode {
    let Arguments { experiment, common } = Arguments::parse();
    match run(experiment, &common) {
        Ok(Outcome { summary, passed }) => {
            println!("{summary}");
            if passed {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_BROKEN)
            }
        }
        Err(e) => {
            eprintln!("basalthill-lab: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
