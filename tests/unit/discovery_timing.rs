//! Tests of the watcher's timeouts and backoff, which are derived from the drain grace.

use super::{RequestTiming, INITIAL_BACKOFF};
use std::time::Duration;

/// The agent does not respond, then recovers and holds a drain. A request that was pending when the agent
/// recovered must time out, and the next request must be sent, before the drain grace ends. Otherwise the
/// draining server gets new requests after the grace.
#[test]
fn a_recovered_agent_gets_a_new_request_within_any_drain_grace() {
    for grace in [0, 120, 500, 1000, 2500, 20_000].map(Duration::from_millis) {
        let timing = RequestTiming::for_drain_grace(grace);
        // A grace below three initial backoffs is too short for a request, so the limit does not apply to it.
        assert!(
            timing.timeout + timing.max_backoff < grace.max(INITIAL_BACKOFF * 3),
            "grace {grace:?}: the next request is sent too late"
        );
        assert!(timing.timeout >= INITIAL_BACKOFF, "grace {grace:?}: the request timeout is too short");
        assert!(timing.max_backoff >= INITIAL_BACKOFF, "grace {grace:?}: the backoff is too short");
    }
}
