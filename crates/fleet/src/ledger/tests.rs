use super::*;

#[test]
fn the_minimum_over_a_span_accounts_for_credits_and_debits() {
    let mut ledger = Ledger::default();
    ledger.credit(10, Time::ms(100));
    ledger.credit(5, Time::ms(300));
    ledger.debit(4, Time::ms(200));
    assert_eq!(ledger.minimum(Time(0), Time::ms(1)), 11);
    assert_eq!(ledger.minimum(Time(0), Time::ms(100)), 11);
    assert_eq!(ledger.minimum(Time(0), Time::ms(110)), 1);
    assert_eq!(ledger.minimum(Time::ms(210), Time::ms(290)), 5);
    assert_eq!(ledger.minimum(Time(0), Time::ms(400)), 0);
    ledger.discard_expired(Time::ms(150));
    assert_eq!(ledger.minimum(Time::ms(150), Time::ms(151)), 1);
    ledger.cancel_debit(4, Time::ms(200));
    ledger.cancel_credit(5, Time::ms(300));
    assert_eq!(ledger, Ledger::default());
}

#[test]
fn credits_expire_up_to_a_tick_early_and_debits_up_to_a_tick_late() {
    let mut ledger = Ledger::default();
    ledger.credit(1, Time(25_000_000));
    assert_eq!(ledger.minimum(Time(20_000_000), Time(20_000_001)), 0);
    assert_eq!(ledger.minimum(Time(19_999_999), Time(20_000_000)), 1);
    let mut ledger = Ledger::default();
    ledger.debit(1, Time(25_000_000));
    assert_eq!(ledger.minimum(Time(29_999_999), Time(30_000_000)), -1);
    assert_eq!(ledger.minimum(Time(30_000_000), Time(30_000_001)), 0);
}
