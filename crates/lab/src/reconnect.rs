//! A router is killed under load and comes back: how its clients arrive at the others, and at it again.

use crate::clients::{at_hosts, peak, play, Kind, Load, Seen};
use crate::results::{chart, table, Axes, Line, Table};
use crate::{Common, Done, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Clients.
    #[arg(long, default_value_t = 2000)]
    clients: usize,
    /// Routers.
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Requests a second of each client.
    #[arg(long, default_value_t = 3.0)]
    per_s: f64,
}

/// What one kind of client shows.
struct Shown {
    before: usize,
    peak_at_death: usize,
    peak_at_return: usize,
    peak_100ms: usize,
    recovered: Option<Duration>,
    served: f64,
    twice: usize,
    late: usize,
    /// Connects and shares served, by tenths of a second from the start.
    curve: Vec<(f64, f64)>,
}

const DIES: Duration = Duration::from_secs(4);
const RETURNS: Duration = Duration::from_secs(7);
const LASTS: Duration = Duration::from_secs(11);
const SECOND: Duration = Duration::from_secs(1);

fn measured(options: &Options, common: &Common, kind: Kind) -> Result<Shown, Box<dyn std::error::Error>> {
    let manner = GroupBehavior { write_delays: [Duration::from_millis(1); 2], ..GroupBehavior::default() };
    let own = "clients {\n farewell #true\n}\n";
    let folder = std::env::temp_dir();
    let mut world = Deployment::start(&common.program()?, &folder, options.routers, manner, Some(own))?;
    let load = Load {
        kind,
        clients: options.clients,
        per_s: options.per_s,
        write_every: 3,
        lasts: LASTS,
        deadline: Duration::from_millis(900),
        seed: common.seed,
    };
    let zero = Instant::now();
    let addrs: Vec<_> = world.routers.iter().map(|r| r.addr).collect();
    let mut victim = world.routers.remove(0);
    let seen: Seen = play(&addrs, &load, zero, || {
        std::thread::sleep(DIES);
        drop(victim.kill());
        std::thread::sleep(RETURNS - DIES);
        drop(victim.restart());
    })?;
    let (dies, returns) = (zero + DIES, zero + RETURNS);
    let bucket = Duration::from_millis(100);
    let in_bucket = |n: u32| {
        let (from, to) = (zero + bucket * n, zero + bucket * (n + 1));
        let ends = seen.ends.iter().filter(move |e| e.0 >= from && e.0 < to);
        let (all, served) = ends.fold((0, 0), |(a, s), e| (a + 1, s + usize::from(e.1)));
        (all, served)
    };
    // Recovered: from there on no tenth of a second has less than 98 in 100 served, up to the router's
    // return.
    let buckets = DIES.as_millis() as u32 / 100..RETURNS.as_millis() as u32 / 100;
    let poor = |n: &u32| {
        let (all, served) = in_bucket(*n);
        all > 0 && (served as f64) < 0.98 * all as f64
    };
    let recovered = match buckets.clone().rfind(poor) {
        None => Some(Duration::ZERO),
        Some(last) if last + 1 == buckets.end => None,
        Some(last) => Some(bucket * (last + 1) - DIES),
    };
    let (_, twice, late) = at_hosts(&world, zero);
    let served = seen.ends.iter().filter(|e| e.1).count() as f64 / seen.ends.len().max(1) as f64;
    let curve = (0..LASTS.as_millis() as u32 / 100).map(|n| {
        let (from, to) = (zero + bucket * n, zero + bucket * (n + 1));
        let count = seen.connects.iter().filter(|c| **c >= from && **c < to).count();
        (f64::from(n) / 10.0 + 0.1, count as f64 * 10.0)
    });
    Ok(Shown {
        before: peak(&seen.connects, dies - SECOND * 2, dies, SECOND),
        peak_at_death: peak(&seen.connects, dies, returns, SECOND),
        peak_at_return: peak(&seen.connects, returns, zero + LASTS, SECOND),
        peak_100ms: peak(&seen.connects, dies, returns, bucket),
        recovered,
        served,
        twice,
        late,
        curve: curve.collect(),
    })
}

pub fn run(options: &Options, common: &Common) -> Done {
    let library = measured(options, common, Kind::Library)?;
    let naive = measured(options, common, Kind::Naive)?;
    let row = |name: &str, s: &Shown| {
        vec![
            name.to_string(),
            s.before.to_string(),
            s.peak_at_death.to_string(),
            s.peak_100ms.to_string(),
            s.peak_at_return.to_string(),
            s.recovered.map_or("not".into(), |r| r.as_millis().to_string()),
            format!("{:.4}", s.served),
            s.twice.to_string(),
            s.late.to_string(),
        ]
    };
    let heads = vec![
        "clients",
        "connects, most in 1 s before the death",
        "after it",
        "most in 100 ms",
        "most in 1 s after the return",
        "recovered after, ms",
        "served",
        "writes run twice",
        "statements at hosts after their deadline",
    ];
    let shown = Table { heads, rows: vec![row("library", &library), row("naive", &naive)] };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real router processes and sockets, stand-in group: {} clients of {} requests a second (a third \
             are writes that must never run twice), {} routers, one killed after 4 s and back after 7 s. \
             Naive \
             clients have a standing connection each, open it anew at once, and try again at once, up to \
             three \
             times.",
            options.clients, options.per_s, options.routers
        );
        table(out, "reconnect", &words, &shown)?;
        let most = library.curve.iter().chain(&naive.curve).map(|p| p.1).fold(1.0, f64::max);
        let line = |name: &str, s: &Shown| Line { name: name.into(), points: s.curve.clone() };
        let (title, x, y) =
            ("Connects a second: a router dies at 4 s and returns at 7 s", "s", "connects a second");
        let lines = [line("library", &library), line("naive", &naive)];
        chart(out, "reconnect", &Axes { title, x, y, range: 0.0..most * 1.05 }, &lines)?;
    }
    let recovered = library.recovered.map_or(-1, |r| r.as_millis() as i64);
    let line = format!(
        "clients={} peak_per_s={} naive_peak_per_s={} recovered_ms={recovered} twice={} after_deadline={}",
        options.clients,
        library.peak_100ms * 10,
        naive.peak_100ms * 10,
        library.twice,
        library.late
    );
    Ok(Outcome { line, kept: library.twice == 0 && library.late == 0 && library.recovered.is_some() })
}
