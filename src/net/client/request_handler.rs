//! Handles each request: validates its head, reads its body, submits it to the event loop and returns the
//! response.

use super::connection::Connection;
use super::correlation_ids::CorrelationIds;
use super::disconnect::DisconnectGuard;
use super::request_body::read_body;
use super::request_error::RequestError;
use super::request_parser::{check_body, check_framing, origin_form, validate_head};
use super::response::{self, ClientResponse};
use crate::net::event_loop::{Answer, EventLoop, IncomingRequest};
use crate::net::socket::is_closed_by_peer;
use crate::net::upstream::ForwardedRequest;
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::cell::Cell;
use std::rc::Rc;

/// Path of the health check, which reports whether the gateway is ready.
const HEALTH_PATH: &str = "/healthz";

/// Handles the requests of all client connections.
pub struct RequestHandler {
    event_loop: Rc<EventLoop>,
    correlation_ids: CorrelationIds,
    draining: Cell<bool>,
    rejecting_new_requests: Cell<bool>,
    saturated: Cell<bool>,
}

impl RequestHandler {
    /// Creates a handler that submits valid requests to `event_loop`.
    pub fn new(event_loop: Rc<EventLoop>) -> Self {
        RequestHandler {
            event_loop,
            correlation_ids: CorrelationIds::default(),
            draining: Cell::new(false),
            rejecting_new_requests: Cell::new(false),
            saturated: Cell::new(false),
        }
    }

    /// Makes each later response close its connection, so that clients move to other gateways. A connection
    /// on which a further request has arrived stays open until that request has been answered.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Makes the handler answer each request that has a valid head with 503 as soon as its body has been
    /// read, because no time is left to serve the request.
    pub fn reject_new_requests(&self) {
        self.rejecting_new_requests.set(true);
    }

    /// Sets whether new connections have to wait because the connection limit is reached and no open
    /// connection can be evicted.
    pub fn set_saturated(&self, saturated: bool) {
        self.saturated.set(saturated);
    }

    /// Handles one request and returns its response. The response announces the close of the connection if
    /// the request is invalid, or if the gateway is draining or saturated and no further request has arrived.
    pub async fn handle(&self, request: Request<Incoming>, connection: &Connection) -> ClientResponse {
        let mut response = self.process(request, connection).await.unwrap_or_else(response::from_error);
        // While the gateway is saturated, an open connection blocks the clients that wait to connect. A
        // connection on which further requests have arrived is not closed, because those requests would be
        // lost.
        if (self.draining.get() || self.saturated.get()) && connection.has_no_further_request() {
            response::announce_close(&mut response);
        }
        response
    }

    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Result<ClientResponse, RequestError> {
        let (head, body) = request.into_parts();
        check_framing(&head.headers)?;
        if head.uri.path() == HEALTH_PATH {
            connection.record_received_request(self.event_loop.now());
            return Ok(response::health(self.event_loop.is_ready()));
        }
        // The head is validated before the body is read, so that no memory is used for the body of an invalid
        // request.
        let validated = validate_head(&head, self.event_loop.names(), self.event_loop.settings())?;
        // If the client disconnects during this await, nothing has to be cancelled: the request has not been
        // submitted yet.
        let body = read_body(body).await?;
        if self.rejecting_new_requests.get() {
            connection.record_received_request(self.event_loop.now());
            return Ok(response::shutting_down());
        }
        check_body(&head.method, &body)?;
        if let Err(time_until_ready) = self.event_loop.check_may_forward() {
            connection.record_received_request(self.event_loop.now());
            let retry_after = time_until_ready.min(self.event_loop.settings().max_retry_after);
            return Ok(response::starting(retry_after));
        }
        let repeatable = head.method == Method::GET;
        let id_guard = self.correlation_ids.reserve(validated.correlation_id, repeatable)?;
        let forwarded_request = ForwardedRequest {
            method: head.method,
            uri: origin_form(head.uri),
            headers: validated.forwarded_headers,
            body,
        };
        connection.record_received_request(self.event_loop.now());
        let incoming = IncomingRequest {
            request: validated.request,
            forwarded_request,
            client: Rc::downgrade(connection.stream()),
            forwarded: id_guard.forwarded().clone(),
        };
        let answer = self.submit_and_wait(incoming, connection).await;
        if matches!(answer, Answer::Rejected { .. }) {
            // No server has executed the request, so the client may send it again.
            id_guard.forwarded().clear();
        }
        Ok(response::from_answer(answer))
    }

    /// Submits a request to the event loop and waits for the answer. If the client disconnects first, the
    /// connection's task drops this future, and the guard reports the disconnect to the event loop.
    async fn submit_and_wait(&self, request: IncomingRequest, connection: &Connection) -> Answer {
        let (id, receiver) = self.event_loop.submit(request);
        let disconnect_guard = DisconnectGuard::new(&self.event_loop, id);
        let answer = match receiver.await {
            Ok(answer) => answer,
            // The event loop noticed the disconnect before the connection's task did, and dropped the sender.
            // The connection's task will drop this future as well.
            Err(_) if is_closed_by_peer(connection.stream()) => std::future::pending().await,
            // The client has sent too much behind its request for its disconnect to be noticed, or there is a
            // bug. The client gets a response if it is still there.
            Err(_) => Answer::Failed,
        };
        disconnect_guard.disarm();
        answer
    }
}
