//! Members by the names that discovery gives them.

use super::terms::unix_ms;
use super::wall::Wall;
use crate::protocol::discovery::{HostEntry, HostList, HostState};
use basalthill_policy::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the list has told of a member's leaving.
#[derive(Clone, Copy, Debug, Default)]
struct Parting {
    told: Option<Time>,
    started_ms: u64,
}

/// Ids, addresses and groups of all members that discovery has named.
pub struct Members {
    ids: BTreeMap<String, MemberId>,
    addrs: Vec<Option<SocketAddr>>,
    /// The last line of each.
    lines: Vec<Endpoint>,
    parting: Vec<Parting>,
    only_draining_binds: bool,
    groups: BTreeSet<GroupId>,
    zones: Vec<String>,
}

impl Members {
    /// None yet; `zones` are named in the order of their ids.
    pub fn new(zones: &[String], only_draining_binds: bool) -> Members {
        Members {
            ids: BTreeMap::new(),
            addrs: Vec::new(),
            lines: Vec::new(),
            parting: Vec::new(),
            only_draining_binds,
            groups: BTreeSet::new(),
            zones: zones.to_vec(),
        }
    }

    /// Takes a list in, in the decisions' terms. What it says may count as told since `told`. Addresses at
    /// which a process has ended that was listening there are added to `ended`, and when at the latest.
    pub fn take(
        &mut self,
        told: Time,
        wall: Wall,
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
                    let (parting, line) = (&mut self.parting[m.0 as usize], &self.lines[m.0 as usize]);
                    if parting.told.is_none() {
                        parting.told = Some(told);
                        entries.push(Endpoint {
                            state: EndpointState::Removed,
                            primary: false,
                            notified_at: told,
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
                self.parting.push(Parting::default());
            }
            let parting = &mut self.parting[member.0 as usize];
            let restarted = host.started_ms > parting.started_ms;
            if restarted {
                *parting = Parting { told: None, started_ms: host.started_ms };
            }
            match host.state {
                HostState::Active => parting.told = None,
                HostState::Left if self.only_draining_binds => {}
                HostState::Leaving | HostState::Left => drop(parting.told.get_or_insert(told)),
            }
            let addr = host.addr.parse().ok();
            let before = self.addrs[member.0 as usize];
            // A list may come long after a start: what has been used since then is sound.
            let moved = addr.is_some_and(|a| before != Some(a));
            // By the clock that the start was first told on: told again, it is the same start.
            let before_it = self.lines.get(member.0 as usize).and_then(|line| line.started);
            let started = match before_it.filter(|_| !restarted) {
                Some(started) => Some(started),
                None => Some(wall.own(unix_ms(host.started_ms))).filter(|at| *at > Time(0)),
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
                notified_at: told,
            };
            match self.lines.get_mut(member.0 as usize) {
                Some(last) => *last = line.clone(),
                None => self.lines.push(line.clone()),
            }
            entries.push(line);
        }
        (if full { EndpointUpdate::Full } else { EndpointUpdate::Delta }, entries)
    }

    /// Lines of members whose starts lie later by a clock that has been set than by the one before.
    pub fn starts_later(&mut self, wall: Wall) -> Vec<Endpoint> {
        let mut later = Vec::new();
        for (line, parting) in self.lines.iter_mut().zip(&self.parting) {
            let started = Some(wall.own(unix_ms(parting.started_ms)));
            if parting.started_ms > 0 && started > line.started {
                line.started = started;
                later.push(line.clone());
            }
        }
        later
    }

    /// When a member's parting was told, if it binds.
    pub fn parting(&self, member: MemberId) -> Option<Time> {
        self.parting.get(member.0 as usize)?.told
    }

    /// Where a member listens.
    pub fn addr(&self, member: MemberId) -> Option<SocketAddr> {
        self.addrs.get(member.0 as usize).copied().flatten()
    }

    /// Names, ids and groups of all members that have not left.
    pub fn all(&self) -> impl Iterator<Item = (&str, MemberId, GroupId)> {
        let there = self.ids.iter().filter(|(_, m)| self.parting(**m).is_none());
        there.map(|(name, m)| (name.as_str(), *m, self.lines[m.0 as usize].group))
    }

    /// Whether a group is known to be none: members have been named, and none of this group.
    pub fn lacks(&self, group: GroupId) -> bool {
        !self.groups.is_empty() && !self.groups.contains(&group)
    }
}

#[cfg(test)]
mod tests;
