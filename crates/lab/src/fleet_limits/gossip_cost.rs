//! Simulates fleets of several sizes and measures the cost of gossip at each router, without requests and
//! with requests at every router.

use crate::results::{print_and_write_table, Table};
use crate::{CommonOptions, Outcome};
use basalthill_fleet::{Bounds, FleetConfig, Limit, LimitKey, Subject, Timing};
use basalthill_policy::api::Time;
use basalthill_standin::simulated_fleet::{numbered_roster, SimulatedFleet};
use std::time::Instant;

/// Sizes of the simulated fleets. Sizes above `--routers` are skipped, except the first.
const SIZES: [usize; 4] = [10, 100, 300, 1000];
/// Time after the start in which all routers learn of each other.
const START_TIME: Time = Time::ms(20_000);
/// Time in which the routers' quotas adapt to a change of the demand.
const DEMAND_SETTLING_TIME: Time = Time::ms(3000);
/// Duration of a measurement.
const MEASURED_S: f64 = 10.0;
const MEASURED_TIME: Time = Time::ms(10_000);
/// The limit divided by the number of routers, the demand at each router with an even number, and the demand
/// at each router with an odd number, all in requests per second.
const LIMIT_PER_ROUTER_PER_S: f64 = 4.0;
const HIGH_DEMAND_PER_S: f64 = 7.0;
const LOW_DEMAND_PER_S: f64 = 0.7;

/// The cost of gossip per second: the mean over all routers, except where stated otherwise.
struct GossipCost {
    datagrams: f64,
    bytes: f64,
    cpu_us: f64,
    /// Datagrams sent by the router that sent the most.
    max_datagrams: f64,
}

fn fleet_config(routers: usize) -> FleetConfig {
    let per_s = LIMIT_PER_ROUTER_PER_S * routers as f64;
    let limit = Limit {
        name: "acme".into(),
        subject: Subject::Tenant("acme".into()),
        bounds: Bounds::Rate { per_s, burst: per_s },
        reserved_fraction: 0.1,
    };
    let timing = Timing::new(0.01, Time(0));
    let vote_quarantine = timing.lender_span(timing.lease_span);
    FleetConfig {
        roster: numbered_roster(routers),
        limits: vec![limit],
        timing,
        max_use: Time(0),
        vote_quarantine,
    }
}

/// Returns the number of datagrams that each router has sent.
fn datagrams_by_router(fleet: &SimulatedFleet, routers: usize) -> Vec<u64> {
    (0..routers).map(|n| fleet.core(n).map_or(0, |core| core.counters().sent)).collect()
}

/// Runs the simulation for [`MEASURED_TIME`] and returns the cost of gossip in it. The CPU time is the
/// elapsed real time of the whole simulation, which runs on one thread, divided by the number of routers.
fn measure(fleet: &mut SimulatedFleet, routers: usize) -> GossipCost {
    let datagrams_before = fleet.observations.datagrams;
    let bytes_before = fleet.observations.bytes;
    let sent_before = datagrams_by_router(fleet, routers);
    let started_at = Instant::now();
    fleet.run_until(fleet.now.plus(MEASURED_TIME));
    let cpu_us = started_at.elapsed().as_micros() as f64 / routers as f64 / MEASURED_S;
    let per_router_and_s = |now: u64, before: u64| (now - before) as f64 / routers as f64 / MEASURED_S;
    let sent = datagrams_by_router(fleet, routers);
    let max_sent = sent.iter().zip(&sent_before).map(|(now, before)| now - before).max().unwrap_or(0);
    GossipCost {
        datagrams: per_router_and_s(fleet.observations.datagrams, datagrams_before),
        bytes: per_router_and_s(fleet.observations.bytes, bytes_before),
        cpu_us,
        max_datagrams: max_sent as f64 / MEASURED_S,
    }
}

/// Runs the experiment for fleets of up to `max_routers` routers. It checks no guarantee and always passes.
pub fn run(max_routers: usize, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let headers = vec![
        "routers",
        "idle: datagrams per second and router",
        "idle: bytes",
        "idle: CPU, us",
        "idle: datagrams of the busiest router",
        "with requests: datagrams per second and router",
        "with requests: bytes",
        "with requests: CPU, us",
    ];
    let (mut rows, mut summary) = (Vec::new(), String::new());
    for routers in SIZES.into_iter().filter(|n| *n <= max_routers.max(SIZES[0])) {
        let limit = Some(LimitKey::global("acme"));
        let mut fleet = SimulatedFleet::new(fleet_config(routers), limit, None, Time(0), common.seed);
        fleet.tracks_allocated_units = false;
        (0..routers).for_each(|n| fleet.start(n));
        fleet.run_until(START_TIME);
        let idle = measure(&mut fleet, routers);
        for n in 0..routers {
            fleet.set_demand(n, if n % 2 == 0 { HIGH_DEMAND_PER_S } else { LOW_DEMAND_PER_S }, 0.0);
        }
        fleet.run_until(fleet.now.plus(DEMAND_SETTLING_TIME));
        let loaded = measure(&mut fleet, routers);
        rows.push(vec![
            routers.to_string(),
            format!("{:.1}", idle.datagrams),
            format!("{:.0}", idle.bytes),
            format!("{:.0}", idle.cpu_us),
            format!("{:.1}", idle.max_datagrams),
            format!("{:.1}", loaded.datagrams),
            format!("{:.0}", loaded.bytes),
            format!("{:.0}", loaded.cpu_us),
        ]);
        summary = format!(
            "routers={routers} datagrams_per_s={:.1} bytes_per_s={:.0} cpu_us={:.0}",
            loaded.datagrams, loaded.bytes, loaded.cpu_us
        );
    }
    let table = Table { headers, rows };
    let description = format!(
        "Simulated, one thread for all routers, seed {}: one rate limit, idle, and with requests at every \
         router. The CPU time includes the simulation's own work, and sending and receiving each datagram.",
        common.seed
    );
    print_and_write_table(common.out.as_deref(), "fleet-cost", &description, &table)?;
    Ok(Outcome { summary, passed: true })
}
