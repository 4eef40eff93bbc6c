//! Tests of the registry of writes, one of them against a model that records the actual state of each write
//! across restarts of the process.

mod common;

use basalthill_extproc::{UnusableId, Verdict, WriteId, WriteRegistry};
use basalthill_policy::api::Time;
use common::{write_id, START};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const WINDOW: Time = Time::ms(10_000);
const SKEW: Time = Time::ms(50);
/// Maximum number of entries of the registry that is checked against the model.
const MODEL_ENTRIES: usize = 6;

fn at(ms: u64) -> Time {
    START.plus(Time::ms(ms))
}

fn registry(max_entries: usize) -> WriteRegistry {
    WriteRegistry::new(START, WINDOW, SKEW, max_entries)
}

#[test]
fn a_write_requested_twice_gets_one_decision_unless_proved_unexecuted() {
    let mut registry = registry(100);
    let write = write_id(at(1000), 1);
    assert_eq!(registry.admit(at(1010), write), Verdict::New);
    assert_eq!(
        registry.admit(at(1011), write),
        Verdict::Pending,
        "a second call while the first waits for a member"
    );
    registry.mark_assigned(write);
    assert_eq!(registry.admit(at(1020), write), Verdict::Decided, "a call after a member was assigned");
    registry.mark_not_executed(write);
    assert_eq!(registry.admit(at(1030), write), Verdict::Retry);
    assert_eq!(registry.admit(at(1031), write), Verdict::Pending);
    registry.mark_not_executed(write);
    assert_eq!(registry.admit(at(1040), write), Verdict::Retry, "no member was assigned");
    registry.mark_assigned(write);
    registry.mark_possibly_executed(write);
    for ms in [1050, 5000, 10_999, 11_040] {
        assert_eq!(registry.admit(at(ms), write), Verdict::Decided, "at {ms} ms");
    }
    for ms in [11_300, 20_000, 10_000_000] {
        assert_eq!(registry.admit(at(ms), write), Verdict::Unusable(UnusableId::TooOld), "at {ms} ms");
    }
    assert!(registry.is_empty());
}

#[test]
fn ids_older_than_the_process_or_from_the_future_are_unusable() {
    let mut registry = registry(100);
    let before_start = Verdict::Unusable(UnusableId::BeforeStart);
    assert_eq!(registry.admit(at(10), write_id(at(0), 1)), before_start);
    assert_eq!(
        registry.admit(at(10), write_id(at(50), 2)),
        before_start,
        "the id is newer than the start by no more than the skew"
    );
    assert_eq!(registry.admit(at(10), write_id(at(60), 3)), Verdict::New);
    let in_future = Verdict::Unusable(UnusableId::InFuture);
    assert_eq!(registry.admit(at(100), write_id(at(151), 4)), in_future);
    assert_eq!(registry.admit(at(100), write_id(at(150), 5)), Verdict::New);
    let too_old = Verdict::Unusable(UnusableId::TooOld);
    assert_eq!(registry.admit(at(100), write_id(Time::ms(0), 6)), too_old);
    assert_eq!(registry.len(), 2);
}

#[test]
fn a_full_registry_rejects_and_removes_nothing() {
    let mut registry = registry(10);
    let writes: Vec<WriteId> = (0..10).map(|n| write_id(at(1000 + n * 100), n)).collect();
    for write in &writes {
        assert_eq!(registry.admit(at(2000), *write), Verdict::New);
        registry.mark_assigned(*write);
    }
    let Verdict::Full { retry_after } = registry.admit(at(2000), write_id(at(1990), 99)) else {
        panic!("a registry with 10 of 10 entries did not reject a write as full")
    };
    assert!(
        writes.iter().all(|write| registry.admit(at(2000), *write) == Verdict::Decided),
        "an entry was removed"
    );
    let retry_at = at(2000).plus(retry_after);
    assert_eq!(
        registry.admit(retry_at, write_id(retry_at, 100)),
        Verdict::New,
        "an entry is free after the given time"
    );
    assert!(
        retry_after < WINDOW.plus(Time::ms(500)),
        "retry after {retry_after:?}, not within 500 ms after the window of {WINDOW:?}"
    );
}

#[derive(Clone, Debug)]
enum Step {
    /// Advances the time by this many milliseconds.
    AdvanceTime(u16),
    /// Calls for a write, by its number. The id of a new write was created `age_ms` ago, or is in the future
    /// if that is negative.
    Request { write: u8, age_ms: i16 },
    /// Assigns a member to a write.
    Assign(u8),
    /// Rejects a write that waits for a member.
    Reject(u8),
    /// Ends the assigned attempt of a write.
    End { write: u8, not_executed: bool },
    /// Restarts the process.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..3000u16).prop_map(Step::AdvanceTime),
        8 => (0..12u8, -60..400i16).prop_map(|(write, age_ms)| Step::Request { write, age_ms }),
        3 => (0..12u8).prop_map(Step::Assign),
        1 => (0..12u8).prop_map(Step::Reject),
        2 => (0..12u8, any::<bool>()).prop_map(|(write, not_executed)| Step::End { write, not_executed }),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

/// The actual state of a write, which the registry may not know.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ActualState {
    /// The write waits for a member, in the process with this number.
    Pending(u32),
    /// A member is assigned and the attempt has not ended, in the process with this number.
    Assigned(u32),
    /// The write may have executed.
    PossiblyExecuted,
    /// No member was ever assigned to the write, or it is proved not to have executed.
    NotExecuted,
}

/// The registry, and the actual state of each write that was ever requested.
struct Model {
    now: Time,
    /// The number of the process, which is the number of restarts so far.
    process: u32,
    registry: WriteRegistry,
    writes: BTreeMap<u8, (WriteId, ActualState)>,
}

impl Model {
    fn new() -> Model {
        let registry = WriteRegistry::new(at(0), WINDOW, SKEW, MODEL_ENTRIES);
        Model { now: at(0), process: 0, registry, writes: BTreeMap::new() }
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now = self.now.plus(Time::ms(1));
        match step {
            Step::AdvanceTime(ms) => self.now = self.now.plus(Time::ms(u64::from(ms))),
            Step::Request { write, age_ms } => self.request(write, age_ms)?,
            Step::Assign(write) => {
                if let Some(id) = self.replace(
                    write,
                    ActualState::Pending(self.process),
                    ActualState::Assigned(self.process),
                ) {
                    self.registry.mark_assigned(id);
                }
            }
            Step::Reject(write) => {
                if let Some(id) =
                    self.replace(write, ActualState::Pending(self.process), ActualState::NotExecuted)
                {
                    self.registry.mark_not_executed(id);
                }
            }
            Step::End { write, not_executed: true } => {
                if let Some(id) =
                    self.replace(write, ActualState::Assigned(self.process), ActualState::NotExecuted)
                {
                    self.registry.mark_not_executed(id);
                }
            }
            Step::End { write, not_executed: false } => {
                if let Some(id) =
                    self.replace(write, ActualState::Assigned(self.process), ActualState::PossiblyExecuted)
                {
                    self.registry.mark_possibly_executed(id);
                }
            }
            Step::Restart => self.restart(),
        }
        Ok(())
    }

    fn request(&mut self, write: u8, age_ms: i16) -> Result<(), TestCaseError> {
        let created_at = Time((self.now.0 as i64 - i64::from(age_ms) * 1_000_000) as u64);
        let new = (write_id(created_at, u64::from(write)), ActualState::NotExecuted);
        let (id, actual) = self.writes.entry(write).or_insert(new);
        let verdict = self.registry.admit(self.now, *id);
        match verdict {
            Verdict::New | Verdict::Retry => {
                prop_assert_eq!(*actual, ActualState::NotExecuted, "{:?} of {}", verdict, write);
                *actual = ActualState::Pending(self.process);
            }
            Verdict::Pending => prop_assert_eq!(*actual, ActualState::Pending(self.process)),
            _ => {}
        }
        prop_assert!(
            self.registry.len() <= MODEL_ENTRIES,
            "{} entries, more than {MODEL_ENTRIES}",
            self.registry.len()
        );
        Ok(())
    }

    /// Changes the actual state of a write from `from` to `to`. Returns the write's id, or `None` if its
    /// state was not `from`.
    fn replace(&mut self, write: u8, from: ActualState, to: ActualState) -> Option<WriteId> {
        let (id, actual) = self.writes.get_mut(&write).filter(|(_, actual)| *actual == from)?;
        *actual = to;
        Some(*id)
    }

    fn restart(&mut self) {
        self.process += 1;
        self.registry = WriteRegistry::new(self.now, WINDOW, SKEW, MODEL_ENTRIES);
        // A write that waited for a member in the previous process never got one. A write with an assigned
        // member may execute.
        for (_, actual) in self.writes.values_mut() {
            *actual = match *actual {
                ActualState::Assigned(_) => ActualState::PossiblyExecuted,
                ActualState::Pending(_) => ActualState::NotExecuted,
                other => other,
            };
        }
    }
}

#[test]
fn no_process_decides_a_write_that_an_earlier_process_may_have_executed() {
    let config = Config { cases: 1000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[18; 32]));
    let accepted = std::cell::Cell::new(0u32);
    let result = runner.run(&steps(), |steps| {
        let mut model = Model::new();
        for step in steps {
            model.step(step)?;
        }
        let in_model =
            model.writes.values().filter(|(_, actual)| *actual != ActualState::NotExecuted).count() as u32;
        accepted.set(accepted.get() + in_model);
        Ok(())
    });
    assert_eq!(result.map_err(|error| error.to_string()), Ok(()));
    assert!(accepted.get() > 500, "only {} writes were accepted", accepted.get());
}
