//! One attempt at a server: from obtaining a connection to reporting the result.

use super::connection::Connection;
use super::pool::ConnectionPool;
use super::request::ForwardedRequest;
use super::response;
use crate::event::Outcome;
use crate::ids::{Millis, RequestId, ServerId};
use crate::net::event_sink::EventSink;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::Response;
use std::net::SocketAddr;
use std::rc::Rc;

/// What an attempt needs from its owner, which also takes the result.
pub trait AttemptOwner: EventSink {
    /// Connections to servers.
    fn pool(&self) -> &ConnectionPool;

    /// Whether an attempt may begin.
    ///
    /// # Errors
    /// How the attempt has ended, if it may not.
    fn check_may_begin(&self, id: RequestId, server: ServerId) -> Result<(), Outcome>;

    /// Whether a server may be sent new requests.
    fn accepts_requests(&self, server: ServerId) -> bool;

    /// An attempt has ended, with the response's body if there was a response.
    fn attempt_ended(&self, id: RequestId, attempt: u8, outcome: Outcome, body: Option<Bytes>);
}

/// An attempt to be made.
pub struct AttemptSpec {
    /// The client's request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub number: u8,
    /// The server.
    pub server: ServerId,
    /// The server's address.
    pub address: SocketAddr,
    /// What is sent.
    pub forward: Rc<ForwardedRequest>,
    /// When the attempt times out, Unix ms.
    pub timeout_at: Millis,
}

/// How an attempt ended.
struct AttemptResult {
    outcome: Outcome,
    body: Option<Bytes>,
}

impl AttemptResult {
    fn without_body(outcome: Outcome) -> Self {
        AttemptResult { outcome, body: None }
    }
}

/// Makes one attempt and reports its result. Cancelled, it closes its connection.
pub async fn attempt<O: AttemptOwner + Clone + 'static>(owner: O, spec: AttemptSpec) {
    let guard = CompletionGuard { owner: owner.clone(), id: spec.id, number: spec.number, reported: false };
    let result = run(&owner, &spec).await;
    guard.complete(result);
}

/// Reports that the request may have been executed, should the attempt's task be dropped before its result is
/// known.
struct CompletionGuard<O: AttemptOwner> {
    owner: O,
    id: RequestId,
    number: u8,
    reported: bool,
}

impl<O: AttemptOwner> CompletionGuard<O> {
    fn complete(mut self, result: AttemptResult) {
        self.report(result);
    }

    fn report(&mut self, result: AttemptResult) {
        self.reported = true;
        self.owner.attempt_ended(self.id, self.number, result.outcome, result.body);
    }
}

impl<O: AttemptOwner> Drop for CompletionGuard<O> {
    fn drop(&mut self) {
        if !self.reported {
            self.report(AttemptResult::without_body(Outcome::Reset));
        }
    }
}

/// Where an attempt's connection came from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    ConnectionPool,
    New,
}

/// Why a request brought no response.
enum SendError {
    /// The connection was closed before it took the request.
    Closed,
    /// The connection took the request and failed before the first byte: nothing was sent.
    NothingWritten,
    /// The connection failed with some of the request written: it may have been executed.
    AfterFirstByte(Outcome),
}

async fn run<O: AttemptOwner + Clone + 'static>(owner: &O, spec: &AttemptSpec) -> AttemptResult {
    loop {
        // Before a connection is taken or opened, as a connection is closed when its attempt is given up.
        if let Err(outcome) = owner.check_may_begin(spec.id, spec.server) {
            return AttemptResult::without_body(outcome);
        }
        let (mut connection, origin) = match obtain_connection(owner, spec).await {
            Ok(obtained) => obtained,
            Err(outcome) => return AttemptResult::without_body(outcome),
        };
        let outcome = match send(owner, spec, &mut connection).await {
            Ok(response) => return receive(owner, spec.server, connection, response).await,
            Err(SendError::AfterFirstByte(outcome)) => outcome,
            // The server had closed an idle connection; another one serves.
            Err(_) if origin == Origin::ConnectionPool => continue,
            Err(SendError::Closed) => Outcome::ConnectFailed,
            Err(SendError::NothingWritten) => {
                owner.check_may_begin(spec.id, spec.server).err().unwrap_or(Outcome::ConnectFailed)
            }
        };
        return AttemptResult::without_body(outcome);
    }
}

async fn obtain_connection<O: AttemptOwner>(
    owner: &O,
    spec: &AttemptSpec,
) -> Result<(Connection, Origin), Outcome> {
    if let Some(connection) = owner.pool().take(spec.server, spec.address, owner.now()) {
        return Ok((connection, Origin::ConnectionPool));
    }
    let connection = owner.pool().connect(spec.address).await?;
    Ok((connection, Origin::New))
}

/// Sends the request and waits for the head of the response.
async fn send<O: AttemptOwner + Clone + 'static>(
    owner: &O,
    spec: &AttemptSpec,
    connection: &mut Connection,
) -> Result<Response<Incoming>, SendError> {
    connection.sender.ready().await.map_err(|_| SendError::Closed)?;
    let (asked, id, server) = (owner.clone(), spec.id, spec.server);
    connection.exchange.begin(Box::new(move || asked.check_may_begin(id, server).is_ok()));
    // Computed now, as the connection may have taken long to come up.
    let time_left = spec.timeout_at - owner.now();
    let request = spec.forward.to_upstream(spec.address, time_left);
    let sent = connection.sender.try_send_request(request).await;
    connection.exchange.end();
    sent.map_err(|error| match connection.exchange.has_written() {
        true => SendError::AfterFirstByte(response::failure_outcome(error.error())),
        false => SendError::NothingWritten,
    })
}

/// Reads the response, and gives the connection back to the pool if it can be used again.
async fn receive(
    owner: &impl AttemptOwner,
    server: ServerId,
    connection: Connection,
    response: Response<Incoming>,
) -> AttemptResult {
    let received = match response::receive(response).await {
        Ok(received) => received,
        Err(outcome) => return AttemptResult::without_body(outcome),
    };
    if received.keep_alive && owner.accepts_requests(server) {
        owner.pool().put(server, connection, owner.now());
    }
    AttemptResult { outcome: received.outcome, body: Some(received.body) }
}
