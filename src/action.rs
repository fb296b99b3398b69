//! What a gateway's decisions want done, for whoever owns the sockets or the simulator's wire to execute.

use crate::ids::{CounterKey, Millis, RequestId, ServerId};

/// One thing to do; actions are executed in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; the attempts of a request are numbered from 0 in this order.
    Forward {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out, ms; 0: until the client gives up.
        timeout: Millis,
    },
    /// Final answer: rejected, and harmless to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// When a retry makes sense, ms from now; 0: none is given.
        retry_after: Millis,
    },
    /// Final answer: failed, possibly executed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Check a server's health.
    HealthCheck(ServerId),
    /// Add to a number of the counter service and learn its total.
    IncrementCounter {
        /// The counter.
        key: CounterKey,
        /// The amount, which may be negative; 0 only reads.
        add: f64,
        /// A new counter is forgotten after this; ms.
        ttl: Millis,
    },
    /// Ask for an [`Event::Timer`](crate::event::Event::Timer).
    Timer {
        /// From now; ms.
        after: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask for the changes of the endpoint list from now on.
    WatchEndpoints,
}
