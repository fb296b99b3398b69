//! Keeps the endpoint list up to date with a watch on the discovery agent.

use super::connect::Connect;
use super::endpoint_list::EndpointList;
use super::error::DiscoveryError;
use super::list_fetch::{fetched_list, ListFetch};
use super::requests::{AgentRequests, Answer, Request};
use super::response::ResponseStream;
use super::timing::{
    RequestTiming, FIRST_CHANGE_DELAY, INITIAL_BACKOFF, STALE_WATCH_TIMEOUT, WATCH_IDLE_TIMEOUT,
};
use super::watcher_handle::{KnownRevision, ListOrigin, WatcherLimits};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::time::Instant;

/// Receives the lists that the agent sends.
pub trait EndpointSink {
    /// Applies a list. Returns false if an entry cannot be decoded, since the change that the entry describes
    /// is then unknown.
    fn apply_endpoints(&self, list: &EndpointList<'_>) -> bool;

    /// Records that the agent has answered and that the list in use contains all changes that it sent.
    fn confirm_endpoints(&self);
}

/// Keeps the endpoint list up to date with one agent.
pub(super) struct EndpointWatcher<S, A> {
    sink: S,
    agent: A,
    timing: RequestTiming,
    max_object_bytes: usize,
    requests: AgentRequests<A>,
    revision: KnownRevision,
    /// The revision of the list that another agent sent, or another process at this agent's address, until this
    /// agent's complete list has been received.
    inherited_revision: Option<u64>,
    /// The request for the complete list that is compared with the inherited revision.
    list_fetch: Option<ListFetch>,
    /// The revision of that list, until an error ends the watch that was requested before it. The agent may
    /// have begun to answer the watch before it answered with the list.
    fetched_revision: Option<u64>,
    /// Whether the sink knows that the agent has answered.
    confirmed: bool,
    backoff: Duration,
    /// Time of the agent's first response to a watch request after the last data from the agent (any byte on
    /// a watch, or a complete list). `None` if the agent has not responded to a watch request since that
    /// data.
    silent_since: Option<Instant>,
}

impl<S: EndpointSink, A: Connect + Clone + 'static> EndpointWatcher<S, A> {
    /// Creates a watcher of `agent` that continues from `revision`.
    pub(super) fn new(
        sink: S,
        agent: A,
        revision: KnownRevision,
        origin: ListOrigin,
        limits: WatcherLimits,
    ) -> Self {
        let timing = RequestTiming::for_drain_grace(limits.drain_grace);
        EndpointWatcher {
            sink,
            requests: AgentRequests::new(agent.clone(), timing, limits.max_object_bytes),
            agent,
            timing,
            max_object_bytes: limits.max_object_bytes,
            inherited_revision: revision.get().filter(|_| origin == ListOrigin::OtherAgent),
            list_fetch: None,
            fetched_revision: None,
            confirmed: false,
            revision,
            backoff: INITIAL_BACKOFF,
            silent_since: None,
        }
    }

    /// Watches the agent and never returns.
    pub(super) async fn watch_forever(mut self) {
        loop {
            let Err(error) = self.watch_until_error().await;
            log::warn!(
                "discovery: updating the server list from agent {} failed: {error}; retrying in {} ms",
                self.agent,
                self.backoff.as_millis()
            );
            self.fetched_revision = None;
            self.back_off().await;
            self.backoff = (self.backoff * 2).min(self.timing.max_backoff);
        }
    }

    /// Waits for the backoff, but not longer than until an open request is answered.
    async fn back_off(&mut self) {
        tokio::select! {
            biased;
            mut response = fetched_list(&mut self.list_fetch) => {
                // After an error, too, the watch is requested next.
                if let Err(error) = self.compare_fetched_list(&mut response) {
                    log::warn!("discovery: {error}");
                }
            }
            () = self.requests.back_off(self.backoff) => {}
        }
    }

    /// Reads a complete list if one is needed, then applies the changes from a watch until an error occurs.
    async fn watch_until_error(&mut self) -> Result<Infallible, DiscoveryError> {
        let mut response = self.open_watch().await?;
        let mut received = false;
        loop {
            self.apply_received(&mut response)?;
            if received && !response.in_object() {
                self.confirm();
            }
            // The agent sends what has changed right behind the response head.
            let idle_timeout = if self.confirmed { WATCH_IDLE_TIMEOUT } else { FIRST_CHANGE_DELAY };
            // If this await is cancelled, the bytes of a partly received list are lost with the connection.
            // The next watch starts after the revision of the last list that was fully received.
            let chunk = tokio::select! {
                biased;
                mut list = fetched_list(&mut self.list_fetch) => {
                    self.compare_fetched_list(&mut list)?;
                    continue;
                }
                chunk = response.read_chunk(idle_timeout) => chunk,
            };
            match chunk {
                Ok(()) => {
                    received = true;
                    self.silent_since = None;
                }
                Err(DiscoveryError::IdleTimeout) if !self.confirmed => self.confirm(),
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
            let since = self.revision.get().filter(|_| !self.is_watch_stale());
            let request = since.map_or(Request::CompleteList, |since| Request::Watch { since });
            let answer = tokio::select! {
                biased;
                mut list = fetched_list(&mut self.list_fetch) => {
                    // The next watch is requested for the revision that is known now.
                    if let Err(error) = self.compare_fetched_list(&mut list) {
                        log::warn!("discovery: {error}");
                    }
                    continue;
                }
                answer = self.requests.send(request) => answer,
            };
            self.fetch_list_if_inherited(&answer);
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

    /// Starts to read the agent's complete list if the list in use came from another agent. This happens only
    /// after the first result of a watch request, so that an agent that answers one request after the other
    /// opens the watch first.
    ///
    /// If the agent's address refuses a connection, its process has ended, and the next one at this address
    /// counts as another agent: its revisions may not be comparable.
    fn fetch_list_if_inherited(&mut self, answer: &Result<Answer, DiscoveryError>) {
        if let Err(DiscoveryError::Connect(error)) = answer {
            if error.kind() == ErrorKind::ConnectionRefused {
                self.inherited_revision = self.revision.get();
            }
            return;
        }
        if self.inherited_revision.is_some() && self.list_fetch.is_none() {
            self.list_fetch = Some(ListFetch::start(&self.agent, self.max_object_bytes));
        }
    }

    /// Compares the agent's complete list with the list in use, which came from another agent, and applies it
    /// unless a watch of the agent has already sent later changes.
    ///
    /// # Errors
    /// Returns an error if the list cannot be read, or if its revision is earlier than the one that the watch
    /// was opened for: the agent may omit changes on such a watch, so that it must be opened again.
    fn compare_fetched_list(&mut self, response: &mut ResponseStream) -> Result<(), DiscoveryError> {
        let list = response.next_list()?.ok_or(DiscoveryError::ResponseEnded)?.into_complete();
        let inherited_revision = self.inherited_revision.take();
        let is_earlier = inherited_revision.is_some_and(|inherited| list.revision < inherited);
        if is_earlier || self.revision.get().is_none_or(|known| list.revision >= known) {
            self.apply(&list);
        }
        self.fetched_revision = Some(list.revision);
        if is_earlier {
            self.requests.close_all();
            return Err(DiscoveryError::EarlierRevision { revision: list.revision });
        }
        Ok(())
    }

    fn confirm(&mut self) {
        if !self.confirmed {
            self.confirmed = true;
            self.sink.confirm_endpoints();
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
            if !list.complete && self.fetched_revision.is_some_and(|fetched| list.revision < fetched) {
                continue;
            }
            if !self.apply(&list) && !list.complete {
                return Err(self.require_complete_list(DiscoveryError::InvalidEntry));
            }
        }
    }

    /// Makes the watcher read a complete list next, because data of the watch was only partly received or
    /// cannot be decoded. That data may contain a change. Returns the error unchanged.
    fn require_complete_list(&mut self, error: DiscoveryError) -> DiscoveryError {
        self.revision.set(None);
        self.end_comparison();
        error
    }

    /// Applies the complete list that a response contains. Entries that cannot be decoded are ignored: another
    /// request would return the same list.
    fn apply_complete_list(&mut self, response: &mut ResponseStream) -> Result<(), DiscoveryError> {
        let list = response.next_list()?.ok_or(DiscoveryError::ResponseEnded)?;
        self.apply(&list.into_complete());
        self.silent_since = None;
        self.end_comparison();
        Ok(())
    }

    /// Ends the comparison with the list of another agent, because a complete list of this agent has been
    /// applied or will be requested next.
    fn end_comparison(&mut self) {
        self.inherited_revision = None;
        self.list_fetch = None;
    }

    /// Records the revision of a list, resets the backoff and passes the list to the sink. Returns false if
    /// an entry cannot be decoded.
    fn apply(&mut self, list: &EndpointList<'_>) -> bool {
        self.revision.set(Some(list.revision));
        self.backoff = INITIAL_BACKOFF;
        self.sink.apply_endpoints(list)
    }
}
