//! Compares the bounded table of session floors with an ordered map that grows without bound, and measures
//! how many reads replicas can no longer serve when the table is too small for all sessions.
//!
//! Everything runs in this process, on a simulated clock.

use crate::results::{write_table_and_chart, Axes, Chart, Line, Table};
use crate::{CommonOptions, Outcome};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::{FloorTable, BUCKET_BYTES};
use basalthill_standin::Rng;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

#[derive(clap::Args)]
pub struct Options {
    /// Number of sessions that write.
    #[arg(long, default_value_t = 1_000_000)]
    sessions: u64,
    /// Writes per second of all sessions together.
    #[arg(long, default_value_t = 2000)]
    writes_per_s: u64,
}

/// The time at which the simulated clock starts: the beginning of 2026, in Unix time.
const START: Time = Time::ms(1_767_225_600_000);
const GROUP: GroupId = GroupId(1);
/// Number of entries of a bucket. Each entry holds the floor of one session.
const ENTRIES_PER_BUCKET: usize = 7;
/// Size of a memory page, in bytes.
const PAGE: u64 = 4096;
/// Number of random bits of a session key.
const KEY_BITS: u32 = 62;
/// Keys are visited at this stride, so that their order differs from the order of generation. It is a prime
/// number, so that all keys are visited unless their number is a multiple of it.
const VISIT_STRIDE: u64 = 7919;
/// The fraction of sessions whose floors a table with entries for all sessions must hold exactly. It is below
/// 1 because buckets fill unevenly, so that the table evicts a few floors.
const MIN_EXACT_FRACTION: f64 = 0.97;
/// Replica lags that are compared.
const LAGS: [Time; 3] = [Time::ms(12), Time::ms(5_000), Time::ms(60_000)];
/// Sizes of the tables, as fractions of the size that has entries for all sessions.
const SIZES: [f64; 6] = [1.0, 0.5, 0.25, 0.125, 1.0 / 32.0, 1.0 / 128.0];

impl Options {
    /// Returns the commit time of the write with this number.
    fn commit_time(&self, write: u64) -> Time {
        START.plus(Time(write * 1_000_000_000 / self.writes_per_s))
    }

    /// Returns the size in bytes of a table that is at most two thirds full when it holds all sessions.
    fn full_size(&self) -> usize {
        (self.sessions as usize * 3 / 2 / ENTRIES_PER_BUCKET).next_power_of_two() * BUCKET_BYTES
    }
}

/// Returns the resident memory of this process, in bytes; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Calls a function `n` times, with the number of the call, and returns the mean time of a call in
/// nanoseconds.
fn time_calls_ns(n: u64, mut call: impl FnMut(u64)) -> f64 {
    let started_at = Instant::now();
    (0..n).for_each(&mut call);
    started_at.elapsed().as_nanos() as f64 / n as f64
}

/// Mean time of each operation of a structure, and its memory per session.
struct Costs {
    add_ns: f64,
    raise_ns: f64,
    get_ns: f64,
    bytes_per_session: f64,
}

impl Costs {
    fn row(&self, name: &str) -> Vec<String> {
        let figures = [self.add_ns, self.raise_ns, self.get_ns, self.bytes_per_session];
        std::iter::once(name.to_string()).chain(figures.iter().map(|f| format!("{f:.1}"))).collect()
    }
}

/// Session keys, in order of generation.
struct Keys(Vec<SessionKey>);

impl Keys {
    fn random(count: u64, seed: u64) -> Keys {
        let mut rng = Rng::with_seed(seed);
        Keys((0..count).map(|_| SessionKey(rng.u64(..1 << KEY_BITS))).collect())
    }

    fn key_at(&self, n: u64) -> SessionKey {
        self.0[(n.wrapping_mul(VISIT_STRIDE) % self.0.len() as u64) as usize]
    }
}

fn map_costs(options: &Options, keys: &Keys) -> Costs {
    let sessions = options.sessions;
    let before = resident_bytes();
    let mut map = BTreeMap::new();
    let add_ns = time_calls_ns(sessions, |n| {
        raise_in_map(&mut map, keys.key_at(n), options.commit_time(n));
    });
    let bytes_per_session = resident_bytes().saturating_sub(before) as f64 / sessions as f64;
    let get_ns = time_calls_ns(sessions, |n| {
        black_box(map.get(&(GROUP, keys.key_at(n * 31))));
    });
    let raise_ns = time_calls_ns(sessions, |n| {
        raise_in_map(&mut map, keys.key_at(n), options.commit_time(sessions + n));
    });
    Costs { add_ns, raise_ns, get_ns, bytes_per_session }
}

fn raise_in_map(map: &mut BTreeMap<(GroupId, SessionKey), Time>, session: SessionKey, floor: Time) {
    let current = map.entry((GROUP, session)).or_insert(Time(0));
    *current = floor.max(*current);
}

/// Measures a table with entries for all sessions. Returns its costs and the fraction of the sessions for
/// which it holds the exact floor.
fn table_costs(options: &Options, keys: &Keys, seed: u64) -> (Costs, f64) {
    let sessions = options.sessions;
    let before = resident_bytes();
    let mut table = FloorTable::new(START, options.full_size(), seed);
    let add_ns = time_calls_ns(sessions, |n| table.raise(GROUP, keys.key_at(n), options.commit_time(n)));
    let bytes_per_session = resident_bytes().saturating_sub(before) as f64 / sessions as f64;
    let get_ns = time_calls_ns(sessions, |n| {
        black_box(table.get(GROUP, keys.key_at(n * 31)));
    });
    let raise_ns = time_calls_ns(sessions, |n| {
        table.raise(GROUP, keys.key_at(n), options.commit_time(sessions + n));
    });
    let exact = (0..sessions).filter(|n| table.get(GROUP, keys.key_at(*n)).exact.is_some()).count();
    (Costs { add_ns, raise_ns, get_ns, bytes_per_session }, exact as f64 / sessions as f64)
}

/// The fractions of reads that a replica may serve, because it has applied the session's floor.
struct ReplicaFractions {
    /// With the floors that the bounded table returns.
    with_table: f64,
    /// With the exact floors of all sessions.
    with_exact_map: f64,
}

/// Simulates writes of random sessions. After the first `sessions` writes, each write is followed by a read
/// of a random session, which a replica may serve if it has applied the session's floor.
fn replica_fractions(options: &Options, table_bytes: usize, lag: Time, seed: u64) -> ReplicaFractions {
    let mut table = FloorTable::new(START, table_bytes, seed);
    let mut exact_floors = BTreeMap::new();
    let mut rng = Rng::with_seed(seed);
    let (mut reads, mut by_table, mut by_map) = (0u64, 0u64, 0u64);
    for write in 0..options.sessions * 2 {
        let session = rng.u64(..options.sessions);
        let now = options.commit_time(write);
        table.raise(GROUP, SessionKey(session), now);
        exact_floors.insert(session, now);
        if write > options.sessions {
            let reader = rng.u64(..options.sessions);
            let entry = table.get(GROUP, SessionKey(reader));
            let floor = entry.exact.unwrap_or_default().max(entry.evicted);
            let applied = now.minus(lag);
            reads += 1;
            by_table += u64::from(floor <= applied);
            by_map += u64::from(exact_floors.get(&reader).is_none_or(|floor| *floor <= applied));
        }
    }
    let fraction = |served: u64| served as f64 / reads as f64;
    ReplicaFractions { with_table: fraction(by_table), with_exact_map: fraction(by_map) }
}

/// The results for tables of different sizes.
struct Overflow {
    table: Table,
    lines: Vec<Line>,
}

fn measure_overflow(options: &Options, seed: u64) -> Overflow {
    let headers = vec![
        "replica lag",
        "bytes per session",
        "fraction of reads that replicas may serve",
        "with an exact map",
    ];
    let mut overflow = Overflow { table: Table { headers, rows: Vec::new() }, lines: Vec::new() };
    for lag in LAGS {
        let mut points = Vec::new();
        for size in SIZES {
            let table_bytes = (options.full_size() as f64 * size) as usize;
            let bytes_per_session = table_bytes as f64 / options.sessions as f64;
            let fractions = replica_fractions(options, table_bytes, lag, seed);
            overflow.table.rows.push(vec![
                format!("{:.3} s", lag.secs()),
                format!("{bytes_per_session:.3}"),
                format!("{:.4}", fractions.with_table),
                format!("{:.4}", fractions.with_exact_map),
            ]);
            points.push((bytes_per_session, fractions.with_table));
        }
        let name = format!("replica lag {:.3} s", lag.secs());
        overflow.lines.push(Line { name, points });
    }
    overflow
}

/// Runs the experiment. It passes if a table with entries for all sessions holds more than
/// [`MIN_EXACT_FRACTION`] of their floors exactly.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let sessions = options.sessions;
    let keys = Keys::random(sessions, common.seed);
    let map = map_costs(options, &keys);
    let (table, exact_fraction) = table_costs(options, &keys, common.seed);
    let costs = Table {
        headers: vec!["structure", "add, ns", "raise, ns", "look up, ns", "bytes per session"],
        rows: vec![map.row("unbounded ordered map"), table.row("floor table with entries for all")],
    };
    println!("{}", costs.to_markdown());
    let overflow = measure_overflow(options, common.seed);
    println!("{}", overflow.table.to_markdown());
    let description = format!(
        "One process, no sockets: {sessions} sessions, {} writes per second by random sessions, reads by \
         random sessions.\n\n{}",
        options.writes_per_s,
        costs.to_markdown()
    );
    let title = "Reads that replicas may serve, by size of the floor table";
    let axes = Axes { title, x: "bytes per session", y: "fraction of reads", y_range: 0.0..1.0 };
    let chart = Chart { axes, lines: &overflow.lines };
    write_table_and_chart(common.out.as_deref(), "book", &description, &overflow.table, &chart)?;
    let Costs { add_ns, raise_ns, get_ns, bytes_per_session } = table;
    let summary = format!(
        "sessions={sessions} add_ns={add_ns:.0} raise_ns={raise_ns:.0} get_ns={get_ns:.0} \
         bytes={bytes_per_session:.1} map_add_ns={:.0} map_get_ns={:.0} map_bytes={:.1}",
        map.add_ns, map.get_ns, map.bytes_per_session
    );
    Ok(Outcome { summary, passed: exact_fraction > MIN_EXACT_FRACTION })
}
