//! Sends one request to the agent and reads the endpoint lists from its response as they arrive.

use super::connect::Connect;
use super::endpoint_list::EndpointList;
use super::error::DiscoveryError;
use super::json_framer::JsonFramer;
use super::timing::{OBJECT_TIMEOUT, STALL_TIMEOUT};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The task that drives a connection. Dropping it closes the connection.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How far the reception of a response body has got.
pub(super) struct ReceiveProgress {
    started_at: Instant,
    last_chunk_at: Cell<Instant>,
}

impl ReceiveProgress {
    fn new(now: Instant) -> Self {
        ReceiveProgress { started_at: now, last_chunk_at: Cell::new(now) }
    }

    /// When the response head was received.
    pub(super) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// When the last chunk of the body was received, or the head if there was no chunk yet.
    pub(super) fn last_chunk_at(&self) -> Instant {
        self.last_chunk_at.get()
    }
}

/// A response whose head has been received. Dropping it closes its connection.
pub(super) struct ResponseStream {
    body: Incoming,
    framer: JsonFramer,
    /// When the gateway began to wait for the rest of a partly received object; `None` if the gateway
    /// is not waiting for the rest of an object.
    object_wait_started_at: Option<Instant>,
    progress: Rc<ReceiveProgress>,
    _connection: ConnectionTask,
}

impl ResponseStream {
    /// Sends a request to the agent on a new connection and waits for the response head, without a time
    /// limit. Each endpoint list in the response is a JSON object of at most `max_object_bytes`.
    ///
    /// # Errors
    /// Returns an error if the agent cannot be reached or responds with a status other than 200.
    pub async fn open<A: Connect>(
        agent: &A,
        path: &str,
        max_object_bytes: usize,
    ) -> Result<Self, DiscoveryError> {
        // If an await in this function is cancelled, the connection is closed. No other state has changed by
        // then, so the request can be sent again.
        let stream = agent.connect().await.map_err(DiscoveryError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = ConnectionTask(tokio::task::spawn_local(async move {
            // An error is not handled here, because reading the response returns the error too.
            let _ = connection.await;
        }));
        let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(ResponseStream {
                body: response.into_body(),
                framer: JsonFramer::new(max_object_bytes),
                object_wait_started_at: None,
                progress: Rc::new(ReceiveProgress::new(Instant::now())),
                _connection: connection,
            }),
            status => Err(DiscoveryError::UnexpectedStatus(status)),
        }
    }

    /// How far the reception of the body has got.
    pub(super) fn progress(&self) -> Rc<ReceiveProgress> {
        self.progress.clone()
    }

    /// Receives chunks until the next object is complete, without a time limit.
    ///
    /// # Errors
    /// Returns an error if the bytes cannot be part of an object, the object is too large, the body ends or
    /// the connection fails.
    pub async fn receive_object(&mut self) -> Result<(), DiscoveryError> {
        while !self.framer.has_object()? {
            self.receive_frame().await?;
        }
        Ok(())
    }

    /// Returns the next list among the received bytes, or `None` if that list is not fully received.
    ///
    /// # Errors
    /// Returns an error if the bytes are not an endpoint list, or if the list is too large.
    pub fn next_list(&mut self) -> Result<Option<EndpointList<'_>>, DiscoveryError> {
        let Some(object) = self.framer.next_object()? else { return Ok(None) };
        let list = serde_json::from_slice(object)?;
        self.object_wait_started_at = None;
        Ok(Some(list))
    }

    /// Whether an object has been received in part.
    pub(super) fn in_object(&self) -> bool {
        self.framer.in_object()
    }

    /// Waits for the next chunk of the body. Outside of an object, the chunk must arrive within
    /// `idle_timeout`. Within an object, the chunk must arrive within [`STALL_TIMEOUT`], and at the latest
    /// [`OBJECT_TIMEOUT`] after the gateway began to wait for the rest of the object.
    ///
    /// # Errors
    /// Returns an error if no chunk arrives in time, the body has ended or the connection fails.
    pub async fn read_chunk(&mut self, idle_timeout: Duration) -> Result<(), DiscoveryError> {
        let now = Instant::now();
        if self.framer.in_object() {
            self.object_wait_started_at.get_or_insert(now);
        }
        let deadline = match self.object_wait_started_at {
            Some(started_at) => (started_at + OBJECT_TIMEOUT).min(now + STALL_TIMEOUT),
            None => now + idle_timeout,
        };
        match timeout_at(deadline, self.receive_frame()).await {
            Ok(received) => received,
            Err(_) if self.object_wait_started_at.is_some() => Err(DiscoveryError::ObjectTimeout),
            Err(_) => Err(DiscoveryError::IdleTimeout),
        }
    }

    async fn receive_frame(&mut self) -> Result<(), DiscoveryError> {
        let frame = self.body.frame().await.ok_or(DiscoveryError::ResponseEnded)??;
        self.progress.last_chunk_at.set(Instant::now());
        if let Ok(chunk) = frame.into_data() {
            self.framer.push(&chunk);
        }
        Ok(())
    }
}
