//! Makes one attempt to get a response to a request from a server: obtains a connection, sends the request,
//! receives the response and reports the result.

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

/// The owner of an attempt: it provides what the attempt needs and receives the result.
pub trait AttemptOwner: EventSink {
    /// The pool that attempts take connections from and return them to.
    fn pool(&self) -> &ConnectionPool;

    /// Checks whether an attempt may begin.
    ///
    /// # Errors
    /// The outcome of the attempt if it may not begin.
    fn check_may_begin(&self, id: RequestId, attempt_number: u8, target: Target) -> Result<(), Outcome>;

    /// Records that the first byte of an attempt is about to be written.
    fn attempt_begins(&self, id: RequestId);

    /// Whether new requests may be sent to a server; false, for example, for a draining server.
    fn accepts_requests(&self, server: ServerId) -> bool;

    /// Receives the outcome of an attempt and, if the server sent a valid response of any status, the body of
    /// that response.
    fn attempt_ended(&self, id: RequestId, attempt_number: u8, outcome: Outcome, body: Option<Bytes>);
}

/// Where an attempt is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server to send the request to.
    pub server: ServerId,
    /// The server's address when the attempt was started.
    pub address: SocketAddr,
}

/// Parameters of an attempt.
pub struct AttemptSpec {
    /// Id of the client's request.
    pub id: RequestId,
    /// Number of the attempt among the attempts of the request, from 0.
    pub number: u8,
    /// The server to send the request to.
    pub target: Target,
    /// The parts of the request that are the same for all its attempts.
    pub forwarded_request: Rc<ForwardedRequest>,
    /// Unix time at which the attempt times out, ms.
    pub timeout_at: Millis,
}

/// The result of an attempt that has ended.
struct AttemptResult {
    outcome: Outcome,
    body: Option<Bytes>,
}

impl AttemptResult {
    fn without_body(outcome: Outcome) -> Self {
        AttemptResult { outcome, body: None }
    }
}

/// Makes one attempt and reports its result. If the task that runs this function is aborted, the attempt's
/// connection is closed and the result is [`Outcome::Reset`].
pub async fn run_attempt<O: AttemptOwner + Clone + 'static>(owner: O, spec: AttemptSpec) {
    let guard =
        CompletionGuard { owner: owner.clone(), id: spec.id, attempt_number: spec.number, reported: false };
    let result = make_attempt(&owner, &spec).await;
    guard.complete(result);
}

/// Guard that reports [`Outcome::Reset`] (the request may have been executed) if the attempt's task is
/// dropped before the result of the attempt is known.
struct CompletionGuard<O: AttemptOwner> {
    owner: O,
    id: RequestId,
    attempt_number: u8,
    reported: bool,
}

impl<O: AttemptOwner> CompletionGuard<O> {
    fn complete(mut self, result: AttemptResult) {
        self.report(result);
    }

    fn report(&mut self, result: AttemptResult) {
        self.reported = true;
        self.owner.attempt_ended(self.id, self.attempt_number, result.outcome, result.body);
    }
}

impl<O: AttemptOwner> Drop for CompletionGuard<O> {
    fn drop(&mut self) {
        if !self.reported {
            self.report(AttemptResult::without_body(Outcome::Reset));
        }
    }
}

/// Whether an attempt reuses a pooled connection or has opened a new one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionSource {
    Pool,
    New,
}

/// The reason why no response head was received for a request.
enum SendError {
    /// The connection was closed before the request was passed to it.
    Closed,
    /// The request was passed to the connection, but no byte of it was written: the connection failed, or the
    /// stream's check before the first byte did not allow the write.
    NothingWritten,
    /// The connection failed after at least one byte was written, so the request may have been executed.
    /// Contains the outcome of the attempt.
    AfterFirstByte(Outcome),
}

async fn make_attempt<O: AttemptOwner + Clone + 'static>(owner: &O, spec: &AttemptSpec) -> AttemptResult {
    loop {
        // Checked before a connection is taken or opened, because an attempt that ends without sending its
        // request closes the connection that it has obtained.
        if let Err(outcome) = owner.check_may_begin(spec.id, spec.number, spec.target) {
            return AttemptResult::without_body(outcome);
        }
        let (mut connection, source) = match obtain_connection(owner, spec).await {
            Ok(obtained) => obtained,
            Err(outcome) => return AttemptResult::without_body(outcome),
        };
        let outcome = match send(owner, spec, &mut connection).await {
            Ok(response) => return receive(owner, spec.target.server, connection, response).await,
            Err(SendError::AfterFirstByte(outcome)) => outcome,
            // Nothing was written on the pooled connection, usually because the server closed the connection
            // while it was idle. The attempt continues with another connection.
            Err(_) if source == ConnectionSource::Pool => continue,
            Err(SendError::Closed) => Outcome::ConnectFailed,
            Err(SendError::NothingWritten) => owner
                .check_may_begin(spec.id, spec.number, spec.target)
                .err()
                .unwrap_or(Outcome::ConnectFailed),
        };
        return AttemptResult::without_body(outcome);
    }
}

async fn obtain_connection<O: AttemptOwner>(
    owner: &O,
    spec: &AttemptSpec,
) -> Result<(Connection, ConnectionSource), Outcome> {
    if let Some(connection) = owner.pool().take(spec.target.server, spec.target.address, owner.now()) {
        return Ok((connection, ConnectionSource::Pool));
    }
    let connection = owner.pool().connect(spec.target.address).await?;
    Ok((connection, ConnectionSource::New))
}

/// Sends the request and waits for the head of the response.
async fn send<O: AttemptOwner + Clone + 'static>(
    owner: &O,
    spec: &AttemptSpec,
    connection: &mut Connection,
) -> Result<Response<Incoming>, SendError> {
    connection.sender.ready().await.map_err(|_| SendError::Closed)?;
    let (owner_for_check, id, number, target) = (owner.clone(), spec.id, spec.number, spec.target);
    let may_begin = move || {
        let may_begin = owner_for_check.check_may_begin(id, number, target).is_ok();
        if may_begin {
            owner_for_check.attempt_begins(id);
        }
        may_begin
    };
    connection.exchange.begin(Box::new(may_begin));
    // Computed after the connection is open, because opening it may have used much of the attempt's time.
    let time_left = spec.timeout_at - owner.now();
    let request = spec.forwarded_request.to_upstream(spec.target.address, time_left);
    let sent = connection.sender.try_send_request(request).await;
    connection.exchange.end();
    sent.map_err(|error| match connection.exchange.has_written() {
        true => SendError::AfterFirstByte(response::failure_outcome(error.error())),
        false => SendError::NothingWritten,
    })
}

/// Reads the rest of the response. Returns the connection to the pool if the server keeps it open and still
/// accepts requests.
async fn receive(
    owner: &impl AttemptOwner,
    server: ServerId,
    connection: Connection,
    response: Response<Incoming>,
) -> AttemptResult {
    let received = match response::receive(response, &connection.exchange).await {
        Ok(received) => received,
        Err(outcome) => return AttemptResult::without_body(outcome),
    };
    if received.keep_alive && owner.accepts_requests(server) {
        owner.pool().put(server, connection, owner.now());
    }
    AttemptResult { outcome: received.outcome, body: Some(received.body) }
}
