//! Kills a router under load and restarts it, and measures how fast its clients connect to the other routers
//! and then to the restarted one.

use crate::client_load::{peak_in_window, run_clients, ClientKind, ClientLoad, ClientRecord};
use crate::host_records::count_at_hosts;
use crate::results::{write_table_and_chart, Axes, Chart, Line, Table};
use crate::{CommonOptions, Outcome};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Number of clients.
    #[arg(long, default_value_t = 2000)]
    clients: usize,
    /// Number of routers.
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Requests per second of each client.
    #[arg(long, default_value_t = 3.0)]
    per_s: f64,
}

/// The times at which the router is killed and restarted and at which the load ends, since the load's start.
const KILL_AT: Duration = Duration::from_secs(4);
const RESTART_AT: Duration = Duration::from_secs(7);
const LOAD_DURATION: Duration = Duration::from_secs(11);
/// Connects and served requests are counted in buckets of this duration.
const BUCKET: Duration = Duration::from_millis(100);
const BUCKETS_PER_S: f64 = 10.0;
const SECOND: Duration = Duration::from_secs(1);
/// If less than this fraction of the requests completed in a bucket was served, requests count as disturbed
/// by the kill during that bucket.
const RECOVERED_FRACTION: f64 = 0.98;
/// The routers' local settings (KDL): routers send a close notice before they close a client's connection.
const LOCAL_SETTINGS: &str = "clients {\n farewell #true\n}\n";

/// The results for one kind of client.
struct KindResult {
    /// Maximum number of connects within one second, in the two seconds before the kill.
    peak_before: usize,
    /// Maximum number of connects within one second, between the kill and the restart.
    peak_while_down: usize,
    /// Maximum number of connects within one second, after the restart.
    peak_after_restart: usize,
    /// Maximum number of connects within the duration of one bucket, between the kill and the restart.
    peak_bucket: usize,
    /// Time from the kill until requests were no longer disturbed; `None` if they were still disturbed
    /// directly before the restart.
    recovered_after: Option<Duration>,
    /// The fraction of requests served before their deadlines.
    served_fraction: f64,
    /// Number of written keys that were committed more than once.
    repeated_writes: usize,
    /// Number of statements that a host received after their deadline.
    late_statements: usize,
    /// For each bucket, its end in seconds since the load's start and the connects per second in it.
    connects_per_s: Vec<(f64, f64)>,
}

impl KindResult {
    fn row(&self, name: &str) -> Vec<String> {
        vec![
            name.to_string(),
            self.peak_before.to_string(),
            self.peak_while_down.to_string(),
            self.peak_bucket.to_string(),
            self.peak_after_restart.to_string(),
            self.recovered_after.map_or("not".into(), |after| after.as_millis().to_string()),
            format!("{:.4}", self.served_fraction),
            self.repeated_writes.to_string(),
            self.late_statements.to_string(),
        ]
    }

    fn line(&self, name: &str) -> Line {
        Line { name: name.into(), points: self.connects_per_s.clone() }
    }

    fn passes(&self) -> bool {
        self.repeated_writes == 0 && self.late_statements == 0 && self.recovered_after.is_some()
    }
}

/// Runs a load from one kind of client while a router is killed and restarted.
fn measure(options: &Options, common: &CommonOptions, kind: ClientKind) -> anyhow::Result<KindResult> {
    let behavior = GroupBehavior { write_delays: [Duration::from_millis(1); 2], ..GroupBehavior::default() };
    let folder = std::env::temp_dir();
    let settings = Some(LOCAL_SETTINGS);
    let mut deployment = Deployment::start(&common.program()?, &folder, options.routers, behavior, settings)?;
    let load = ClientLoad {
        kind,
        clients: options.clients,
        per_s: options.per_s,
        write_every: 3,
        duration: LOAD_DURATION,
        timeout: Duration::from_millis(900),
        seed: common.seed,
    };
    let epoch = Instant::now();
    let addrs: Vec<_> = deployment.routers.iter().map(|r| r.addr).collect();
    let mut router = deployment.routers.remove(0);
    let record = run_clients(&addrs, &load, epoch, || {
        std::thread::sleep(KILL_AT);
        drop(router.kill());
        std::thread::sleep(RESTART_AT - KILL_AT);
        drop(router.restart());
    })?;
    let (killed_at, restarted_at, end) = (epoch + KILL_AT, epoch + RESTART_AT, epoch + LOAD_DURATION);
    let connects = &record.connects;
    let host_counts = count_at_hosts(&deployment, epoch);
    Ok(KindResult {
        peak_before: peak_in_window(connects, killed_at - SECOND * 2..killed_at, SECOND),
        peak_while_down: peak_in_window(connects, killed_at..restarted_at, SECOND),
        peak_after_restart: peak_in_window(connects, restarted_at..end, SECOND),
        peak_bucket: peak_in_window(connects, killed_at..restarted_at, BUCKET),
        recovered_after: recovered_after(&record, epoch),
        served_fraction: record.served() as f64 / record.completed.len().max(1) as f64,
        repeated_writes: host_counts.repeated_writes,
        late_statements: host_counts.late_statements,
        connects_per_s: connect_curve(&record, epoch),
    })
}

/// Returns the number of buckets in a span of time.
fn bucket_count(span: Duration) -> u32 {
    (span.as_millis() / BUCKET.as_millis()) as u32
}

/// Returns the time from the kill to the end of the last bucket before the restart in which requests were
/// disturbed; zero if there is no such bucket. Returns `None` if requests were still disturbed in the bucket
/// directly before the restart.
fn recovered_after(record: &ClientRecord, epoch: Instant) -> Option<Duration> {
    let is_disturbed = |bucket: &u32| {
        let from = epoch + BUCKET * *bucket;
        let within = record.completed.iter().filter(|r| r.at >= from && r.at < from + BUCKET);
        let (mut completed, mut served) = (0, 0);
        for request in within {
            completed += 1;
            served += usize::from(request.served);
        }
        completed > 0 && (served as f64) < RECOVERED_FRACTION * completed as f64
    };
    let mut down_buckets = bucket_count(KILL_AT)..bucket_count(RESTART_AT);
    let end = down_buckets.end;
    match down_buckets.rfind(is_disturbed) {
        None => Some(Duration::ZERO),
        Some(last) if last + 1 == end => None,
        Some(last) => Some(BUCKET * (last + 1) - KILL_AT),
    }
}

fn connect_curve(record: &ClientRecord, epoch: Instant) -> Vec<(f64, f64)> {
    let point = |bucket: u32| {
        let from = epoch + BUCKET * bucket;
        let count = record.connects.iter().filter(|c| **c >= from && **c < from + BUCKET).count();
        (f64::from(bucket) / BUCKETS_PER_S + 1.0 / BUCKETS_PER_S, count as f64 * BUCKETS_PER_S)
    };
    (0..bucket_count(LOAD_DURATION)).map(point).collect()
}

/// Runs the experiment. It passes if, for the clients of the library, no write was committed twice, no
/// statement reached a host after its deadline, and requests recovered before the router's restart.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let library = measure(options, common, ClientKind::Library)?;
    let naive = measure(options, common, ClientKind::Naive)?;
    let headers = vec![
        "clients",
        "peak connects in 1 s before the kill",
        "in 1 s between kill and restart",
        "in 100 ms between kill and restart",
        "in 1 s after the restart",
        "recovered after, ms",
        "fraction served",
        "writes committed more than once",
        "statements received after their deadline",
    ];
    let table = Table { headers, rows: vec![library.row("library"), naive.row("naive")] };
    println!("{}", table.to_markdown());
    let description = format!(
        "Real router processes and sockets, stand-in group: {} clients with {} requests per second each (a \
         third are writes that must never run twice), {} routers, one killed after 4 s and restarted after \
         7 s. Naive clients keep one connection each, replace it immediately when it closes, and retry a \
         request immediately, up to three times.",
        options.clients, options.per_s, options.routers
    );
    let max_per_s =
        library.connects_per_s.iter().chain(&naive.connects_per_s).map(|p| p.1).fold(1.0, f64::max);
    let axes = Axes {
        title: "Connects per second: a router is killed at 4 s and restarted at 7 s",
        x: "seconds",
        y: "connects per second",
        y_range: 0.0..max_per_s * 1.05,
    };
    let chart = Chart { axes, lines: &[library.line("library"), naive.line("naive")] };
    write_table_and_chart(common.out.as_deref(), "reconnect", &description, &table, &chart)?;
    let recovered_ms = library.recovered_after.map_or(-1, |after| after.as_millis() as i64);
    let summary = format!(
        "clients={} peak_per_s={} naive_peak_per_s={} recovered_ms={recovered_ms} twice={} after_deadline={}",
        options.clients,
        library.peak_bucket * BUCKETS_PER_S as usize,
        naive.peak_bucket * BUCKETS_PER_S as usize,
        library.repeated_writes,
        library.late_statements
    );
    Ok(Outcome { summary, passed: library.passes() })
}
