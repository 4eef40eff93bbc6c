//! A limit over all routers, on real processes with links, routers and demand that change: how much of it is
//! used, and by how much it is exceeded, by the hosts' own record. `--model` counts what talk costs by the
//! fleet's size, `--crowd` starts many processes, `--overhead` measures requests with the fleet on and off.

use crate::results::{chart, table, Axes, Line, Table};
use crate::{Common, Done, Outcome};
use basalthill_fleet::{Bounds, FleetConfig, Limit, LimitKey, Subject, Timing};
use basalthill_policy::api::Time;
use basalthill_standin::harness::{
    rate_excess, ClientTotals, FleetHarness, HarnessConfig, HostBehavior, PacedClients,
};
use basalthill_standin::simulated_fleet::{numbered_names, SimulatedFleet};
use basalthill_standin::Rng;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Routers.
    #[arg(long, default_value_t = 24)]
    routers: usize,
    /// How long each way of keeping the limit is played.
    #[arg(long, default_value_t = 3.0)]
    minutes: f64,
    /// What talk costs by the fleet's size, simulated, up to so many routers.
    #[arg(long)]
    model: bool,
    /// So many real processes, idle and under light load.
    #[arg(long)]
    crowd: bool,
    /// Requests with the fleet on and off.
    #[arg(long)]
    overhead: bool,
}

/// The limit: requests a second, and at once.
const PER_S: f64 = 1200.0;
/// Statements reach hosts at most so much later one than another after they were admitted.
const SPREAD_S: f64 = 0.25;
/// A fault and the time after it.
const FAULT: Duration = Duration::from_secs(8);
const COMMENT: &str = "c=report,t=acme,d=1400,cluster=2";

/// How the limit is kept.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Fleet,
    Whole,
    Static,
    Nothing,
}

impl Way {
    const ALL: [Way; 4] = [Way::Fleet, Way::Whole, Way::Static, Way::Nothing];

    fn name(self) -> &'static str {
        match self {
            Way::Fleet => "the fleet's limit",
            Way::Whole => "each router the whole limit",
            Way::Static => "static shares",
            Way::Nothing => "no limit",
        }
    }

    fn limits(self) -> Option<String> {
        let limit = |alone| format!("limit \"acme\" tenant=\"acme\" per-s={PER_S} alone-percent={alone}");
        match self {
            Way::Fleet | Way::Whole => Some(limit(10)),
            Way::Static => Some(limit(100)),
            Way::Nothing => None,
        }
    }
}

/// What came of one way.
struct Shown {
    admitted: usize,
    over: f64,
    used: f64,
    used_faults: f64,
    needlessly: f64,
    recover_ms: Option<u128>,
    bytes_per_s: f64,
    curve: Vec<(f64, f64)>,
}

fn setup(routers: usize, way: Way, seed: u64) -> HarnessConfig {
    HarnessConfig {
        routers,
        hosts: 6,
        service_time: Duration::ZERO,
        host_behavior: HostBehavior::Serve,
        limits: way.limits(),
        isolated: way == Way::Whole,
        direct: false,
        seed,
    }
}

fn sleep(time: Duration) {
    std::thread::sleep(time);
}

/// Half of the routers ask ten times what the others ask, and together so much of the limit.
fn ten_to_one(clients: &PacedClients, routers: usize, of_limit: f64) {
    let unit = of_limit * PER_S / (routers as f64 / 2.0 * 11.0);
    (0..routers).for_each(|n| clients.set_rate(n, if n % 2 == 0 { 10.0 * unit } else { unit }));
}

fn play(options: &Options, common: &Common, way: Way) -> Result<Shown, Box<dyn std::error::Error>> {
    let routers = options.routers;
    let mut rig =
        FleetHarness::start(&common.program()?, &std::env::temp_dir(), &setup(routers, way, common.seed))?;
    let addrs: Vec<SocketAddr> = rig.routers.iter().map(|r| r.addr).collect();
    let clients = PacedClients::start(&addrs, 2, COMMENT, common.seed);
    let third = Duration::from_secs_f64(options.minutes * 60.0 / 6.0);
    ten_to_one(&clients, routers, 1.5);
    sleep(Duration::from_secs(8));
    let (zero, sent) = (Instant::now(), bytes(&rig));
    sleep(third);
    let (whole_until, bytes_per_s) = (Instant::now(), (bytes(&rig) - sent) / third.as_secs_f64());
    ten_to_one(&clients, routers, 0.7);
    sleep(Duration::from_secs(3));
    let ClientTotals { served, rejected: refused, .. } = clients.totals();
    sleep(third);
    let after = clients.totals();
    let needlessly = (after.rejected - refused) as f64
        / ((after.rejected - refused) + (after.served - served)).max(1) as f64;
    ten_to_one(&clients, routers, 1.5);
    sleep(Duration::from_secs(3));
    let (faults, mut healed, mut rng) = (Instant::now(), Vec::new(), Rng::with_seed(common.seed));
    while faults.elapsed() < third * 4 {
        healed.extend(fault(&mut rig, &mut rng, routers)?);
    }
    let until = Instant::now();
    drop(clients);
    let came = rig.arrivals("t=acme");
    let rate = |from: Instant, until: Instant| {
        let within = came.iter().filter(|at| **at >= from && **at < until).count();
        within as f64 / (until - from).as_secs_f64() / PER_S
    };
    // Recovered: from there on a second has 95 in 100 of what the same demand used before.
    let wanted = 0.95 * rate(zero, whole_until).min(1.0);
    let step = Duration::from_millis(100);
    let recovered = |at: &Instant| {
        let second = |n: &u32| rate(*at + step * *n, *at + step * (*n + 10)) >= wanted;
        (0..(FAULT / 2).as_millis() as u32 / 100 - 10).find(second).map(|n| u128::from(n) * 100)
    };
    let times: Vec<Option<u128>> = healed.iter().map(recovered).collect();
    let recover_ms = if times.iter().all(Option::is_some) { times.into_iter().flatten().max() } else { None };
    let seconds = (until - zero).as_secs();
    let at = |n: u64| zero + Duration::from_secs(n);
    Ok(Shown {
        admitted: came.len(),
        over: rate_excess(&came, PER_S, 0.0),
        used: rate(zero, whole_until),
        used_faults: rate(faults, until),
        needlessly,
        recover_ms,
        bytes_per_s: bytes_per_s / routers as f64,
        curve: (0..seconds).map(|n| (n as f64 + 1.0, rate(at(n), at(n + 1)))).collect(),
    })
}

fn bytes(rig: &FleetHarness) -> f64 {
    rig.proxy.as_ref().map_or(0.0, |r| r.links().sent.iter().map(|s| s.bytes).sum::<u64>() as f64)
}

/// One fault, and the time after it; when it was over, if it was a split.
fn fault(
    rig: &mut FleetHarness,
    rng: &mut Rng,
    routers: usize,
) -> Result<Option<Instant>, basalthill_standin::StandinError> {
    let mut group = |count: u64| {
        let mut groups = vec![Vec::new(); count as usize];
        (0..routers).for_each(|n| groups[rng.u64(..count) as usize].push(n));
        groups
    };
    let (two, three) = (group(2), group(3));
    let victims: Vec<usize> = (0..3).map(|_| rng.u64(..routers as u64) as usize).collect();
    let mut split = None;
    match rng.u64(..6) {
        0 | 1 => {
            rig.partition(&two);
            sleep(FAULT / 2);
            rig.heal();
            split = Some(Instant::now());
        }
        2 => {
            rig.partition(&three);
            sleep(FAULT / 2);
            rig.heal();
            split = Some(Instant::now());
        }
        3 => {
            for n in &victims {
                rig.kill(*n)?;
            }
            sleep(FAULT / 2);
            let mut back = victims.clone();
            back.sort_unstable();
            back.dedup();
            for n in back {
                rig.restart(n)?;
            }
        }
        4 => {
            rig.set_paused(victims[0], true)?;
            sleep(FAULT / 2);
            rig.set_paused(victims[0], false)?;
        }
        _ => {
            rig.set_link_quality(300, 500..20_000);
            sleep(FAULT / 2);
            rig.set_link_quality(0, 0..0);
        }
    }
    sleep(FAULT / 2);
    Ok(split)
}

pub fn run(options: &Options, common: &Common) -> Done {
    if options.model {
        return model(options, common);
    }
    if options.crowd {
        return crowd(options, common);
    }
    if options.overhead {
        return overhead(common);
    }
    let heads = vec![
        "how",
        "admitted",
        "most over the rate",
        "of the limit used, no faults",
        "with faults",
        "refused below the limit",
        "recovered after a split, ms",
        "bytes a second and router",
    ];
    let bound = PER_S + PER_S * SPREAD_S;
    let (mut rows, mut lines, mut first) = (Vec::new(), Vec::new(), None);
    for way in Way::ALL {
        let shown = play(options, common, way)?;
        rows.push(vec![
            way.name().into(),
            shown.admitted.to_string(),
            format!("{:.0} (bound {bound:.0})", shown.over),
            format!("{:.3}", shown.used),
            format!("{:.3}", shown.used_faults),
            format!("{:.4}", shown.needlessly),
            shown.recover_ms.map_or("not".into(), |ms| ms.to_string()),
            format!("{:.0}", shown.bytes_per_s),
        ]);
        lines.push(Line { name: way.name().into(), points: shown.curve.clone() });
        if way == Way::Fleet {
            first = Some(shown);
        }
    }
    let shown = Table { heads, rows };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real router processes and sockets, a relay between them, stand-in hosts whose record is \
             judged: {} routers, a rate of {PER_S} requests a second with as many at once, seed {}, {} \
             minutes each. Half of the routers are asked ten times as much as the others; a sixth of \
             the time without faults, a sixth at 0.7 of the limit, the rest with random splits, kills, \
             freezes and loss. Most over the rate: what came beyond rate times time, at worst over all \
             windows; the bound is the burst and {SPREAD_S} s of the rate, by which arrivals at hosts \
             spread.",
            options.routers, common.seed, options.minutes
        );
        table(out, "fleet-limits", &words, &shown)?;
        let axes =
            Axes { title: "Admitted, as a share of the limit", x: "seconds", y: "share", range: 0.0..2.0 };
        chart(out, "fleet-limits", &axes, &lines)?;
    }
    let Some(s) = first else { return Err("nothing was played".into()) };
    let recover = s.recover_ms.map_or("not".into(), |ms| ms.to_string());
    Ok(Outcome {
        line: format!(
            "admitted={} limit={PER_S} over_peak={:.0} bound={bound:.0} used_share={:.3} \
             used_share_faults={:.3} refused_needlessly={:.4} recover_ms={recover} bytes_per_s={:.0}",
            s.admitted, s.over, s.used, s.used_faults, s.needlessly, s.bytes_per_s
        ),
        kept: s.over <= bound,
    })
}

/// What talk costs a router by the fleet's size, simulated: idle, and with requests at every router.
fn model(options: &Options, common: &Common) -> Done {
    let heads = vec![
        "routers",
        "datagrams a second and router, idle",
        "bytes",
        "CPU, us a second",
        "most of one router, datagrams",
        "datagrams, asked",
        "bytes, asked",
        "CPU, us, asked",
    ];
    let (mut rows, mut line) = (Vec::new(), String::new());
    let sizes = [10, 100, 300, 1000].into_iter().filter(|n| *n <= options.routers.max(10));
    for routers in sizes {
        let limit = Limit {
            name: "acme".into(),
            subject: Subject::Tenant("acme".into()),
            bounds: Bounds::Rate { per_s: 4.0 * routers as f64, burst: 4.0 * routers as f64 },
            reserved_fraction: 0.1,
        };
        let times = Timing::new(0.01, Time(0));
        let quiet = times.lender_span(times.lease);
        let plan = FleetConfig {
            roster: numbered_names(routers),
            limits: vec![limit],
            timing: times,
            max_use: Time(0),
            vote_quarantine: quiet,
        };
        let mut model = SimulatedFleet::new(plan, Some(LimitKey::global("acme")), None, Time(0), common.seed);
        model.tracks_allocated_units = false;
        (0..routers).for_each(|n| model.start(n));
        // Until all know of all.
        model.run_until(Time::ms(20_000));
        let mut row = vec![routers.to_string()];
        for asked in [false, true] {
            if asked {
                (0..routers).for_each(|n| model.demand(n, if n % 2 == 0 { 7.0 } else { 0.7 }, 0.0));
                model.run_until(model.now.plus(Time::ms(3000)));
            }
            let counts = |model: &SimulatedFleet| -> Vec<u64> {
                (0..routers).map(|n| model.fleet(n).map_or(0, |f| f.counters().sent)).collect()
            };
            let (sent, bytes, each) =
                (model.observations.datagrams, model.observations.bytes, counts(&model));
            let began = Instant::now();
            model.run_until(model.now.plus(Time::ms(10_000)));
            let cpu = began.elapsed().as_micros() as f64 / routers as f64 / 10.0;
            let per = |now: u64, before: u64| (now - before) as f64 / routers as f64 / 10.0;
            let most = counts(&model).iter().zip(&each).map(|(n, b)| n - b).max().unwrap_or(0) as f64 / 10.0;
            let (datagrams, bytes) =
                (per(model.observations.datagrams, sent), per(model.observations.bytes, bytes));
            row.extend([format!("{datagrams:.1}"), format!("{bytes:.0}"), format!("{cpu:.0}")]);
            if !asked {
                row.push(format!("{most:.1}"));
            }
            line = format!(
                "routers={routers} datagrams_per_s={datagrams:.1} bytes_per_s={bytes:.0} cpu_us={cpu:.0}"
            );
        }
        rows.push(row);
    }
    let shown = Table { heads, rows };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Simulated, one thread for all routers, seed {}: one rate, idle, and with requests at every \
             router. CPU holds the simulation's own work and both ends of each datagram.",
            common.seed
        );
        table(out, "fleet-cost", &words, &shown)?;
    }
    Ok(Outcome { line, kept: true })
}

/// Many real processes that talk to each other without a relay.
fn crowd(options: &Options, common: &Common) -> Done {
    let setup = HarnessConfig { direct: true, hosts: 3, ..setup(options.routers, Way::Fleet, common.seed) };
    let began = Instant::now();
    let rig = FleetHarness::start(&common.program()?, &std::env::temp_dir(), &setup)?;
    let started = began.elapsed();
    sleep(Duration::from_secs(20));
    let cpu = || rig.routers.iter().filter_map(|r| r.cpu_time()).sum::<Duration>();
    let span = Duration::from_secs(20);
    let per = |cpu: Duration| cpu.as_secs_f64() / span.as_secs_f64() / options.routers as f64 * 1e6;
    let before = cpu();
    sleep(span);
    let idle = per(cpu() - before);
    let addrs: Vec<SocketAddr> = rig.routers.iter().map(|r| r.addr).collect();
    let clients = PacedClients::start(&addrs, 1, COMMENT, common.seed);
    (0..options.routers).for_each(|n| clients.set_rate(n, 2.0));
    sleep(Duration::from_secs(5));
    let (before, had) = (cpu(), clients.totals());
    sleep(span);
    let (light, had) = (per(cpu() - before), clients.totals().served - had.served);
    let status = rig.status(&common.program()?, 0)?;
    let alive = status.lines().next().and_then(|l| l.split("alive ").nth(1)?.split(' ').next()?.parse().ok());
    let alive: usize = alive.unwrap_or(0);
    let kib = rig.routers.iter().filter_map(|r| r.resident_kib()).max().unwrap_or(0);
    let line = format!(
        "routers={} alive={alive} started_s={:.1} cpu_us_idle={idle:.0} cpu_us_light={light:.0} \
         served_per_s={:.0} kib={kib}",
        options.routers,
        started.as_secs_f64(),
        had as f64 / span.as_secs_f64()
    );
    if let Some(out) = &common.out {
        let heads = vec![
            "routers",
            "alive at one",
            "started in, s",
            "CPU idle, us a second",
            "at 2 requests a second",
            "KiB",
        ];
        let cells = [options.routers.to_string(), alive.to_string(), format!("{:.1}", started.as_secs_f64())];
        let more = [format!("{idle:.0}"), format!("{light:.0}"), kib.to_string()];
        let shown = Table { heads, rows: vec![[&cells[..], &more].concat()] };
        let words =
            "Real router processes on one machine, without a relay: one rate, idle and under light load.";
        table(out, "fleet-crowd", words, &shown)?;
    }
    Ok(Outcome { line, kept: alive == options.routers })
}

/// After a turn, until all is answered.
const REST: Duration = Duration::from_millis(200);

/// Two pairs of routers, one with a fleet whose limit is never reached, one without, asked in turn.
fn overhead(common: &Common) -> Done {
    let limit = "limit \"acme\" tenant=\"acme\" per-s=100000 alone-percent=10".to_string();
    let start = |limits| {
        let setup = HarnessConfig { limits, ..setup(2, Way::Nothing, common.seed) };
        FleetHarness::start(&common.program()?, &std::env::temp_dir(), &setup)
    };
    let rigs = [start(Some(limit))?, start(None)?];
    let mut clients = Vec::new();
    for rig in &rigs {
        let addrs: Vec<SocketAddr> = rig.routers.iter().map(|r| r.addr).collect();
        clients.push(PacedClients::start(&addrs, 4, COMMENT, common.seed));
    }
    sleep(Duration::from_secs(8));
    let cpu = |n: usize| rigs[n].routers.iter().filter_map(|r| r.cpu_time()).sum::<Duration>();
    let (mut spent, mut served) = ([Duration::ZERO; 2], [0; 2]);
    let turn = Duration::from_secs(3);
    // What the fleet costs by itself is taken off: it is the same at any load.
    let mut alone = [Duration::ZERO; 2];
    for (n, alone) in alone.iter_mut().enumerate() {
        let before = cpu(n);
        sleep(turn * 2);
        *alone = (cpu(n) - before) / 2;
    }
    for _ in 0..6 {
        for n in 0..2 {
            let (before, had) = (cpu(n), clients[n].totals().served);
            (0..2).for_each(|r| clients[n].set_rate(r, 1500.0));
            sleep(turn);
            (0..2).for_each(|r| clients[n].set_rate(r, 0.0));
            sleep(REST);
            spent[n] +=
                (cpu(n) - before).saturating_sub(alone[n].mul_f64((turn + REST).div_duration_f64(turn)));
            served[n] += clients[n].totals().served - had;
        }
    }
    let mut cells = Vec::new();
    let mut per = [0.0; 2];
    for n in 0..2 {
        let mut took: Vec<u32> = Vec::new();
        for had in &clients[n].counts {
            took.extend(had.latencies_us.lock().map(|t| t.clone()).unwrap_or_default());
        }
        took.sort_unstable();
        let at = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or(0);
        per[n] = spent[n].as_secs_f64() * 1e6 / served[n].max(1) as f64;
        cells.push(vec![
            if n == 0 { "fleet on".into() } else { "fleet off".to_string() },
            served[n].to_string(),
            at(0.5).to_string(),
            at(0.99).to_string(),
            format!("{:.1}", per[n]),
            format!("{:.0}", alone[n].as_secs_f64() / turn.as_secs_f64() * 1e6 / 2.0),
        ]);
        let failed = clients[n].counts.iter().map(|h| h.failed.load(Ordering::Relaxed)).sum::<u64>();
        if failed > 0 {
            return Err(format!("{failed} requests failed").into());
        }
    }
    let heads =
        vec!["", "served", "p50, us", "p99, us", "CPU a request, us", "CPU a second and router at rest, us"];
    let shown = Table { heads, rows: cells };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words =
            "Real router processes, stand-in hosts: two pairs of routers, asked in turn for 3 s, six times \
                     each; one pair has a fleet and a limit that is never reached. What a router takes at \
                     rest is off the CPU of a request.";
        table(out, "fleet-overhead", words, &shown)?;
    }
    let more = per[0] / per[1] - 1.0;
    Ok(Outcome {
        line: format!("cpu_us_on={:.1} cpu_us_off={:.1} more={more:.4}", per[0], per[1]),
        kept: true,
    })
}
