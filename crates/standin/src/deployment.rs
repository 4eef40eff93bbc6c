//! A deployment on loopback: a replicated group of three members, discovery that lists them, and router
//! processes.

use crate::discovery::{endpoint_list, Discovery};
use crate::group::{Group, GroupBehavior, StaleRead};
use crate::router_process::{write_unique_file, RouterOptions, RouterProcess};
use crate::session_load::{run_load, SessionLoad, SessionLoadReport};
use crate::{StandinError, SETTINGS};
use std::path::{Path, PathBuf};

/// Number of the group, as given in statements (`cluster=2`).
const GROUP: u32 = 2;
/// Number of members of the group. The first one is the primary.
const MEMBERS: usize = 3;
/// Limits of sockets and memory in the run configuration, which no test or experiment reaches.
const LIMITS: &str = r#"{"sockets":16384,"memory_mb":192}"#;

/// A replicated group, discovery and router processes.
pub struct Deployment {
    /// The group.
    pub group: Group,
    /// Discovery, which lists the members of the group.
    pub discovery: Discovery,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// File with the local settings (KDL) of the routers, if they were given any.
    pub settings: Option<PathBuf>,
}

impl Deployment {
    /// Starts a deployment with a number of router processes that run `program`, with `local_settings` (KDL)
    /// if given. Files are written to `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        routers: usize,
        behavior: GroupBehavior,
        local_settings: Option<&str>,
    ) -> Result<Deployment, StandinError> {
        let settings = platform_settings(routers, &behavior);
        let group = Group::start(GROUP, MEMBERS, behavior)?;
        let known = endpoint_list(1, true, &group.members());
        let discovery = Discovery::start(known.clone())?;
        let config = format!(r#"{{"seed":"1","limits":{LIMITS},"known":{known},"settings":{settings}}}"#);
        let options = RouterOptions {
            program: program.into(),
            config: write_unique_file(folder, "router.json", &config)?,
            settings: local_settings.map(|text| write_unique_file(folder, "local.kdl", text)).transpose()?,
            discovery: discovery.addr,
        };
        let start_router = |n| RouterProcess::start(&format!("n{n}"), options.clone());
        let routers = (0..routers).map(start_router).collect::<Result<_, _>>()?;
        Ok(Deployment { group, discovery, routers, settings: options.settings })
    }

    /// Publishes the members with their current ranks through discovery, as version `version` of the list.
    pub fn publish_members(&self, version: u64) {
        self.discovery.publish(endpoint_list(version, true, &self.group.members()));
    }

    /// Runs a load. While it runs, a router is killed and restarted `kills` times, at equal intervals of the
    /// load; the routers take turns. The lag of the group takes each value of `lags_ms`, in order, for an
    /// equal part of the load.
    ///
    /// # Panics
    ///
    /// Panics if a router does not restart.
    pub fn run_load(&mut self, load: &SessionLoad, kills: usize, lags_ms: &[u64]) -> SessionLoadReport {
        let addrs: Vec<_> = self.routers.iter().map(|r| r.addr).collect();
        let group = self.group.clone();
        let routers = &mut self.routers;
        let mut killed = 0;
        run_load(&self.group, &addrs, load, |fraction_done| {
            if killed < kills && fraction_done > killed as f64 / kills as f64 {
                let router = killed % routers.len();
                killed += 1;
                routers[router].kill_and_restart().expect("a killed router did not restart");
            }
            let part = (fraction_done * lags_ms.len() as f64) as usize;
            if let Some(lag_ms) = lags_ms.get(part) {
                group.reconfigure(|behavior| behavior.lag_ms = *lag_ms);
            }
        })
    }
}

/// Returns the site settings (JSON) for a number of routers and a group with this behavior.
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
