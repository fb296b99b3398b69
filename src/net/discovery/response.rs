//! One call to the agent, and its response read list by list as it comes.

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
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// The task that drives a connection; dropped, it closes the connection.
struct ConnectionTask(tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response whose head has come. Dropped, its connection is closed.
pub(super) struct ResponseStream {
    body: Incoming,
    framer: JsonFramer,
    /// When the first byte of the incomplete object came.
    object_started: Option<Instant>,
    _connection: ConnectionTask,
}

impl ResponseStream {
    /// Calls the agent, on a connection of its own. `call_timeout` is the time for the connection to open,
    /// and again for the response head; an object may hold `max_bytes`.
    ///
    /// # Errors
    /// When the agent cannot be reached, does not answer in time or answers with another status than 200.
    pub async fn open<A: Connect>(
        agent: &A,
        path: &str,
        call_timeout: Duration,
        max_bytes: usize,
    ) -> Result<Self, DiscoveryError> {
        // Cancelled at any await in here, the connection is closed, and the agent is called again.
        let stream = timeout(call_timeout, agent.connect())
            .await
            .map_err(|_| DiscoveryError::ConnectTimeout)?
            .map_err(DiscoveryError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = ConnectionTask(tokio::task::spawn_local(async move {
            // How it ends is seen by whoever reads the response.
            let _ = connection.await;
        }));
        let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new())?;
        let response = timeout(call_timeout, sender.send_request(request))
            .await
            .map_err(|_| DiscoveryError::ResponseTimeout)??;
        match response.status() {
            StatusCode::OK => Ok(ResponseStream {
                body: response.into_body(),
                framer: JsonFramer::new(max_bytes),
                object_started: None,
                _connection: connection,
            }),
            status => Err(DiscoveryError::Refused(status)),
        }
    }

    /// The next list among the bytes that have come; `None` while more of it has to come.
    ///
    /// # Errors
    /// When the bytes are not those of an endpoint list, or the list is too large.
    pub fn next_list(&mut self) -> Result<Option<EndpointList<'_>>, DiscoveryError> {
        let Some(object) = self.framer.next_object()? else { return Ok(None) };
        let list = serde_json::from_slice(object)?;
        self.object_started = None;
        Ok(Some(list))
    }

    /// Waits for the next piece of the body: between two objects for `idle_timeout`, within one for
    /// [`STALL_TIMEOUT`] and no later than [`OBJECT_TIMEOUT`] after its first byte.
    ///
    /// # Errors
    /// When no piece comes in time, the body has ended or the connection fails.
    pub async fn read_piece(&mut self, idle_timeout: Duration) -> Result<(), DiscoveryError> {
        let now = Instant::now();
        if self.framer.in_object() {
            self.object_started.get_or_insert(now);
        }
        let deadline = match self.object_started {
            Some(started) => (started + OBJECT_TIMEOUT).min(now + STALL_TIMEOUT),
            None => now + idle_timeout,
        };
        let frame = match timeout_at(deadline, self.body.frame()).await {
            Ok(frame) => frame.ok_or(DiscoveryError::ResponseEnded)??,
            Err(_) if self.object_started.is_some() => return Err(DiscoveryError::ObjectTimeout),
            Err(_) => return Err(DiscoveryError::Idle),
        };
        if let Ok(piece) = frame.into_data() {
            self.framer.push(&piece);
        }
        Ok(())
    }
}
