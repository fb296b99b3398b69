//! The actions that a gateway's policy returns. The socket layer or the simulator executes them.

use crate::ids::{CounterKey, Millis, RequestId, ServerId};

/// One operation to execute. Actions are executed in the order in which the policy returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Forward {
        /// ID of the request to send.
        id: RequestId,
        /// ID of the server to which the request is sent.
        server: ServerId,
        /// Timeout of the attempt, ms; 0 means that the request's deadline is the only limit.
        timeout: Millis,
    },
    /// Send the client the final answer that its request is rejected. The client may safely retry the
    /// request.
    Reject {
        /// ID of the rejected request.
        id: RequestId,
        /// Time after which the client should retry, ms from now; 0 means that the response
        /// states no time.
        retry_after: Millis,
    },
    /// Send the client the final answer that its request failed. A server may have executed the request.
    Fail(RequestId),
    /// Cancel an attempt that is in flight. The server may still execute the request.
    Cancel {
        /// ID of the request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u8,
    },
    /// Send a health check to a server. The policy currently requests none.
    HealthCheck(ServerId),
    /// Add an amount to a total in the counter service and read the new total.
    IncrementCounter {
        /// Key of the total.
        key: CounterKey,
        /// The amount to add, units. It may be negative; 0 only reads the total.
        add: f64,
        /// Time to live of the total, ms. The time to live is set only if this call creates the total.
        ttl: Millis,
    },
    /// Schedule an [`Event::Timer`](crate::event::Event::Timer).
    Timer {
        /// Delay from now, ms.
        after: Millis,
        /// Token that the timer's event returns to the policy.
        token: u64,
    },
    /// Ask discovery to report changes of the endpoint list from now on.
    WatchEndpoints,
}
