//! What tokens cost a request: routers before the same kind of group, without our settings, with floors alone
//! and with tokens, asked in turn.

use crate::results::{table, Table};
use crate::sessions::Mode;
use crate::{Common, Done, Outcome};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::{issue, verify, Key, KeyId, KeyRing, SessionIdentity};
use basalthill_session::GroupFloors;
use basalthill_standin::client::{Answer, Client};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::hint::black_box;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Options {
    /// Requests at each router.
    #[arg(long, default_value_t = 40_000)]
    requests: u32,
    /// Requests in a turn.
    #[arg(long, default_value_t = 500)]
    turn: u32,
}

/// One of the routers, and what it took so far.
struct Side {
    world: Deployment,
    token: Option<String>,
    cpu: Duration,
    took_us: Vec<u32>,
    bytes: u64,
}

impl Side {
    fn start(mode: Mode, common: &Common) -> Result<Side, Box<dyn std::error::Error>> {
        let quick = [Duration::ZERO; 2];
        let manner = GroupBehavior {
            lag_ms: 1,
            write_delays: quick,
            read_delay: Duration::ZERO,
            ..GroupBehavior::default()
        };
        let own = mode.plan("").0;
        let world = Deployment::start(&common.program()?, &std::env::temp_dir(), 1, manner, own.as_deref())?;
        Ok(Side { world, token: None, cpu: Duration::ZERO, took_us: Vec::new(), bytes: 0 })
    }

    /// So many requests one after the other, a write and then three reads.
    fn turn(&mut self, requests: u32) -> std::io::Result<()> {
        // A connection of this turn's own: a router sends those away that ask nothing for long.
        let mut client = Client::connect(self.world.routers[0].addr)?;
        let (cpu, bytes) = (self.world.routers[0].cpu_time().unwrap_or_default(), client.bytes_transferred);
        for n in 0..requests {
            let token = self.token.as_ref().map(|t| format!(",token={t}")).unwrap_or_default();
            let id = self.took_us.len();
            let (what, class) = match n % 4 == 0 {
                true => (format!("INSERT INTO records (k, v) VALUES ('anne', '{n}') RETURNING v"), "write"),
                false => ("SELECT v FROM records WHERE k = 'anne'".into(), "own"),
            };
            let text = format!("{what} /* id={id:016x},c={class},t=acme,d=900,cluster=2{token} */");
            let sent = Instant::now();
            let answer = client.query(&text)?;
            self.took_us.push(sent.elapsed().as_micros() as u32);
            if !matches!(answer, Answer::Row(_)) {
                return Err(std::io::Error::other(format!("not served: {answer:?}")));
            }
            self.token = client.token.take().or(self.token.take());
        }
        self.cpu += self.world.routers[0].cpu_time().unwrap_or_default().saturating_sub(cpu);
        self.bytes += client.bytes_transferred - bytes;
        Ok(())
    }

    fn figures(&mut self) -> [f64; 3] {
        let n = self.took_us.len().max(1) as f64;
        self.took_us.sort_unstable();
        let median = self.took_us.get(self.took_us.len() / 2).copied().unwrap_or(0);
        [self.cpu.as_secs_f64() * 1e6 / n, f64::from(median), self.bytes as f64 / n]
    }
}

/// Microseconds to make a token and to read it.
fn alone() -> Option<(f64, f64)> {
    let keys =
        KeyRing { signing: Key::new(KeyId(1), vec![7; 32])?, verifying: Vec::new(), max_age: Time::ms(1000) };
    let (now, owner) = (Time::ms(1_767_225_600_000), SessionIdentity { name: b"anne", key: SessionKey(1) });
    let mut floors = GroupFloors::default();
    floors.raise(GroupId(2), now);
    let text = issue(&keys, now, owner, &floors);
    let timed = |f: &dyn Fn()| {
        let begun = Instant::now();
        (0..50_000).for_each(|_| f());
        begun.elapsed().as_secs_f64() * 1e6 / 50_000.0
    };
    let made = timed(&|| drop(black_box(issue(&keys, now, owner, &floors))));
    let read = timed(&|| drop(black_box(verify(&keys, now, Time(0), owner, text.as_bytes()))));
    Some((made, read))
}

pub fn run(options: &Options, common: &Common) -> Done {
    let modes = [Mode::Off, Mode::Router, Mode::Tokens];
    let mut sides = modes.iter().map(|m| Side::start(*m, common)).collect::<Result<Vec<_>, _>>()?;
    // Warm up, then in turn, so that the machine's drift meets all.
    sides.iter_mut().try_for_each(|s| s.turn(options.turn))?;
    sides.iter_mut().for_each(|s| (s.cpu, s.bytes, s.took_us) = (Duration::ZERO, 0, Vec::new()));
    for _ in 0..options.requests / options.turn.max(1) {
        sides.iter_mut().try_for_each(|s| s.turn(options.turn))?;
    }
    let figures: Vec<[f64; 3]> = sides.iter_mut().map(Side::figures).collect();
    let [_, off, on] = figures[..] else { return Err("three routers".into()) };
    let (made, read) = alone().unwrap_or_default();
    let names = ["off, no floors", "off, floors by the router's memory", "on, early ones too"];
    let row = |(name, f): (&&str, &[f64; 3])| {
        std::iter::once(name.to_string()).chain(f.iter().map(|f| format!("{f:.1}"))).collect::<Vec<_>>()
    };
    let rows = names.iter().zip(&figures).map(row).collect();
    let heads = vec!["tokens", "CPU of the router, us a request", "median time, us", "bytes with the client"];
    let costs = Table { heads, rows };
    println!("{}", costs.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real router processes and sockets, stand-in groups, one client each: {} requests at each \
             router, a quarter of them writes, in turns of {}. Alone, in one process: {made:.2} us to make a \
             token of one group, {read:.2} us to read it.",
            options.requests, options.turn
        );
        table(out, "cost", &words, &costs)?;
    }
    let line =
        format!("cpu_off_us={:.1} cpu_on_us={:.1} p50_off_us={} p50_on_us={}", off[0], on[0], off[1], on[1]);
    let line =
        format!("{line} bytes_off={:.1} bytes_on={:.1} make_us={made:.2} read_us={read:.2}", off[2], on[2]);
    Ok(Outcome { line, kept: true })
}
