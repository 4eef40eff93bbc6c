use super::*;
use std::collections::VecDeque;

fn delays_ms(mut backoff: Backoff, count: usize) -> Vec<u64> {
    (0..count).map(|_| backoff.next_delay(CallFailure::Rejected).as_millis() as u64).collect()
}

#[test]
fn delays_double_up_to_their_limit_and_restart_after_success() {
    assert_eq!(delays_ms(Backoff::without_jitter(), 5), [100, 200, 400, 500, 500]);
    let mut backoff = Backoff::without_jitter();
    backoff.next_delay(CallFailure::Unreachable);
    backoff.reset();
    assert_eq!(delays_ms(backoff, 3), [50, 100, 200]);
}

/// Returns the number of routers that receive a list within `until_ms`. Discovery serves calls one after
/// another and spends `call_ms` on each. A call that completes more than two seconds after it was made has
/// timed out, although discovery has spent the time on it. A call that would have to wait for two seconds or
/// longer is rejected immediately.
fn routers_served(routers: u64, call_ms: u64, until_ms: u64) -> usize {
    let mut backoffs: Vec<Backoff> = (0..routers).map(|n| Backoff::with_jitter(n, 0)).collect();
    // When each router makes its next call; `None` while its call is queued and after it has received a list.
    let mut next_calls: Vec<Option<u64>> = vec![Some(0); routers as usize];
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let (mut busy_until, mut served) = (0, 0);
    for now in 0..until_ms {
        if now >= busy_until {
            if let Some((router, called_at)) = queue.pop_front() {
                busy_until = now + call_ms;
                if busy_until <= called_at + 2000 {
                    served += 1;
                } else {
                    next_calls[router] = Some(
                        called_at
                            + 2000
                            + backoffs[router].next_delay(CallFailure::Rejected).as_millis() as u64,
                    );
                }
            }
        }
        for router in 0..next_calls.len() {
            if next_calls[router].is_some_and(|at| at <= now) {
                let wait_ms = queue.len() as u64 * call_ms + busy_until.saturating_sub(now);
                if wait_ms >= 2000 {
                    let delay = backoffs[router].next_delay(CallFailure::Rejected);
                    next_calls[router] = Some(now + delay.as_millis() as u64);
                } else {
                    next_calls[router] = None;
                    queue.push_back((router, now));
                }
            }
        }
    }
    served
}

#[test]
fn routers_rejected_together_by_a_shared_discovery_all_receive_a_list() {
    for routers in [20, 100, 300] {
        let call_ms = 8000 / routers;
        let served = routers_served(routers, call_ms, 30_000);
        assert_eq!(served, routers as usize, "{served} of {routers} routers received a list within 30 s");
    }
}

/// A list has to be received within 6 s after discovery has become reachable again. A call that times out
/// takes 2.25 s of this time.
#[test]
fn after_a_long_outage_each_delay_leaves_time_to_receive_a_list_within_6_s() {
    for watch in 0..50 {
        let mut backoff = Backoff::with_jitter(40, watch);
        let longest = (0..30).map(|_| backoff.next_delay(CallFailure::Unreachable)).max();
        assert!(
            longest <= Some(Duration::from_millis(6000 - 2250)),
            "watch {watch}: the longest delay, {longest:?}, exceeds 3.75 s"
        );
    }
}
