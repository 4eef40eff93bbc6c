//! More load than the hosts can take: what further tries add to it.

use crate::clients::{at_hosts, play, Kind, Load};
use crate::results::{table, Table};
use crate::{Common, Done, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Clients.
    #[arg(long, default_value_t = 400)]
    clients: usize,
    /// Requests a second of each client.
    #[arg(long, default_value_t = 3.0)]
    per_s: f64,
    /// Statements that each host works on at a time, each for 20 ms.
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// The time to come back that routers tell.
    #[arg(long, default_value_t = 100)]
    come_back_ms: u64,
    /// Seconds that it goes on.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

pub fn run(options: &Options, common: &Common) -> Done {
    let (mut rows, mut tries) = (Vec::new(), Vec::new());
    for (name, kind) in [("no retries", Kind::Once), ("naive", Kind::Naive), ("library", Kind::Library)] {
        let slots = options.slots;
        let (read_delay, come_back_ms) = (Duration::from_millis(20), options.come_back_ms);
        let manner = GroupBehavior {
            read_delay,
            max_concurrent: slots,
            retry_after_ms: come_back_ms,
            ..GroupBehavior::default()
        };
        let world = Deployment::start(&common.program()?, &std::env::temp_dir(), 2, manner, None)?;
        let load = Load {
            kind,
            clients: options.clients,
            per_s: options.per_s,
            write_every: 0,
            lasts: Duration::from_secs(options.seconds),
            deadline: Duration::from_millis(900),
            seed: common.seed,
        };
        let zero = Instant::now();
        let addrs: Vec<_> = world.routers.iter().map(|r| r.addr).collect();
        let seen = play(&addrs, &load, zero, || {})?;
        let took = zero.elapsed().as_secs_f64();
        let (hosts, _, late) = at_hosts(&world, zero);
        let served = seen.ends.iter().filter(|e| e.1).count();
        let a_request = seen.tries as f64 / seen.ends.len().max(1) as f64;
        tries.push(a_request);
        rows.push(vec![
            name.to_string(),
            format!("{:.0}", seen.ends.len() as f64 / took),
            format!("{:.0}", served as f64 / took),
            format!("{a_request:.3}"),
            format!("{:.0}", seen.tries as f64 / took),
            format!("{:.0}", hosts as f64 / took),
            late.to_string(),
        ]);
    }
    let heads = vec![
        "clients",
        "requests/s",
        "served in time/s",
        "tries a request",
        "tries/s at the routers",
        "statements/s at the hosts",
        "late at the hosts",
    ];
    let shown = Table { heads, rows };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real router processes and sockets, stand-in group of three, each of which works on {} \
             statements \
             of 20 ms at a time: {} clients of {} reads a second, one at a time each, two routers that \
             tell to \
             come back after {} ms, {} s.",
            options.slots, options.clients, options.per_s, options.come_back_ms, options.seconds
        );
        table(out, "overload", &words, &shown)?;
    }
    let [once, naive, library] = tries[..] else { return Err("three kinds".into()) };
    let line = format!("tries_once={once:.3} tries_naive={naive:.3} tries_library={library:.3}");
    // A tenth, and the store that each client begins with.
    let most = 1.1 + 10.0 / (options.per_s * options.seconds as f64);
    Ok(Outcome { line, kept: library <= most })
}
