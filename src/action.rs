//! The outputs of a gateway's decisions. The socket layer or the simulator's adapter executes them.

use crate::ids::{CounterKey, Millis, RequestId, ServerId};

/// One operation to execute. Actions are executed in the order in which the gateway appended them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Forward {
        /// The request.
        id: RequestId,
        /// The server that receives the attempt.
        server: ServerId,
        /// Timeout of the attempt, ms; 0 means that the attempt lasts until the client gives up.
        timeout: Millis,
    },
    /// Answer the client finally: the request is rejected, and a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client should retry, ms from now; 0 means that no time is given.
        retry_after: Millis,
    },
    /// Answer the client finally: the request failed, and a server may have executed it.
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
    /// Add to a number in the counter service and read its new total.
    IncrementCounter {
        /// The key of the number.
        key: CounterKey,
        /// The amount to add, which may be negative; 0 only reads the total.
        add: f64,
        /// Time to live of the number if this call creates it, ms.
        ttl: Millis,
    },
    /// Schedule an [`Event::Timer`](crate::event::Event::Timer).
    Timer {
        /// Delay from now, ms.
        after: Millis,
        /// Token that the event carries.
        token: u64,
    },
    /// Ask discovery for the changes of the endpoint list from now on.
    WatchEndpoints,
}
