//! The bounded table of session floors against a plain ordered map, and what it loses when it overflows. All
//! in this process, on a simulated clock.

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
    /// Sessions that write.
    #[arg(long, default_value_t = 1_000_000)]
    sessions: u64,
    /// Writes a second, by any of them alike.
    #[arg(long, default_value_t = 2000)]
    writes_per_s: u64,
}

/// The simulated clock's start: the beginning of 2026, in Unix time.
const START: Time = Time::ms(1_767_225_600_000);
const GROUP: GroupId = GroupId(1);
/// Sessions that a bucket has entries for.
const ENTRIES_PER_BUCKET: usize = 7;
/// Bytes of a page of memory.
const PAGE: u64 = 4096;
/// Session keys have so many bits.
const KEY_BITS: u32 = 62;
/// A prime by which keys are visited in an order other than that of their making.
const VISIT_STRIDE: u64 = 7919;
/// The fraction of floors that a table for all sessions has to know exactly: it evicts few, since buckets
/// fill unevenly.
const MIN_EXACT_FRACTION: f64 = 0.97;
/// How far replicas are behind.
const LAGS: [Time; 3] = [Time::ms(12), Time::ms(5_000), Time::ms(60_000)];
/// Sizes of tables, as fractions of one that has entries for all sessions.
const SIZES: [f64; 6] = [1.0, 0.5, 0.25, 0.125, 1.0 / 32.0, 1.0 / 128.0];

impl Options {
    /// The moment of the write of this number.
    fn commit_time(&self, write: u64) -> Time {
        START.plus(Time(write * 1_000_000_000 / self.writes_per_s))
    }

    /// Bytes of a table with entries for all sessions, filled to two thirds.
    fn full_size(&self) -> usize {
        (self.sessions as usize * 3 / 2 / ENTRIES_PER_BUCKET).next_power_of_two() * BUCKET_BYTES
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Nanoseconds for each of `n` calls.
fn time_calls_ns(n: u64, mut call: impl FnMut(u64)) -> f64 {
    let started_at = Instant::now();
    (0..n).for_each(&mut call);
    started_at.elapsed().as_nanos() as f64 / n as f64
}

/// What a structure costs.
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

/// Keys of sessions, and the order in which they are visited.
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

/// The costs of a table for all sessions, and the fraction of floors that it knows exactly.
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

/// The fractions of reads that a replica may serve.
struct ReplicaFractions {
    /// By the table's floors.
    with_table: f64,
    /// By exact floors of all sessions.
    with_exact_map: f64,
}

/// Each write is followed by a read of some session, once all sessions may have written; a replica may serve
/// it if it has applied the session's floor.
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

/// What tables of different sizes lose.
struct Overflow {
    table: Table,
    lines: Vec<Line>,
}

fn measure_overflow(options: &Options, seed: u64) -> Overflow {
    let headers =
        vec!["replicas behind", "bytes a session", "reads that replicas may serve", "with an exact map"];
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
        let name = format!("replicas {:.3} s behind", lag.secs());
        overflow.lines.push(Line { name, points });
    }
    overflow
}

/// Runs the experiment. It passes if a table for all sessions keeps nearly all of their floors.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let sessions = options.sessions;
    let keys = Keys::random(sessions, common.seed);
    let map = map_costs(options, &keys);
    let (table, exact_fraction) = table_costs(options, &keys, common.seed);
    let costs = Table {
        headers: vec!["structure", "add, ns", "raise, ns", "look up, ns", "bytes a session"],
        rows: vec![map.row("ordered map, grows for ever"), table.row("book, room for all")],
    };
    println!("{}", costs.to_markdown());
    let overflow = measure_overflow(options, common.seed);
    println!("{}", overflow.table.to_markdown());
    let description = format!(
        "One process, no sockets: {sessions} sessions, {} writes a second by any of them, reads by any \
         of them.\n\n{}",
        options.writes_per_s,
        costs.to_markdown()
    );
    let title = "Reads that replicas may serve as the book overflows";
    let axes = Axes { title, x: "bytes a session", y: "share", y_range: 0.0..1.0 };
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
