//! The limit while links and routers fail at random, for each mode of keeping it.

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

/// Statements reach hosts at most so much later one than another after they were admitted, in seconds.
const ARRIVAL_SPREAD_S: f64 = 0.25;
/// How much may arrive beyond rate times time: the burst, which is the rate, and the spread.
const MAX_EXCESS: f64 = LIMIT_PER_S + LIMIT_PER_S * ARRIVAL_SPREAD_S;
/// A fault and the time after it.
const FAULT_CYCLE: Duration = Duration::from_secs(8);
/// Until routers have followed a change of the demand.
const DEMAND_SETTLING_TIME: Duration = Duration::from_secs(3);
/// The demand, as parts of the limit: more than it, and less.
const HIGH_DEMAND: f64 = 1.5;
const LOW_DEMAND: f64 = 0.7;
/// Routers with high demand get so many times the requests of the others.
const DEMAND_RATIO: f64 = 10.0;
/// Recovered: a second has this fraction of what the same demand used before.
const RECOVERED_FRACTION: f64 = 0.95;
/// Recovery is measured in steps of a tenth of a second.
const RECOVERY_STEP: Duration = Duration::from_millis(100);
const STEPS_PER_S: u32 = 10;
/// How many routers are killed at a time.
const ROUTERS_PER_KILL: usize = 3;

/// What came of one mode.
struct ModeResult {
    admitted: usize,
    /// By how much arrivals exceeded the rate.
    excess: f64,
    /// The fractions of the limit used, without faults and with them.
    used_fraction: f64,
    used_fraction_with_faults: f64,
    /// The fraction of requests rejected while the demand was below the limit.
    rejected_below_limit: f64,
    /// The longest time to recovery after a partition; `None` if it took too long.
    recovery_ms: Option<u128>,
    /// Bytes that each router sent to others, a second.
    bytes_per_s: f64,
    /// The fraction of the limit used, by seconds.
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

/// When statements arrived at hosts.
struct Arrivals(Vec<Instant>);

impl Arrivals {
    /// The fraction of the limit that was used in a span of time.
    fn used_fraction(&self, within: Range<Instant>) -> f64 {
        let count = self.0.iter().filter(|at| within.contains(at)).count();
        count as f64 / (within.end - within.start).as_secs_f64() / LIMIT_PER_S
    }

    /// How long after a moment a second begins in which at least `wanted` of the limit is used.
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

/// Sets the demand at all routers together to a part of the limit; half of them get ten times as much as the
/// others.
fn set_demand(clients: &PacedClients, routers: usize, fraction_of_limit: f64) {
    let low_rate = fraction_of_limit * LIMIT_PER_S / (routers as f64 / 2.0 * (DEMAND_RATIO + 1.0));
    for n in 0..routers {
        clients.set_rate(n, if n % 2 == 0 { DEMAND_RATIO * low_rate } else { low_rate });
    }
}

/// Bytes that all routers have sent to each other.
fn bytes_sent(harness: &FleetHarness) -> f64 {
    let bytes = |links: &basalthill_standin::udp_proxy::Links| links.sent.iter().map(|s| s.bytes).sum();
    let bytes: u64 = harness.proxy.as_ref().map_or(0, |proxy| bytes(&proxy.links()));
    bytes as f64
}

/// The fraction of requests that were rejected between two totals.
fn rejected_fraction(before: ClientTotals, after: ClientTotals) -> f64 {
    let rejected = after.rejected - before.rejected;
    let served = after.served - before.served;
    rejected as f64 / (rejected + served).max(1) as f64
}

/// Runs one mode: high demand, low demand, then high demand with faults.
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

/// Something that goes wrong for half of a fault cycle.
enum Fault {
    /// The fleet is split into groups.
    Partition(Vec<Vec<usize>>),
    /// Routers are killed, and started again.
    Kill(Vec<usize>),
    /// A router is paused.
    Pause(usize),
    /// All links lose and delay datagrams.
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

/// One fault, and the time after it; when it was over, if it was a partition.
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
        "Real router processes and sockets, a relay between them, stand-in hosts whose record is \
         judged: {} routers, a rate of {LIMIT_PER_S} requests a second with as many at once, seed {}, {} \
         minutes each. Half of the routers are asked ten times as much as the others; a sixth of \
         the time without faults, a sixth at 0.7 of the limit, the rest with random splits, kills, \
         freezes and loss. Most over the rate: what came beyond rate times time, at worst over all \
         windows; the bound is the burst and {ARRIVAL_SPREAD_S} s of the rate, by which arrivals at hosts \
         spread.",
        options.routers, common.seed, options.minutes
    );
    let title = "Admitted, as a share of the limit";
    let axes = Axes { title, x: "seconds", y: "share", y_range: 0.0..2.0 };
    let chart = Chart { axes, lines };
    write_table_and_chart(common.out.as_deref(), "fleet-limits", &description, table, &chart)
}

/// Runs the experiment. It passes if the fleet's limit was never exceeded by more than its burst and the
/// spread of arrivals.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let headers = vec![
        "how",
        "admitted",
        "most over the rate",
        "of the limit used, no faults",
        "with faults",
        "refused below the limit",
        "recovered after a split, ms",
        "bytes a second and router",
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
    let fleet_result = fleet_result.context("the fleet's limit was not among the modes")?;
    Ok(Outcome { summary: fleet_result.summary(), passed: fleet_result.excess <= MAX_EXCESS })
}
