//! Invariants of the router that hold for any behavior of hosts, clients and service discovery.

use crate::harness::*;
use basalthill_policy::api::RequestId;
use basalthill_router::protocol::host::QueryOutcome;
use basalthill_router::routing::{ClientId, Effect, ExchangeId, ExchangeResult, Input, Reply};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The classes in the settings.
const CLASSES: [&str; 5] = ["view", "own", "status", "report", "write"];

#[test]
fn tables_are_empty_after_thousands_of_requests() {
    let mut harness = RouterHarness::ready();
    for n in 0..3000 {
        let class = CLASSES[n as usize % CLASSES.len()];
        let mut effects = harness.send_request(n, class, "");
        for round in 0..4 {
            let mut next = Vec::new();
            for exchange in started_exchanges(&effects) {
                let is_primary = exchange.goes_to(PRIMARY);
                let error = QueryOutcome::Error("72000".into());
                let result = match (n + round) % 7 {
                    0 => ExchangeResult::NotSent,
                    1 => ExchangeResult::ConnectionLost,
                    2 => ExchangeResult::Response(error, harness.reported(is_primary, 10)),
                    _ => ExchangeResult::Response(
                        QueryOutcome::Row(row(b"x")),
                        harness.reported(is_primary, 1),
                    ),
                };
                next.extend(harness.finish(exchange.id, result));
            }
            next.extend(harness.advance_ms(2));
            effects = next;
        }
    }
    for _ in 0..50 {
        let effects = harness.advance_ms(100);
        for exchange in started_exchanges(&effects) {
            harness.finish(exchange.id, ExchangeResult::NotSent);
        }
    }
    harness.assert_no_open_request();
    assert_eq!(harness.router.unanswered(), 0);
}

/// Generates the result of an exchange, which is `None` if the host never responds.
fn exchange_result() -> impl Strategy<Value = Option<ExchangeResult>> {
    prop_oneof![
        6 => Just(Some(row_response(b"x"))),
        1 => Just(Some(empty_response())),
        1 => Just(Some(error_response("25006"))),
        1 => Just(Some(error_response("72000"))),
        1 => Just(Some(error_response("53300"))),
        1 => Just(Some(error_response("XX000"))),
        1 => Just(Some(ExchangeResult::ConnectionRejected("53300".into()))),
        1 => Just(Some(ExchangeResult::NotSent)),
        1 => Just(Some(ExchangeResult::Skipped)),
        1 => Just(Some(ExchangeResult::ConnectionLost)),
        3 => Just(None),
    ]
}

/// A step of a generated test case.
#[derive(Clone, Debug)]
enum Step {
    /// A new client sends a request of the class with this index in [`CLASSES`].
    Request(usize),
    /// The client with this number, modulo the number of clients so far, disconnects.
    Disconnect(usize),
    /// The time advances by this many milliseconds.
    Advance(u64),
    /// Discovery lists the replica in the state with this index: active (0), leaving (1) or left (2).
    List(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..5).prop_map(Step::Request),
        1 => any::<usize>().prop_map(Step::Disconnect),
        6 => (0u64..80).prop_map(Step::Advance),
        1 => (0usize..3).prop_map(Step::List),
    ]
}

/// A client, which sends one request.
#[derive(Clone, Debug)]
struct Client {
    class: &'static str,
    reply: Option<Reply>,
    disconnected: bool,
}

/// A router, and a model that checks each of its effects.
struct CheckedRouter {
    harness: RouterHarness,
    /// The clients by number. Each sends one valid request, so the router's request ids equal these numbers.
    clients: BTreeMap<u64, Client>,
    /// The requests that may have run at a host.
    may_have_run: BTreeSet<RequestId>,
}

/// Returns whether a query may have run, given the result of its exchange (`None`: no response).
fn may_run(result: Option<&ExchangeResult>) -> bool {
    match result {
        None | Some(ExchangeResult::ConnectionLost) => true,
        Some(ExchangeResult::Response(QueryOutcome::Error(code), _)) => code == "XX000",
        Some(ExchangeResult::Response(..)) => true,
        Some(_) => false,
    }
}

impl CheckedRouter {
    fn new() -> CheckedRouter {
        let harness = RouterHarness::ready();
        CheckedRouter { harness, clients: BTreeMap::new(), may_have_run: BTreeSet::new() }
    }

    /// Executes a step. Returns its effects.
    fn execute(&mut self, step: Step) -> Vec<Effect> {
        match step {
            Step::Request(class) => {
                let class = CLASSES[class];
                let client = self.clients.len() as u64;
                self.clients.insert(client, Client { class, reply: None, disconnected: false });
                self.harness.send_request(client, class, "")
            }
            Step::Disconnect(_) if self.clients.is_empty() => Vec::new(),
            Step::Disconnect(n) => {
                let number = (n % self.clients.len()) as u64;
                if let Some(client) = self.clients.get_mut(&number) {
                    client.disconnected = true;
                }
                self.harness.input(Input::ClientDisconnected(ClientId(number)))
            }
            Step::Advance(ms) => self.harness.advance_ms(ms),
            Step::List(state) => {
                let state = ["active", "leaving", "left"][state];
                self.harness.apply_list(list(2, false, &[member("s-2", REPLICA, state, "copy")]))
            }
        }
    }

    /// Checks effects. Each exchange that they start ends with `result`, or stays open if it is `None`.
    /// Returns the effects of ending the exchanges.
    fn check_effects(
        &mut self,
        effects: Vec<Effect>,
        result: Option<&ExchangeResult>,
    ) -> Result<Vec<Effect>, TestCaseError> {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::Reply { client, reply, .. } => self.check_reply(client.0, reply)?,
                Effect::StartExchange(start) => {
                    if let ExchangeId::Attempt(id, _) = start.id {
                        self.check_attempt(id)?;
                        if may_run(result) {
                            self.may_have_run.insert(id);
                        }
                    }
                    if let Some(result) = result {
                        next.extend(self.harness.finish(start.id, result.clone()));
                    }
                }
                _ => {}
            }
        }
        Ok(next)
    }

    fn check_reply(&mut self, number: u64, reply: Reply) -> Result<(), TestCaseError> {
        let client = &self.clients[&number];
        prop_assert!(!client.disconnected, "a reply after the disconnect");
        let ran = self.may_have_run.contains(&RequestId(number));
        let rejected = matches!(reply, Reply::Rejected { .. });
        let is_write = client.class == "write";
        prop_assert!(!(is_write && ran && rejected), "a write that may have run was rejected");
        let earlier_reply = self.clients.get_mut(&number).and_then(|client| client.reply.replace(reply));
        prop_assert_eq!(earlier_reply, None, "a second reply");
        Ok(())
    }

    fn check_attempt(&self, id: RequestId) -> Result<(), TestCaseError> {
        let client = &self.clients[&id.0];
        prop_assert!(client.reply.is_none(), "an attempt after the reply");
        let repeated = client.class == "write" && self.may_have_run.contains(&id);
        prop_assert!(!repeated, "a write that may have run was sent again");
        Ok(())
    }

    /// Checks that every request has been replied to or abandoned, and that the tables hold no request.
    /// Called once the longest deadline of a request has passed.
    fn check_completed(&self) -> Result<(), TestCaseError> {
        for (number, client) in &self.clients {
            let settled = client.reply.is_some() || client.disconnected;
            prop_assert!(settled, "the {} request of client {} has no reply", client.class, number);
        }
        prop_assert_eq!(self.harness.router.unanswered(), 0);
        prop_assert_eq!(self.harness.router.outstanding().requests, 0);
        Ok(())
    }
}

proptest! {
    /// For any behavior of hosts, clients and discovery: each request whose client stays connected gets one
    /// reply, a request whose client has disconnected gets none, no attempt is started after the reply, no
    /// write that may have run is sent again or rejected, and the tables are empty at the end.
    #[test]
    fn every_request_gets_one_reply_and_writes_are_never_duplicated(
        steps in proptest::collection::vec((step(), exchange_result()), 1..120)
    ) {
        let mut checked = CheckedRouter::new();
        // Beyond the longest deadline of a request.
        let completion = (0..200).map(|_| (Step::Advance(100), None));
        for (step, result) in steps.into_iter().chain(completion) {
            let mut effects = checked.execute(step);
            while !effects.is_empty() {
                effects = checked.check_effects(effects, result.as_ref())?;
            }
        }
        checked.check_completed()?;
    }
}
