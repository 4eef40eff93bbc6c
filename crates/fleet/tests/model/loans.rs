//! Model of loans between a lender and a borrower: the units that the two use together never exceed the
//! total.

use crate::{advance, assert_properties, timing, SPAN};
use basalthill_fleet::ledger::Ledger;
use basalthill_fleet::loan::{Borrowing, Lending, LoanRequest, RequestReceipt};
use basalthill_policy::api::Time;
use stateright::{Checker, Model, Property};

const USE_WITHIN_TOTAL: &str = "units in use never exceed the total";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Datagram {
    Request { incarnation: u8, number: u32, retained: u64 },
    Grant { incarnation: u8, number: u32, units: u64 },
}

/// The state of a lender, which uses the units that it has not lent, and of a borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LoanState {
    clock_steps: u32,
    lender: Lender,
    borrower: Borrower,
    /// The number of requests sent, over all incarnations of the borrower.
    requests: u32,
    network: Vec<Datagram>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lender {
    now: Time,
    ledger: Ledger,
    lending: Lending,
    /// The latest incarnation of the borrower that the lender knows.
    known_incarnation: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Borrower {
    now: Time,
    incarnation: u8,
    ledger: Ledger,
    borrowing: Borrowing,
}

#[derive(Clone, Debug, PartialEq)]
enum LoanAction {
    AdvanceClocks { lender_rate: usize, borrower_rate: usize },
    Request { max_retained: u64 },
    Deliver { index: usize, granted: u64, duplicate: bool },
    Lose { index: usize },
    CrashBorrower,
}

struct LoanModel {
    units: u64,
    max_clock_steps: u32,
    max_requests: u32,
    max_crashes: u8,
    network_capacity: usize,
    /// Whether the lender does not lengthen spans by the drift, a fault that the checker has to find.
    ignores_drift: bool,
}

impl LoanState {
    fn units_in_use(&self) -> u64 {
        let lender = &self.lender;
        let own = lender.ledger.minimum(lender.now, lender.now.plus(Time(1))).max(0) as u64;
        own + self.borrower.borrowing.units_at(self.borrower.now)
    }
}

impl LoanModel {
    fn advance_clocks(state: &mut LoanState, lender_rate: usize, borrower_rate: usize) {
        state.clock_steps += 1;
        let lender = &mut state.lender;
        lender.now = advance(lender.now, lender_rate);
        lender.lending.expire(lender.now, &mut lender.ledger);
        lender.ledger.discard_expired(lender.now);
        let borrower = &mut state.borrower;
        borrower.now = advance(borrower.now, borrower_rate);
        borrower.borrowing.expire(borrower.now, &mut borrower.ledger);
        borrower.ledger.discard_expired(borrower.now);
    }

    /// Returns the units that the lender grants in response to a request, or `None` if the lender can't grant
    /// `granted` units.
    fn respond(&self, lender: &mut Lender, request: LoanRequest, granted: u64) -> Option<u64> {
        match lender.lending.receive_request(lender.now, request, &mut lender.ledger) {
            RequestReceipt::New => {
                let span = if self.ignores_drift { SPAN } else { timing().lender_span(SPAN) };
                let until = lender.now.plus(span);
                if granted > lender.lending.available(lender.now, until, &lender.ledger) {
                    return None;
                }
                lender.lending.grant(granted, until, &mut lender.ledger);
                Some(granted)
            }
            RequestReceipt::Duplicate(units) if granted == 0 => Some(units),
            _ => None,
        }
    }

    /// Delivers a datagram. Returns `None` if the lender can't grant `granted` units.
    fn deliver(&self, state: &mut LoanState, datagram: Datagram, granted: u64) -> Option<()> {
        match datagram {
            Datagram::Request { incarnation, number, retained } => {
                let lender = &mut state.lender;
                if incarnation < lender.known_incarnation {
                    return Some(());
                }
                if incarnation > lender.known_incarnation {
                    // `QuotaAccount::forget_peer` does the same when a peer has restarted.
                    lender.known_incarnation = incarnation;
                    lender.lending = Lending::default();
                }
                let units = self.respond(lender, LoanRequest { number, retained }, granted)?;
                state.network.push(Datagram::Grant { incarnation, number, units });
            }
            Datagram::Grant { incarnation, number, units } => {
                let borrower = &mut state.borrower;
                if incarnation == borrower.incarnation {
                    borrower.borrowing.receive_grant(number, units, SPAN, &mut borrower.ledger);
                }
            }
        }
        Some(())
    }
}

impl Model for LoanModel {
    type State = LoanState;
    type Action = LoanAction;

    fn init_states(&self) -> Vec<LoanState> {
        let mut ledger = Ledger::default();
        ledger.credit(self.units, Time::ms(1_000_000));
        let start = Time::ms(100);
        let lender = Lender { now: start, ledger, lending: Lending::default(), known_incarnation: 0 };
        let borrower = Borrower {
            now: start,
            incarnation: 0,
            ledger: Ledger::default(),
            borrowing: Borrowing::default(),
        };
        vec![LoanState { clock_steps: 0, lender, borrower, requests: 0, network: Vec::new() }]
    }

    fn actions(&self, state: &LoanState, actions: &mut Vec<LoanAction>) {
        if state.clock_steps < self.max_clock_steps {
            for [lender_rate, borrower_rate] in [[0, 0], [0, 1], [1, 0], [1, 1]] {
                actions.push(LoanAction::AdvanceClocks { lender_rate, borrower_rate });
            }
        }
        let has_capacity = state.network.len() < self.network_capacity;
        if state.requests < self.max_requests && has_capacity {
            let borrowed = state.borrower.borrowing.units_at(state.borrower.now);
            actions.extend((0..=borrowed).map(|max_retained| LoanAction::Request { max_retained }));
        }
        if state.requests > 0 && state.borrower.incarnation < self.max_crashes {
            actions.push(LoanAction::CrashBorrower);
        }
        for (index, datagram) in state.network.iter().enumerate() {
            let max_granted = if matches!(datagram, Datagram::Request { .. }) { self.units } else { 0 };
            for granted in 0..=max_granted {
                actions.push(LoanAction::Deliver { index, granted, duplicate: false });
                if has_capacity {
                    actions.push(LoanAction::Deliver { index, granted, duplicate: true });
                }
            }
            actions.push(LoanAction::Lose { index });
        }
    }

    fn next_state(&self, last: &LoanState, action: LoanAction) -> Option<LoanState> {
        let mut state = last.clone();
        match action {
            LoanAction::AdvanceClocks { lender_rate, borrower_rate } => {
                Self::advance_clocks(&mut state, lender_rate, borrower_rate);
            }
            LoanAction::Request { max_retained } => {
                state.requests += 1;
                let Borrower { now, incarnation, ledger, borrowing } = &mut state.borrower;
                let LoanRequest { number, retained } = borrowing.request(*now, max_retained, ledger);
                let incarnation = *incarnation;
                state.network.push(Datagram::Request { incarnation, number, retained });
            }
            LoanAction::Deliver { index, granted, duplicate } => {
                let datagram = state.network.remove(index);
                if duplicate {
                    state.network.push(datagram.clone());
                }
                self.deliver(&mut state, datagram, granted)?;
            }
            LoanAction::Lose { index } => {
                state.network.remove(index);
            }
            LoanAction::CrashBorrower => {
                let borrower = &mut state.borrower;
                borrower.incarnation += 1;
                borrower.borrowing = Borrowing::default();
                borrower.ledger = Ledger::default();
            }
        }
        state.network.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(USE_WITHIN_TOTAL, |model: &LoanModel, state: &LoanState| {
                state.units_in_use() <= model.units
            }),
            Property::sometimes("all units are lent", |model: &LoanModel, state: &LoanState| {
                state.borrower.borrowing.units_at(state.borrower.now) == model.units
            }),
        ]
    }
}

fn check_loans(units: u64, max_requests: u32) {
    let model = LoanModel {
        units,
        max_clock_steps: 5,
        max_requests,
        max_crashes: 1,
        network_capacity: 2,
        ignores_drift: false,
    };
    assert_properties("loans", model);
}

#[test]
fn lender_and_borrower_together_never_use_more_than_the_total() {
    check_loans(2, 2);
}

#[test]
#[ignore = "takes half a minute and some GiB; run it when crates/fleet/src/loan.rs changes"]
fn lender_and_borrower_together_never_use_more_than_the_total_with_three_requests() {
    check_loans(2, 3);
}

#[test]
fn the_checker_finds_a_lender_that_ignores_clock_drift() {
    let model = LoanModel {
        units: 1,
        max_clock_steps: 6,
        max_requests: 2,
        max_crashes: 0,
        network_capacity: 2,
        ignores_drift: true,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery(USE_WITHIN_TOTAL).is_some(), "the checker found no violation");
}
