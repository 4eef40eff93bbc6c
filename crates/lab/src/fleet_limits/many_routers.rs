//! Runs many router processes on one machine and measures them idle and under light load. The routers send
//! datagrams to each other directly, without a proxy.

use super::{cpu_time, harness_config, router_addrs, start_harness, LimitMode, STATEMENT_COMMENT};
use crate::results::{write_table, Table};
use crate::{CommonOptions, Outcome};
use basalthill_standin::harness::{FleetHarness, HarnessConfig, PacedClients};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after the start in which all routers learn of each other.
const START_TIME: Duration = Duration::from_secs(20);
/// Duration of a measurement.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Time in which the routers' quotas adapt to a change of the demand.
const DEMAND_SETTLING_TIME: Duration = Duration::from_secs(5);
/// The light load, in requests per second at each router.
const LIGHT_LOAD_PER_S: f64 = 2.0;
const HOSTS: usize = 3;

/// Measures the mean CPU time of a router over [`MEASURED_TIME`], in microseconds per second.
fn measure_cpu_us(harness: &FleetHarness) -> f64 {
    let before = cpu_time(harness);
    sleep(MEASURED_TIME);
    let used = cpu_time(harness) - before;
    used.as_secs_f64() / MEASURED_TIME.as_secs_f64() / harness.routers.len() as f64 * 1e6
}

/// Returns the number of routers that a router's status reports as alive.
fn alive_count(status: &str) -> Option<usize> {
    status.lines().next()?.split("alive ").nth(1)?.split(' ').next()?.parse().ok()
}

/// Runs the experiment. It passes if the first router reports all routers as alive.
pub fn run(routers: usize, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let config = harness_config(routers, LimitMode::Fleet, common.seed);
    let config = HarnessConfig { direct: true, hosts: HOSTS, ..config };
    let started_at = Instant::now();
    let harness = start_harness(&config, common)?;
    let started_s = started_at.elapsed().as_secs_f64();
    sleep(START_TIME);
    let idle_us = measure_cpu_us(&harness);
    let clients = PacedClients::start(&router_addrs(&harness), 1, STATEMENT_COMMENT, common.seed);
    (0..routers).for_each(|n| clients.set_rate(n, LIGHT_LOAD_PER_S));
    sleep(DEMAND_SETTLING_TIME);
    let served_before = clients.totals().served;
    let light_us = measure_cpu_us(&harness);
    let served = clients.totals().served - served_before;
    let alive = alive_count(&harness.status(&common.program()?, 0)?).unwrap_or(0);
    let max_kib = harness.routers.iter().filter_map(|r| r.resident_kib()).max().unwrap_or(0);
    if let Some(out) = &common.out {
        let headers = vec![
            "routers",
            "alive according to the first router",
            "start, s",
            "CPU idle, us per second and router",
            "at 2 requests per second",
            "largest resident memory, KiB",
        ];
        let row = vec![
            routers.to_string(),
            alive.to_string(),
            format!("{started_s:.1}"),
            format!("{idle_us:.0}"),
            format!("{light_us:.0}"),
            max_kib.to_string(),
        ];
        let description =
            "Real router processes on one machine, without a proxy: one rate limit, idle and under light \
             load.";
        write_table(out, "fleet-crowd", description, &Table { headers, rows: vec![row] })?;
    }
    let served_per_s = served as f64 / MEASURED_TIME.as_secs_f64();
    let summary = format!(
        "routers={routers} alive={alive} started_s={started_s:.1} cpu_us_idle={idle_us:.0} \
         cpu_us_light={light_us:.0} served_per_s={served_per_s:.0} kib={max_kib}"
    );
    Ok(Outcome { summary, passed: alive == routers })
}
