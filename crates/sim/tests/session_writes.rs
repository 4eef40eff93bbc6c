//! The simulator's router and the router of the program keep the attempts of a session's writes alike: both
//! are driven through the same scripts, and a later read of the session must get the same kind of member.

use basalthill_config::settings::{read, Deployment};
use basalthill_policy::api::*;
use basalthill_router::protocol::discovery::HostList;
use basalthill_router::protocol::host::{QueryOutcome, ReportedState, Row};
use basalthill_router::protocol::statement::Statement;
use basalthill_router::routing::{
    ClientId, ClientRequest, CommandId, Effect, ExchangeId, ExchangeResult, ExchangeStart, Input,
};
use basalthill_session::{PlatformFloors, Sessions};
use basalthill_sim::router::Router as SimulatorRouter;
use basalthill_standin::discovery::{endpoint_list, Endpoint as ListedEndpoint};
use basalthill_standin::SETTINGS;
use std::collections::BTreeMap;

/// The Unix time at which each router starts.
const START: Time = Time::ms(1_767_225_600_000);
/// The seed of the routers' random number generators.
const SEED: u64 = 7;
/// The group of all members.
const GROUP: u32 = 2;
/// The lag of the replica's log behind the primary's.
const LAG: Time = Time::ms(500);
/// The time between two steps of a script.
const STEP: Time = Time::ms(1);
/// The size of the session table, in bytes.
const TABLE_BYTES: usize = 1 << 20;

/// A step of a script. Each script has any number of writes, which are numbered from 0.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client sends a write of this session.
    Write(u64),
    /// The client of a write leaves.
    Leave(usize),
    /// The attempt of a write that is in flight ends; nothing happens if there is none.
    End(usize, Status),
    /// A client sends a read of this session, which is served.
    Read(u64),
}

/// The member to which a read is sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Primary,
    Replica,
    /// No member may get it, so it waits.
    None,
}

/// A router that plays a script.
trait ScriptedRouter {
    /// Sends a write of a session.
    fn write(&mut self, session: u64);
    /// Lets the client of a write leave.
    fn leave(&mut self, write: usize);
    /// Ends the attempt of a write that is in flight, if there is one.
    fn end(&mut self, write: usize, status: Status);
    /// Sends a read of a session and has it served. Returns the member of its first attempt.
    fn read(&mut self, session: u64) -> Target;
    /// Advances the time.
    fn advance(&mut self, time: Time);
}

/// Plays a script and returns the members of its reads.
fn play(router: &mut dyn ScriptedRouter, script: &[Step]) -> Vec<Target> {
    let mut targets = Vec::new();
    for step in script {
        router.advance(STEP);
        match *step {
            Step::Write(session) => router.write(session),
            Step::Leave(write) => router.leave(write),
            Step::End(write, status) => router.end(write, status),
            Step::Read(session) => targets.push(router.read(session)),
        }
    }
    targets
}

/// Returns the settings of the stand-ins, in which a router remembers the writes that it has served and
/// members don't check the age of their data.
fn deployment() -> Deployment {
    let settings = SETTINGS.replace("brought", "kept").replace("\"await\"", "\"none\"");
    read(settings.as_bytes()).expect("invalid settings")
}

/// Returns the index of a class in [`deployment`].
fn class(name: &str) -> ClassId {
    let index = deployment().classes.iter().position(|class| class == name);
    ClassId(index.expect("unknown class") as u16)
}

/// The simulator's router with a primary, member 0, and a replica, member 1.
struct Simulated {
    router: SimulatorRouter,
    now: Time,
    next_request: u64,
    /// The ids of the writes.
    writes: Vec<RequestId>,
    /// The latest attempt of each request and its member, while it is in flight.
    in_flight: BTreeMap<RequestId, (Attempt, MemberId)>,
    attempts: BTreeMap<RequestId, u16>,
}

impl Simulated {
    fn start() -> Simulated {
        let mut simulated = Simulated {
            router: SimulatorRouter::new(START, SEED, deployment()),
            now: START,
            next_request: 0,
            writes: Vec::new(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        let endpoint = |member, primary| Endpoint {
            member: MemberId(member),
            zone: ZoneId(0),
            group: GroupId(GROUP),
            state: EndpointState::Ready,
            weight: 1.0,
            primary,
            started: None,
            notified_at: START,
        };
        let list = vec![endpoint(0, true), endpoint(1, false)];
        simulated.handle(Event::Endpoints(EndpointUpdate::Cached, list));
        for member in [MemberId(0), MemberId(1)] {
            let report = simulated.replication(member);
            let elapsed = Time::ms(1);
            simulated.handle(Event::ProbeFinished { member, status: Status::Ok, elapsed, report });
        }
        simulated
    }

    /// Returns the state that a member reports now.
    fn replication(&self, member: MemberId) -> ReplicationState {
        let (position, role) = match member {
            MemberId(0) => (self.now, Role::Primary),
            _ => (self.now.minus(LAG), Role::Replica),
        };
        ReplicationState { position: Some(position), role: Some(role) }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.record(&actions);
    }

    fn record(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Send(id, member, _) = action {
                let number = self.attempts.entry(*id).or_default();
                self.in_flight.insert(*id, (Attempt(*number), *member));
                *number += 1;
            }
        }
    }

    fn request(&mut self, class: ClassId, session: u64) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let request = Request {
            id,
            class,
            tenant: TenantId(0),
            deadline: self.now.plus(Time::ms(1000)),
            group: GroupId(GROUP),
            floor: Time(0),
            lead: Time(0),
            client_retry: false,
        };
        let mut actions = Vec::new();
        self.router.handle_request(self.now, request, Some(SessionKey(session + 1)), None, &mut actions);
        self.record(&actions);
        id
    }

    fn finish(&mut self, id: RequestId, status: Status) {
        let Some((attempt, member)) = self.in_flight.remove(&id) else { return };
        let replication = match status {
            Status::Ok => self.replication(member),
            _ => ReplicationState::default(),
        };
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt,
            member,
            status,
            elapsed: Time::ms(1),
            request_completed: status == Status::Ok,
            replication,
            report: ReplicationState::default(),
        }));
    }
}

impl ScriptedRouter for Simulated {
    fn write(&mut self, session: u64) {
        let id = self.request(class("write"), session);
        self.writes.push(id);
    }

    fn leave(&mut self, write: usize) {
        self.handle(Event::ClientGone(self.writes[write]));
    }

    fn end(&mut self, write: usize, status: Status) {
        self.finish(self.writes[write], status);
    }

    fn read(&mut self, session: u64) -> Target {
        let id = self.request(class("own"), session);
        let target = match self.in_flight.get(&id) {
            Some((_, MemberId(0))) => Target::Primary,
            Some(_) => Target::Replica,
            None => Target::None,
        };
        self.finish(id, Status::Ok);
        target
    }

    fn advance(&mut self, time: Time) {
        self.now = self.now.plus(time);
    }
}

/// The program's router with a primary and a replica, without its sockets.
struct Real {
    router: basalthill_router::routing::Router,
    now: Time,
    next_client: u64,
    /// The clients of the writes.
    writes: Vec<u64>,
    /// The exchange of each client's request that is in flight.
    in_flight: BTreeMap<u64, ExchangeStart>,
}

const PRIMARY: &str = "127.0.0.1:7001";
const REPLICA: &str = "127.0.0.1:7002";

impl Real {
    fn start() -> Real {
        let address = |text: &str| text.parse().expect("invalid address");
        let members = [
            ListedEndpoint::new("s-1", address(PRIMARY), GROUP, "active", "source"),
            ListedEndpoint::new("s-2", address(REPLICA), GROUP, "active", "copy"),
        ];
        let list = HostList::parse(endpoint_list(1, true, &members).as_bytes()).expect("invalid list");
        let sessions = Sessions::new(START, PlatformFloors::Remembered, None, TABLE_BYTES, SEED);
        let mut effects = Vec::new();
        let router = basalthill_router::routing::Router::new(
            START,
            deployment(),
            sessions,
            SEED,
            Some(list),
            &mut effects,
        );
        let mut real =
            Real { router, now: START, next_client: 0, writes: Vec::new(), in_flight: BTreeMap::new() };
        for effect in effects {
            let Effect::StartExchange(probe) = effect else { continue };
            let is_primary = probe.addr.to_string() == PRIMARY;
            let position = real.position_ms(is_primary) as f64 / 1000.0;
            let report = format!("x0={position},x1={}", u8::from(is_primary));
            let row = row(report.as_bytes());
            let result = ExchangeResult::Response(QueryOutcome::Row(row), ReportedState::default());
            real.input(Input::ExchangeFinished(probe.id, result));
        }
        real
    }

    /// Returns the position that a member reports now, a Unix time in milliseconds.
    fn position_ms(&self, is_primary: bool) -> u64 {
        let lag = if is_primary { Time(0) } else { LAG };
        self.now.minus(lag).0 / 1_000_000
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.router.handle(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::StartExchange(start) if matches!(start.id, ExchangeId::Attempt(..)) => {
                    let client = start.requester.expect("an attempt without a requester").client.0;
                    self.in_flight.insert(client, start);
                }
                _ => {}
            }
        }
    }

    fn request(&mut self, statement: String) -> u64 {
        let client = self.next_client;
        self.next_client += 1;
        let text = statement.replace("ID", &format!("{client:016x}"));
        let statement = Box::new(Statement::parse(text.into_bytes()).expect("invalid statement"));
        let command = CommandId(0);
        let request = ClientRequest { client: ClientId(client), command, statement, arrived_at: self.now };
        self.input(Input::ClientConnected(ClientId(client)));
        self.input(Input::Request(request));
        client
    }

    fn finish(&mut self, client: u64, status: Status) {
        let Some(start) = self.in_flight.remove(&client) else { return };
        let is_primary = start.addr.to_string() == PRIMARY;
        let result = match status {
            Status::Ok => {
                let position_ms = Some(self.position_ms(is_primary));
                let reported = ReportedState { primary: Some(is_primary), position_ms, load_report: None };
                ExchangeResult::Response(QueryOutcome::Row(row(b"v")), reported)
            }
            Status::Overloaded => ExchangeResult::ConnectionRejected("53300".into()),
            Status::ConnectFailed => ExchangeResult::NotSent,
            Status::Reset => ExchangeResult::ConnectionLost,
            other => panic!("{other:?} is not part of a script"),
        };
        self.input(Input::ExchangeFinished(start.id, result));
    }
}

impl ScriptedRouter for Real {
    fn write(&mut self, session: u64) {
        let comment = format!("/* id=ID,c=write,t=acme,d=1000,cluster={GROUP} */");
        let statement =
            format!(r"INSERT INTO records (k, v) VALUES ('s{session}', '\x9f') RETURNING v {comment}");
        let client = self.request(statement);
        self.writes.push(client);
    }

    fn leave(&mut self, write: usize) {
        self.input(Input::ClientDisconnected(ClientId(self.writes[write])));
    }

    fn end(&mut self, write: usize, status: Status) {
        self.finish(self.writes[write], status);
    }

    fn read(&mut self, session: u64) -> Target {
        let comment = format!("/* id=ID,c=own,t=acme,d=1000,cluster={GROUP} */");
        let client = self.request(format!("SELECT v FROM records WHERE k = 's{session}' {comment}"));
        let target = match self.in_flight.get(&client).map(|start| start.addr.to_string()) {
            Some(addr) if addr == PRIMARY => Target::Primary,
            Some(_) => Target::Replica,
            None => Target::None,
        };
        self.finish(client, Status::Ok);
        target
    }

    fn advance(&mut self, time: Time) {
        self.now = self.now.plus(time);
    }
}

/// Returns a row with this value.
fn row(value: &[u8]) -> Row {
    let end = value.len();
    Row { bytes: value.to_vec(), parts: vec![0..end, end..end, end..end], value: Some(0..end), binary: true }
}

/// Guards against a router that forgets a write whose client has left: its session's next read would go to a
/// replica that doesn't have the write.
#[test]
fn a_write_counts_for_its_session_however_and_whenever_its_attempts_end() {
    use Step::{End, Leave, Read, Write};
    use Target::{Primary, Replica};
    let scripts: [(&[Step], &[Target]); 9] = [
        (&[Read(0)], &[Replica]),
        (&[Write(0), End(0, Status::Ok), Read(0), Read(1)], &[Primary, Replica]),
        (&[Write(0), Leave(0), End(0, Status::Ok), Read(0)], &[Primary]),
        (&[Write(0), Leave(0), Read(0), End(0, Status::Ok), Read(0)], &[Replica, Primary]),
        (&[Write(0), Leave(0), End(0, Status::Reset), Read(0)], &[Replica]),
        (&[Write(0), End(0, Status::Reset), Read(0)], &[Replica]),
        (&[Write(0), Leave(0), End(0, Status::Overloaded), Read(0)], &[Replica]),
        (&[Write(0), Write(0), Leave(0), End(1, Status::Reset), End(0, Status::Ok), Read(0)], &[Primary]),
        (
            &[Write(0), Write(1), Leave(1), Leave(0), End(1, Status::Ok), Read(0), Read(1)],
            &[Replica, Primary],
        ),
    ];
    for (script, expected) in scripts {
        assert_eq!(play(&mut Simulated::start(), script), expected, "the simulator's router: {script:?}");
        assert_eq!(play(&mut Real::start(), script), expected, "the program's router: {script:?}");
    }
}

/// Returns a random script of three sessions.
fn random_script(random: &mut fastrand::Rng) -> Vec<Step> {
    const STATUSES: [Status; 4] = [Status::Ok, Status::Ok, Status::Overloaded, Status::Reset];
    let mut writes = 0;
    let mut script = Vec::new();
    for _ in 0..random.usize(3..12) {
        script.push(match random.u8(0..8) {
            0..=2 if writes > 0 => {
                Step::End(random.usize(0..writes), STATUSES[random.usize(0..STATUSES.len())])
            }
            3..=4 if writes > 0 => Step::Leave(random.usize(0..writes)),
            5 => Step::Read(random.u64(0..3)),
            _ => {
                writes += 1;
                Step::Write(random.u64(0..3))
            }
        });
    }
    script.extend((0..3).map(Step::Read));
    script
}

#[test]
fn both_routers_send_the_reads_of_sessions_to_the_same_members() {
    for seed in 0..500 {
        let script = random_script(&mut fastrand::Rng::with_seed(seed));
        let simulated = play(&mut Simulated::start(), &script);
        let real = play(&mut Real::start(), &script);
        assert_eq!(simulated, real, "seed {seed}: {script:?}");
    }
}
