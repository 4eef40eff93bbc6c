//! Our own settings: a KDL file named by `--settings` or `BASALTHILL_SETTINGS`. Without it nothing of what it
//! can switch on is on. `deploy/basalthill.kdl` shows every key with its default.

use crate::ConfigError;
use basalthill_fleet::{Bounds, Budget, Limit, Peer, Roster, Subject};
use basalthill_policy::api::Time;
use basalthill_session::token::{Key, KeyId, KeyRing, MIN_SECRET_LEN};
use basalthill_session::{DefaultFloor, SessionConfig, TokenDelivery};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What the file says; empty without one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// How sessions are kept together.
    pub sessions: Option<SessionSettings>,
    /// A client whose connection the router closes between two requests is told so: what it has sent since
    /// then was not read.
    pub close_notice: bool,
    /// The routers that talk to each other, and what they keep together.
    pub fleet: Option<FleetSettings>,
}

/// The routers that talk to each other, and what they keep together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Where this router listens for the others, if not at the address of its name.
    pub listen: Option<SocketAddr>,
    /// The keys that datagrams are signed with.
    pub keys: KeyRing,
    /// Largest error of any clock's rate, as a share.
    pub drift: f64,
    /// The routers, this one among them.
    pub names: Roster,
    /// The limits over all of them.
    pub limits: Vec<Limit>,
}

/// How sessions are kept together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// What the floors follow.
    pub plan: SessionConfig,
    /// Where the book is kept over a stop in good order.
    pub snapshot: Option<Snapshot>,
}

/// A place on a disk that outlives the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The file.
    pub path: PathBuf,
    /// An older one is refused.
    pub max_age: Time,
}

const SKEW: Time = Time::ms(5);
const SETTLE: Time = Time::ms(3000);
const LEAD: Time = Time::ms(50);
const TOKEN_AGE_S: u64 = 24 * 3600;
const SNAPSHOT_AGE_S: u64 = 300;
const DRIFT_PERCENT: f64 = 1.0;
const ALONE_PERCENT: f64 = 10.0;
/// Longest time that can be given for what a read waits for or a write needs, in milliseconds.
const MOST_MS: i128 = 60_000;
const MOST_S: i128 = 366 * 24 * 3600;

/// Reads the file at `path`.
pub fn load(path: &Path) -> Result<LocalSettings, ConfigError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::unread(path, &e))?;
    parse(&text).map_err(|e| ConfigError::new(format!("{shown}:{}", e.key), e.problem))
}

/// Reads the file's text. A fault's key is `LINE:COLUMN: KEY`.
pub fn parse(text: &str) -> Result<LocalSettings, ConfigError> {
    let document = KdlDocument::parse_v2(text).map_err(|e| {
        let first = e.diagnostics.first();
        let at = first.map_or(0, |d| d.span.offset());
        let problem = first.and_then(|d| d.message.clone().or(d.label.clone()));
        place(text, at, "(file)", problem.unwrap_or_else(|| "is not KDL".into()))
    })?;
    let file = File { text };
    let mut own = LocalSettings::default();
    for node in document.nodes() {
        match node.name().value() {
            "clients" => own.close_notice = file.clients(node)?,
            "fleet" if own.fleet.is_none() => own.fleet = Some(file.fleet(node)?),
            "fleet" => return Err(file.fault(node, "fleet", "is given twice")),
            "sessions" if own.sessions.is_none() => own.sessions = Some(file.sessions(node)?),
            "sessions" => return Err(file.fault(node, "sessions", "is given twice")),
            other => return Err(file.fault(node, other, "is unknown")),
        }
    }
    Ok(own)
}

fn place(text: &str, offset: usize, key: &str, problem: impl Into<String>) -> ConfigError {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    ConfigError::new(format!("{line}:{column}: {key}"), problem)
}

struct File<'a> {
    text: &'a str,
}

impl File<'_> {
    fn fault(&self, node: &KdlNode, key: &str, problem: impl Into<String>) -> ConfigError {
        place(self.text, node.span().offset(), key, problem)
    }

    fn entry_fault(&self, entry: &KdlEntry, key: &str, problem: impl Into<String>) -> ConfigError {
        // A span may begin with the blanks before its entry.
        let (at, len) = (entry.span().offset(), entry.span().len());
        let span = self.text.get(at..at + len).unwrap_or_default();
        place(self.text, at + span.len() - span.trim_start().len(), key, problem)
    }

    /// A node's arguments: so many, and properties of these names only.
    fn shape(
        &self,
        node: &KdlNode,
        key: &str,
        arguments: usize,
        properties: &[&str],
    ) -> Result<(), ConfigError> {
        let mut count = 0;
        for entry in node.entries() {
            match entry.name().map(|n| n.value()) {
                None => count += 1,
                Some(name) if properties.contains(&name) => {}
                Some(name) => return Err(self.entry_fault(entry, &format!("{key}.{name}"), "is unknown")),
            }
        }
        match count == arguments {
            true => Ok(()),
            false => Err(self.fault(node, key, format!("takes {arguments} values, not {count}"))),
        }
    }

    fn word<'n>(
        &self,
        node: &'n KdlNode,
        key: &str,
        name: impl Into<kdl::NodeKey>,
    ) -> Result<&'n str, ConfigError> {
        let Some(entry) = node.entry(name) else { return Err(self.fault(node, key, "is missing")) };
        entry.value().as_string().ok_or_else(|| self.entry_fault(entry, key, "must be text"))
    }

    fn flag(&self, node: &KdlNode, key: &str, name: impl Into<kdl::NodeKey>) -> Result<bool, ConfigError> {
        let Some(entry) = node.entry(name) else { return Ok(false) };
        entry.value().as_bool().ok_or_else(|| self.entry_fault(entry, key, "must be #true or #false"))
    }

    fn number(
        &self,
        node: &KdlNode,
        key: &str,
        name: impl Into<kdl::NodeKey>,
        range: std::ops::RangeInclusive<i128>,
    ) -> Result<Option<u64>, ConfigError> {
        let Some(entry) = node.entry(name) else { return Ok(None) };
        match entry.value() {
            KdlValue::Integer(n) if range.contains(n) => Ok(Some(*n as u64)),
            _ => {
                let problem = format!("must be a whole number from {} to {}", range.start(), range.end());
                Err(self.entry_fault(entry, key, problem))
            }
        }
    }

    fn ms(&self, node: &KdlNode, key: &str) -> Result<Time, ConfigError> {
        self.shape(node, key, 1, &[])?;
        Ok(Time::ms(self.number(node, key, 0, 0..=MOST_MS)?.unwrap_or_default()))
    }

    fn clients(&self, node: &KdlNode) -> Result<bool, ConfigError> {
        self.shape(node, "clients", 0, &[])?;
        let mut farewell = false;
        for child in node.iter_children() {
            let key = format!("clients.{}", child.name().value());
            match child.name().value() {
                "farewell" => {
                    self.shape(child, &key, 1, &[])?;
                    farewell = self.flag(child, &key, 0)?;
                }
                _ => return Err(self.fault(child, &key, "is unknown")),
            }
        }
        Ok(farewell)
    }

    fn sessions(&self, node: &KdlNode) -> Result<SessionSettings, ConfigError> {
        self.shape(node, "sessions", 0, &["floor"])?;
        let key = "sessions.floor";
        let default_floor = match self.word(node, key, "floor")? {
            "platform" => DefaultFloor::Platform,
            "nothing" => DefaultFloor::RememberedOnly,
            "router" => DefaultFloor::RouterStart,
            "connection" => DefaultFloor::ConnectionAccept,
            "arrival" => DefaultFloor::ReadArrival,
            other => {
                let problem = format!("{other:?} is none of platform, nothing, router, connection, arrival");
                return Err(self.fault(node, key, problem));
            }
        };
        let (token_delivery, early_tokens, keys) = (TokenDelivery::Never, false, None);
        let mut plan = SessionConfig {
            default_floor,
            skew: SKEW,
            settle_time: SETTLE,
            lead: LEAD,
            token_delivery,
            early_tokens,
            keys,
        };
        let (mut snapshot, mut seen) = (None, Vec::new());
        for child in node.iter_children() {
            let name = child.name().value();
            let key = format!("sessions.{name}");
            if seen.contains(&name) {
                return Err(self.fault(child, &key, "is given twice"));
            }
            seen.push(name);
            match name {
                "skew-ms" => plan.skew = self.ms(child, &key)?,
                "settle-ms" => plan.settle_time = self.ms(child, &key)?,
                "lead-ms" => plan.lead = self.ms(child, &key)?,
                "tokens" => self.tokens(child, &mut plan)?,
                "snapshot" => {
                    self.shape(child, &key, 1, &["max-age-s"])?;
                    let path = PathBuf::from(self.word(child, &key, 0)?);
                    let age = self.number(child, &format!("{key}.max-age-s"), "max-age-s", 1..=MOST_S)?;
                    let max_age = Time::ms(age.unwrap_or(SNAPSHOT_AGE_S) * 1000);
                    snapshot = Some(Snapshot { path, max_age });
                }
                _ => return Err(self.fault(child, &key, "is unknown")),
            }
        }
        Ok(SessionSettings { plan, snapshot })
    }

    fn tokens(&self, node: &KdlNode, plan: &mut SessionConfig) -> Result<(), ConfigError> {
        self.shape(node, "sessions.tokens", 0, &["with", "early", "max-age-s"])?;
        plan.token_delivery = match self.word(node, "sessions.tokens.with", "with")? {
            "writes" => TokenDelivery::WritesOnly,
            "reads" => TokenDelivery::WritesAndReads,
            "nothing" => TokenDelivery::Never,
            other => {
                let problem = format!("{other:?} is none of writes, reads, nothing");
                return Err(self.fault(node, "sessions.tokens.with", problem));
            }
        };
        plan.early_tokens = self.flag(node, "sessions.tokens.early", "early")?;
        let age = self.number(node, "sessions.tokens.max-age-s", "max-age-s", 1..=MOST_S)?;
        let max_age = Time::ms(age.unwrap_or(TOKEN_AGE_S) * 1000);
        if let Some(child) = node.iter_children().find(|c| c.name().value() != "key") {
            let key = format!("sessions.tokens.{}", child.name().value());
            return Err(self.fault(child, &key, "is unknown"));
        }
        plan.keys = Some(self.keys(node, "sessions.tokens", max_age)?);
        Ok(())
    }

    /// The keys among a node's children: one signs, all verify.
    fn keys(&self, node: &KdlNode, of: &str, max_age: Time) -> Result<KeyRing, ConfigError> {
        let name = format!("{of}.key");
        let (mut signing, mut verifying) = (None, Vec::<Key>::new());
        for child in node.iter_children().filter(|c| c.name().value() == "key") {
            self.shape(child, &name, 2, &["signs"])?;
            let number = self.number(child, &name, 0, 0..=255)?.unwrap_or_default();
            let short = || {
                let problem = format!("the secret must be {MIN_SECRET_LEN} bytes or more, in hexadecimal");
                self.fault(child, &name, problem)
            };
            let secret = hex(self.word(child, &name, 1)?).ok_or_else(short)?;
            let key = Key::new(KeyId(number as u8), secret).ok_or_else(short)?;
            if signing.iter().chain(&verifying).any(|k: &Key| k.id == key.id) {
                return Err(self.fault(child, &name, format!("number {number} is given twice")));
            }
            match (self.flag(child, &format!("{name}.signs"), "signs")?, &signing) {
                (true, None) => signing = Some(key),
                (true, Some(_)) => return Err(self.fault(child, &name, "only one key signs")),
                (false, _) => verifying.push(key),
            }
        }
        let none = || self.fault(node, of, "no key signs");
        Ok(KeyRing { signing: signing.ok_or_else(none)?, verifying, max_age })
    }

    fn fleet(&self, node: &KdlNode) -> Result<FleetSettings, ConfigError> {
        self.shape(node, "fleet", 0, &[])?;
        let (mut listen, mut drift, mut peers, mut limits) = (None, DRIFT_PERCENT, Vec::new(), Vec::new());
        for child in node.iter_children() {
            let key = format!("fleet.{}", child.name().value());
            match child.name().value() {
                "listen" => {
                    self.shape(child, &key, 1, &[])?;
                    listen = Some(self.address(child, &key, 0)?);
                }
                "drift-percent" => {
                    self.shape(child, &key, 1, &[])?;
                    drift = self.figure(child, &key, 0, 0.01..=10.0)?.unwrap_or(DRIFT_PERCENT);
                }
                "key" => {}
                "router" => peers.push(self.peer(child, &key, &peers)?),
                "limit" => limits.push((child, self.limit(child)?)),
                _ => return Err(self.fault(child, &key, "is unknown")),
            }
        }
        let routers = peers.len() as f64;
        let same = || self.fault(node, "fleet.router", "two names are the same in short; change one");
        let names = Roster::new(peers).map_err(|_| same())?;
        if names.is_empty() {
            return Err(self.fault(node, "fleet.router", "is missing"));
        }
        let mut all = Vec::<Limit>::new();
        for (child, mut limit) in limits {
            if let Bounds::Rate { per_s, burst } = &mut limit.bounds {
                *burst = if *burst == 0.0 { per_s.max(routers) } else { *burst };
                if *burst < routers {
                    let problem = format!("must be {routers} at least: each router's part holds one request");
                    return Err(self.fault(child, "fleet.limit.burst", problem));
                }
            }
            let counts = |l: &Limit| match l.subject {
                // Others of one kind may stand side by side: a request has to pass all that count it.
                Subject::EachMember | Subject::Budget(_) => l.subject == limit.subject,
                _ => false,
            };
            if all.iter().any(counts) {
                return Err(self.fault(child, "fleet.limit", "what it counts has a limit already"));
            }
            if all.iter().any(|l| l.name == limit.name) {
                return Err(self.fault(child, "fleet.limit", format!("{:?} is given twice", limit.name)));
            }
            all.push(limit);
        }
        // Their order says nothing.
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let keys = self.keys(node, "fleet", Time(0))?;
        Ok(FleetSettings { listen, keys, drift: drift / 100.0, names, limits: all })
    }

    fn peer(&self, node: &KdlNode, key: &str, before: &[Peer]) -> Result<Peer, ConfigError> {
        self.shape(node, key, 2, &["zone"])?;
        let zone = node.entry("zone").map(|_| self.word(node, &format!("{key}.zone"), "zone"));
        let (name, zone) = (self.word(node, key, 0)?, zone.transpose()?);
        if before.iter().any(|p| p.name == name) {
            return Err(self.fault(node, key, format!("{name:?} is given twice")));
        }
        let addr = self.address(node, key, 1)?;
        Ok(Peer { name: name.into(), addr, zone: zone.map(String::from) })
    }

    fn limit(&self, node: &KdlNode) -> Result<Limit, ConfigError> {
        const SUBJECTS: [&str; 5] = ["tenant", "class", "group", "each-member", "budget"];
        let of = "fleet.limit";
        let known = [&SUBJECTS[..], &["per-s", "burst", "at-once", "alone-percent"]].concat();
        self.shape(node, of, 1, &known)?;
        let name = self.word(node, of, 0)?.to_string();
        let given: Vec<&str> = SUBJECTS.into_iter().filter(|s| node.entry(*s).is_some()).collect();
        let [subject] = given[..] else {
            return Err(self.fault(node, of, "takes one of tenant, class, group, each-member, budget"));
        };
        let key = format!("{of}.{subject}");
        let subject = match subject {
            "tenant" => Subject::Tenant(self.word(node, &key, "tenant")?.into()),
            "class" => Subject::Class(self.word(node, &key, "class")?.into()),
            "group" => {
                let group = self.number(node, &key, "group", 0..=i128::from(u32::MAX))?;
                Subject::Group(group.unwrap_or_default() as u32)
            }
            "budget" => {
                let word = self.word(node, &key, "budget")?;
                let known = Budget::ALL.into_iter().find(|(name, _)| *name == word);
                let names = Budget::ALL.map(|(name, _)| name).join(", ");
                let none = || self.fault(node, &key, format!("{word:?} is none of {names}"));
                Subject::Budget(known.ok_or_else(none)?.1)
            }
            _ if self.flag(node, &key, "each-member")? => Subject::EachMember,
            _ => return Err(self.fault(node, &key, "is #true or not there")),
        };
        let per_s = self.figure(node, &format!("{of}.per-s"), "per-s", 0.001..=1e9)?;
        let burst = self.figure(node, &format!("{of}.burst"), "burst", 1.0..=1e9)?;
        let at_once = self.number(node, &format!("{of}.at-once"), "at-once", 1..=1_000_000)?;
        let alone = self.figure(node, &format!("{of}.alone-percent"), "alone-percent", 0.0..=100.0)?;
        let bounds = match (per_s, at_once, burst) {
            (Some(per_s), None, burst) => Bounds::Rate { per_s, burst: burst.unwrap_or(0.0) },
            (None, Some(most), None) => Bounds::Concurrent(most as u32),
            _ => return Err(self.fault(node, of, "takes per-s, with burst or not, or at-once")),
        };
        let each = subject == Subject::EachMember;
        if each != matches!(bounds, Bounds::Concurrent(_)) {
            return Err(self.fault(node, of, "each-member and at-once go together"));
        }
        Ok(Limit { name, subject, bounds, reserved_fraction: alone.unwrap_or(ALONE_PERCENT) / 100.0 })
    }

    fn address(
        &self,
        node: &KdlNode,
        key: &str,
        name: impl Into<kdl::NodeKey>,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.word(node, key, name)?;
        text.parse().map_err(|_| self.fault(node, key, format!("{text:?} is not an address with a port")))
    }

    fn figure(
        &self,
        node: &KdlNode,
        key: &str,
        name: impl Into<kdl::NodeKey>,
        range: std::ops::RangeInclusive<f64>,
    ) -> Result<Option<f64>, ConfigError> {
        let Some(entry) = node.entry(name) else { return Ok(None) };
        let figure = match entry.value() {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(n) => Some(*n),
            _ => None,
        };
        match figure.filter(|f| range.contains(f)) {
            Some(figure) => Ok(Some(figure)),
            None => {
                let problem = format!("must be a number from {} to {}", range.start(), range.end());
                Err(self.entry_fault(entry, key, problem))
            }
        }
    }
}

fn hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok().filter(|t| t.len() == 2 && !t.starts_with('+'))?;
        u8::from_str_radix(text, 16).ok()
    };
    pairs.map(byte).collect()
}
