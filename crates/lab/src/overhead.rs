//! What the library costs a request, against a bare loop over sockets, before a stand-in that answers at
//! once.

use crate::results::{table, Table};
use crate::{Common, Done, Outcome, ALLOCATOR};
use basalthill_client::{Client, Config, Request, RequestOutcome};
use basalthill_standin::client::Client as Raw;
use basalthill_standin::host::{Host, Reply};
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Requests for each measurement.
    #[arg(long, default_value_t = 40_000)]
    requests: usize,
}

/// Quantiles of what requests took, and requests a second.
struct Figures {
    p50: f64,
    p99: f64,
    per_s: f64,
    allocations: f64,
}

fn figures(mut took: Vec<Duration>, all: Duration, allocations: usize) -> Figures {
    took.sort_unstable();
    let n = took.len().max(1);
    let at = |share: f64| took.get((n as f64 * share) as usize).map_or(0.0, |t| t.as_secs_f64() * 1e6);
    let per_s = n as f64 / all.as_secs_f64();
    Figures { p50: at(0.5), p99: at(0.99), per_s, allocations: allocations as f64 / n as f64 }
}

const TEXT: &str = "SELECT v FROM records WHERE k = 'k' /* id=1,c=view,t=acme,d=900,cluster=2 */";

/// So many threads, each with a socket and a loop.
fn bare(host: &Host, at_once: usize, requests: usize) -> Figures {
    let each = requests / at_once;
    let begun = Instant::now();
    let took = std::thread::scope(|scope| {
        let run = |_| {
            scope.spawn(move || {
                let Ok(mut raw) = Raw::connect(host.addr) else { return Vec::new() };
                let one = |_| {
                    let from = Instant::now();
                    raw.query(TEXT).ok().map(|_| from.elapsed())
                };
                (0..each).filter_map(one).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..at_once).map(run).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    });
    figures(took, begun.elapsed(), 0)
}

/// One client, so many requests at once.
fn library(host: &Host, at_once: usize, requests: usize) -> std::io::Result<Figures> {
    let client = Client::start(Config { max_connections_per_router: at_once, ..Config::new([host.addr]) })?;
    let each = requests / at_once;
    let executor = async_executor::LocalExecutor::new();
    let run = |client: Client| async move {
        let mut took = Vec::with_capacity(each);
        for _ in 0..each {
            let request = Request::read("view", 2, "k").tenant("acme").timeout(Duration::from_secs(20));
            let from = Instant::now();
            if matches!(client.execute(request).await.outcome, RequestOutcome::Served(_)) {
                took.push(from.elapsed());
            }
        }
        took
    };
    let tasks: Vec<_> = (0..at_once).map(|_| executor.spawn(run(client.clone()))).collect();
    let region = stats_alloc::Region::new(ALLOCATOR);
    let begun = Instant::now();
    let took = futures_lite::future::block_on(executor.run(async {
        let mut all = Vec::new();
        for task in tasks {
            all.extend(task.await);
        }
        all
    }));
    Ok(figures(took, begun.elapsed(), region.change().allocations))
}

pub fn run(options: &Options, common: &Common) -> Done {
    let host = Host::start(|_| (Reply::Row(b"v".to_vec()), Vec::new()))?;
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for at_once in [1, 64, 1024] {
        host.seen.change(|s| s.statements.clear());
        let bare = bare(&host, at_once, options.requests);
        host.seen.change(|s| s.statements.clear());
        let library = library(&host, at_once, options.requests)?;
        for (name, f) in [("bare loop, a thread each", &bare), ("library", &library)] {
            let allocations = if name == "library" { format!("{:.1}", f.allocations) } else { "-".into() };
            rows.push(vec![
                at_once.to_string(),
                name.to_string(),
                format!("{:.0}", f.p50),
                format!("{:.0}", f.p99),
                format!("{:.0}", f.per_s),
                allocations,
            ]);
        }
        lines.push(format!("bare_{at_once}={:.0} library_{at_once}={:.0}", bare.per_s, library.per_s));
    }
    let heads = vec![
        "in flight",
        "client",
        "p50, us",
        "p99, us",
        "requests/s",
        "allocations a request, stand-in's too",
    ];
    let shown = Table { heads, rows };
    println!("{}", shown.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real sockets, one process: a stand-in that answers at once, a thread a connection, takes \
             part of \
             the same cores; {} requests for each row.",
            options.requests
        );
        table(out, "overhead", &words, &shown)?;
    }
    Ok(Outcome { line: lines.join(" "), kept: true })
}
