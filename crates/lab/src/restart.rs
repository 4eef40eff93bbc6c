//! What a snapshot buys: a router restarts in good order while replicas are seconds behind.

use crate::results::{table, Table};
use crate::{Common, Done, Outcome};
use basalthill_standin::client::{Answer, Client};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::{GroupBehavior, StaleRead};
use std::time::Duration;

#[derive(clap::Args)]
pub struct Options {
    /// Sessions, each of which has written once.
    #[arg(long, default_value_t = 400)]
    sessions: usize,
    /// How far replicas are behind.
    #[arg(long, default_value_t = 900)]
    lag_ms: u64,
}

/// Reads served by replicas, and all reads served, right after the restart; each session's last write is
/// older than the lag for three in four.
fn measured(
    options: &Options,
    common: &Common,
    snapshot: bool,
) -> Result<(usize, usize), Box<dyn std::error::Error>> {
    let folder = std::env::temp_dir();
    let path = folder.join(format!("basalthill-lab-{}", std::process::id()));
    let line = if snapshot { format!("snapshot {:?}", path.to_str().unwrap_or("")) } else { String::new() };
    let own = format!("sessions floor=\"router\" {{\nsettle-ms 0\n{line}\n}}");
    let manner =
        GroupBehavior { lag_ms: options.lag_ms, stale_reads: StaleRead::Reject, ..GroupBehavior::default() };
    let mut world = Deployment::start(&common.program()?, &folder, 1, manner, Some(&own))?;
    let write = |client: &mut Client, n: usize| {
        client.query(&format!(
            "INSERT INTO records (k, v) VALUES ('s{n}', '1') RETURNING v \
             /* id=w{n},c=write,t=acme,d=900,cluster=2 */"
        ))
    };
    let mut client = Client::connect(world.routers[0].addr)?;
    let old = options.sessions * 3 / 4;
    for n in 0..old {
        write(&mut client, n)?;
    }
    std::thread::sleep(Duration::from_millis(options.lag_ms + 20));
    for n in old..options.sessions {
        write(&mut client, n)?;
    }
    world.routers[0].stop_and_restart()?;
    let mut client = Client::connect(world.routers[0].addr)?;
    let (mut by_replicas, mut served) = (0, 0);
    for n in 0..options.sessions {
        let text =
            format!("SELECT v FROM records WHERE k = 's{n}' /* id=r{n},c=own,t=acme,d=900,cluster=2 */");
        if let Answer::Row(value) = client.query(&text)? {
            let value = String::from_utf8_lossy(&value).into_owned();
            if !value.starts_with("1@") {
                return Err(format!("s{n} did not see its write: {value:?}").into());
            }
            served += 1;
            by_replicas += usize::from(value.ends_with("@copy"));
        }
    }
    Ok((by_replicas, served))
}

pub fn run(options: &Options, common: &Common) -> Done {
    let without = measured(options, common, false)?;
    let with = measured(options, common, true)?;
    let share = |(part, all): (usize, usize)| part as f64 / all.max(1) as f64;
    let row = |name: &str, m: (usize, usize)| vec![name.into(), m.1.to_string(), format!("{:.3}", share(m))];
    let rows = vec![row("none", without), row("kept at the stop", with)];
    let table_ = Table { heads: vec!["snapshot", "reads served", "by replicas"], rows };
    println!("{}", table_.text());
    if let Some(out) = &common.out {
        let words = format!(
            "Real router process and sockets, stand-in group: {} sessions have written through one router, \
             which restarts in good order; replicas are {} ms behind and turn reads away. Reads right after \
             the restart; a quarter of the sessions wrote just before it.",
            options.sessions, options.lag_ms
        );
        table(out, "restart", &words, &table_)?;
    }
    let line = format!("replica_share_without={:.3} replica_share_with={:.3}", share(without), share(with));
    Ok(Outcome { line, kept: share(with) >= share(without) })
}
