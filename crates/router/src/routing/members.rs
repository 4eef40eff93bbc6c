//! Members by the names that discovery gives them.

use crate::protocol::discovery::{HostEntry, HostList, HostState};
use basalthill_policy::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Ids, addresses and groups of all members that discovery has named.
pub struct Members {
    ids: BTreeMap<String, MemberId>,
    addrs: Vec<Option<SocketAddr>>,
    groups: BTreeSet<GroupId>,
    zones: Vec<String>,
}

impl Members {
    /// None yet; `zones` are named in the order of their ids.
    pub fn new(zones: &[String]) -> Members {
        Members { ids: BTreeMap::new(), addrs: Vec::new(), groups: BTreeSet::new(), zones: zones.to_vec() }
    }

    /// Takes a list in, in the decisions' terms.
    pub fn take(&mut self, list: HostList) -> (ListForm, Vec<Entry>) {
        let (version, full) = (list.version, list.full);
        if full {
            log::info!("list {version}: {} members", list.servers.len());
        }
        let entries = list.servers.into_iter().map(|host| {
            if !full {
                let HostEntry { id, cell, state, started_ms, .. } = &host;
                log::info!("list {version}: {id} in group {cell} is {state:?}, started at {started_ms}");
            }
            let next = MemberId(self.addrs.len() as u32);
            let member = *self.ids.entry(host.id).or_insert(next);
            if member == next {
                self.addrs.push(None);
            }
            let addr = host.addr.parse().ok();
            match (addr, host.state) {
                (Some(addr), _) => self.addrs[member.0 as usize] = Some(addr),
                (None, HostState::Left) => {}
                (None, _) => log::warn!("discovery: address {:?} can't be read", host.addr),
            }
            let group = GroupId(host.cell);
            self.groups.insert(group);
            let zone = self.zones.iter().position(|z| *z == host.zone).unwrap_or_else(|| {
                self.zones.push(host.zone);
                self.zones.len() - 1
            });
            Entry {
                member,
                zone: ZoneId(zone as u16),
                group,
                listed: match host.state {
                    HostState::Active => Listed::Ready,
                    HostState::Leaving => Listed::Draining,
                    HostState::Left => Listed::Gone,
                },
                weight: host.weight,
                primary: host.rank.as_deref() == Some("source"),
                started: (host.started_ms != 0).then_some(Time(host.started_ms.saturating_mul(1_000_000))),
            }
        });
        let entries = entries.collect();
        (if full { ListForm::Full } else { ListForm::Delta }, entries)
    }

    /// Where a member listens.
    pub fn addr(&self, member: MemberId) -> Option<SocketAddr> {
        self.addrs.get(member.0 as usize).copied().flatten()
    }

    /// Whether any member of this group has been named.
    pub fn has_group(&self, group: GroupId) -> bool {
        self.groups.contains(&group)
    }
}
