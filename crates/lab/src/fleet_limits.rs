//! A limit over all routers, on real processes with links, routers and demand that change: how much of it is
//! used, and by how much it is exceeded, by the hosts' own record. `--model` counts what gossip costs by the
//! fleet's size, `--crowd` starts many processes, `--overhead` measures requests with the fleet on and off.

mod gossip_cost;
mod many_routers;
mod request_overhead;
mod through_faults;

use crate::{CommonOptions, Outcome};
use basalthill_standin::harness::{FleetHarness, HarnessConfig, HostBehavior};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Options {
    /// Routers.
    #[arg(long, default_value_t = 24)]
    routers: usize,
    /// How long each way of keeping the limit is played.
    #[arg(long, default_value_t = 3.0)]
    minutes: f64,
    /// What gossip costs by the fleet's size, simulated, up to so many routers.
    #[arg(long)]
    model: bool,
    /// So many real processes, idle and under light load.
    #[arg(long)]
    crowd: bool,
    /// Requests with the fleet on and off.
    #[arg(long)]
    overhead: bool,
}

/// The limit: requests a second, and the burst.
const LIMIT_PER_S: f64 = 1200.0;
/// The comment of all statements, besides their ids.
const STATEMENT_COMMENT: &str = "c=report,t=acme,d=1400,cluster=2";
/// Until routers that have just started know of each other and of the demand.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// How the limit is kept.
#[derive(Clone, Copy, PartialEq)]
enum LimitMode {
    /// By the fleet.
    Fleet,
    /// Each router admits up to the full limit by itself.
    FullEach,
    /// Each router admits a fixed fraction of it.
    StaticFractions,
    /// Not at all.
    Unlimited,
}

impl LimitMode {
    const ALL: [LimitMode; 4] =
        [LimitMode::Fleet, LimitMode::FullEach, LimitMode::StaticFractions, LimitMode::Unlimited];

    fn name(self) -> &'static str {
        match self {
            LimitMode::Fleet => "the fleet's limit",
            LimitMode::FullEach => "each router the whole limit",
            LimitMode::StaticFractions => "static shares",
            LimitMode::Unlimited => "no limit",
        }
    }

    /// Nodes of routers' own settings (KDL), inside `fleet`.
    fn limits(self) -> Option<String> {
        let limit =
            |alone| format!("limit \"acme\" tenant=\"acme\" per-s={LIMIT_PER_S} alone-percent={alone}");
        match self {
            LimitMode::Fleet | LimitMode::FullEach => Some(limit(10)),
            LimitMode::StaticFractions => Some(limit(100)),
            LimitMode::Unlimited => None,
        }
    }
}

/// So many routers that keep the limit in a mode, before hosts that answer at once.
fn harness_config(routers: usize, mode: LimitMode, seed: u64) -> HarnessConfig {
    HarnessConfig {
        routers,
        hosts: 6,
        service_time: Duration::ZERO,
        host_behavior: HostBehavior::Serve,
        limits: mode.limits(),
        isolated: mode == LimitMode::FullEach,
        direct: false,
        seed,
    }
}

fn start_harness(config: &HarnessConfig, common: &CommonOptions) -> anyhow::Result<FleetHarness> {
    Ok(FleetHarness::start(&common.program()?, &std::env::temp_dir(), config)?)
}

fn router_addrs(harness: &FleetHarness) -> Vec<SocketAddr> {
    harness.routers.iter().map(|r| r.addr).collect()
}

/// Processor time that all routers have used.
fn cpu_time(harness: &FleetHarness) -> Duration {
    harness.routers.iter().filter_map(|r| r.cpu_time()).sum()
}

/// Runs the experiment that the options name.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    if options.model {
        gossip_cost::run(options.routers, common)
    } else if options.crowd {
        many_routers::run(options.routers, common)
    } else if options.overhead {
        request_overhead::run(common)
    } else {
        through_faults::run(options, common)
    }
}
