//! Measures the cost of a fleet per request. Of two pairs of routers, one has a fleet with a limit that is
//! never reached and the other has no fleet; the pairs are under load in turn.

use super::{
    cpu_time, harness_config, router_addrs, start_harness, LimitMode, SETTLING_TIME, STATEMENT_COMMENT,
};
use crate::results::{print_and_write_table, Table};
use crate::{CommonOptions, Outcome};
use anyhow::ensure;
use basalthill_standin::harness::{FleetHarness, HarnessConfig, PacedClients};
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;

const ROUTERS: usize = 2;
/// A limit that is never reached.
const LIMIT: &str = "limit \"acme\" tenant=\"acme\" per-s=100000 alone-percent=10";
/// Number of connections to each router, and the requests per second that they send to it together.
const CONNECTIONS: usize = 4;
const LOAD_PER_S: f64 = 1500.0;
const ROUNDS: usize = 6;
const ROUND_DURATION: Duration = Duration::from_secs(3);
/// Time after a round in which the last requests complete.
const DRAIN_TIME: Duration = Duration::from_millis(200);

/// A pair of routers with its clients, and the totals of its rounds so far.
struct Pair {
    name: &'static str,
    harness: FleetHarness,
    clients: PacedClients,
    /// CPU time that both routers use without load in [`ROUND_DURATION`].
    idle_cpu: Duration,
    /// CPU time that both routers have used under load, less what they use without load in the same time.
    request_cpu: Duration,
    served: u64,
}

impl Pair {
    fn start(name: &'static str, limits: Option<String>, common: &CommonOptions) -> anyhow::Result<Pair> {
        let config = harness_config(ROUTERS, LimitMode::Unlimited, common.seed);
        let harness = start_harness(&HarnessConfig { limits, ..config }, common)?;
        let clients =
            PacedClients::start(&router_addrs(&harness), CONNECTIONS, STATEMENT_COMMENT, common.seed);
        let idle_cpu = Duration::ZERO;
        Ok(Pair { name, harness, clients, idle_cpu, request_cpu: Duration::ZERO, served: 0 })
    }

    fn measure_idle(&mut self) {
        let before = cpu_time(&self.harness);
        sleep(ROUND_DURATION * 2);
        self.idle_cpu = (cpu_time(&self.harness) - before) / 2;
    }

    /// Runs one round under load. The CPU time that the routers use without load is subtracted, since the CPU
    /// time of a fleet's own work is the same under any load.
    fn run_round(&mut self) {
        let cpu_before = cpu_time(&self.harness);
        let served_before = self.clients.totals().served;
        self.set_rate(LOAD_PER_S);
        sleep(ROUND_DURATION);
        self.set_rate(0.0);
        sleep(DRAIN_TIME);
        let idle = self.idle_cpu.mul_f64((ROUND_DURATION + DRAIN_TIME).div_duration_f64(ROUND_DURATION));
        self.request_cpu += (cpu_time(&self.harness) - cpu_before).saturating_sub(idle);
        self.served += self.clients.totals().served - served_before;
    }

    fn set_rate(&self, per_s: f64) {
        (0..ROUTERS).for_each(|router| self.clients.set_rate(router, per_s));
    }

    /// Returns the mean CPU time of a request, in microseconds.
    fn cpu_us_per_request(&self) -> f64 {
        self.request_cpu.as_secs_f64() * 1e6 / self.served.max(1) as f64
    }

    fn row(&self) -> Vec<String> {
        let mut latencies: Vec<u32> = Vec::new();
        for counts in &self.clients.counts {
            let of_router = counts.latencies_us.lock().unwrap_or_else(PoisonError::into_inner);
            latencies.extend(of_router.iter());
        }
        latencies.sort_unstable();
        let quantile = |fraction: f64| {
            let at = (latencies.len() as f64 * fraction) as usize;
            latencies.get(at).copied().unwrap_or(0)
        };
        let idle_us = self.idle_cpu.as_secs_f64() / ROUND_DURATION.as_secs_f64() * 1e6 / ROUTERS as f64;
        vec![
            self.name.to_string(),
            self.served.to_string(),
            quantile(0.5).to_string(),
            quantile(0.99).to_string(),
            format!("{:.1}", self.cpu_us_per_request()),
            format!("{idle_us:.0}"),
        ]
    }
}

/// Runs the experiment. It checks no guarantee, but returns an error if any request failed.
pub fn run(common: &CommonOptions) -> anyhow::Result<Outcome> {
    let mut with_fleet = Pair::start("fleet on", Some(LIMIT.to_string()), common)?;
    let mut without = Pair::start("fleet off", None, common)?;
    sleep(SETTLING_TIME);
    with_fleet.measure_idle();
    without.measure_idle();
    for _ in 0..ROUNDS {
        with_fleet.run_round();
        without.run_round();
    }
    for pair in [&with_fleet, &without] {
        let failed = pair.clients.totals().failed;
        ensure!(failed == 0, "{failed} requests failed with {}, expected none", pair.name);
    }
    let headers =
        vec!["", "served", "p50, us", "p99, us", "CPU per request, us", "CPU per second and idle router, us"];
    let table = Table { headers, rows: vec![with_fleet.row(), without.row()] };
    let description =
        "Real router processes, stand-in hosts: two pairs of routers, under load in turn for 3 s, six times \
         each; one pair has a fleet and a limit that is never reached. The CPU time of a request excludes \
         the CPU time of an idle router.";
    print_and_write_table(common.out.as_deref(), "fleet-overhead", description, &table)?;
    let (on, off) = (with_fleet.cpu_us_per_request(), without.cpu_us_per_request());
    let overhead = on / off - 1.0;
    Ok(Outcome { summary: format!("cpu_us_on={on:.1} cpu_us_off={off:.1} more={overhead:.4}"), passed: true })
}
