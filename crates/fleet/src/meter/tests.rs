use super::*;

/// Spends whatever is there at each of so many looks; how many that were.
fn spent(tokens: &mut TokenBucket, ledger: &Ledger, from: Time, until: Time, times: &Timing) -> f64 {
    let (mut now, mut count) = (from, 0.0);
    while now < until {
        tokens.refill(now, 0, ledger, None, times);
        while tokens.admission_level() > 0.0 {
            tokens.spend();
            count += 1.0;
        }
        now = now.plus(Time::ms(7));
    }
    count
}

#[test]
fn a_clock_that_runs_fast_fills_no_faster_than_the_rate() {
    let (times, mut ledger) = (Timing::new(0.01, Time(0)), Ledger::default());
    ledger.credit(UNITS, Time::ms(1_000_000));
    let mut tokens = TokenBucket::new(Time(0), 100.0, 10.0);
    // A hundred true seconds on a clock that is a hundredth fast.
    let admitted = spent(&mut tokens, &ledger, Time(0), Time::ms(101_000), &times);
    assert!(admitted <= 100.0 * 100.0 + 10.0, "{admitted} in a hundred seconds at 100 a second");
    assert!(admitted >= 0.98 * 10_000.0, "{admitted}");
}

#[test]
fn a_standstill_fills_nothing_by_what_lapsed_in_it() {
    let (times, mut ledger) = (Timing::new(0.01, Time(0)), Ledger::default());
    ledger.credit(UNITS, Time::ms(1000));
    let mut tokens = TokenBucket::new(Time(0), 100.0, 100.0);
    tokens.refill(Time::ms(500), 0, &ledger, None, &times);
    while tokens.admission_level() > 0.0 {
        tokens.spend();
    }
    // It stands still over the end of its rights, and gets new ones as it wakes.
    ledger.credit(UNITS, Time::ms(90_000));
    ledger.cancel_credit(UNITS, Time::ms(90_000));
    tokens.refill(Time::ms(30_000), 0, &ledger, None, &times);
    ledger.credit(UNITS, Time::ms(90_000));
    tokens.refill(Time::ms(30_001), 0, &ledger, None, &times);
    assert_eq!(tokens.admission_level(), 0.0);
}

#[test]
fn each_refusal_is_told_a_later_moment_and_moments_pass() {
    let (times, mut ledger) = (Timing::new(0.01, Time(0)), Ledger::default());
    ledger.credit(UNITS, Time::ms(100_000));
    let mut tokens = TokenBucket::new(Time(0), 10.0, 10.0);
    let back = |tokens: &mut TokenBucket| {
        let back = tokens.retry_after(0, UNITS as i64);
        tokens.record_rejection();
        back
    };
    let told: Vec<Time> = (0..5).map(|_| back(&mut tokens)).collect();
    assert!(told.windows(2).all(|w| w[1].since(w[0]) >= Time::ms(90)), "{told:?}");
    tokens.refill(Time::ms(5000), 0, &ledger, None, &times);
    assert!(tokens.retry_after(0, UNITS as i64) < told[0]);
}
