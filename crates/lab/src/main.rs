//! `basalthill-lab`: one experiment a sub-command. Each prints its figures, writes a table and a chart where
//! `--out` names a folder, and ends with a line of `key=value`. The exit code is 0 if the promises that the
//! experiment checks were kept, 1 if one was broken, 2 if it could not be run.

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

/// Counts what the library allocates, for `overhead`.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// A promise that the experiment checks was broken.
const EXIT_CHECK_FAILED: u8 = 1;
/// The experiment could not be run.
const EXIT_NOT_RUN: u8 = 2;

/// Experiments with basalthill.
#[derive(Parser)]
#[command(name = "basalthill-lab", version)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
    #[command(flatten)]
    common: CommonOptions,
}

/// What all experiments take.
#[derive(clap::Args)]
struct CommonOptions {
    /// The router's program; the one beside this program if not given.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// A folder for the table and the chart.
    #[arg(long, global = true)]
    out: Option<PathBuf>,
    /// For random numbers.
    #[arg(long, global = true, default_value_t = 16)]
    seed: u64,
}

#[derive(Subcommand)]
enum Experiment {
    /// Sessions through routers that are killed: is any read stale, and who serves them.
    Sessions(sessions::Options),
    /// The bounded table of session floors against a plain map.
    Book(floor_table::Options),
    /// What tokens cost a request, on against off.
    Cost(cost::Options),
    /// Clients that lose their router, and get it back: the library against naive ones.
    Reconnect(reconnect::Options),
    /// More load than the hosts can take: the library's retry budget against naive retries and none.
    Overload(overload::Options),
    /// What the library costs a request, against a bare loop over sockets.
    Overhead(overhead::Options),
    /// A limit over all routers while links and routers fail: used, and never exceeded.
    FleetLimits(fleet_limits::Options),
    /// What a snapshot buys at a restart while replicas are behind.
    Restart(restart::Options),
}

/// An experiment's end.
struct Outcome {
    /// Its last line, of `key=value`.
    summary: String,
    /// Whether the promises that it checks were kept.
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
        Experiment::Book(options) => floor_table::run(&options, common),
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
                ExitCode::from(EXIT_CHECK_FAILED)
            }
        }
        Err(e) => {
            eprintln!("basalthill-lab: {e:#}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
