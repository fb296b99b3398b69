//! The inputs of a gateway's decisions: requests, ends of attempts, endpoint lists and counter replies.

use crate::ids::{ClassId, CounterKey, Millis, PlanId, RequestId, ServerId, TenantId};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// When it last started, ms; 0: long ago.
    pub started: Millis,
    /// Its state.
    pub state: EndpointState,
}

/// How the entries of an [`Event::EndpointsChanged`] are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Incremental,
    /// The complete list; a server that is not in it is removed.
    Complete,
    /// The complete list as this gateway last held it, possibly stale.
    Cached,
    /// The list could not be had; the present one holds.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant's plan.
    pub plan: PlanId,
    /// Units it draws from the quota.
    pub units: f64,
    /// How long the client still waits; ms.
    pub time_left: Millis,
    /// Gateways through which the tenant's requests come in.
    pub gateway_count: f64,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served or answered.
    Ok,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected for lack of capacity; not executed.
    Rejected,
    /// No answer in time; may have been executed.
    TimedOut,
    /// No connection; not executed.
    ConnectFailed,
    /// The connection was lost; may have been executed.
    Reset,
    /// Cancelled by the gateway; may have been executed.
    Cancelled,
    /// Never sent, for a reason on this side.
    NotSent,
}

impl Outcome {
    /// Whether this end leaves open that the server has executed the request.
    pub fn may_have_executed(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An input of a gateway's decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the endpoint list.
    EndpointsChanged {
        /// How to read the entries.
        update: EndpointUpdate,
        /// The entries.
        entries: Vec<Endpoint>,
    },
    /// A request has come in.
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
        /// The request has its final answer, by this attempt or before.
        complete: bool,
        /// Time since the attempt began; ms.
        elapsed: Millis,
    },
    /// The response of an attempt has begun to stream to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// A timer has fired; its token comes back.
    Timer(u64),
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it began; ms.
        elapsed: Millis,
    },
    /// A call to the counter has ended.
    CounterReplied {
        /// The counter.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the call; ms.
        elapsed: Millis,
        /// The total after the call, if the outcome is `Ok`.
        total: f64,
    },
}
