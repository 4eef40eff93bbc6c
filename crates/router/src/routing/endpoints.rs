//! The members of the deployment as discovery lists them: ids, addresses, groups and drains.
//! [`Router`](super::Router) owns the table, applies each list to it and hands the resulting entries to the
//! policy.

use super::system_clock::{time_from_unix_ms, SystemClockOffset};
use super::{Effect, Router};
use crate::protocol::discovery::{HostEntry, HostList, HostState};
use basalthill_policy::api::{
    Endpoint, EndpointState, EndpointUpdate, Event, GroupId, MemberId, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The role that discovery gives to primaries.
const PRIMARY_ROLE: &str = "source";

/// What is known of one member.
struct MemberRecord {
    /// Its last entry.
    entry: Endpoint,
    /// Its last usable address.
    addr: Option<SocketAddr>,
    /// When its drain or removal was first notified, if that binds.
    draining_since: Option<Time>,
    /// The Unix time in milliseconds of its last known start; 0 for long ago.
    started_ms: u64,
}

/// A server process that has ended, or that is not reached at its old address any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedProcess {
    /// Where it listened.
    pub addr: SocketAddr,
    /// By when it had ended: connections not used since then lead to it.
    pub before: Time,
}

/// What applying a list has changed.
pub struct AppliedList {
    /// What kind of list it was.
    pub form: EndpointUpdate,
    /// The entries for the policy: first members that a complete list lacks, then those in it, in its order.
    pub entries: Vec<Endpoint>,
    /// The processes that have ended according to it.
    pub ended: Vec<EndedProcess>,
}

/// A member that is in service.
#[derive(Clone, Copy, Debug)]
pub struct PresentMember<'a> {
    /// Its name in discovery.
    pub name: &'a str,
    /// Its id.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
}

/// All members that discovery has listed since the start.
pub struct EndpointTable {
    /// Ids by the names that discovery gives.
    ids: BTreeMap<String, MemberId>,
    /// The members, by id.
    records: Vec<MemberRecord>,
    /// Only an explicit drain limits what a member is sent; removal alone does not.
    only_draining_binds: bool,
    groups: BTreeSet<GroupId>,
    /// The zones' names, in the order of their ids.
    zones: Vec<String>,
}

impl EndpointTable {
    /// An empty table; `zones` are named in the order of their ids.
    pub fn new(zones: &[String], only_draining_binds: bool) -> EndpointTable {
        EndpointTable {
            ids: BTreeMap::new(),
            records: Vec::new(),
            only_draining_binds,
            groups: BTreeSet::new(),
            zones: zones.to_vec(),
        }
    }

    /// Applies a list, or changes to it, whose content may have been true since `valid_since`.
    pub fn apply(&mut self, list: HostList, valid_since: Time, clock: SystemClockOffset) -> AppliedList {
        let form = if list.full { EndpointUpdate::Full } else { EndpointUpdate::Delta };
        let mut applied = AppliedList { form, entries: Vec::new(), ended: Vec::new() };
        log_list(&list);
        if list.full && !self.only_draining_binds {
            applied.entries = self.remove_unlisted(&list.servers, valid_since);
        }
        for host in list.servers {
            self.apply_host(host, valid_since, clock, &mut applied);
        }
        applied
    }

    /// Drains the members that a complete list lacks; their entries.
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

    /// Applies one member's line of a list.
    fn apply_host(
        &mut self,
        host: HostEntry,
        valid_since: Time,
        clock: SystemClockOffset,
        applied: &mut AppliedList,
    ) {
        let addr = usable_address(&host);
        let member = self.member_id(&host.id);
        let index = member.0 as usize;
        let previous = self.records.get(index);
        let restarted = host.started_ms > previous.map_or(0, |record| record.started_ms);
        // A start is converted by the clock offset at which it was first reported: reported again, it is the
        // same start.
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
        record.update_drain(host.state, valid_since, self.only_draining_binds);
        applied.ended.extend(record.update_address(addr, restarted));
    }

    /// The id of a member by its name; a new one if the name is new.
    fn member_id(&mut self, name: &str) -> MemberId {
        if let Some(member) = self.ids.get(name) {
            return *member;
        }
        let member = MemberId(self.records.len() as u32);
        self.ids.insert(name.to_string(), member);
        member
    }

    /// The id of a zone by its name; a new one if the name is new.
    fn zone_id(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }

    /// After a step of the system clock: moves starts that are later by the new offset, and returns the
    /// entries of their members.
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

    /// When a member's drain or removal was first notified, if that binds.
    pub fn draining_since(&self, member: MemberId) -> Option<Time> {
        self.records.get(member.0 as usize)?.draining_since
    }

    /// The address of a member, if a usable one is known.
    pub fn addr(&self, member: MemberId) -> Option<SocketAddr> {
        self.records.get(member.0 as usize)?.addr
    }

    /// The members in service, in the order of their names.
    pub fn present(&self) -> impl Iterator<Item = PresentMember<'_>> {
        self.ids.iter().filter_map(|(name, member)| {
            let record = &self.records[member.0 as usize];
            let present = PresentMember { name, member: *member, group: record.entry.group };
            record.draining_since.is_none().then_some(present)
        })
    }

    /// Whether a group is known not to exist: members have been listed, and none of this group.
    pub fn lacks_group(&self, group: GroupId) -> bool {
        !self.groups.is_empty() && !self.groups.contains(&group)
    }
}

impl MemberRecord {
    /// Takes over the state in a list. A drain counts from its first notification.
    fn update_drain(&mut self, state: HostState, valid_since: Time, only_draining_binds: bool) {
        match state {
            HostState::Active => self.draining_since = None,
            HostState::Left if only_draining_binds => {}
            HostState::Leaving | HostState::Left => {
                self.draining_since.get_or_insert(valid_since);
            }
        }
    }

    /// Takes over an address, if it is usable. Returns the process at the previous address, if it has ended:
    /// at a restart by the time of the start, as connections used since then lead to the new process; at a
    /// move all of its connections are stale.
    fn update_address(&mut self, addr: Option<SocketAddr>, restarted: bool) -> Option<EndedProcess> {
        let previous = self.addr;
        let moved = addr.is_some() && addr != previous;
        self.addr = addr.or(previous);
        let started = self.entry.started.unwrap_or_default();
        let before = if moved { Time(u64::MAX) } else { started };
        previous.filter(|_| moved || restarted).map(|addr| EndedProcess { addr, before })
    }
}

/// The start of a member on the router's clock; none for long ago.
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

/// A member's address. One that can't be parsed is logged, unless the member is gone anyway.
fn usable_address(host: &HostEntry) -> Option<SocketAddr> {
    let addr = host.addr.parse().ok();
    if addr.is_none() && host.state != HostState::Left {
        tracing::warn!(member = %host.id, address = ?host.addr, "the member's address is invalid");
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
    /// Applies a list from discovery and hands it to the policy.
    pub(super) fn apply_endpoint_list(
        &mut self,
        now: Time,
        list: HostList,
        valid_since: Time,
        out: &mut Vec<Effect>,
    ) {
        let applied = self.endpoints.apply(list, valid_since.min(now), self.system_clock);
        for EndedProcess { addr, before } in applied.ended {
            out.push(Effect::CloseConnectionsIdleSince { addr, before });
        }
        self.events.push_back(Event::Endpoints(applied.form, applied.entries));
        self.update_limited_members(now);
    }
}

#[cfg(test)]
mod tests;
