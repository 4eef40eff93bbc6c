//! Measures the cost of the client library per request, compared with a plain loop over a socket. A stand-in
//! host responds without delay.

use crate::results::{print_and_write_table, Table};
use crate::{CommonOptions, Outcome, ALLOCATOR};
use async_executor::LocalExecutor;
use basalthill_client::{Client, Config, Request, RequestOutcome};
use basalthill_standin::client::Client as BareClient;
use basalthill_standin::host::{Host, Response};
use futures_lite::future::block_on;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Number of requests of each measurement.
    #[arg(long, default_value_t = 40_000)]
    requests: usize,
}

/// Numbers of concurrent requests; a socket loop and the library are measured with each of them.
const IN_FLIGHT: [usize; 3] = [1, 64, 1024];
/// Timeout of a request sent with the library.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The statement that the socket loops send.
const STATEMENT: &str = "SELECT v FROM records WHERE k = 'k' /* id=1,c=view,t=acme,d=900,cluster=2 */";

/// Latency, throughput and allocations of one measurement.
struct RequestCost {
    p50_us: f64,
    p99_us: f64,
    per_s: f64,
    /// Allocations per request.
    allocations: f64,
}

impl RequestCost {
    fn new(mut latencies: Vec<Duration>, elapsed: Duration, allocations: usize) -> RequestCost {
        latencies.sort_unstable();
        let requests = latencies.len().max(1) as f64;
        let quantile_us = |fraction: f64| {
            let at = (requests * fraction) as usize;
            latencies.get(at).map_or(0.0, |t| t.as_secs_f64() * 1e6)
        };
        RequestCost {
            p50_us: quantile_us(0.5),
            p99_us: quantile_us(0.99),
            per_s: requests / elapsed.as_secs_f64(),
            allocations: allocations as f64 / requests,
        }
    }

    fn row(&self, in_flight: usize, client: &str, allocations: String) -> Vec<String> {
        vec![
            in_flight.to_string(),
            client.to_string(),
            format!("{:.0}", self.p50_us),
            format!("{:.0}", self.p99_us),
            format!("{:.0}", self.per_s),
            allocations,
        ]
    }
}

/// Measures `in_flight` threads, each of which sends requests sequentially over its own socket. Allocations
/// are not counted.
fn measure_bare(host: &Host, in_flight: usize, requests: usize) -> RequestCost {
    let requests_each = requests / in_flight;
    let run_loop = || {
        let Ok(mut client) = BareClient::connect(host.addr) else { return Vec::new() };
        let request = |_| {
            let sent_at = Instant::now();
            client.query(STATEMENT).ok().map(|_| sent_at.elapsed())
        };
        (0..requests_each).filter_map(request).collect()
    };
    let started_at = Instant::now();
    let latencies: Vec<Duration> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..in_flight).map(|_| scope.spawn(run_loop)).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    });
    RequestCost::new(latencies, started_at.elapsed(), 0)
}

/// Measures one client of the library with `in_flight` concurrent requests.
fn measure_library(host: &Host, in_flight: usize, requests: usize) -> anyhow::Result<RequestCost> {
    let config = Config { max_connections_per_router: in_flight, ..Config::new([host.addr]) };
    let client = Client::start(config)?;
    let requests_each = requests / in_flight;
    let executor = LocalExecutor::new();
    let tasks: Vec<_> =
        (0..in_flight).map(|_| executor.spawn(run_requests(client.clone(), requests_each))).collect();
    let allocations = stats_alloc::Region::new(ALLOCATOR);
    let started_at = Instant::now();
    let latencies = block_on(executor.run(async {
        let mut all = Vec::new();
        for task in tasks {
            all.extend(task.await);
        }
        all
    }));
    Ok(RequestCost::new(latencies, started_at.elapsed(), allocations.change().allocations))
}

/// Sends requests sequentially and returns the latencies of those that were served.
async fn run_requests(client: Client, requests: usize) -> Vec<Duration> {
    let mut latencies = Vec::with_capacity(requests);
    for _ in 0..requests {
        let request = Request::read("view", 2, "k").tenant("acme").timeout(TIMEOUT);
        let sent_at = Instant::now();
        if matches!(client.execute(request).await.outcome, RequestOutcome::Served(_)) {
            latencies.push(sent_at.elapsed());
        }
    }
    latencies
}

/// Runs the experiment. It checks no guarantee and always passes.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let host = Host::start(|_| (Response::Row(b"v".to_vec()), Vec::new()))?;
    let clear_statements = || host.record.change(|record| record.statements.clear());
    let (mut rows, mut summaries) = (Vec::new(), Vec::new());
    for in_flight in IN_FLIGHT {
        clear_statements();
        let bare = measure_bare(&host, in_flight, options.requests);
        clear_statements();
        let library = measure_library(&host, in_flight, options.requests)?;
        rows.push(bare.row(in_flight, "socket loop, one thread each", "-".into()));
        rows.push(library.row(in_flight, "library", format!("{:.1}", library.allocations)));
        summaries
            .push(format!("bare_{in_flight}={:.0} library_{in_flight}={:.0}", bare.per_s, library.per_s));
    }
    let headers = vec![
        "in flight",
        "client",
        "p50, us",
        "p99, us",
        "requests/s",
        "allocations per request, including the stand-in's",
    ];
    let table = Table { headers, rows };
    let description = format!(
        "Real sockets, one process: a stand-in host that responds without delay, with a thread for each \
         connection, shares the cores with the clients; {} requests for each row.",
        options.requests
    );
    print_and_write_table(common.out.as_deref(), "overhead", &description, &table)?;
    Ok(Outcome { summary: summaries.join(" "), passed: true })
}
