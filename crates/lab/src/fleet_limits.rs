//! Experiments on a rate limit that all routers of a fleet share.
//!
//! By default, real router processes run under changing demand while links and routers fail. The hosts'
//! records show how much of the limit is used and by how much it is exceeded. `--model` simulates the cost of
//! gossip by fleet size, `--crowd` starts many router processes on one machine, and `--overhead` measures the
//! cost of requests with the fleet on and off.

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
    /// Number of routers.
    #[arg(long, default_value_t = 24)]
    routers: usize,
    /// Duration of the run for each way of enforcing the limit, in minutes.
    #[arg(long, default_value_t = 3.0)]
    minutes: f64,
    /// Simulate the cost of gossip for fleets of several sizes, up to `--routers`.
    #[arg(long = "model")]
    gossip_cost: bool,
    /// Start `--routers` router processes and measure them idle and under light load.
    #[arg(long = "crowd")]
    many_routers: bool,
    /// Measure the cost of a request with the fleet on and off.
    #[arg(long)]
    overhead: bool,
}

/// The limit: the rate in requests per second, and also the burst in requests.
const LIMIT_PER_S: f64 = 1200.0;
/// The parameters in the comment of each statement, except its id.
const STATEMENT_COMMENT: &str = "c=report,t=acme,d=1400,cluster=2";
/// Time after the start in which the routers learn of each other and of the demand.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// How the limit is enforced.
#[derive(Clone, Copy, PartialEq)]
enum LimitMode {
    /// The fleet shares the limit.
    Fleet,
    /// Each router admits up to the full limit, independently of the others.
    FullEach,
    /// Each router admits a fixed fraction of the limit.
    StaticFractions,
    /// The limit is not enforced.
    Unlimited,
}

impl LimitMode {
    const ALL: [LimitMode; 4] =
        [LimitMode::Fleet, LimitMode::FullEach, LimitMode::StaticFractions, LimitMode::Unlimited];

    fn name(self) -> &'static str {
        match self {
            LimitMode::Fleet => "limit of the fleet",
            LimitMode::FullEach => "full limit at each router",
            LimitMode::StaticFractions => "static fractions",
            LimitMode::Unlimited => "no limit",
        }
    }

    /// Returns the nodes inside `fleet` of the routers' local settings (KDL).
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

/// Returns the configuration of a harness whose routers enforce the limit in one mode and whose hosts respond
/// without delay.
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

/// Returns the CPU time that all routers have used.
fn cpu_time(harness: &FleetHarness) -> Duration {
    harness.routers.iter().filter_map(|r| r.cpu_time()).sum()
}

/// Runs the experiment that the options select.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    if options.gossip_cost {
        gossip_cost::run(options.routers, common)
    } else if options.many_routers {
        many_routers::run(options.routers, common)
    } else if options.overhead {
        request_overhead::run(common)
    } else {
        through_faults::run(options, common)
    }
}
