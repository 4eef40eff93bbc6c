use super::*;

/// Returns a ledger with all units of a rate until `until`.
fn ledger_until(until: Time) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.credit(RATE_UNITS, until);
    ledger
}

fn timing() -> Timing {
    Timing::new(0.01, Time(0))
}

/// Spends all tokens that are available. Returns their number.
fn spend_all(tokens: &mut TokenBucket) -> f64 {
    let mut spent = 0.0;
    while tokens.admission_level() > 0.0 {
        tokens.spend();
        spent += 1.0;
    }
    spent
}

/// Spends all available tokens every 7 ms. Returns their number.
fn spend_over(tokens: &mut TokenBucket, ledger: &Ledger, from: Time, until: Time) -> f64 {
    let mut now = from;
    let mut spent = 0.0;
    while now < until {
        tokens.refill(now, 0, ledger, None, &timing());
        spent += spend_all(tokens);
        now = now.plus(Time::ms(7));
    }
    spent
}

#[test]
fn a_fast_clock_refills_no_faster_than_the_rate() {
    let ledger = ledger_until(Time::ms(1_000_000));
    let mut tokens = TokenBucket::new(Time(0), 100.0, 10.0);
    // A hundred seconds of true time on a clock that runs one percent fast.
    let admitted = spend_over(&mut tokens, &ledger, Time(0), Time::ms(101_000));
    assert!(admitted <= 100.0 * 100.0 + 10.0, "{admitted} requests admitted in 100 s at 100 per second");
    assert!(admitted >= 0.98 * 10_000.0, "only {admitted} requests admitted");
}

#[test]
fn a_suspension_refills_nothing_from_units_that_expired_in_it() {
    let mut ledger = ledger_until(Time::ms(1000));
    let mut tokens = TokenBucket::new(Time(0), 100.0, 100.0);
    tokens.refill(Time::ms(500), 0, &ledger, None, &timing());
    spend_all(&mut tokens);
    // The process is suspended while its units expire, and gets new units after it resumes.
    ledger.credit(RATE_UNITS, Time::ms(90_000));
    ledger.cancel_credit(RATE_UNITS, Time::ms(90_000));
    tokens.refill(Time::ms(30_000), 0, &ledger, None, &timing());
    ledger.credit(RATE_UNITS, Time::ms(90_000));
    tokens.refill(Time::ms(30_001), 0, &ledger, None, &timing());
    assert_eq!(tokens.admission_level(), 0.0, "expired units have refilled the bucket");
}

#[test]
fn each_rejection_gets_a_later_retry_time_until_time_passes() {
    let ledger = ledger_until(Time::ms(100_000));
    let mut tokens = TokenBucket::new(Time(0), 10.0, 10.0);
    let mut retry_times = Vec::new();
    for _ in 0..5 {
        retry_times.push(tokens.retry_after(0, RATE_UNITS as i64));
        tokens.record_rejection();
    }
    assert!(retry_times.windows(2).all(|pair| pair[1].since(pair[0]) >= Time::ms(90)), "{retry_times:?}");
    tokens.refill(Time::ms(5000), 0, &ledger, None, &timing());
    assert!(tokens.retry_after(0, RATE_UNITS as i64) < retry_times[0], "{retry_times:?}");
}
