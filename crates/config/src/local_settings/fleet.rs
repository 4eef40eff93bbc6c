//! The section `fleet`: the routers that gossip with each other, and the limits that apply to all of them
//! together.

use super::kdl_reader::KdlReader;
use super::keys;
use crate::{ConfigError, Problem};
use basalthill_fleet::{Bounds, Budget, Limit, Peer, Roster, RosterError, Subject};
use basalthill_policy::api::Time;
use basalthill_session::token::KeyRing;
use kdl::KdlNode;
use std::net::SocketAddr;

/// The routers of the fleet, and the limits that they share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The UDP address on which this router listens for its peers; without one, the address that the roster
    /// has for its name.
    pub listen: Option<SocketAddr>,
    /// The keys that datagrams are signed with.
    pub keys: KeyRing,
    /// The largest error of any clock's rate, as a fraction.
    pub drift: f64,
    /// All routers of the fleet, including this one.
    pub roster: Roster,
    /// The limits on all routers together, sorted by name.
    pub limits: Vec<Limit>,
}

/// The default of `drift-percent`.
const DEFAULT_DRIFT_PERCENT: f64 = 1.0;
/// The default of `alone-percent` of a limit.
const DEFAULT_ALONE_PERCENT: f64 = 10.0;
/// The maximum age in the fleet's key ring. It has no effect: only session tokens expire by their age,
/// datagrams don't.
const NO_MAX_AGE: Time = Time(0);
/// The key in errors that concern a limit as a whole.
const LIMIT_KEY: &str = "fleet.limit";
/// The properties that select what a limit counts. Each limit has exactly one of them.
const SUBJECT_PROPERTIES: [&str; 5] = ["tenant", "class", "group", "each-member", "budget"];
/// The properties that say how much a limit allows, and which part of it each router keeps for itself.
const BOUND_PROPERTIES: [&str; 4] = ["per-s", "burst", "at-once", "alone-percent"];

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
                let percent = reader.number(child, &key, 0, 0.01..=10.0)?;
                drift_percent = percent.unwrap_or(DEFAULT_DRIFT_PERCENT);
            }
            // `keys::read` below reads all keys together.
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
    let roster = Roster::new(peers).map_err(|RosterError::DuplicateId { first, second }| {
        reader.node_error(node, key, Problem::NameCollision { first, second })
    })?;
    match roster.is_empty() {
        true => Err(reader.node_error(node, key, Problem::Missing)),
        false => Ok(roster),
    }
}

/// A limit and the node that it was read from, whose line and column are part of errors.
struct LimitNode<'n> {
    node: &'n KdlNode,
    limit: Limit,
}

/// Checks each limit against the number of routers and against the other limits, and sets the default burst.
/// Returns the limits sorted by name, since their order in the file has no meaning.
fn check_limits(
    reader: &KdlReader,
    limit_nodes: Vec<LimitNode>,
    router_count: f64,
) -> Result<Vec<Limit>, ConfigError> {
    let mut limits = Vec::<Limit>::new();
    for LimitNode { node, mut limit } in limit_nodes {
        if let Bounds::Rate { per_s, burst } = &mut limit.bounds {
            if *burst == NO_BURST {
                *burst = per_s.max(router_count);
            }
            if *burst < router_count {
                let problem = Problem::BurstBelowRouters { routers: router_count, value: *burst };
                return Err(reader.node_error(node, "fleet.limit.burst", problem));
            }
        }
        if limits.iter().any(|other| excludes(other, &limit)) {
            return Err(reader.node_error(node, LIMIT_KEY, Problem::SubjectHasLimit));
        }
        if limits.iter().any(|other| other.name == limit.name) {
            let problem = Problem::DuplicateName { name: limit.name };
            return Err(reader.node_error(node, LIMIT_KEY, problem));
        }
        limits.push(limit);
    }
    limits.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(limits)
}

/// Returns whether the limits exclude each other. Only one limit may count each member's attempts, and only
/// one may count a given budget. Several may count the same tenant, class or group: a request has to pass all
/// of them.
fn excludes(one: &Limit, other: &Limit) -> bool {
    match one.subject {
        Subject::EachMember | Subject::Budget(_) => one.subject == other.subject,
        Subject::Tenant(_) | Subject::Class(_) | Subject::Group(_) => false,
    }
}

/// Placeholder for a burst that the file does not give. [`check_limits`] replaces it, since the default
/// depends on the number of routers.
const NO_BURST: f64 = 0.0;

fn read_limit(reader: &KdlReader, node: &KdlNode) -> Result<Limit, ConfigError> {
    reader.check_entries(node, LIMIT_KEY, 1, &[&SUBJECT_PROPERTIES[..], &BOUND_PROPERTIES].concat())?;
    let name = reader.text(node, LIMIT_KEY, 0)?.to_string();
    let subject = read_subject(reader, node)?;
    let per_s = reader.number(node, "fleet.limit.per-s", "per-s", 0.001..=1e9)?;
    let burst = reader.number(node, "fleet.limit.burst", "burst", 1.0..=1e9)?;
    let at_once = reader.integer(node, "fleet.limit.at-once", "at-once", 1..=1_000_000)?;
    let alone_percent = reader.number(node, "fleet.limit.alone-percent", "alone-percent", 0.0..=100.0)?;
    let bounds = match (per_s, at_once, burst) {
        (Some(per_s), None, burst) => Bounds::Rate { per_s, burst: burst.unwrap_or(NO_BURST) },
        (None, Some(attempts), None) => Bounds::Concurrent(attempts as u32),
        _ => return Err(reader.node_error(node, LIMIT_KEY, Problem::NotOneBound)),
    };
    let counts_members = subject == Subject::EachMember;
    let counts_attempts = matches!(bounds, Bounds::Concurrent(_));
    if counts_members != counts_attempts {
        return Err(reader.node_error(node, LIMIT_KEY, Problem::BoundDoesNotFitSubject));
    }
    let reserved_fraction = alone_percent.unwrap_or(DEFAULT_ALONE_PERCENT) / 100.0;
    Ok(Limit { name, subject, bounds, reserved_fraction })
}

fn read_subject(reader: &KdlReader, node: &KdlNode) -> Result<Subject, ConfigError> {
    let found: Vec<&str> =
        SUBJECT_PROPERTIES.into_iter().filter(|name| node.entry(*name).is_some()).collect();
    let [property] = found[..] else {
        return Err(reader.node_error(node, LIMIT_KEY, Problem::NotOneSubject));
    };
    let key = format!("{LIMIT_KEY}.{property}");
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
