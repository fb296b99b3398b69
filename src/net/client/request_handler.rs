//! Takes one request through its steps: read, validate, admit, respond.

use super::connection::Connection;
use super::disconnect::DisconnectGuard;
use super::in_flight_ids::InFlightIds;
use super::request_body::read_body;
use super::request_error::RequestError;
use super::request_parser::{check_body, check_framing, origin_form, validate_head};
use super::response::{self, ClientResponse};
use crate::net::event_loop::{Answer, EventLoop, IncomingRequest};
use crate::net::socket::is_closed_by_peer;
use crate::net::upstream::ForwardedRequest;
use hyper::body::Incoming;
use hyper::Request;
use std::cell::Cell;
use std::rc::Rc;

/// The path that tells whether the gateway is ready.
const HEALTH_PATH: &str = "/healthz";

/// Handles the requests of all client connections.
pub struct RequestHandler {
    event_loop: Rc<EventLoop>,
    in_flight_ids: InFlightIds,
    draining: Cell<bool>,
    rejecting: Cell<bool>,
    saturated: Cell<bool>,
}

impl RequestHandler {
    /// A handler that hands valid requests to this event loop.
    pub fn new(event_loop: Rc<EventLoop>) -> Self {
        RequestHandler {
            event_loop,
            in_flight_ids: InFlightIds::default(),
            draining: Cell::new(false),
            rejecting: Cell::new(false),
            saturated: Cell::new(false),
        }
    }

    /// From now on responses close their connections, so that clients move on.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// From now on requests are rejected at once: there is no time left to serve them.
    pub fn start_rejecting(&self) {
        self.rejecting.set(true);
    }

    /// Notes whether new connections wait while no open one can be closed for them.
    pub fn set_saturated(&self, saturated: bool) {
        self.saturated.set(saturated);
    }

    /// Handles one request and gives its response, which also says whether the connection closes.
    pub async fn handle(&self, request: Request<Incoming>, connection: &Connection) -> ClientResponse {
        let mut response = self.process(request, connection).await.unwrap_or_else(response::from_error);
        // While saturated, a connection that is kept would lock out the clients that wait for one. Requests
        // behind this one are answered first: they would be lost with the connection.
        if (self.draining.get() || self.saturated.get()) && connection.is_last_request() {
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
            connection.record_request(self.event_loop.now());
            return Ok(response::health(self.event_loop.is_ready()));
        }
        // Before the body is read: no memory is held for a request that is rejected.
        let validated = validate_head(&head, self.event_loop.names(), self.event_loop.settings())?;
        // If the client disconnects at this await, nothing has been admitted yet.
        let body = read_body(body).await?;
        if self.rejecting.get() {
            connection.record_request(self.event_loop.now());
            return Ok(response::shutting_down());
        }
        check_body(&head.method, &body)?;
        let _in_flight_id = self.in_flight_ids.reserve(validated.correlation_id)?;
        let forward = ForwardedRequest {
            method: head.method,
            uri: origin_form(head.uri),
            headers: validated.forwarded_headers,
            body,
        };
        connection.record_request(self.event_loop.now());
        let client = Rc::downgrade(connection.stream());
        let answer =
            self.admit(IncomingRequest { request: validated.request, forward, client }, connection).await;
        Ok(response::from_answer(answer))
    }

    /// Hands a request to the event loop and waits for its answer. If the client disconnects meanwhile, the
    /// connection's task drops this future, and the guard reports it.
    async fn admit(&self, arrival: IncomingRequest, connection: &Connection) -> Answer {
        let (id, answer) = self.event_loop.submit(arrival);
        let disconnect_guard = DisconnectGuard::new(&self.event_loop, id);
        let answer = match answer.await {
            Ok(answer) => answer,
            // The event loop has noticed the disconnect first and dropped the sender: the connection's task
            // is about to drop this future as well.
            Err(_) if is_closed_by_peer(connection.stream()) => std::future::pending().await,
            // A sender lost otherwise is a defect; the client still gets its response.
            Err(_) => Answer::Failed,
        };
        disconnect_guard.disarm();
        answer
    }
}
