//! The section `fleet`: the routers that talk to each other, and the limits over all of them.

use super::kdl_reader::KdlReader;
use super::keys;
use crate::{ConfigError, Problem};
use basalthill_fleet::{Bounds, Budget, Limit, Peer, Roster, Subject};
use basalthill_policy::api::Time;
use basalthill_session::token::KeyRing;
use kdl::KdlNode;
use std::net::SocketAddr;

/// The routers that talk to each other, and what they limit together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Where this router listens for the others, if not at the address of its name.
    pub listen: Option<SocketAddr>,
    /// The keys that datagrams are signed with.
    pub keys: KeyRing,
    /// Largest error of any clock's rate, as a fraction.
    pub drift: f64,
    /// The routers, this one among them.
    pub roster: Roster,
    /// The limits over all of them.
    pub limits: Vec<Limit>,
}

/// Default of `drift-percent`.
const DEFAULT_DRIFT_PERCENT: f64 = 1.0;
/// Default of a limit's `alone-percent`.
const DEFAULT_ALONE_PERCENT: f64 = 10.0;
/// A fleet's datagrams do not expire by their age.
const NO_MAX_AGE: Time = Time(0);
/// The key of errors in a limit.
const LIMIT: &str = "fleet.limit";
/// Properties of a limit that say what it counts; it has one of them.
const SUBJECTS: [&str; 5] = ["tenant", "class", "group", "each-member", "budget"];
/// The other properties of a limit.
const BOUNDS: [&str; 4] = ["per-s", "burst", "at-once", "alone-percent"];

/// Reads the section.
pub(super) fn read(reader: &KdlReader, node: &KdlNode) -> Result<FleetSettings, ConfigError> {
    reader.check_entries(node, "fleet", 0, &[])?;
    let mut listen = None;
    let mut drift_percent = DEFAULT_DRIFT_PERCENT;
    let mut peers = Vec::new();
    let mut limits = Vec::new();
    for child in node.iter_children() {
        let key = format!("fleet.{}", child.name().value());
        match child.name().value() {
            "listen" => {
                reader.check_entries(child, &key, 1, &[])?;
                listen = Some(reader.address(child, &key, 0)?);
            }
            "drift-percent" => {
                reader.check_entries(child, &key, 1, &[])?;
                let given = reader.number(child, &key, 0, 0.01..=10.0)?;
                drift_percent = given.unwrap_or(DEFAULT_DRIFT_PERCENT);
            }
            // Read below, all together.
            "key" => {}
            "router" => peers.push(read_peer(reader, child, &key, &peers)?),
            "limit" => limits.push(LimitNode { node: child, limit: read_limit(reader, child)? }),
            _ => return Err(reader.node_error(child, &key, Problem::UnknownKey)),
        }
    }
    let router_count = peers.len() as f64;
    let roster = read_roster(reader, node, peers)?;
    let limits = check_limits(reader, limits, router_count)?;
    let keys = keys::read(reader, node, "fleet", NO_MAX_AGE)?;
    Ok(FleetSettings { listen, keys, drift: drift_percent / 100.0, roster, limits })
}

fn read_peer(reader: &KdlReader, node: &KdlNode, key: &str, peers: &[Peer]) -> Result<Peer, ConfigError> {
    reader.check_entries(node, key, 2, &["zone"])?;
    let name = reader.text(node, key, 0)?;
    let zone = match node.entry("zone") {
        Some(_) => Some(reader.text(node, &format!("{key}.zone"), "zone")?),
        None => None,
    };
    if peers.iter().any(|peer| peer.name == name) {
        let problem = Problem::DuplicateName { name: name.to_string() };
        return Err(reader.node_error(node, key, problem));
    }
    let addr = reader.address(node, key, 1)?;
    Ok(Peer { name: name.into(), addr, zone: zone.map(String::from) })
}

fn read_roster(reader: &KdlReader, node: &KdlNode, peers: Vec<Peer>) -> Result<Roster, ConfigError> {
    let key = "fleet.router";
    let roster = Roster::new(peers).map_err(|_| reader.node_error(node, key, Problem::NameCollision))?;
    match roster.is_empty() {
        true => Err(reader.node_error(node, key, Problem::Missing)),
        false => Ok(roster),
    }
}

/// A limit and where it stands.
struct LimitNode<'n> {
    node: &'n KdlNode,
    limit: Limit,
}

/// The limits, once each is checked against the fleet and the others. Their order has no meaning: they come
/// sorted by name.
fn check_limits(
    reader: &KdlReader,
    given: Vec<LimitNode>,
    router_count: f64,
) -> Result<Vec<Limit>, ConfigError> {
    let mut limits = Vec::<Limit>::new();
    for LimitNode { node, mut limit } in given {
        if let Bounds::Rate { per_s, burst } = &mut limit.bounds {
            if *burst == NO_BURST {
                *burst = per_s.max(router_count);
            }
            if *burst < router_count {
                let problem = Problem::BurstBelowRouters { routers: router_count };
                return Err(reader.node_error(node, "fleet.limit.burst", problem));
            }
        }
        if limits.iter().any(|other| excludes(other, &limit)) {
            return Err(reader.node_error(node, LIMIT, Problem::SubjectHasLimit));
        }
        if limits.iter().any(|other| other.name == limit.name) {
            let problem = Problem::DuplicateName { name: limit.name };
            return Err(reader.node_error(node, LIMIT, problem));
        }
        limits.push(limit);
    }
    limits.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(limits)
}

/// Whether both limits can't stand side by side. Several on one tenant, class or group can: a request has to
/// pass all that count it.
fn excludes(one: &Limit, other: &Limit) -> bool {
    match one.subject {
        Subject::EachMember | Subject::Budget(_) => one.subject == other.subject,
        Subject::Tenant(_) | Subject::Class(_) | Subject::Group(_) => false,
    }
}

/// Stands for a burst that is not given, until the number of routers is known.
const NO_BURST: f64 = 0.0;

fn read_limit(reader: &KdlReader, node: &KdlNode) -> Result<Limit, ConfigError> {
    reader.check_entries(node, LIMIT, 1, &[&SUBJECTS[..], &BOUNDS].concat())?;
    let name = reader.text(node, LIMIT, 0)?.to_string();
    let subject = read_subject(reader, node)?;
    let per_s = reader.number(node, "fleet.limit.per-s", "per-s", 0.001..=1e9)?;
    let burst = reader.number(node, "fleet.limit.burst", "burst", 1.0..=1e9)?;
    let at_once = reader.integer(node, "fleet.limit.at-once", "at-once", 1..=1_000_000)?;
    let alone_percent = reader.number(node, "fleet.limit.alone-percent", "alone-percent", 0.0..=100.0)?;
    let bounds = match (per_s, at_once, burst) {
        (Some(per_s), None, burst) => Bounds::Rate { per_s, burst: burst.unwrap_or(NO_BURST) },
        (None, Some(attempts), None) => Bounds::Concurrent(attempts as u32),
        _ => return Err(reader.node_error(node, LIMIT, Problem::NotOneBound)),
    };
    let counts_members = subject == Subject::EachMember;
    let counts_attempts = matches!(bounds, Bounds::Concurrent(_));
    if counts_members != counts_attempts {
        return Err(reader.node_error(node, LIMIT, Problem::BoundDoesNotFitSubject));
    }
    let reserved_fraction = alone_percent.unwrap_or(DEFAULT_ALONE_PERCENT) / 100.0;
    Ok(Limit { name, subject, bounds, reserved_fraction })
}

fn read_subject(reader: &KdlReader, node: &KdlNode) -> Result<Subject, ConfigError> {
    let given: Vec<&str> = SUBJECTS.into_iter().filter(|name| node.entry(*name).is_some()).collect();
    let [property] = given[..] else {
        return Err(reader.node_error(node, LIMIT, Problem::NotOneSubject));
    };
    let key = format!("{LIMIT}.{property}");
    match property {
        "tenant" => Ok(Subject::Tenant(reader.text(node, &key, property)?.into())),
        "class" => Ok(Subject::Class(reader.text(node, &key, property)?.into())),
        "group" => {
            let group = reader.integer(node, &key, property, 0..=i128::from(u32::MAX))?;
            Ok(Subject::Group(group.unwrap_or_default() as u32))
        }
        "budget" => Ok(Subject::Budget(reader.one_of(node, &key, property, &Budget::ALL)?)),
        _ if reader.flag(node, &key, property)? => Ok(Subject::EachMember),
        _ => Err(reader.node_error(node, &key, Problem::OnlyTrue)),
    }
}
