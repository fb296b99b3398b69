//! The order in which timers fire.

use super::*;
use std::rc::Rc;

#[tokio::test]
async fn timers_fire_by_due_time_and_by_kind_at_the_same_time() {
    let clock = Clock::start();
    let timers = TimerQueue::default();
    let now = clock.now();
    timers.arm(now - 1.0, TimerKind::ConnectionCheck);
    timers.arm(now - 1.0, TimerKind::Deadline(RequestId(2)));
    timers.arm(now - 1.0, TimerKind::Policy(7));
    timers.arm(now - 2.0, TimerKind::CounterCall(3));
    let mut fired = Vec::new();
    for _ in 0..4 {
        fired.push(timers.next(&clock).await);
    }
    let expected = [
        TimerKind::CounterCall(3),
        TimerKind::Policy(7),
        TimerKind::Deadline(RequestId(2)),
        TimerKind::ConnectionCheck,
    ];
    assert_eq!(fired, expected);
}

#[tokio::test]
async fn arming_an_earlier_timer_wakes_the_wait_for_a_later_one() {
    let clock = Clock::start();
    let timers = Rc::new(TimerQueue::default());
    timers.arm(clock.now() + 60_000.0, TimerKind::ConnectionCheck);
    let arm_earlier = async {
        tokio::task::yield_now().await;
        timers.arm(clock.now() + 1.0, TimerKind::Policy(1));
    };
    let (fired, ()) = tokio::join!(timers.next(&clock), arm_earlier);
    assert_eq!(fired, TimerKind::Policy(1));
}

/// Regression test for an incident: the timers of requests that were answered at once stayed in the queue until
/// the deadlines of the requests.
#[tokio::test]
async fn timers_that_no_longer_apply_do_not_accumulate() {
    const TIMERS: u32 = 1_000_000;
    const REMAINING: TimerKind = TimerKind::Deadline(RequestId(TIMERS));
    let clock = Clock::start();
    let timers = TimerQueue::default();
    timers.arm(clock.now() + 1.0, REMAINING);
    for id in 0..TIMERS {
        timers.clean_up(|kind| kind == REMAINING);
        timers.arm(clock.now() + 60_000.0, TimerKind::Deadline(RequestId(id)));
        assert!(timers.timers.borrow().len() <= MIN_CLEANUP_LENGTH, "timers accumulate");
    }
    assert_eq!(timers.next(&clock).await, REMAINING);
}
