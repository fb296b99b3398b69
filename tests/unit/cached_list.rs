//! When a gateway may use the endpoint list that it started with.

use super::*;

const STARTED_AT: Millis = 1_000_000.0;
const DRAIN_GRACE: Millis = 1000.0;

/// Times after the start, ms.
fn allows_attempts(list: &CachedList, times: [Millis; 5]) -> [bool; 5] {
    times.map(|time| list.allows_attempts(STARTED_AT + time))
}

/// Guards against requests to a server that began to drain while the gateway was down: without an answer of
/// the agent, no attempt begins after the drain grace, until the agent is considered to be down.
#[test]
fn an_unconfirmed_list_is_used_for_the_drain_grace_only() {
    let list = CachedList::new(STARTED_AT, DRAIN_GRACE);
    assert_eq!(
        allows_attempts(&list, [0.0, 840.0, 860.0, 3990.0, 4000.0]),
        [true, true, false, false, true],
        "attempts are allowed at the wrong times"
    );
    assert!(!list.is_ready(STARTED_AT), "the gateway is ready before the agent has answered");
    assert_eq!(list.time_until_ready(STARTED_AT + 1500.0), 2500.0);
}

#[test]
fn a_confirmed_list_is_used_at_any_time() {
    let list = CachedList::new(STARTED_AT, DRAIN_GRACE);
    list.confirm();
    assert_eq!(allows_attempts(&list, [0.0, 840.0, 860.0, 3990.0, 4000.0]), [true; 5]);
    assert!(list.is_ready(STARTED_AT));
}
