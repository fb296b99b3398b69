//! Keeps the endpoint list up to date with a watch on the discovery agent.

use super::connect::Connect;
use super::endpoint_list::EndpointList;
use super::error::DiscoveryError;
use super::requests::{AgentRequests, Answer, Request};
use super::response::ResponseStream;
use super::timing::{RequestTiming, INITIAL_BACKOFF, STALE_WATCH_TIMEOUT, WATCH_IDLE_TIMEOUT};
use crate::net::supervisor::keep_running;
use std::convert::Infallible;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

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
    requests: AgentRequests<A>,
    /// The revision up to which all changes are known. If it is `None`, a complete list must be read next.
    revision: Option<u64>,
    backoff: Duration,
    /// Time of the agent's first response to a watch request after the last data from the agent (any byte on
    /// a watch, or a complete list). `None` if the agent has not responded to a watch request since that
    /// data.
    silent_since: Option<Instant>,
}

impl<S: EndpointSink, A: Connect + Clone + 'static> EndpointWatcher<S, A> {
    fn new(sink: S, agent: A, known_revision: Option<u64>, limits: WatcherLimits) -> Self {
        let timing = RequestTiming::for_drain_grace(limits.drain_grace);
        EndpointWatcher {
            sink,
            requests: AgentRequests::new(agent.clone(), timing, limits.max_object_bytes),
            agent,
            timing,
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
            self.requests.back_off(self.backoff).await;
            self.backoff = (self.backoff * 2).min(self.timing.max_backoff);
        }
    }

    /// Reads a complete list if one is needed, then applies the changes from a watch until an error occurs.
    async fn watch_until_error(&mut self) -> Result<Infallible, DiscoveryError> {
        let mut response = self.open_watch().await?;
        loop {
            self.apply_received(&mut response)?;
            // If this await is cancelled, the bytes of a partly received list are lost with the connection.
            // The next watch starts after the revision of the last list that was fully received.
            match response.read_chunk(WATCH_IDLE_TIMEOUT).await {
                Ok(()) => self.silent_since = None,
                // The changes of the list are unknown until the rest has arrived, or a complete list.
                Err(error @ DiscoveryError::ObjectTimeout) => {
                    self.requests.keep_watch(response);
                    return Err(self.require_complete_list(error));
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Opens a watch that sends the changes after the known revision. Reads and applies a complete list first
    /// if one is needed.
    async fn open_watch(&mut self) -> Result<ResponseStream, DiscoveryError> {
        loop {
            let since = self.revision.filter(|_| !self.is_watch_stale());
            let request = since.map_or(Request::CompleteList, |since| Request::Watch { since });
            let answer = self.requests.send(request).await;
            // The agent has responded, but nothing has been received on the watch yet. An agent that does not
            // respond is down, which does not mean that its watches are stale.
            if matches!(answer, Ok(Answer::Watch(_)) | Err(DiscoveryError::UnexpectedStatus(_))) {
                self.silent_since.get_or_insert_with(Instant::now);
            }
            match answer? {
                Answer::Watch(response) => return Ok(response),
                Answer::CompleteList(mut response) => self.apply_complete_list(&mut response)?,
            }
        }
    }

    fn is_watch_stale(&self) -> bool {
        self.silent_since.is_some_and(|since| since.elapsed() >= STALE_WATCH_TIMEOUT)
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

    /// Makes the watcher read a complete list next, because data of the watch was only partly received or
    /// cannot be decoded. That data may contain a change. Returns the error unchanged.
    fn require_complete_list(&mut self, error: DiscoveryError) -> DiscoveryError {
        self.revision = None;
        error
    }

    /// Applies the complete list that a response contains. Entries that cannot be decoded are ignored: another
    /// request would return the same list.
    fn apply_complete_list(&mut self, response: &mut ResponseStream) -> Result<(), DiscoveryError> {
        let list = response.next_list()?.ok_or(DiscoveryError::ResponseEnded)?;
        self.apply(&list.into_complete());
        self.silent_since = None;
        Ok(())
    }

    /// Records the revision of a list, resets the backoff and passes the list to the sink. Returns false if
    /// an entry cannot be decoded.
    fn apply(&mut self, list: &EndpointList<'_>) -> bool {
        self.revision = Some(list.revision);
        self.backoff = INITIAL_BACKOFF;
        self.sink.apply_endpoints(list)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_watcher.rs"]
mod tests;
