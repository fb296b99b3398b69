//! Keeps the endpoint list up to date over a watch on the agent.

use super::connect::Connect;
use super::endpoint_list::EndpointList;
use super::error::DiscoveryError;
use super::response::ResponseStream;
use super::timing::{
    CallTiming, INITIAL_BACKOFF, OBJECT_TIMEOUT, STALE_WATCH_TIMEOUT, STALL_TIMEOUT, WATCH_IDLE_TIMEOUT,
};
use crate::net::supervisor::keep_running;
use std::convert::Infallible;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

/// Takes in the lists that the agent sends.
pub trait EndpointSink {
    /// Takes in a list. False where an entry cannot be decoded, so that what it changes is unknown.
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool;
}

/// Limits of a watcher.
#[derive(Clone, Copy, Debug)]
pub struct WatcherLimits {
    /// How long after the notification of a drain an endpoint may still receive new requests.
    pub drain_grace: Duration,
    /// Bytes that one object may hold.
    pub max_object_bytes: usize,
}

/// Runs the watcher of the agent that the configuration names. Dropped, it stops the watcher.
pub struct WatcherHandle<A> {
    agent: A,
    limits: WatcherLimits,
    task: AbortHandle,
}

impl<A: Connect + Clone + PartialEq + 'static> WatcherHandle<A> {
    /// Watches `agent` for changes after version `known`; without one, reads a complete list first.
    pub fn start<S: EndpointSink + Clone + 'static>(
        sink: &S,
        agent: A,
        known: Option<u64>,
        limits: WatcherLimits,
    ) -> Self {
        let (sink, watched) = (sink.clone(), agent.clone());
        let task = keep_running("discovery", move || {
            EndpointWatcher::new(sink.clone(), watched.clone(), known, limits).run()
        });
        WatcherHandle { agent, limits, task }
    }

    /// Watches another agent, if it is another. The list in force holds until the new agent has sent its own.
    /// Versions of two agents need not be comparable, so that is a complete one.
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
    timing: CallTiming,
    max_bytes: usize,
    /// The version that is known without a gap; without one, a complete list is due.
    revision: Option<u64>,
    backoff: Duration,
    /// Since when the agent answers calls for a watch and sends nothing on them.
    stale_since: Option<Instant>,
}

impl<S: EndpointSink, A: Connect> EndpointWatcher<S, A> {
    fn new(sink: S, agent: A, known: Option<u64>, limits: WatcherLimits) -> Self {
        EndpointWatcher {
            sink,
            agent,
            timing: CallTiming::within(limits.drain_grace),
            max_bytes: limits.max_object_bytes,
            revision: known,
            backoff: INITIAL_BACKOFF,
            stale_since: None,
        }
    }

    async fn run(mut self) {
        loop {
            let Err(error) = self.sync_once().await;
            log::warn!("discovery watch failed: {error}; retrying in {} ms", self.backoff.as_millis());
            tokio::time::sleep(self.backoff).await;
            self.backoff = (self.backoff * 2).min(self.timing.max_backoff);
        }
    }

    /// One watch, after a complete list where that is due. Ends only by failing.
    async fn sync_once(&mut self) -> Result<Infallible, DiscoveryError> {
        let revision = match self.revision {
            Some(revision) if !self.is_watch_stale() => revision,
            _ => self.read_complete_list().await?,
        };
        let mut response = self.open_watch(revision).await?;
        loop {
            self.apply_received(&mut response)?;
            // Cancelled at this await, a piece that has come is lost with the connection; the next watch
            // begins after the last list that was received completely.
            match response.read_piece(WATCH_IDLE_TIMEOUT).await {
                Ok(()) => self.stale_since = None,
                Err(error) => return Err(self.watch_failed(error)),
            }
        }
    }

    fn is_watch_stale(&self) -> bool {
        self.stale_since.is_some_and(|since| since.elapsed() >= STALE_WATCH_TIMEOUT)
    }

    /// Opens a watch for changes after `revision`.
    async fn open_watch(&mut self, revision: u64) -> Result<ResponseStream, DiscoveryError> {
        let response = self.call(&format!("/v1/servers?follow=1&since={revision}")).await;
        // Answered, but nothing has come on a watch yet. An agent that does not answer is down, not stale.
        if matches!(response, Ok(_) | Err(DiscoveryError::Refused(_))) {
            self.stale_since.get_or_insert_with(Instant::now);
        }
        response
    }

    /// Applies the lists that have come completely on a watch.
    fn apply_received(&mut self, response: &mut ResponseStream) -> Result<(), DiscoveryError> {
        loop {
            let list = match response.next_list() {
                Ok(Some(list)) => list,
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.watch_unreadable(error)),
            };
            if !self.apply(&list) && !list.complete {
                return Err(self.watch_unreadable(DiscoveryError::InvalidEntry));
            }
        }
    }

    fn watch_failed(&mut self, error: DiscoveryError) -> DiscoveryError {
        match error {
            // What the incomplete list would have changed is unknown.
            DiscoveryError::ObjectTimeout => self.watch_unreadable(error),
            error => error,
        }
    }

    /// What has changed is unknown, as the watch has brought something unreadable: a complete list is due.
    fn watch_unreadable(&mut self, error: DiscoveryError) -> DiscoveryError {
        self.revision = None;
        error
    }

    /// Reads and applies a complete list; its version.
    async fn read_complete_list(&mut self) -> Result<u64, DiscoveryError> {
        let mut response = self.call("/v1/servers").await?;
        let deadline = Instant::now() + OBJECT_TIMEOUT;
        loop {
            if let Some(list) = response.next_list()? {
                // An entry that cannot be decoded stays left out: asking again would bring the same list.
                self.apply(&list.into_complete());
                self.stale_since = None;
                return Ok(self.revision.unwrap_or(0));
            }
            // Cancelled at this await, all that has come is lost, and the list is requested again.
            timeout_at(deadline, response.read_piece(STALL_TIMEOUT))
                .await
                .map_err(|_| DiscoveryError::ListTimeout)??;
        }
    }

    /// Hands a list on; false where an entry cannot be decoded.
    fn apply(&mut self, list: &EndpointList<'_>) -> bool {
        self.revision = Some(list.revision);
        self.backoff = INITIAL_BACKOFF;
        self.sink.apply_endpoints(list)
    }

    async fn call(&self, path: &str) -> Result<ResponseStream, DiscoveryError> {
        ResponseStream::open(&self.agent, path, self.timing.timeout, self.max_bytes).await
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_watcher.rs"]
mod tests;
