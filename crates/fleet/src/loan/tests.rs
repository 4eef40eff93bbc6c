use super::*;

#[test]
fn stairs_go_down() {
    let mut stairs = StepSchedule::default();
    stairs.raise(5, Time(10));
    stairs.raise(3, Time(20));
    stairs.raise(4, Time(15));
    assert_eq!(stairs.steps, [(Time(10), 5), (Time(15), 4), (Time(20), 3)]);
    assert_eq!(stairs.segments().collect::<Vec<_>>(), [(1, Time(10)), (1, Time(15)), (3, Time(20))]);
    stairs.cap(4);
    assert_eq!(stairs.steps, [(Time(15), 4), (Time(20), 3)]);
    stairs.raise(6, Time(17));
    assert_eq!(stairs.steps, [(Time(17), 6), (Time(20), 3)]);
    assert_eq!((stairs.units(Time(16)), stairs.units(Time(17)), stairs.units(Time(20))), (6, 3, 0));
    stairs.cap(0);
    assert!(stairs.steps.is_empty());
}

#[test]
fn an_answer_that_comes_after_its_lapse_or_twice_gives_nothing_more() {
    let mut ledger = Ledger::default();
    let mut borrowed = Borrowing::default();
    let question = borrowed.request(Time::ms(100), 0, &mut ledger);
    borrowed.receive_grant(question.number, 7, Time::ms(500), &mut ledger);
    assert_eq!((borrowed.units(Time::ms(599)), borrowed.units(Time::ms(600))), (7, 0));
    // Again, and larger: the question has had its answer.
    borrowed.receive_grant(question.number, 9, Time::ms(500), &mut ledger);
    assert_eq!(borrowed.units(Time::ms(599)), 7);
    // An answer to an earlier question, after a newer one has gone out.
    let later = borrowed.request(Time::ms(300), 2, &mut ledger);
    borrowed.receive_grant(question.number, 9, Time::ms(500), &mut ledger);
    assert_eq!((later.keep, borrowed.units(Time::ms(301))), (2, 2));
    // One that comes later than it counts for.
    let late = borrowed.request(Time::ms(700), 9, &mut ledger);
    borrowed.receive_grant(late.number, 9, Time::ms(500), &mut ledger);
    assert_eq!(borrowed.units(Time::ms(1300)), 0);
    assert_eq!(ledger.minimum(Time::ms(1300), Time::ms(1301)), 0);
}
