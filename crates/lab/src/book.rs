//! The bounded book of floors against a plain ordered map, and what it loses when it overflows. In this
//! process alone, on a clock of its own.

use crate::results::{chart, table, Axes, Line, Table};
use crate::{Common, Done, Outcome};
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

const START: Time = Time::ms(1_767_225_600_000);
const G: GroupId = GroupId(1);

/// Memory that is resident, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4096
}

/// Nanoseconds for each of `n` calls.
fn timed(n: u64, mut f: impl FnMut(u64)) -> f64 {
    let begun = Instant::now();
    (0..n).for_each(&mut f);
    begun.elapsed().as_nanos() as f64 / n as f64
}

fn commit(n: u64, options: &Options) -> Time {
    START.plus(Time(n * 1_000_000_000 / options.writes_per_s))
}

/// Buckets enough for all sessions, filled to two thirds.
fn enough(sessions: u64) -> usize {
    (sessions as usize * 3 / 2 / 7).next_power_of_two() * BUCKET_BYTES
}

/// The share of reads that a replica may serve, which lags so far, when a session reads so long after it
/// wrote.
fn share(options: &Options, bytes: usize, lag: Time, seed: u64) -> (f64, f64) {
    let mut book = FloorTable::new(START, bytes, seed);
    let mut exact = BTreeMap::new();
    let (mut rng, mut passes, mut would) = (Rng::with_seed(seed), 0u64, 0u64);
    let writes = options.sessions * 2;
    let mut reads = 0u64;
    for n in 0..writes {
        let (session, now) = (rng.u64(..options.sessions), commit(n, options));
        book.raise(G, SessionKey(session), now);
        exact.insert(session, now);
        // Each write is followed by a read of some session, the same one half of the time a while later.
        if n > options.sessions {
            let reader = rng.u64(..options.sessions);
            let entry = book.get(G, SessionKey(reader));
            let floor = entry.exact.unwrap_or_default().max(entry.evicted);
            let applied = now.minus(lag);
            reads += 1;
            passes += u64::from(floor <= applied);
            would += u64::from(exact.get(&reader).is_none_or(|floor| *floor <= applied));
        }
    }
    (passes as f64 / reads as f64, would as f64 / reads as f64)
}

pub fn run(options: &Options, common: &Common) -> Done {
    let n = options.sessions;
    let keys: Vec<SessionKey> = {
        let mut rng = Rng::with_seed(common.seed);
        (0..n).map(|_| SessionKey(rng.u64(..1 << 31) << 31 | rng.u64(..1 << 31))).collect()
    };
    let key = |i: u64| keys[(i.wrapping_mul(7919) % n) as usize];
    let before = resident();
    let mut map = BTreeMap::new();
    let map_raise = timed(n, |i| {
        let floor = map.entry((G, key(i))).or_insert(Time(0));
        *floor = commit(i, options).max(*floor);
    });
    let map_bytes = resident().saturating_sub(before) as f64 / n as f64;
    let map_get = timed(n, |i| {
        black_box(map.get(&(G, key(i * 31))));
    });
    let map_again = timed(n, |i| {
        let floor = map.entry((G, key(i))).or_insert(Time(0));
        *floor = commit(n + i, options).max(*floor);
    });
    let before = resident();
    let mut book = FloorTable::new(START, enough(n), common.seed);
    let raise = timed(n, |i| book.raise(G, key(i), commit(i, options)));
    let bytes = resident().saturating_sub(before) as f64 / n as f64;
    let get = timed(n, |i| {
        black_box(book.get(G, key(i * 31)));
    });
    let again = timed(n, |i| book.raise(G, key(i), commit(n + i, options)));
    let kept = (0..n).filter(|i| book.get(G, key(*i)).exact.is_some()).count() as f64 / n as f64;
    let row = |name: &str, figures: [f64; 4]| {
        std::iter::once(name.to_string()).chain(figures.iter().map(|f| format!("{f:.1}"))).collect()
    };
    let rows = vec![
        row("ordered map, grows for ever", [map_raise, map_again, map_get, map_bytes]),
        row("book, room for all", [raise, again, get, bytes]),
    ];
    let heads = vec!["structure", "add, ns", "raise, ns", "look up, ns", "bytes a session"];
    let costs = Table { heads, rows };
    println!("{}", costs.text());
    let (mut lines, mut rows) = (Vec::new(), Vec::new());
    for lag in [Time::ms(12), Time::ms(5_000), Time::ms(60_000)] {
        let mut points = Vec::new();
        for part in [1.0, 0.5, 0.25, 0.125, 1.0 / 32.0, 1.0 / 128.0] {
            let size = (enough(n) as f64 * part) as usize;
            let (share, exact) = share(options, size, lag, common.seed);
            let line = format!("{:.3}", size as f64 / n as f64);
            rows.push(vec![
                format!("{:.3} s", lag.secs()),
                line,
                format!("{share:.4}"),
                format!("{exact:.4}"),
            ]);
            points.push((size as f64 / n as f64, share));
        }
        lines.push(Line { name: format!("replicas {:.3} s behind", lag.secs()), points });
    }
    let heads =
        vec!["replicas behind", "bytes a session", "reads that replicas may serve", "with an exact map"];
    let overflow = Table { heads, rows };
    println!("{}", overflow.text());
    if let Some(out) = &common.out {
        let words = format!(
            "One process, no sockets: {n} sessions, {} writes a second by any of them, reads by any of \
             them.\n\n{}",
            options.writes_per_s,
            costs.text()
        );
        table(out, "book", &words, &overflow)?;
        let (title, x, y) =
            ("Reads that replicas may serve as the book overflows", "bytes a session", "share");
        chart(out, "book", &Axes { title, x, y, range: 0.0..1.0 }, &lines)?;
    }
    let line = format!("sessions={n} add_ns={raise:.0} raise_ns={again:.0} get_ns={get:.0} bytes={bytes:.1}");
    let line = format!("{line} map_add_ns={map_raise:.0} map_get_ns={map_get:.0} map_bytes={map_bytes:.1}");
    // A table with room for all forgets few: buckets fill unevenly.
    Ok(Outcome { line, kept: kept > 0.97 })
}
