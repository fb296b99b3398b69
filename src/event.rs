//! The inputs of a gateway's decisions: requests, results of attempts, endpoint lists, timers and counter
//! replies.

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

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Size of the server relative to the other servers.
    pub weight: f64,
    /// The zone that the server is in.
    pub zone: u16,
    /// The cell that the server is in.
    pub cell: u16,
    /// Time of the server's last start, ms; 0 means that it started long ago.
    pub started: Millis,
    /// The server's state.
    pub state: EndpointState,
}

/// How to apply the entries of an [`Event::EndpointsChanged`] to the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries are only those that changed.
    Incremental,
    /// The entries are the complete list. A server that is missing from it is removed.
    Complete,
    /// The entries are the complete list as this gateway last knew it, and may be stale.
    Cached,
    /// The list could not be fetched. The gateway keeps its current list.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The tenant that sent the request.
    pub tenant: TenantId,
    /// The class of the request.
    pub class: ClassId,
    /// The plan of the tenant.
    pub plan: PlanId,
    /// Units that the request consumes from the quota.
    pub units: f64,
    /// Time until the client gives up, ms.
    pub time_left: Millis,
    /// Number of gateways that receive the tenant's requests.
    pub gateway_count: f64,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server or the counter answered.
    Ok,
    /// The answer was an error; the request may have been executed.
    Error,
    /// The request was rejected for lack of capacity and not executed.
    Rejected,
    /// No answer came in time; the request may have been executed.
    TimedOut,
    /// No connection could be made; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// The gateway cancelled it; the request may have been executed.
    Cancelled,
    /// The gateway did not send it, because of a local error or limit.
    NotSent,
}

impl Outcome {
    /// Whether the server may have executed a request whose attempt ended like this.
    pub fn may_have_executed(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An input of a gateway's decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed or could not be fetched.
    EndpointsChanged {
        /// How to apply the entries.
        update: EndpointUpdate,
        /// The entries.
        entries: Vec<Endpoint>,
    },
    /// A request has arrived from a client.
    Request(Request),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer, from this attempt or an earlier one.
        complete: bool,
        /// Time since the start of the attempt, ms.
        elapsed: Millis,
    },
    /// The gateway has started to send the response of an attempt to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// A timer with this token has fired.
    Timer(u64),
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the start of the health check, ms.
        elapsed: Millis,
    },
    /// A call to the counter service has ended.
    CounterReplied {
        /// The key that the call was for.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the start of the call, ms.
        elapsed: Millis,
        /// The total after the call; only valid if the outcome is `Ok`.
        total: f64,
    },
}
