//! Starts and stops the watcher of a discovery agent, and switches to another agent.

use super::connect::Connect;
use super::watcher::{EndpointSink, EndpointWatcher};
use crate::net::supervisor::keep_running;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Limits of a watcher's requests and memory.
#[derive(Clone, Copy, Debug)]
pub struct WatcherLimits {
    /// Time for which an endpoint may still receive new requests after the gateway is notified that the
    /// endpoint is draining. The request timeout and the longest backoff are derived from this time.
    pub drain_grace: Duration,
    /// Maximum size of one JSON object, bytes.
    pub max_object_bytes: usize,
}

/// The revision of the list in use. Shared by the handle and its watcher, so that the watcher of another agent
/// continues from this revision.
#[derive(Clone, Debug)]
pub(super) struct KnownRevision(Rc<Cell<Option<u64>>>);

impl KnownRevision {
    fn new(revision: Option<u64>) -> Self {
        KnownRevision(Rc::new(Cell::new(revision)))
    }

    /// The revision, or `None` if a complete list must be read next.
    pub(super) fn get(&self) -> Option<u64> {
        self.0.get()
    }

    /// Records the revision of a list that has been applied, or `None`.
    pub(super) fn set(&self, revision: Option<u64>) {
        self.0.set(revision);
    }
}

/// Where the list comes from that a watcher starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListOrigin {
    /// The configuration, or no list at all.
    Configuration,
    /// An agent that was watched before.
    OtherAgent,
}

/// A handle to a running watcher of one discovery agent. Dropping the handle stops the watcher.
pub struct WatcherHandle<A> {
    agent: A,
    limits: WatcherLimits,
    /// The revision up to which all changes are known. If it is `None`, a complete list must be read next.
    revision: KnownRevision,
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
        let revision = KnownRevision::new(known_revision);
        Self::start_from(sink, agent, revision, ListOrigin::Configuration, limits)
    }

    /// Watches `agent` instead of the current agent, if the two differ. The current list stays in use until
    /// the new agent has sent a list or a change.
    ///
    /// The watch is opened for the changes after the revision of the current list, without waiting for the
    /// new agent's complete list: if the agent is slow, a change would arrive only after two answers. The
    /// revisions of the two agents may not be comparable, so the watcher also reads the complete list, beside
    /// the watch.
    pub fn switch_agent<S: EndpointSink + Clone + 'static>(&mut self, sink: &S, agent: A) {
        if self.agent != agent {
            let revision = KnownRevision::new(self.revision.get());
            *self = WatcherHandle::start_from(sink, agent, revision, ListOrigin::OtherAgent, self.limits);
        }
    }

    fn start_from<S: EndpointSink + Clone + 'static>(
        sink: &S,
        agent: A,
        revision: KnownRevision,
        origin: ListOrigin,
        limits: WatcherLimits,
    ) -> Self {
        let (sink, watched_agent, known_revision) = (sink.clone(), agent.clone(), revision.clone());
        let task = keep_running("discovery", move || {
            EndpointWatcher::new(sink.clone(), watched_agent.clone(), known_revision.clone(), origin, limits)
                .watch_forever()
        });
        WatcherHandle { agent, limits, revision, task }
    }
}

impl<A> Drop for WatcherHandle<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_watcher.rs"]
mod tests;
