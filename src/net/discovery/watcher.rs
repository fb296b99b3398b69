//! Keeps the endpoint list up to date with a watch on the discovery agent.

use super::connect::Connect;
use super::endpoint_list::EndpointList;
use super::error::DiscoveryError;
use super::response::ResponseStream;
use super::timing::{
    RequestTiming, INITIAL_BACKOFF, OBJECT_TIMEOUT, STALE_WATCH_TIMEOUT, STALL_TIMEOUT, WATCH_IDLE_TIMEOUT,
};
use crate::net::supervisor::keep_running;
use std::convert::Infallible;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

/// Receives the lists that the agent sends.
pub trait EndpointSink {
    /// Applies a list. Returns false if an entry cannot be decoded, since the change that the entry describes
    /// is then unknown.
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool;
}

/// Limits of a watcher's requests and memory.
#[derive(Clone, Copy, Debug)]
pub struct WatcherLimits {
    /// Time for which an endpoint may still receive new requests after the gateway is notified that the
    /// endpoint is draining. The request timeout and the longest backoff are derived from this time.
    pub drain_grace: Duration,
    /// Maximum size of one JSON object, bytes.
    pub max_object_bytes: usize,
}

/// A handle to a running watcher of one discovery agent. Dropping the handle stops the watcher.
pub struct WatcherHandle<A> {
    agent: A,
    limits: WatcherLimits,
    task: AbortHandle,
}

impl<A: Connect + Clone + PartialEq + 'static> WatcherHandle<A> {
    /// Starts to watch `agent` for changes after `known_revision`. If `known_revision` is `None`, the watcher
    /// reads a complete list first.
    pub fn start<S: EndpointSink + Clone + 'static>(
        sink: &S,
        agent: A,
        known_revision: Option<u64>,
        limits: WatcherLimits,
    ) -> Self {
        let (sink, watched_agent) = (sink.clone(), agent.clone());
        let task = keep_running("discovery", move || {
            EndpointWatcher::new(sink.clone(), watched_agent.clone(), known_revision, limits).watch_forever()
        });
        WatcherHandle { agent, limits, task }
    }

    /// Watches `agent` instead of the current agent, if the two differ. The current list stays in use until
    /// the new agent has sent a list. The revisions of two agents may not be comparable, so the watcher first
    /// reads a complete list from the new agent.
    pub fn switch_agent<S: EndpointSink + Clone + 'static>(&mut self, sink: &S, agent: A) {
        if self.agent != agent {
            *self = WatcherHandle::start(sink, agent, None, self.limits);
        }
    }
}

impl<A> Drop for WatcherHandle<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct EndpointWatcher<S, A> {
    sink: S,
    agent: A,
    timing: RequestTiming,
    max_object_bytes: usize,
    /// The revision up to which all changes are known. If it is `None`, a complete list must be read next.
    revision: Option<u64>,
    backoff: Duration,
    /// Time of the agent's first response to a watch request after the last data from the agent (any byte on
    /// a watch, or a complete list). `None` if the agent has not responded to a watch request since that
    /// data.
    silent_since: Option<Instant>,
}

impl<S: EndpointSink, A: Connect> EndpointWatcher<S, A> {
    fn new(sink: S, agent: A, known_revision: Option<u64>, limits: WatcherLimits) -> Self {
        EndpointWatcher {
            sink,
            agent,
            timing: RequestTiming::for_drain_grace(limits.drain_grace),
            max_object_bytes: limits.max_object_bytes,
            revision: known_revision,
            backoff: INITIAL_BACKOFF,
            silent_since: None,
        }
    }

    async fn watch_forever(mut self) {
        loop {
            let Err(error) = self.watch_until_error().await;
            log::warn!(
                "discovery: updating the server list from agent {} failed: {error}; retrying in {} ms",
                self.agent,
                self.backoff.as_millis()
            );
            tokio::time::sleep(self.backoff).await;
            self.backoff = (self.backoff * 2).min(self.timing.max_backoff);
        }
    }

    /// Reads a complete list if one is needed, then applies the changes from a watch until an error occurs.
    async fn watch_until_error(&mut self) -> Result<Infallible, DiscoveryError> {
        let revision = match self.revision {
            Some(revision) if !self.is_watch_stale() => revision,
            _ => self.read_complete_list().await?,
        };
        let mut response = self.open_watch(revision).await?;
        loop {
            self.apply_received(&mut response)?;
            // If this await is cancelled, the bytes of a partly received list are lost with the connection.
            // The next watch starts after the revision of the last list that was fully received.
            match response.read_chunk(WATCH_IDLE_TIMEOUT).await {
                Ok(()) => self.silent_since = None,
                Err(error) => return Err(self.handle_watch_error(error)),
            }
        }
    }

    fn is_watch_stale(&self) -> bool {
        self.silent_since.is_some_and(|since| since.elapsed() >= STALE_WATCH_TIMEOUT)
    }

    /// Opens a watch that sends the changes after `revision`.
    async fn open_watch(&mut self, revision: u64) -> Result<ResponseStream, DiscoveryError> {
        let response = self.request(&format!("/v1/servers?follow=1&since={revision}")).await;
        // The agent has responded, but nothing has been received on the watch yet. An agent that does not
        // respond is down, which does not mean that its watches are stale.
        if matches!(response, Ok(_) | Err(DiscoveryError::UnexpectedStatus(_))) {
            self.silent_since.get_or_insert_with(Instant::now);
        }
        response
    }

    /// Applies the fully received lists of a watch.
    fn apply_received(&mut self, response: &mut ResponseStream) -> Result<(), DiscoveryError> {
        loop {
            let list = match response.next_list() {
                Ok(Some(list)) => list,
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.require_complete_list(error)),
            };
            if !self.apply(&list) && !list.complete {
                return Err(self.require_complete_list(DiscoveryError::InvalidEntry));
            }
        }
    }

    fn handle_watch_error(&mut self, error: DiscoveryError) -> DiscoveryError {
        match error {
            // The list was only partly received, so its changes are unknown.
            DiscoveryError::ObjectTimeout => self.require_complete_list(error),
            error => error,
        }
    }

    /// Makes the watcher read a complete list next, because data of the watch was only partly received or
    /// cannot be decoded. That data may contain a change. Returns the error unchanged.
    fn require_complete_list(&mut self, error: DiscoveryError) -> DiscoveryError {
        self.revision = None;
        error
    }

    /// Reads and applies a complete list. Returns its revision.
    async fn read_complete_list(&mut self) -> Result<u64, DiscoveryError> {
        let mut response = self.request("/v1/servers").await?;
        let deadline = Instant::now() + OBJECT_TIMEOUT;
        loop {
            if let Some(list) = response.next_list()? {
                // Entries that cannot be decoded are ignored: another request would return the same list.
                self.apply(&list.into_complete());
                self.silent_since = None;
                return Ok(self.revision.unwrap_or(0));
            }
            // If this await is cancelled, the bytes received so far are lost, and the list is requested
            // again.
            timeout_at(deadline, response.read_chunk(STALL_TIMEOUT))
                .await
                .map_err(|_| DiscoveryError::ListTimeout)??;
        }
    }

    /// Records the revision of a list, resets the backoff and passes the list to the sink. Returns false if
    /// an entry cannot be decoded.
    fn apply(&mut self, list: &EndpointList<'_>) -> bool {
        self.revision = Some(list.revision);
        self.backoff = INITIAL_BACKOFF;
        self.sink.apply_endpoints(list)
    }

    async fn request(&self, path: &str) -> Result<ResponseStream, DiscoveryError> {
        ResponseStream::open(&self.agent, path, self.timing.timeout, self.max_object_bytes).await
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_watcher.rs"]
mod tests;
