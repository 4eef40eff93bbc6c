//! Measures the cost of session floors and session tokens per request.
//!
//! Three routers run with the same kind of group: one without local settings, one with floors that the router
//! keeps in memory, and one with tokens. Each is under load in turn.

use crate::results::{print_and_write_table, Table};
use crate::sessions::Mode;
use crate::{CommonOptions, Outcome};
use anyhow::bail;
use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::{issue, verify, Key, KeyId, KeyRing, SessionIdentity};
use basalthill_session::GroupFloors;
use basalthill_standin::client::{Client, Reply};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use basalthill_standin::router_process::RouterProcess;
use std::hint::black_box;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Number of requests sent to each router.
    #[arg(long, default_value_t = 40_000)]
    requests: u32,
    /// Number of requests that a router receives before the next router's turn.
    #[arg(long, default_value_t = 500)]
    turn: u32,
}

/// Every fourth request is a write; the others are reads.
const WRITE_EVERY: u32 = 4;
/// Number of tokens that are issued, and verified, to measure the time of each operation.
const TOKEN_ITERATIONS: u32 = 50_000;

/// The modes that are compared and their names, in the order of the table's rows.
const CASES: [(Mode, &str); 3] = [
    (Mode::Off, "off, no floors"),
    (Mode::Router, "off, floors by the router's memory"),
    (Mode::Tokens, "on, also before the reply"),
];

/// A router in one of the modes, with the totals of its requests so far.
struct Case {
    deployment: Deployment,
    token: Option<String>,
    cpu_time: Duration,
    latencies_us: Vec<u32>,
    bytes: u64,
}

/// Average CPU time and bytes per request, and the median latency.
#[derive(Clone, Copy)]
struct RequestCost {
    cpu_us: f64,
    median_us: f64,
    bytes: f64,
}

impl RequestCost {
    fn row(&self, name: &str) -> Vec<String> {
        let figures = [self.cpu_us, self.median_us, self.bytes];
        std::iter::once(name.to_string()).chain(figures.iter().map(|f| format!("{f:.1}"))).collect()
    }
}

impl Case {
    fn start(mode: Mode, common: &CommonOptions) -> anyhow::Result<Case> {
        let behavior = GroupBehavior {
            lag_ms: 1,
            write_delays: [Duration::ZERO; 2],
            read_delay: Duration::ZERO,
            ..GroupBehavior::default()
        };
        let settings = mode.local_settings("");
        let folder = std::env::temp_dir();
        let deployment = Deployment::start(&common.program()?, &folder, 1, behavior, settings.as_deref())?;
        Ok(Case { deployment, token: None, cpu_time: Duration::ZERO, latencies_us: Vec::new(), bytes: 0 })
    }

    fn router(&self) -> &RouterProcess {
        &self.deployment.routers[0]
    }

    /// Clears the totals, after the warm-up.
    fn reset(&mut self) {
        self.cpu_time = Duration::ZERO;
        self.latencies_us.clear();
        self.bytes = 0;
    }

    /// Sends `requests` requests sequentially; every fourth one is a write, starting with the first.
    /// Returns an error if a request is not served.
    fn run_round(&mut self, requests: u32) -> anyhow::Result<()> {
        // Each round opens a new connection, since the router may close an idle one while the other
        // routers are measured.
        let mut client = Client::connect(self.router().addr)?;
        let cpu_before = self.router().cpu_time().unwrap_or_default();
        let bytes_before = client.bytes_transferred;
        for n in 0..requests {
            let text = self.statement(n);
            let sent_at = Instant::now();
            let reply = client.query(&text)?;
            self.latencies_us.push(sent_at.elapsed().as_micros() as u32);
            if !matches!(reply, Reply::Row(_)) {
                bail!("request not served: {reply:?}");
            }
            self.token = client.token.take().or(self.token.take());
        }
        let cpu_after = self.router().cpu_time().unwrap_or_default();
        self.cpu_time += cpu_after.saturating_sub(cpu_before);
        self.bytes += client.bytes_transferred - bytes_before;
        Ok(())
    }

    fn statement(&self, n: u32) -> String {
        let (operation, class) = match n % WRITE_EVERY == 0 {
            true => (format!("INSERT INTO records (k, v) VALUES ('anne', '{n}') RETURNING v"), "write"),
            false => ("SELECT v FROM records WHERE k = 'anne'".into(), "own"),
        };
        let id = self.latencies_us.len();
        let token = self.token.as_ref().map(|t| format!(",token={t}")).unwrap_or_default();
        format!("{operation} /* id={id:016x},c={class},t=acme,d=900,cluster=2{token} */")
    }

    fn cost(&self) -> RequestCost {
        let requests = self.latencies_us.len().max(1) as f64;
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        RequestCost {
            cpu_us: self.cpu_time.as_secs_f64() * 1e6 / requests,
            median_us: f64::from(sorted.get(sorted.len() / 2).copied().unwrap_or(0)),
            bytes: self.bytes as f64 / requests,
        }
    }
}

/// Time to issue and to verify a token with the floor of one group, in microseconds.
#[derive(Default)]
struct TokenCost {
    issue_us: f64,
    verify_us: f64,
}

fn measure_token() -> Option<TokenCost> {
    let signing = Key::new(KeyId(1), vec![7; 32])?;
    let keys = KeyRing { signing, verifying: Vec::new(), max_age: Time::ms(1000) };
    let now = Time::ms(1_767_225_600_000);
    let owner = SessionIdentity { name: b"anne", key: SessionKey(1) };
    let mut floors = GroupFloors::default();
    floors.raise(GroupId(2), now);
    let token = issue(&keys, now, owner, &floors);
    let time_us = |call: &dyn Fn()| {
        let started_at = Instant::now();
        (0..TOKEN_ITERATIONS).for_each(|_| call());
        started_at.elapsed().as_secs_f64() * 1e6 / f64::from(TOKEN_ITERATIONS)
    };
    let issue_us = time_us(&|| drop(black_box(issue(&keys, now, owner, &floors))));
    let verify_us = time_us(&|| drop(black_box(verify(&keys, now, Time(0), owner, token.as_bytes()))));
    Some(TokenCost { issue_us, verify_us })
}

/// Runs the experiment. It checks no guarantee and always passes.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let mut cases = Vec::new();
    for (mode, _) in CASES {
        cases.push(Case::start(mode, common)?);
    }
    // The first round is a warm-up. After it the routers take turns, so that changes in the speed of the
    // machine affect all of them equally.
    for case in &mut cases {
        case.run_round(options.turn)?;
        case.reset();
    }
    for _ in 0..options.requests / options.turn.max(1) {
        for case in &mut cases {
            case.run_round(options.turn)?;
        }
    }
    let costs: Vec<RequestCost> = cases.iter().map(Case::cost).collect();
    let [_, off, on] = costs[..] else { bail!("expected 3 cases, got {}", costs.len()) };
    let token = measure_token().unwrap_or_default();
    let table = Table {
        headers: vec![
            "tokens",
            "router CPU per request, us",
            "median latency, us",
            "bytes per request, both directions",
        ],
        rows: CASES.iter().zip(&costs).map(|((_, name), cost)| cost.row(name)).collect(),
    };
    let TokenCost { issue_us, verify_us } = token;
    let description = format!(
        "Real router processes and sockets, stand-in groups, one client for each router: {} requests to \
         each router, a quarter of them writes, in turns of {}. Measured separately in one process: \
         {issue_us:.2} us to issue a token with the floor of one group, {verify_us:.2} us to verify it.",
        options.requests, options.turn
    );
    print_and_write_table(common.out.as_deref(), "cost", &description, &table)?;
    let summary = format!(
        "cpu_off_us={:.1} cpu_on_us={:.1} p50_off_us={} p50_on_us={} bytes_off={:.1} bytes_on={:.1} \
         make_us={issue_us:.2} read_us={verify_us:.2}",
        off.cpu_us, on.cpu_us, off.median_us, on.median_us, off.bytes, on.bytes
    );
    Ok(Outcome { summary, passed: true })
}
