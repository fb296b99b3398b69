//! The events that a gateway's policy handles, such as requests, results of attempts, endpoint lists, timers
//! and counter replies.

use crate::ids::{ClassId, CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server finishes the requests that it has and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// ID of the server.
    pub server: ServerId,
    /// Capacity of the server relative to the other servers. The policy currently does not use it.
    pub weight: f64,
    /// Number of the zone that the server is in.
    pub zone: u16,
    /// Number of the cell that the server is in.
    pub cell: u16,
    /// Time of the server's last start, ms, on the clock of the policy's caller; 0 means that the server
    /// started long ago and has its full capacity.
    pub started_at: Millis,
    /// Whether the server accepts requests, is draining or has been removed.
    pub state: EndpointState,
}

/// How to apply the entries of an [`Event::EndpointsChanged`] to the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries are only the servers that have changed.
    Incremental,
    /// The entries are the complete list. A server that is missing from the entries is removed.
    Complete,
    /// The entries are the complete list that this gateway used last. The list may be stale.
    Cached,
    /// The list could not be fetched. The gateway keeps its current list.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// ID of the request, unique among the requests that this gateway is handling.
    pub id: RequestId,
    /// ID of the tenant that sent the request.
    pub tenant: TenantId,
    /// Index of the request's class in the settings.
    pub class: ClassId,
    /// Index of the tenant's plan in the settings.
    pub plan: PlanId,
    /// Units that the request consumes from the tenant's quota.
    pub units: f64,
    /// Time until the policy's deadline for the request, ms. The socket layer sets this deadline slightly
    /// before the client's, so that the response reaches the client in time.
    pub time_left: Millis,
    /// Number of gateways that receive the tenant's requests.
    pub gateway_count: f64,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server or the counter service answered successfully.
    Ok,
    /// The response was an error or invalid. The request may have been executed.
    Error,
    /// The server replied that it did not execute the request, or the counter service refused the call.
    Rejected,
    /// No response arrived in time. The request may have been executed.
    TimedOut,
    /// No connection was established, or the server no longer accepts requests. The request was not executed.
    ConnectFailed,
    /// The connection was lost. The request may have been executed.
    Reset,
    /// The gateway cancelled the attempt. The request may have been executed.
    Cancelled,
    /// The gateway did not send the request, for example because of a local limit or because the client had
    /// disconnected. The request was not executed.
    NotSent,
}

impl Outcome {
    /// Whether the server may have executed the request if an attempt ended with this outcome.
    pub fn may_have_executed(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An event that a gateway's policy handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed or could not be fetched.
    EndpointsChanged {
        /// How to apply `entries` to the current endpoint list.
        update: EndpointUpdate,
        /// The complete list or only its changes, as `update` says. Ignored if the fetch failed.
        entries: Vec<Endpoint>,
    },
    /// A request has arrived from a client.
    Request(Request),
    /// An attempt has ended.
    AttemptEnded {
        /// ID of the request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u8,
        /// ID of the server that the attempt was for.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request needs no further answer, because it has been answered with the response of
        /// this attempt or in another way, or because its client has disconnected.
        complete: bool,
        /// Time since the start of the attempt, ms.
        elapsed: Millis,
    },
    /// The gateway has started to send the response of an attempt to the client.
    ResponseStarted {
        /// ID of the request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u8,
    },
    /// The client of a request has disconnected, or the request was answered as timed out. The request needs
    /// no further work.
    ClientDisconnected(RequestId),
    /// The timer that the policy requested with this token has fired.
    Timer(u64),
    /// A health check has ended.
    HealthChecked {
        /// ID of the server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time since the start of the health check, ms.
        elapsed: Millis,
    },
    /// A call to the counter service has ended.
    CounterReplied {
        /// Key of the total that the call was for.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the start of the call, ms.
        elapsed: Millis,
        /// The total after the call, units. It is valid only if the outcome is `Ok`.
        total: f64,
    },
}
