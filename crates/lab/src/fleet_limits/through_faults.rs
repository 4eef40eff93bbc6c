//! Measures how much of the limit is used, and by how much it is exceeded, in each [`LimitMode`] while links
//! and routers fail at random.

use super::{
    harness_config, router_addrs, start_harness, LimitMode, Options, LIMIT_PER_S, SETTLING_TIME,
    STATEMENT_COMMENT,
};
use crate::results::{write_table_and_chart, Axes, Chart, Line, Table};
use crate::{CommonOptions, Outcome};
use anyhow::Context;
use basalthill_standin::harness::{rate_excess, ClientTotals, FleetHarness, PacedClients};
use basalthill_standin::{Rng, StandinError};
use std::ops::Range;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The largest difference between the delays with which two statements reach hosts after their admission, in
/// seconds.
const ARRIVAL_SPREAD_S: f64 = 0.25;
/// The maximum number of requests by which arrivals at hosts may exceed rate times time: the burst, which is
/// the requests of one second, and the requests of [`ARRIVAL_SPREAD_S`].
const MAX_EXCESS: f64 = LIMIT_PER_S + LIMIT_PER_S * ARRIVAL_SPREAD_S;
/// Duration of a fault and the fault-free time after it, each of which takes half of this duration.
const FAULT_CYCLE: Duration = Duration::from_secs(8);
/// Time in which the routers' quotas adapt to a change of the demand.
const DEMAND_SETTLING_TIME: Duration = Duration::from_secs(3);
/// The total demand at all routers, as a fraction of the limit: a demand above the limit, and one below it.
const HIGH_DEMAND: f64 = 1.5;
const LOW_DEMAND: f64 = 0.7;
/// Ratio of the demand at routers with an even number to the demand at the others.
const DEMAND_RATIO: f64 = 10.0;
/// The fleet has recovered from a partition when it uses, within a second, this fraction of what it used
/// without faults under the same demand.
const RECOVERED_FRACTION: f64 = 0.95;
/// Resolution of the time to recovery: a tenth of a second, so that there are [`STEPS_PER_S`] steps in a
/// second.
const RECOVERY_STEP: Duration = Duration::from_millis(100);
const STEPS_PER_S: u32 = 10;
/// Number of routers that are drawn to be killed at the same time. A router may be drawn more than once.
const ROUTERS_PER_KILL: usize = 3;

/// The results for one mode.
struct ModeResult {
    admitted: usize,
    /// The number of requests by which arrivals exceeded rate times time, in the worst time window.
    excess: f64,
    /// The fractions of the limit used without faults and with faults.
    used_fraction: f64,
    used_fraction_with_faults: f64,
    /// The fraction of requests rejected while the demand was below the limit.
    rejected_below_limit: f64,
    /// The longest time to recovery after a partition, in milliseconds. `None` if there was no partition, or
    /// if the fleet did not recover from each one before the next fault.
    recovery_ms: Option<u128>,
    /// Bytes per second that a router sent to other routers without faults, the mean over all routers.
    bytes_per_s: f64,
    /// For each second, its end in seconds since the measurement began and the fraction of the limit used in
    /// it.
    curve: Vec<(f64, f64)>,
}

impl ModeResult {
    fn recovery(&self) -> String {
        self.recovery_ms.map_or("not".into(), |ms| ms.to_string())
    }

    fn row(&self, mode: LimitMode) -> Vec<String> {
        vec![
            mode.name().into(),
            self.admitted.to_string(),
            format!("{:.0} (bound {MAX_EXCESS:.0})", self.excess),
            format!("{:.3}", self.used_fraction),
            format!("{:.3}", self.used_fraction_with_faults),
            format!("{:.4}", self.rejected_below_limit),
            self.recovery(),
            format!("{:.0}", self.bytes_per_s),
        ]
    }

    fn summary(&self) -> String {
        format!(
            "admitted={} limit={LIMIT_PER_S} over_peak={:.0} bound={MAX_EXCESS:.0} used_share={:.3} \
             used_share_faults={:.3} refused_needlessly={:.4} recover_ms={} bytes_per_s={:.0}",
            self.admitted,
            self.excess,
            self.used_fraction,
            self.used_fraction_with_faults,
            self.rejected_below_limit,
            self.recovery(),
            self.bytes_per_s
        )
    }
}

/// The times at which statements arrived at hosts.
struct Arrivals(Vec<Instant>);

impl Arrivals {
    /// Returns the fraction of the limit that was used in a range of time.
    fn used_fraction(&self, within: Range<Instant>) -> f64 {
        let count = self.0.iter().filter(|at| within.contains(at)).count();
        count as f64 / (within.end - within.start).as_secs_f64() / LIMIT_PER_S
    }

    /// Returns the time from `from` to the start of the first second in which the fraction of the limit used
    /// is at least `threshold`, in milliseconds. Returns `None` if there is none before the next fault.
    fn recovery_ms(&self, from: Instant, threshold: f64) -> Option<u128> {
        let is_recovered = |step: &u32| {
            let begin = from + RECOVERY_STEP * *step;
            self.used_fraction(begin..begin + RECOVERY_STEP * STEPS_PER_S) >= threshold
        };
        let steps = ((FAULT_CYCLE / 2).as_millis() / RECOVERY_STEP.as_millis()) as u32;
        let step = (0..steps - STEPS_PER_S).find(is_recovered)?;
        Some(u128::from(step) * RECOVERY_STEP.as_millis())
    }
}

/// Sets the demand at all routers together to a fraction of the limit. Routers with an even number get
/// [`DEMAND_RATIO`] times the demand of the others.
fn set_demand(clients: &PacedClients, routers: usize, fraction_of_limit: f64) {
    let low_rate = fraction_of_limit * LIMIT_PER_S / (routers as f64 / 2.0 * (DEMAND_RATIO + 1.0));
    for n in 0..routers {
        clients.set_rate(n, if n % 2 == 0 { DEMAND_RATIO * low_rate } else { low_rate });
    }
}

/// Returns the number of bytes that all routers have sent to each other.
fn bytes_sent(harness: &FleetHarness) -> f64 {
    let bytes = |links: &basalthill_standin::udp_proxy::Links| links.sent.iter().map(|s| s.bytes).sum();
    let bytes: u64 = harness.proxy.as_ref().map_or(0, |proxy| bytes(&proxy.links()));
    bytes as f64
}

/// Returns the fraction of requests that were rejected between two readings of the totals.
fn rejected_fraction(before: ClientTotals, after: ClientTotals) -> f64 {
    let rejected = after.rejected - before.rejected;
    let served = after.served - before.served;
    rejected as f64 / (rejected + served).max(1) as f64
}

/// Runs one mode: a sixth of the time with high demand, a sixth with low demand, the rest with high demand
/// and faults.
fn measure(options: &Options, common: &CommonOptions, mode: LimitMode) -> anyhow::Result<ModeResult> {
    let routers = options.routers;
    let mut harness = start_harness(&harness_config(routers, mode, common.seed), common)?;
    let clients = PacedClients::start(&router_addrs(&harness), 2, STATEMENT_COMMENT, common.seed);
    let phase = Duration::from_secs_f64(options.minutes * 60.0 / 6.0);
    set_demand(&clients, routers, HIGH_DEMAND);
    sleep(SETTLING_TIME);
    let start = Instant::now();
    let sent = bytes_sent(&harness);
    sleep(phase);
    let undisturbed = start..Instant::now();
    let bytes_per_s = (bytes_sent(&harness) - sent) / phase.as_secs_f64();
    set_demand(&clients, routers, LOW_DEMAND);
    sleep(DEMAND_SETTLING_TIME);
    let before = clients.totals();
    sleep(phase);
    let rejected_below_limit = rejected_fraction(before, clients.totals());
    set_demand(&clients, routers, HIGH_DEMAND);
    sleep(DEMAND_SETTLING_TIME);
    let faults_from = Instant::now();
    let mut healed_at = Vec::new();
    let mut rng = Rng::with_seed(common.seed);
    while faults_from.elapsed() < phase * 4 {
        healed_at.extend(run_fault(&mut harness, &mut rng, routers)?);
    }
    let end = Instant::now();
    drop(clients);
    let arrivals = Arrivals(harness.arrivals("t=acme"));
    let threshold = RECOVERED_FRACTION * arrivals.used_fraction(undisturbed.clone()).min(1.0);
    let recoveries: Option<Vec<u128>> =
        healed_at.iter().map(|at| arrivals.recovery_ms(*at, threshold)).collect();
    let second = |n: u64| start + Duration::from_secs(n);
    let used_in = |n: u64| (n as f64 + 1.0, arrivals.used_fraction(second(n)..second(n + 1)));
    Ok(ModeResult {
        admitted: arrivals.0.len(),
        excess: rate_excess(&arrivals.0, LIMIT_PER_S, 0.0),
        used_fraction: arrivals.used_fraction(undisturbed),
        used_fraction_with_faults: arrivals.used_fraction(faults_from..end),
        rejected_below_limit,
        recovery_ms: recoveries.and_then(|times| times.into_iter().max()),
        bytes_per_s: bytes_per_s / routers as f64,
        curve: (0..(end - start).as_secs()).map(used_in).collect(),
    })
}

/// A fault, which lasts for half of [`FAULT_CYCLE`].
enum Fault {
    /// The fleet is partitioned into these groups of routers.
    Partition(Vec<Vec<usize>>),
    /// Routers are killed, and restarted at the end of the fault.
    Kill(Vec<usize>),
    /// A router is paused, and resumed at the end of the fault.
    Pause(usize),
    /// All links drop and delay datagrams.
    LossyLinks,
}

impl Fault {
    fn random(rng: &mut Rng, routers: usize) -> Fault {
        match rng.u64(..6) {
            0 | 1 => Fault::Partition(random_groups(rng, routers, 2)),
            2 => Fault::Partition(random_groups(rng, routers, 3)),
            3 => Fault::Kill((0..ROUTERS_PER_KILL).map(|_| rng.usize(..routers)).collect()),
            4 => Fault::Pause(rng.usize(..routers)),
            _ => Fault::LossyLinks,
        }
    }
}

fn random_groups(rng: &mut Rng, routers: usize, count: usize) -> Vec<Vec<usize>> {
    let mut groups = vec![Vec::new(); count];
    (0..routers).for_each(|n| groups[rng.usize(..count)].push(n));
    groups
}

/// Runs one fault and the fault-free time after it. If the fault was a partition, returns the time at which
/// it was healed.
fn run_fault(
    harness: &mut FleetHarness,
    rng: &mut Rng,
    routers: usize,
) -> Result<Option<Instant>, StandinError> {
    let mut healed_at = None;
    match Fault::random(rng, routers) {
        Fault::Partition(groups) => {
            harness.partition(&groups);
            sleep(FAULT_CYCLE / 2);
            harness.heal();
            healed_at = Some(Instant::now());
        }
        Fault::Kill(mut killed) => {
            killed.sort_unstable();
            killed.dedup();
            for n in &killed {
                harness.kill(*n)?;
            }
            sleep(FAULT_CYCLE / 2);
            for n in killed {
                harness.restart(n)?;
            }
        }
        Fault::Pause(router) => {
            harness.set_paused(router, true)?;
            sleep(FAULT_CYCLE / 2);
            harness.set_paused(router, false)?;
        }
        Fault::LossyLinks => {
            harness.set_link_quality(300, 500..20_000);
            sleep(FAULT_CYCLE / 2);
            harness.set_link_quality(0, 0..0);
        }
    }
    sleep(FAULT_CYCLE / 2);
    Ok(healed_at)
}

fn write_results(
    options: &Options,
    common: &CommonOptions,
    table: &Table,
    lines: &[Line],
) -> anyhow::Result<()> {
    let description = format!(
        "Real router processes and sockets, a proxy between them, stand-in hosts whose records are \
         evaluated: {} routers, a rate limit of {LIMIT_PER_S} requests per second and the same burst, \
         seed {}, {} minutes for each row. Half of the routers get ten times the demand of the others; a \
         sixth of the time is without faults, a sixth at 0.7 of the limit, the rest with random partitions, \
         kills, pauses and datagram loss. Peak excess: arrivals in excess of rate times time, the maximum \
         over all windows of time; the bound is the burst and {ARRIVAL_SPREAD_S} s of the rate, the spread \
         of arrivals at hosts.",
        options.routers, common.seed, options.minutes
    );
    let title = "Admitted requests, as a fraction of the limit";
    let axes = Axes { title, x: "seconds", y: "fraction of the limit", y_range: 0.0..2.0 };
    let chart = Chart { axes, lines };
    write_table_and_chart(common.out.as_deref(), "fleet-limits", &description, table, &chart)
}

/// Runs the experiment. It passes if arrivals never exceeded the limit enforced by the fleet by more than
/// [`MAX_EXCESS`].
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let headers = vec![
        "mode",
        "admitted",
        "peak excess",
        "fraction of the limit used, no faults",
        "with faults",
        "fraction rejected below the limit",
        "recovered after a partition, ms",
        "bytes per second and router",
    ];
    let (mut rows, mut lines, mut fleet_result) = (Vec::new(), Vec::new(), None);
    for mode in LimitMode::ALL {
        let result = measure(options, common, mode)?;
        rows.push(result.row(mode));
        lines.push(Line { name: mode.name().into(), points: result.curve.clone() });
        if mode == LimitMode::Fleet {
            fleet_result = Some(result);
        }
    }
    let table = Table { headers, rows };
    println!("{}", table.to_markdown());
    write_results(options, common, &table, &lines)?;
    let fleet_result = fleet_result.context("no result for the mode in which the fleet shares the limit")?;
    Ok(Outcome { summary: fleet_result.summary(), passed: fleet_result.excess <= MAX_EXCESS })
}
