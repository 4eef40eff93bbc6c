//! Restarts a router gracefully while replicas lag, without and with a snapshot of its session floors, and
//! measures the fraction of reads that replicas serve after the restart.
//!
//! Without a snapshot, a restart loses the router's session floors. The router then uses its start time as
//! the floor of each session, so replicas cannot serve reads until they have applied the log up to that time.

use crate::results::{print_and_write_table, Table};
use crate::{CommonOptions, Outcome};
use anyhow::bail;
use basalthill_standin::client::{Client, Reply};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::{GroupBehavior, StaleRead};
use std::io;
use std::ops::Range;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Options {
    /// Number of sessions; each writes once before the restart.
    #[arg(long, default_value_t = 400)]
    sessions: usize,
    /// Lag of the replicas, in milliseconds.
    #[arg(long, default_value_t = 900)]
    lag_ms: u64,
}

/// Time in milliseconds that the experiment waits in addition to the lag, so that replicas have applied the
/// early writes.
const LAG_MARGIN_MS: u64 = 20;

/// Counts of the reads directly after a restart.
#[derive(Clone, Copy, Default)]
struct ReadsAfterRestart {
    served: usize,
    by_replicas: usize,
}

impl ReadsAfterRestart {
    fn replica_fraction(&self) -> f64 {
        self.by_replicas as f64 / self.served.max(1) as f64
    }

    fn row(&self, name: &str) -> Vec<String> {
        vec![name.into(), self.served.to_string(), format!("{:.3}", self.replica_fraction())]
    }
}

/// Returns the router's local settings (KDL): the router keeps session floors in memory and, if `snapshot` is
/// set, stores them in a file when it stops.
fn local_settings(snapshot: bool) -> String {
    let path = std::env::temp_dir().join(format!("basalthill-lab-{}", std::process::id()));
    let line = if snapshot { format!("snapshot {:?}", path.to_str().unwrap_or("")) } else { String::new() };
    format!("sessions floor=\"router\" {{\nsettle-ms 0\n{line}\n}}")
}

/// Writes once in each session, restarts the router, and reads in each session. Three quarters of the
/// sessions write early enough that replicas have applied their writes before the restart; the others write
/// directly before it.
fn measure(options: &Options, common: &CommonOptions, snapshot: bool) -> anyhow::Result<ReadsAfterRestart> {
    let behavior =
        GroupBehavior { lag_ms: options.lag_ms, stale_reads: StaleRead::Reject, ..GroupBehavior::default() };
    let settings = local_settings(snapshot);
    let folder = std::env::temp_dir();
    let mut deployment = Deployment::start(&common.program()?, &folder, 1, behavior, Some(&settings))?;
    let mut client = Client::connect(deployment.routers[0].addr)?;
    let early_sessions = options.sessions * 3 / 4;
    write_all(&mut client, 0..early_sessions)?;
    std::thread::sleep(Duration::from_millis(options.lag_ms + LAG_MARGIN_MS));
    write_all(&mut client, early_sessions..options.sessions)?;
    deployment.routers[0].stop_and_restart()?;
    let mut client = Client::connect(deployment.routers[0].addr)?;
    read_all(&mut client, options.sessions)
}

fn write_all(client: &mut Client, sessions: Range<usize>) -> io::Result<()> {
    for n in sessions {
        client.query(&format!(
            "INSERT INTO records (k, v) VALUES ('s{n}', '1') RETURNING v \
             /* id=w{n},c=write,t=acme,d=900,cluster=2 */"
        ))?;
    }
    Ok(())
}

/// Reads in each session. Fails if a read that was served does not return the session's own write.
fn read_all(client: &mut Client, sessions: usize) -> anyhow::Result<ReadsAfterRestart> {
    let mut reads = ReadsAfterRestart::default();
    for n in 0..sessions {
        let text =
            format!("SELECT v FROM records WHERE k = 's{n}' /* id=r{n},c=own,t=acme,d=900,cluster=2 */");
        let Reply::Row(value) = client.query(&text)? else { continue };
        let value = String::from_utf8_lossy(&value).into_owned();
        if !value.starts_with("1@") {
            bail!("the read of s{n} returned {value:?}, not the session's own write");
        }
        reads.served += 1;
        reads.by_replicas += usize::from(value.ends_with("@copy"));
    }
    Ok(reads)
}

/// Runs the experiment. It passes if the fraction of reads served by replicas is at least as high with a
/// snapshot as without.
pub fn run(options: &Options, common: &CommonOptions) -> anyhow::Result<Outcome> {
    let without = measure(options, common, false)?;
    let with = measure(options, common, true)?;
    let table = Table {
        headers: vec!["snapshot", "reads served", "fraction served by replicas"],
        rows: vec![without.row("none"), with.row("stored at the stop")],
    };
    let description = format!(
        "Real router process and sockets, stand-in group: {} sessions have each written once through one \
         router, which then restarts gracefully. Replicas lag by {} ms and reject reads whose floor they \
         have not applied. The table counts reads directly after the restart; a quarter of the sessions \
         wrote directly before it.",
        options.sessions, options.lag_ms
    );
    print_and_write_table(common.out.as_deref(), "restart", &description, &table)?;
    let (without, with) = (without.replica_fraction(), with.replica_fraction());
    let summary = format!("replica_share_without={without:.3} replica_share_with={with:.3}");
    Ok(Outcome { summary, passed: with >= without })
}
