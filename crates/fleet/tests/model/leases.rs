//! Model of the lease on one owner's quotas: no two routers hold it at a time.

use crate::{advance, assert_properties, timing, SPAN};
use basalthill_fleet::lease::{LeaseClaim, NodeIncarnation, VoteRequest, Voter};
use basalthill_fleet::NodeId;
use basalthill_policy::api::Time;
use stateright::{Checker, Model, Property};

const ONE_LEASE_AT_A_TIME: &str = "no two routers hold the lease at a time";
/// The number of routers. All of them vote; the first [`CANDIDATES`] also claim the lease.
const ROUTERS: usize = 3;
const CANDIDATES: usize = 2;
/// The router that votes but does not claim the lease. Only this router crashes.
const VOTER_ONLY: usize = 2;
/// The router whose quotas are claimed.
const OWNER: NodeId = NodeId(1);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    VoteRequest { candidate: usize, number: u32 },
    VoteGranted { candidate: usize, voter: usize, number: u32 },
    LeaseReleased { candidate: usize, number: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    to: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseState {
    clock_steps: u32,
    clocks: [Time; ROUTERS],
    voters: [Voter; ROUTERS],
    claims: [LeaseClaim; CANDIDATES],
    /// The number of rounds of requests that each candidate has begun.
    requests: [u32; CANDIDATES],
    crashes: u32,
    network: Vec<Datagram>,
}

#[derive(Clone, Debug, PartialEq)]
enum LeaseAction {
    AdvanceClocks([usize; ROUTERS]),
    Claim(usize),
    Release(usize),
    Deliver { index: usize, duplicate: bool },
    Lose { index: usize },
    Crash(usize),
}

struct LeaseModel {
    max_clock_steps: u32,
    max_requests: u32,
    max_crashes: u32,
    network_capacity: usize,
    /// Whether leases may be released.
    releases: bool,
    /// A fault that is built into the model and that the checker has to find.
    fault: Fault,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A voter that restarts grants votes without a quarantine.
    NoQuarantine,
    /// A release withdraws the vote even if the vote was granted for a later request.
    LateRelease,
}

fn node(router: usize) -> NodeId {
    NodeId(router as u64 + 1)
}

fn incarnation(candidate: usize) -> NodeIncarnation {
    NodeIncarnation { node: node(candidate), incarnation: 1 }
}

fn vote_request(candidate: usize, number: u32) -> VoteRequest {
    VoteRequest { candidate: incarnation(candidate), number, span: SPAN }
}

fn new_claim() -> LeaseClaim {
    LeaseClaim::new((0..ROUTERS).map(node).collect())
}

impl LeaseState {
    fn has_lease(&self, candidate: usize) -> bool {
        self.claims[candidate].expires_at() > self.clocks[candidate]
    }

    fn send_to_others(&mut self, from: usize, message: &Message) {
        for to in (0..ROUTERS).filter(|to| *to != from) {
            self.network.push(Datagram { to, message: message.clone() });
        }
    }

    fn request_vote(&mut self, voter: usize, candidate: usize, number: u32) -> bool {
        let request = vote_request(candidate, number);
        self.voters[voter].request_vote(self.clocks[voter], &timing(), OWNER, request).is_ok()
    }
}

impl LeaseModel {
    fn restarted_voter(&self, now: Time) -> Voter {
        match self.fault {
            Fault::NoQuarantine => Voter::default(),
            _ => Voter::new(now, timing().lender_span(SPAN)),
        }
    }

    fn advance_clocks(state: &mut LeaseState, rates: [usize; ROUTERS]) {
        state.clock_steps += 1;
        for (router, rate) in rates.into_iter().enumerate() {
            state.clocks[router] = advance(state.clocks[router], rate);
            state.voters[router].expire(state.clocks[router]);
        }
    }

    fn claim(state: &mut LeaseState, candidate: usize) {
        state.requests[candidate] += 1;
        let number = state.requests[candidate];
        state.claims[candidate].begin_round(state.clocks[candidate], number, SPAN);
        if state.request_vote(candidate, candidate, number) {
            state.claims[candidate].record_vote(node(candidate), number);
        }
        state.send_to_others(candidate, &Message::VoteRequest { candidate, number });
    }

    fn release(&self, state: &mut LeaseState, candidate: usize) {
        let number = state.claims[candidate].number();
        state.claims[candidate] = new_claim();
        state.voters[candidate].release(OWNER, incarnation(candidate), number);
        let number = if self.fault == Fault::LateRelease { u32::MAX } else { number };
        state.send_to_others(candidate, &Message::LeaseReleased { candidate, number });
    }

    fn deliver(state: &mut LeaseState, Datagram { to, message }: Datagram) {
        match message {
            Message::VoteRequest { candidate, number } => {
                if state.request_vote(to, candidate, number) {
                    let message = Message::VoteGranted { candidate, voter: to, number };
                    state.network.push(Datagram { to: candidate, message });
                }
            }
            Message::LeaseReleased { candidate, number } => {
                state.voters[to].release(OWNER, incarnation(candidate), number);
            }
            Message::VoteGranted { candidate, voter, number } => {
                state.claims[candidate].record_vote(node(voter), number);
            }
        }
    }
}

impl Model for LeaseModel {
    type State = LeaseState;
    type Action = LeaseAction;

    fn init_states(&self) -> Vec<LeaseState> {
        vec![LeaseState {
            clock_steps: 0,
            clocks: [Time::ms(1000); ROUTERS],
            // The voters have been running for some time, so none of them is quarantined.
            voters: [(); ROUTERS].map(|()| Voter::default()),
            claims: [(); CANDIDATES].map(|()| new_claim()),
            requests: [0; CANDIDATES],
            crashes: 0,
            network: Vec::new(),
        }]
    }

    fn actions(&self, state: &LeaseState, actions: &mut Vec<LeaseAction>) {
        if state.clock_steps < self.max_clock_steps {
            actions.extend([[0, 1, 1], [1, 0, 1], [1, 1, 0], [0, 0, 1]].map(LeaseAction::AdvanceClocks));
        }
        let can_send_to_others = state.network.len() + ROUTERS - 1 <= self.network_capacity;
        for candidate in 0..CANDIDATES {
            if state.requests[candidate] < self.max_requests && can_send_to_others {
                actions.push(LeaseAction::Claim(candidate));
            }
        }
        for candidate in (0..CANDIDATES).filter(|_| self.releases) {
            if state.has_lease(candidate) && can_send_to_others {
                actions.push(LeaseAction::Release(candidate));
            }
        }
        for index in 0..state.network.len() {
            actions.push(LeaseAction::Deliver { index, duplicate: false });
            if state.network.len() < self.network_capacity {
                actions.push(LeaseAction::Deliver { index, duplicate: true });
            }
            actions.push(LeaseAction::Lose { index });
        }
        if state.crashes < self.max_crashes {
            actions.push(LeaseAction::Crash(VOTER_ONLY));
        }
    }

    fn next_state(&self, last: &LeaseState, action: LeaseAction) -> Option<LeaseState> {
        let mut state = last.clone();
        match action {
            LeaseAction::AdvanceClocks(rates) => Self::advance_clocks(&mut state, rates),
            LeaseAction::Claim(candidate) => Self::claim(&mut state, candidate),
            LeaseAction::Release(candidate) => self.release(&mut state, candidate),
            LeaseAction::Deliver { index, duplicate } => {
                let datagram = state.network.remove(index);
                if duplicate {
                    state.network.push(datagram.clone());
                }
                Self::deliver(&mut state, datagram);
            }
            LeaseAction::Lose { index } => {
                state.network.remove(index);
            }
            LeaseAction::Crash(router) => {
                state.crashes += 1;
                state.voters[router] = self.restarted_voter(state.clocks[router]);
            }
        }
        state.network.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_LEASE_AT_A_TIME, |_: &LeaseModel, state: &LeaseState| {
                !(state.has_lease(0) && state.has_lease(1))
            }),
            Property::sometimes("the second candidate takes over", |_: &LeaseModel, state: &LeaseState| {
                state.has_lease(1) && state.requests[0] > 0
            }),
        ]
    }
}

fn check_leases(max_clock_steps: u32, max_requests: u32, max_crashes: u32, releases: bool) {
    let model = LeaseModel {
        max_clock_steps,
        max_requests,
        max_crashes,
        network_capacity: 2,
        releases,
        fault: Fault::None,
    };
    assert_properties("leases", model);
}

#[test]
fn no_two_routers_hold_the_lease_at_a_time() {
    check_leases(4, 1, 0, false);
}

#[test]
fn no_two_routers_hold_the_lease_at_a_time_with_releases_and_renewed_claims() {
    check_leases(1, 2, 0, true);
}

#[test]
#[ignore = "takes half a minute and some GiB; run it when crates/fleet/src/lease.rs changes"]
fn no_two_routers_hold_the_lease_at_a_time_when_a_voter_crashes() {
    check_leases(4, 1, 1, false);
}

fn finds_violation(fault: Fault, releases: bool) -> bool {
    let model = LeaseModel {
        max_clock_steps: if releases { 1 } else { 3 },
        max_requests: if releases { 2 } else { 1 },
        max_crashes: 1,
        network_capacity: 4,
        releases,
        fault,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    checker.discovery(ONE_LEASE_AT_A_TIME).is_some()
}

#[test]
fn the_checker_finds_a_voter_that_restarts_without_quarantine() {
    assert!(finds_violation(Fault::NoQuarantine, false), "the checker found no violation");
}

#[test]
fn the_checker_finds_a_release_that_withdraws_a_newer_vote() {
    assert!(finds_violation(Fault::LateRelease, true), "the checker found no violation");
}
