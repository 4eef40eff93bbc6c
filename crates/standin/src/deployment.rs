//! A deployment on loopback: a replicated group of three members, discovery that lists it, and router
//! processes.

use crate::discovery::{endpoint_list, Discovery};
use crate::group::{Group, GroupBehavior, StaleRead};
use crate::router_process::{write_unique_file, RouterOptions, RouterProcess};
use crate::session_load::{run_load, SessionLoad, SessionLoadReport};
use crate::{StandinError, SETTINGS};
use std::path::{Path, PathBuf};

/// The group's number, as statements name it (`cluster=2`).
const GROUP: u32 = 2;
/// Members of the group, the first of them its primary.
const MEMBERS: usize = 3;
/// Limits that no test or experiment reaches.
const LIMITS: &str = r#"{"sockets":16384,"memory_mb":192}"#;

/// A group of three members, discovery, and routers.
pub struct Deployment {
    /// The group.
    pub group: Group,
    /// Discovery, which lists it.
    pub discovery: Discovery,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The file of the routers' own settings (KDL), if they were given any.
    pub settings: Option<PathBuf>,
}

impl Deployment {
    /// Starts so many routers of a program, with their own settings (KDL) if there are any. Files are written
    /// to `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        routers: usize,
        behavior: GroupBehavior,
        own_settings: Option<&str>,
    ) -> Result<Deployment, StandinError> {
        let settings = platform_settings(routers, &behavior);
        let group = Group::start(GROUP, MEMBERS, behavior)?;
        let known = endpoint_list(1, true, &group.members());
        let discovery = Discovery::start(known.clone())?;
        let config = format!(r#"{{"seed":"1","limits":{LIMITS},"known":{known},"settings":{settings}}}"#);
        let options = RouterOptions {
            program: program.into(),
            config: write_unique_file(folder, "router.json", &config)?,
            settings: own_settings.map(|text| write_unique_file(folder, "own.kdl", text)).transpose()?,
            discovery: discovery.addr,
        };
        let start_router = |n| RouterProcess::start(&format!("n{n}"), options.clone());
        let routers = (0..routers).map(start_router).collect::<Result<_, _>>()?;
        Ok(Deployment { group, discovery, routers, settings: options.settings })
    }

    /// Has discovery publish the members and their ranks as they are now.
    pub fn publish_members(&self, version: u64) {
        self.discovery.publish(endpoint_list(version, true, &self.group.members()));
    }

    /// Runs a load while so many routers are killed and restarted, one after another, at equal parts of the
    /// load. The group's lag takes each of `lags_ms` for an equal part of it.
    ///
    /// Panics if a router does not start again.
    pub fn run_load(&mut self, load: &SessionLoad, kills: usize, lags_ms: &[u64]) -> SessionLoadReport {
        let addrs: Vec<_> = self.routers.iter().map(|r| r.addr).collect();
        let group = self.group.clone();
        let routers = &mut self.routers;
        let mut killed = 0;
        run_load(&self.group, &addrs, load, |fraction_done| {
            if killed < kills && fraction_done > killed as f64 / kills as f64 {
                let victim = killed % routers.len();
                killed += 1;
                routers[victim].kill_and_restart().expect("a router that starts again");
            }
            let part = (fraction_done * lags_ms.len() as f64) as usize;
            if let Some(lag_ms) = lags_ms.get(part) {
                group.reconfigure(|behavior| behavior.lag_ms = *lag_ms);
            }
        })
    }
}

/// The deployment's settings (JSON) for so many routers and a group that behaves like this.
fn platform_settings(routers: usize, behavior: &GroupBehavior) -> String {
    let when_behind = match behavior.stale_reads {
        StaleRead::Serve => "none",
        StaleRead::Reject => "bounce",
        StaleRead::Wait(_) => "await",
    };
    let max_retry_after = format!("\"maxRetryAfter\": {}000000", behavior.retry_after_ms);
    let objective = format!("\"aim\": {}000000", behavior.latency_objective_ms);
    SETTINGS
        .replace("\"await\"", &format!("{when_behind:?}"))
        .replace("\"balancers\": 2", &format!("\"balancers\": {routers}"))
        .replace("\"maxRetryAfter\": 1000000000", &max_retry_after)
        .replace("\"aim\": 400000000", &objective)
}
