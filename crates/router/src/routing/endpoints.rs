//! The members of the deployment as service discovery lists them: ids, addresses, groups and drains.
//! [`Router`](super::Router) owns the table, applies each endpoint list to it and passes the resulting
//! entries to the policy.

use super::system_clock::{time_from_unix_ms, SystemClockOffset};
use super::{Effect, Router};
use crate::protocol::discovery::{HostEntry, HostList, HostState};
use basalthill_policy::api::{
    Endpoint, EndpointState, EndpointUpdate, Event, GroupId, MemberId, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The value of the role field that marks a primary.
const PRIMARY_ROLE: &str = "source";

/// The state of one member.
struct MemberRecord {
    /// The member's latest entry in an endpoint list, in the form that is passed to the policy. A complete
    /// list that lacks the member does not change it.
    entry: Endpoint,
    /// Its latest valid address.
    addr: Option<SocketAddr>,
    /// When discovery first announced its drain or removal; `None` if it is in service, or if removals are
    /// ignored and it has only been removed.
    draining_since: Option<Time>,
    /// The Unix time of its latest known start in milliseconds; 0 if it started long ago.
    started_ms: u64,
}

/// An address at which connections are stale, because the process that accepted them has exited or the member
/// has moved to another address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleConnections {
    /// The address.
    pub addr: SocketAddr,
    /// Connections that were last used before this time are stale.
    pub before: Time,
}

/// The changes that an endpoint list has made.
pub struct AppliedList {
    /// Whether the list was complete or contained changes only.
    pub update: EndpointUpdate,
    /// The entries for the policy: first the members that a complete list lacks, then the entries of the list
    /// in its order.
    pub entries: Vec<Endpoint>,
    /// The addresses with stale connections.
    pub stale_connections: Vec<StaleConnections>,
}

/// A member in service.
#[derive(Clone, Copy, Debug)]
pub struct ActiveMember<'a> {
    /// Its name in the endpoint list.
    pub name: &'a str,
    /// Its id.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
}

/// All members that service discovery has listed since this router started.
pub struct EndpointTable {
    /// Ids by the members' names in the endpoint list.
    ids: BTreeMap<String, MemberId>,
    /// The members, indexed by id.
    records: Vec<MemberRecord>,
    /// Whether removal from the list is ignored. If so, a member that has been removed without a drain stays
    /// in service.
    ignore_removal: bool,
    groups: BTreeSet<GroupId>,
    /// The zones' names, indexed by id.
    zones: Vec<String>,
}

impl EndpointTable {
    /// Creates an empty table. `zones` are the zones' names in the order of their ids.
    pub fn new(zones: &[String], ignore_removal: bool) -> EndpointTable {
        EndpointTable {
            ids: BTreeMap::new(),
            records: Vec::new(),
            ignore_removal,
            groups: BTreeSet::new(),
            zones: zones.to_vec(),
        }
    }

    /// Applies an endpoint list, or changes to it, whose content may have been valid since `valid_since`.
    pub fn apply(&mut self, list: HostList, valid_since: Time, clock: SystemClockOffset) -> AppliedList {
        let update = if list.full { EndpointUpdate::Full } else { EndpointUpdate::Delta };
        let mut applied = AppliedList { update, entries: Vec::new(), stale_connections: Vec::new() };
        log_list(&list);
        if list.full && !self.ignore_removal {
            applied.entries = self.remove_unlisted(&list.servers, valid_since);
        }
        for host in list.servers {
            self.apply_host(host, valid_since, clock, &mut applied);
        }
        applied
    }

    /// Marks the members that a complete list lacks as removed, except those that are draining already.
    /// Returns the entries of the marked members.
    fn remove_unlisted(&mut self, hosts: &[HostEntry], valid_since: Time) -> Vec<Endpoint> {
        let listed: BTreeSet<&str> = hosts.iter().map(|host| host.id.as_str()).collect();
        let mut removed = Vec::new();
        for (_, member) in self.ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            let record = &mut self.records[member.0 as usize];
            if record.draining_since.is_none() {
                record.draining_since = Some(valid_since);
                let state = EndpointState::Removed;
                let last = record.entry.clone();
                removed.push(Endpoint { state, primary: false, notified_at: valid_since, ..last });
            }
        }
        removed
    }

    /// Applies one entry of a list.
    fn apply_host(
        &mut self,
        host: HostEntry,
        valid_since: Time,
        clock: SystemClockOffset,
        applied: &mut AppliedList,
    ) {
        let addr = parse_address(&host);
        let member = self.member_id(&host.id);
        let index = member.0 as usize;
        let previous = self.records.get(index);
        let restarted = host.started_ms > previous.map_or(0, |record| record.started_ms);
        // A start time is converted with the clock offset at which it was first reported. If the same start
        // is reported again after the offset has changed, it must not count as a new start.
        let known_start = previous.filter(|_| !restarted).and_then(|record| record.entry.started);
        let entry = Endpoint {
            member,
            zone: self.zone_id(&host.zone),
            group: GroupId(host.group),
            state: endpoint_state(host.state),
            weight: host.weight,
            primary: host.role.as_deref() == Some(PRIMARY_ROLE),
            started: known_start.or_else(|| start_time(host.started_ms, clock)),
            notified_at: valid_since,
        };
        self.groups.insert(entry.group);
        applied.entries.push(entry.clone());
        if index == self.records.len() {
            self.records.push(MemberRecord {
                entry: entry.clone(),
                addr: None,
                draining_since: None,
                started_ms: 0,
            });
        }
        let record = &mut self.records[index];
        record.entry = entry;
        if restarted {
            record.started_ms = host.started_ms;
            record.draining_since = None;
        }
        record.update_drain(host.state, valid_since, self.ignore_removal);
        applied.stale_connections.extend(record.update_address(addr, restarted));
    }

    /// Returns the id of the member with this name. A new name gets a new id.
    fn member_id(&mut self, name: &str) -> MemberId {
        if let Some(member) = self.ids.get(name) {
            return *member;
        }
        let member = MemberId(self.records.len() as u32);
        self.ids.insert(name.to_string(), member);
        member
    }

    /// Returns the id of the zone with this name. A new name gets a new id.
    fn zone_id(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }

    /// Converts all start times again after a step of the system clock, and replaces those that become later.
    /// Returns the entries of the members whose start times have been replaced.
    pub fn move_starts_later(&mut self, clock: SystemClockOffset) -> Vec<Endpoint> {
        let mut moved = Vec::new();
        for record in self.records.iter_mut().filter(|record| record.started_ms > 0) {
            let started = Some(clock.to_router_time(time_from_unix_ms(record.started_ms)));
            if started > record.entry.started {
                record.entry.started = started;
                moved.push(record.entry.clone());
            }
        }
        moved
    }

    /// Returns when discovery first announced the drain or removal of a member; `None` if the member is in
    /// service.
    pub fn draining_since(&self, member: MemberId) -> Option<Time> {
        self.records.get(member.0 as usize)?.draining_since
    }

    /// Returns the address of a member; `None` if no valid address is known.
    pub fn addr(&self, member: MemberId) -> Option<SocketAddr> {
        self.records.get(member.0 as usize)?.addr
    }

    /// Returns the members in service, ordered by name.
    pub fn active_members(&self) -> impl Iterator<Item = ActiveMember<'_>> {
        self.ids.iter().filter_map(|(name, member)| {
            let record = &self.records[member.0 as usize];
            let active = ActiveMember { name, member: *member, group: record.entry.group };
            record.draining_since.is_none().then_some(active)
        })
    }

    /// Returns whether a group is known not to exist: members have been listed, and none of them belongs to
    /// it.
    pub fn is_unknown_group(&self, group: GroupId) -> bool {
        !self.groups.is_empty() && !self.groups.contains(&group)
    }
}

impl MemberRecord {
    /// Applies the state in a list. A drain counts from its first announcement.
    fn update_drain(&mut self, state: HostState, valid_since: Time, ignore_removal: bool) {
        match state {
            HostState::Active => self.draining_since = None,
            HostState::Left if ignore_removal => {}
            HostState::Leaving | HostState::Left => {
                self.draining_since.get_or_insert(valid_since);
            }
        }
    }

    /// Applies an address, if it is valid, and returns which connections to the previous address are stale.
    /// After a restart, the connections that were last used before the start are stale; those used later lead
    /// to the new process. After a move, all connections to the previous address are stale.
    fn update_address(&mut self, addr: Option<SocketAddr>, restarted: bool) -> Option<StaleConnections> {
        let previous = self.addr;
        let moved = addr.is_some() && addr != previous;
        self.addr = addr.or(previous);
        let started = self.entry.started.unwrap_or_default();
        let before = if moved { Time(u64::MAX) } else { started };
        previous.filter(|_| moved || restarted).map(|addr| StaleConnections { addr, before })
    }
}

/// Returns the start time of a member on the router's clock; `None` if the member started long ago.
fn start_time(started_ms: u64, clock: SystemClockOffset) -> Option<Time> {
    let started = clock.to_router_time(time_from_unix_ms(started_ms));
    (started > Time(0)).then_some(started)
}

fn endpoint_state(state: HostState) -> EndpointState {
    match state {
        HostState::Active => EndpointState::Ready,
        HostState::Leaving => EndpointState::Draining,
        HostState::Left => EndpointState::Removed,
    }
}

/// Parses a host's address. An address that can't be parsed is logged, unless the host has been removed.
fn parse_address(host: &HostEntry) -> Option<SocketAddr> {
    let addr = host.addr.parse().ok();
    if addr.is_none() && host.state != HostState::Left {
        tracing::warn!(
            member = %host.id,
            address = ?host.addr,
            "member address can't be parsed; the last valid address stays in use, if any"
        );
    }
    addr
}

fn log_list(list: &HostList) {
    let version = list.version;
    if list.full {
        tracing::info!(version, "complete endpoint list: {} members", list.servers.len());
        return;
    }
    for host in &list.servers {
        tracing::info!(
            version,
            member = %host.id,
            group = host.group,
            state = ?host.state,
            started_ms = host.started_ms,
            "endpoint changed"
        );
    }
}

impl Router {
    /// Applies an endpoint list and passes the resulting entries to the policy.
    pub(super) fn apply_endpoint_list(
        &mut self,
        now: Time,
        list: HostList,
        valid_since: Time,
        out: &mut Vec<Effect>,
    ) {
        let applied = self.endpoints.apply(list, valid_since.min(now), self.system_clock);
        for StaleConnections { addr, before } in applied.stale_connections {
            out.push(Effect::CloseConnectionsIdleSince { addr, before });
        }
        self.events.push_back(Event::Endpoints(applied.update, applied.entries));
        self.update_limited_members(now);
    }
}

#[cfg(test)]
mod tests;
