//! Members by the names that discovery gives them.

use super::outcomes::time_from_unix_ms;
use super::system_clock::SystemClockOffset;
use crate::protocol::discovery::{HostEntry, HostList, HostState};
use basalthill_policy::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the list has told of a member's leaving.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    notified_at: Option<Time>,
    started_ms: u64,
}

/// Ids, addresses and groups of all members that discovery has named.
pub struct EndpointTable {
    ids: BTreeMap<String, MemberId>,
    addrs: Vec<Option<SocketAddr>>,
    /// The last line of each.
    entries: Vec<Endpoint>,
    drains: Vec<Drain>,
    only_draining_binds: bool,
    groups: BTreeSet<GroupId>,
    zones: Vec<String>,
}

impl EndpointTable {
    /// None yet; `zones` are named in the order of their ids.
    pub fn new(zones: &[String], only_draining_binds: bool) -> EndpointTable {
        EndpointTable {
            ids: BTreeMap::new(),
            addrs: Vec::new(),
            entries: Vec::new(),
            drains: Vec::new(),
            only_draining_binds,
            groups: BTreeSet::new(),
            zones: zones.to_vec(),
        }
    }

    /// Takes a list in, in the decisions' terms. What it says may count as told since `valid_since`. Added to
    /// `ended`: the addresses at which a process has ended that was listening there, and when at the latest.
    pub fn apply(
        &mut self,
        valid_since: Time,
        system_clock: SystemClockOffset,
        list: HostList,
        ended: &mut Vec<(SocketAddr, Time)>,
    ) -> (EndpointUpdate, Vec<Endpoint>) {
        let (version, full) = (list.version, list.full);
        let mut entries = Vec::with_capacity(list.servers.len());
        if full {
            log::info!("list {version}: {} members", list.servers.len());
            if !self.only_draining_binds {
                let named: BTreeSet<&str> = list.servers.iter().map(|h| h.id.as_str()).collect();
                for (_, m) in self.ids.iter().filter(|(id, _)| !named.contains(id.as_str())) {
                    let (drain, line) = (&mut self.drains[m.0 as usize], &self.entries[m.0 as usize]);
                    if drain.notified_at.is_none() {
                        drain.notified_at = Some(valid_since);
                        entries.push(Endpoint {
                            state: EndpointState::Removed,
                            primary: false,
                            notified_at: valid_since,
                            ..line.clone()
                        });
                    }
                }
            }
        }
        for host in list.servers {
            if !full {
                let HostEntry { id, cell, state, started_ms, .. } = &host;
                log::info!("list {version}: {id} in group {cell} is {state:?}, started at {started_ms}");
            }
            let next = MemberId(self.addrs.len() as u32);
            let member = *self.ids.entry(host.id).or_insert(next);
            if member == next {
                self.addrs.push(None);
                self.drains.push(Drain::default());
            }
            let drain = &mut self.drains[member.0 as usize];
            let restarted = host.started_ms > drain.started_ms;
            if restarted {
                *drain = Drain { notified_at: None, started_ms: host.started_ms };
            }
            match host.state {
                HostState::Active => drain.notified_at = None,
                HostState::Left if self.only_draining_binds => {}
                HostState::Leaving | HostState::Left => drop(drain.notified_at.get_or_insert(valid_since)),
            }
            let addr = host.addr.parse().ok();
            let before = self.addrs[member.0 as usize];
            // A list may come long after a start: what has been used since then is sound.
            let moved = addr.is_some_and(|a| before != Some(a));
            // By the clock that the start was first told on: told again, it is the same start.
            let before_it = self.entries.get(member.0 as usize).and_then(|line| line.started);
            let started = match before_it.filter(|_| !restarted) {
                Some(started) => Some(started),
                None => Some(system_clock.to_router_time(time_from_unix_ms(host.started_ms)))
                    .filter(|at| *at > Time(0)),
            };
            let at = if moved { Time(u64::MAX) } else { started.unwrap_or_default() };
            ended.extend(before.filter(|_| moved || restarted).map(|b| (b, at)));
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
            let line = Endpoint {
                member,
                zone: ZoneId(zone as u16),
                group,
                state: match host.state {
                    HostState::Active => EndpointState::Ready,
                    HostState::Leaving => EndpointState::Draining,
                    HostState::Left => EndpointState::Removed,
                },
                weight: host.weight,
                primary: host.rank.as_deref() == Some("source"),
                started,
                notified_at: valid_since,
            };
            match self.entries.get_mut(member.0 as usize) {
                Some(last) => *last = line.clone(),
                None => self.entries.push(line.clone()),
            }
            entries.push(line);
        }
        (if full { EndpointUpdate::Full } else { EndpointUpdate::Delta }, entries)
    }

    /// Lines of members whose starts lie later by a clock that has been set than by the one before.
    pub fn move_starts_later(&mut self, system_clock: SystemClockOffset) -> Vec<Endpoint> {
        let mut later = Vec::new();
        for (line, drain) in self.entries.iter_mut().zip(&self.drains) {
            let started = Some(system_clock.to_router_time(time_from_unix_ms(drain.started_ms)));
            if drain.started_ms > 0 && started > line.started {
                line.started = started;
                later.push(line.clone());
            }
        }
        later
    }

    /// When a member's drain was told, if it binds.
    pub fn draining_since(&self, member: MemberId) -> Option<Time> {
        self.drains.get(member.0 as usize)?.notified_at
    }

    /// Where a member listens.
    pub fn addr(&self, member: MemberId) -> Option<SocketAddr> {
        self.addrs.get(member.0 as usize).copied().flatten()
    }

    /// Names, ids and groups of all members that have not left.
    pub fn present(&self) -> impl Iterator<Item = (&str, MemberId, GroupId)> {
        let there = self.ids.iter().filter(|(_, m)| self.draining_since(**m).is_none());
        there.map(|(name, m)| (name.as_str(), *m, self.entries[m.0 as usize].group))
    }

    /// Whether a group is known to be none: members have been named, and none of this group.
    pub fn lacks_group(&self, group: GroupId) -> bool {
        !self.groups.is_empty() && !self.groups.contains(&group)
    }
}

#[cfg(test)]
mod tests;
