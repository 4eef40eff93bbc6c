//! The table of decided writes, against a model that remembers everything over all lives of the process.

use basalthill_extproc::{Decided, Verdict, WriteId};
use basalthill_policy::api::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const START: Time = Time::ms(1_767_225_600_000);
const WINDOW: Time = Time::ms(10_000);
const SKEW: Time = Time::ms(50);

fn id(made: Time, n: u64) -> WriteId {
    let ms = u128::from(made.0 / 1_000_000);
    WriteId::new(ms << 80 | 7 << 76 | 2 << 62 | u128::from(n)).unwrap()
}

fn at(ms: u64) -> Time {
    START.plus(Time::ms(ms))
}

fn table(most: usize) -> Decided {
    Decided::new(START, WINDOW, SKEW, most)
}

#[test]
fn ids_are_read_in_their_usual_form_and_nothing_else_is() {
    let text = b"019438fa-2a7b-7cde-8f01-23456789abcd";
    let read = WriteId::parse(text).unwrap();
    assert_eq!(read.bits(), 0x0194_38fa_2a7b_7cde_8f01_2345_6789_abcd);
    assert_eq!(read.made(), Time::ms(0x0194_38fa_2a7b));
    assert_eq!(WriteId::parse(&text.to_ascii_uppercase()), Some(read));
    for n in 0..text.len() {
        assert_eq!(WriteId::parse(&text[..n]), None);
        let mut other = *text;
        other[n] = b'g';
        assert_eq!(WriteId::parse(&other), None, "byte {n}");
        let mut other = *text;
        other[n] = if text[n] == b'-' { b'0' } else { b'-' };
        assert_eq!(WriteId::parse(&other), None, "byte {n}");
    }
    assert_eq!(WriteId::parse(b"019438fa-2a7b-4cde-8f01-23456789abcd"), None, "version 4 tells no time");
    assert_eq!(WriteId::parse(b"019438fa-2a7b-7cde-cf01-23456789abcd"), None, "another variant");
}

#[test]
fn a_write_asked_for_twice_gets_one_decision_unless_it_is_proved_not_to_have_run() {
    let mut t = table(100);
    let w = id(at(1000), 1);
    assert_eq!(t.ask(at(1010), w), Verdict::First);
    assert_eq!(t.ask(at(1011), w), Verdict::Joins, "two proxies at once");
    t.named(w);
    assert_eq!(t.ask(at(1020), w), Verdict::Decided, "before the answer is on the wire, while and after");
    t.ended(w, true);
    assert_eq!(t.ask(at(1030), w), Verdict::Again);
    assert_eq!(t.ask(at(1031), w), Verdict::Joins);
    t.refused(w);
    assert_eq!(t.ask(at(1040), w), Verdict::Again, "a refusal names nobody");
    t.named(w);
    t.ended(w, false);
    for ms in [1050, 5000, 10_999, 11_040] {
        assert_eq!(t.ask(at(ms), w), Verdict::Decided, "at {ms} ms");
    }
    for ms in [11_300, 20_000, 10_000_000] {
        assert_eq!(t.ask(at(ms), w), Verdict::TooOld, "at {ms} ms");
    }
    assert!(t.is_empty());
}

#[test]
fn what_is_older_than_the_process_or_from_the_future_gets_no_decision() {
    let mut t = table(100);
    assert_eq!(t.ask(at(10), id(at(0), 1)), Verdict::BeforeStart);
    assert_eq!(t.ask(at(10), id(at(50), 2)), Verdict::BeforeStart, "the clocks may be apart by so much");
    assert_eq!(t.ask(at(10), id(at(60), 3)), Verdict::First);
    assert_eq!(t.ask(at(100), id(at(151), 4)), Verdict::Future);
    assert_eq!(t.ask(at(100), id(at(150), 5)), Verdict::First);
    assert_eq!(t.ask(at(100), id(Time::ms(0), 6)), Verdict::TooOld);
    assert_eq!(t.len(), 2);
}

#[test]
fn a_full_table_refuses_and_forgets_nothing() {
    let mut t = table(10);
    let ids: Vec<WriteId> = (0..10).map(|n| id(at(1000 + n * 100), n)).collect();
    for w in &ids {
        assert_eq!(t.ask(at(2000), *w), Verdict::First);
        t.named(*w);
    }
    let Verdict::Full(after) = t.ask(at(2000), id(at(1990), 99)) else { panic!("there is no room") };
    assert!(ids.iter().all(|w| t.ask(at(2000), *w) == Verdict::Decided));
    let then = at(2000).plus(after);
    assert_eq!(t.ask(then, id(then, 100)), Verdict::First, "there is room by then");
    assert!(after < WINDOW.plus(Time::ms(500)), "{after:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u16),
    /// Ask for a write made so long ago (or ahead), by its number; known ones keep their time.
    Ask(u8, i16),
    Named(u8),
    Refused(u8),
    Ended(u8, bool),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..3000u16).prop_map(Step::Pass),
        8 => (0..12u8, -60..400i16).prop_map(|(n, ago)| Step::Ask(n, ago)),
        3 => (0..12u8).prop_map(Step::Named),
        1 => (0..12u8).prop_map(Step::Refused),
        2 => (0..12u8, any::<bool>()).prop_map(|(n, unrun)| Step::Ended(n, unrun)),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

/// What is true of a write, whoever remembers it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Truth {
    /// Held by the process of this life.
    Held(u32),
    /// Named in this life, and out.
    Out(u32),
    /// May have run.
    Doubt,
    /// Never named, or proved not to have run.
    Unrun,
}

#[test]
fn over_all_its_lives_a_process_never_decides_a_write_that_may_have_run() {
    let config = Config { cases: 1000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[18; 32]));
    let decisions = std::cell::Cell::new(0u32);
    let played = runner.run(&steps(), |steps| {
        let (mut now, mut life, mut t) = (at(0), 0u32, Decided::new(at(0), WINDOW, SKEW, 6));
        let mut writes: BTreeMap<u8, (WriteId, Truth)> = BTreeMap::new();
        for step in steps {
            now = now.plus(Time::ms(1));
            match step {
                Step::Pass(ms) => now = now.plus(Time::ms(u64::from(ms))),
                Step::Ask(n, ago) => {
                    let made = Time((now.0 as i64 - i64::from(ago) * 1_000_000) as u64);
                    let (w, truth) = writes.entry(n).or_insert((id(made, u64::from(n)), Truth::Unrun));
                    let verdict = t.ask(now, *w);
                    match verdict {
                        Verdict::First | Verdict::Again => {
                            prop_assert_eq!(*truth, Truth::Unrun, "{:?} of {}", verdict, n);
                            *truth = Truth::Held(life);
                        }
                        Verdict::Joins => prop_assert_eq!(*truth, Truth::Held(life)),
                        _ => {}
                    }
                    prop_assert!(t.len() <= 6);
                }
                Step::Named(n) => {
                    if let Some((w, truth)) = writes.get_mut(&n).filter(|w| w.1 == Truth::Held(life)) {
                        t.named(*w);
                        *truth = Truth::Out(life);
                    }
                }
                Step::Refused(n) => {
                    if let Some((w, truth)) = writes.get_mut(&n).filter(|w| w.1 == Truth::Held(life)) {
                        t.refused(*w);
                        *truth = Truth::Unrun;
                    }
                }
                Step::Ended(n, unrun) => {
                    if let Some((w, truth)) = writes.get_mut(&n).filter(|w| w.1 == Truth::Out(life)) {
                        t.ended(*w, unrun);
                        *truth = if unrun { Truth::Unrun } else { Truth::Doubt };
                    }
                }
                Step::Restart => {
                    (life, t) = (life + 1, Decided::new(now, WINDOW, SKEW, 6));
                    // What the last life held was never named; what it had out may run.
                    for (_, truth) in writes.values_mut() {
                        *truth = match *truth {
                            Truth::Out(_) => Truth::Doubt,
                            Truth::Held(_) => Truth::Unrun,
                            other => other,
                        };
                    }
                }
            }
        }
        let more = writes.values().filter(|w| w.1 != Truth::Unrun).count() as u32;
        decisions.set(decisions.get() + more);
        Ok(())
    });
    assert_eq!(played.map_err(|e| e.to_string()), Ok(()));
    assert!(decisions.get() > 500, "{}", decisions.get());
}
