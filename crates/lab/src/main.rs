//! `basalthill-lab`: one experiment a sub-command. Each prints its figures, keeps a table and a chart where
//! `--out` names a folder, and ends with a line of `key=value`; exit code 1 if what was promised was broken.

mod book;
mod clients;
mod cost;
mod fleet_limits;
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

/// Experiments with basalthill.
#[derive(Parser)]
#[command(name = "basalthill-lab", version)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
    #[command(flatten)]
    common: Common,
}

/// What all experiments take.
#[derive(clap::Args)]
struct Common {
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
    /// The bounded book of floors against a plain map.
    Book(book::Options),
    /// What tokens cost a request, on against off.
    Cost(cost::Options),
    /// Clients that lose their router, and get it back: the library against naive ones.
    Reconnect(reconnect::Options),
    /// More load than the hosts can take: the library's budget against naive retries and none.
    Overload(overload::Options),
    /// What the library costs a request, against a bare loop over sockets.
    Overhead(overhead::Options),
    /// A limit over all routers while links and routers fail: used, and never over.
    FleetLimits(fleet_limits::Options),
    /// What a snapshot buys at a restart while replicas are behind.
    Restart(restart::Options),
}

/// An experiment's end: its last line, and whether what was promised was kept.
struct Outcome {
    line: String,
    kept: bool,
}

type Done = Result<Outcome, Box<dyn std::error::Error>>;

impl Common {
    fn program(&self) -> std::io::Result<PathBuf> {
        let beside = || Ok(std::env::current_exe()?.with_file_name("basalthill"));
        self.program.clone().map_or_else(beside, Ok)
    }
}

fn main() -> ExitCode {
    let Arguments { experiment, common } = Arguments::parse();
    let done = match experiment {
        Experiment::Sessions(options) => sessions::run(&options, &common),
        Experiment::Book(options) => book::run(&options, &common),
        Experiment::Cost(options) => cost::run(&options, &common),
        Experiment::Reconnect(options) => reconnect::run(&options, &common),
        Experiment::Overload(options) => overload::run(&options, &common),
        Experiment::Overhead(options) => overhead::run(&options, &common),
        Experiment::FleetLimits(options) => fleet_limits::run(&options, &common),
        Experiment::Restart(options) => restart::run(&options, &common),
    };
    match done {
        Ok(Outcome { line, kept }) => {
            println!("{line}");
            if kept {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(e) => {
            eprintln!("basalthill-lab: {e}");
            ExitCode::from(2)
        }
    }
}
