use super::*;

fn steps(expected: &[(u64, u64)]) -> Vec<Step> {
    expected.iter().map(|(ends_at, units)| Step { ends_at: Time(*ends_at), units: *units }).collect()
}

#[test]
fn a_schedule_decreases_in_steps_after_raises_and_caps() {
    let mut schedule = StepSchedule::default();
    schedule.raise(5, Time(10));
    schedule.raise(3, Time(20));
    schedule.raise(4, Time(15));
    assert_eq!(schedule.steps, steps(&[(10, 5), (15, 4), (20, 3)]));
    assert_eq!(schedule.drops().collect::<Vec<_>>(), steps(&[(10, 1), (15, 1), (20, 3)]));
    schedule.cap(4);
    assert_eq!(schedule.steps, steps(&[(15, 4), (20, 3)]));
    schedule.raise(6, Time(17));
    assert_eq!(schedule.steps, steps(&[(17, 6), (20, 3)]));
    assert_eq!(schedule.units_at(Time(16)), 6);
    assert_eq!(schedule.units_at(Time(17)), 3);
    assert_eq!(schedule.units_at(Time(20)), 0);
    schedule.cap(0);
    assert!(schedule.steps.is_empty(), "{:?}", schedule.steps);
}

#[test]
fn a_duplicate_superseded_or_expired_grant_adds_nothing() {
    let mut ledger = Ledger::default();
    let mut borrowed = Borrowing::default();
    let request = borrowed.request(Time::ms(100), 0, &mut ledger);
    borrowed.receive_grant(request.number, 7, Time::ms(500), &mut ledger);
    assert_eq!((borrowed.units_at(Time::ms(599)), borrowed.units_at(Time::ms(600))), (7, 0));
    // A second response to the same request, with more units, is ignored.
    borrowed.receive_grant(request.number, 9, Time::ms(500), &mut ledger);
    assert_eq!(borrowed.units_at(Time::ms(599)), 7);
    // A response to an earlier request is ignored once a newer request has been sent.
    let later = borrowed.request(Time::ms(300), 2, &mut ledger);
    borrowed.receive_grant(request.number, 9, Time::ms(500), &mut ledger);
    assert_eq!((later.retained, borrowed.units_at(Time::ms(301))), (2, 2));
    // A grant that arrives after its span adds nothing.
    let late = borrowed.request(Time::ms(700), 9, &mut ledger);
    borrowed.receive_grant(late.number, 9, Time::ms(500), &mut ledger);
    assert_eq!(borrowed.units_at(Time::ms(1300)), 0);
    assert_eq!(ledger.minimum(Time::ms(1300), Time::ms(1301)), 0);
}

/// Guards against a borrower that returns units whose slots are occupied: the lender would use them as well.
#[test]
fn units_in_use_are_those_that_the_ledger_has_not_left() {
    let now = Time::ms(1000);
    let mut ledger = Ledger::default();
    let mut loan = Borrowing::default();
    let request = loan.request(now, 0, &mut ledger);
    loan.receive_grant(request.number, 5, Time::ms(2000), &mut ledger);
    assert_eq!(loan.units_in_use(now, &ledger), 0, "no slot is occupied");
    ledger.debit(1, Time::ms(1500));
    ledger.debit(1, Time::ms(1500));
    ledger.debit(1, Time::ms(2400));
    assert_eq!(loan.units_in_use(now, &ledger), 3);
    assert_eq!(loan.units_in_use(Time::ms(1600), &ledger), 1, "two slots have been released");
    // The units that are retained are raised for a further second, while one more slot is occupied.
    let request = loan.request(Time::ms(1600), 1, &mut ledger);
    assert_eq!(request.retained, 1);
    loan.receive_grant(request.number, 2, Time::ms(2000), &mut ledger);
    ledger.debit(1, Time::ms(3400));
    assert_eq!(loan.units_in_use(Time::ms(1600), &ledger), 2);
    assert_eq!(loan.units_in_use(Time::ms(2500), &ledger), 1);
    assert_eq!(loan.units_in_use(Time::ms(3700), &ledger), 0, "the loan has ended");
}
