//! Clients that use the client library and share one of its runtimes. Each sends one request at a time, as
//! naive clients do.

use super::{ClientRecord, CompletedRequest, LoadRun, NextRequest, RequestSchedule};
use async_executor::LocalExecutor;
use async_io::Timer;
use basalthill_client::{Client, Config, Idempotency, Priority, Request, RequestOutcome, Runtime};
use futures_lite::future::block_on;
use std::time::Instant;

/// The group that requests are sent to.
const GROUP: u32 = 2;

/// Runs all clients of a load until its end.
pub fn run(load_run: &LoadRun<'_>) -> anyhow::Result<()> {
    let runtime = Runtime::start()?;
    let executor = LocalExecutor::new();
    let from = Instant::now();
    let spawn = |n: usize| {
        let seed = load_run.load.seed + n as u64;
        let client = runtime.client(Config { seed, ..Config::new(load_run.routers) });
        executor.spawn(run_client(load_run, client, RequestSchedule::new(load_run.load, n, from)))
    };
    let clients: Vec<_> = (0..load_run.load.clients).map(spawn).collect();
    block_on(executor.run(async {
        for client in clients {
            client.await;
        }
    }));
    Ok(())
}

async fn run_client(load_run: &LoadRun<'_>, client: Client, mut schedule: RequestSchedule) {
    let mut record = ClientRecord::default();
    while schedule.next_at < load_run.end {
        Timer::at(schedule.next_at).await;
        let deadline = Instant::now() + load_run.load.timeout;
        let request = request(schedule.next_request(load_run.epoch, deadline));
        let request = request.tenant("acme").deadline(deadline).priority(Priority::Normal);
        let report = client.execute(request).await;
        record.attempts += report.attempts.len() as u64;
        let served = matches!(report.outcome, RequestOutcome::Served(_));
        record.completed.push(CompletedRequest { at: Instant::now(), served });
        schedule.advance();
    }
    load_run.add(record);
}

fn request(next: NextRequest) -> Request {
    match next.is_write {
        true => Request::write("write", GROUP, &next.key, b"1"),
        false => Request::read("view", GROUP, &next.key).idempotency(Idempotency::Idempotent),
    }
}
