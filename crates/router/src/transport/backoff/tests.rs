use super::*;
use std::collections::VecDeque;

fn rests(mut backoff: Backoff, count: usize) -> Vec<u64> {
    (0..count).map(|_| backoff.next(Call::TurnedAway).as_millis() as u64).collect()
}

#[test]
fn delays_double_up_to_their_limit_and_restart_after_success() {
    assert_eq!(rests(Backoff::steady(), 5), [100, 200, 400, 500, 500]);
    let mut backoff = Backoff::steady();
    backoff.next(Call::Unanswered);
    backoff.reset();
    assert_eq!(rests(backoff, 3), [50, 100, 200]);
}

/// Discovery takes calls in turn, so long for each, and lets one wait for two seconds; a call whose turn
/// comes later has cost its time for nothing, and one that would wait longer is turned away at once.
fn served(routers: u64, each_ms: u64, until_ms: u64) -> usize {
    let mut backoffs: Vec<Backoff> = (0..routers).map(|n| Backoff::drawn(n, 0)).collect();
    let mut calls: Vec<Option<u64>> = vec![Some(0); routers as usize];
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let (mut busy_until, mut done) = (0, 0);
    for now in 0..until_ms {
        if now >= busy_until {
            if let Some((n, asked)) = queue.pop_front() {
                busy_until = now + each_ms;
                if busy_until <= asked + 2000 {
                    done += 1;
                } else {
                    calls[n] = Some(asked + 2000 + backoffs[n].next(Call::TurnedAway).as_millis() as u64);
                }
            }
        }
        for n in 0..calls.len() {
            if calls[n].is_some_and(|at| at <= now) {
                let ahead = queue.len() as u64 * each_ms + busy_until.saturating_sub(now);
                if ahead >= 2000 {
                    calls[n] = Some(now + backoffs[n].next(Call::TurnedAway).as_millis() as u64);
                } else {
                    calls[n] = None;
                    queue.push_back((n, now));
                }
            }
        }
    }
    done
}

#[test]
fn routers_rejected_together_by_a_shared_discovery_all_get_through() {
    for routers in [20, 100, 300] {
        let each = 8000 / routers;
        assert_eq!(served(routers, each, 30_000), routers as usize, "{routers} routers");
    }
}

/// Rule: told 6 s after discovery can be reached again; a call that is given up takes 2.25 s of it.
#[test]
fn after_a_long_outage_no_delay_exceeds_what_the_6_s_rule_allows() {
    for watch in 0..50 {
        let mut backoff = Backoff::drawn(40, watch);
        let longest = (0..30).map(|_| backoff.next(Call::Unanswered)).max();
        assert!(longest <= Some(Duration::from_millis(6000 - 2250)), "watch {watch}: {longest:?}");
    }
}
