//! The requests to the agent that are not answered yet.
//!
//! A request without a response may mean that the agent is slow, or that it has lost the request, for example
//! because it was down. The gateway cannot tell the two apart. A slow agent needs time, and after an outage
//! only a new request is answered. The gateway therefore sends a further request when one is overdue, keeps
//! the earlier ones open, and uses the first response that arrives.
//!
//! An agent at which requests wait in turn also works on requests that have been closed. If a complete list
//! arrived late, further requests for the list may still be in its queue, and the request for the watch waits
//! behind them. The gateway then sends requests for the watch no faster than the agent has answered, and
//! leaves the oldest of them open until the queue can have passed.

use super::connect::Connect;
use super::error::DiscoveryError;
use super::response::{ReceiveProgress, ResponseStream};
use super::timing::{RequestTiming, MAX_RESPONSE_TIME, OBJECT_TIMEOUT, STALL_TIMEOUT};
use std::collections::VecDeque;
use std::future::{pending, Future};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{timeout, timeout_at, Instant};

/// Path of the complete list.
pub(super) const COMPLETE_LIST_PATH: &str = "/v1/servers";
/// Maximum number of requests without a response head. `net::connection_limits` reserves their descriptors.
const MAX_UNANSWERED: usize = 4;
/// Upper limit of the time after which a request without a response head is repeated. An agent that was slow
/// and has then lost the request is asked again soon enough for a change to arrive within 6 s.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of objects that are received at the same time. Each has a buffer, which the limit on the
/// size of an object allows for (`OBJECT_MEMORY_SHARE` in [`super::json_framer`]).
const MAX_OBJECTS_IN_TRANSIT: usize = 2;

/// What the gateway asks the agent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// All endpoints.
    CompleteList,
    /// A watch on the changes after a revision.
    Watch { since: u64 },
}

impl Request {
    fn path(self) -> String {
        match self {
            Request::CompleteList => COMPLETE_LIST_PATH.to_owned(),
            Request::Watch { since: revision } => format!("/v1/servers?follow=1&since={revision}"),
        }
    }

    fn is_watch(self) -> bool {
        matches!(self, Request::Watch { .. })
    }
}

/// The agent's answer to a request.
pub(super) enum Answer {
    /// A response whose body contains a complete list, which has been received.
    CompleteList(ResponseStream),
    /// A response whose body is a watch. Either nothing of the body has been read, or an object has been
    /// received that was overdue.
    Watch(ResponseStream),
}

/// A step of a request that has been completed.
enum Completed {
    /// The response head has been received.
    Head { request: Request, response_time: Duration, response: ResponseStream },
    /// The complete list in the body has been received.
    List(ResponseStream),
    /// The rest of an object on a watch has been received.
    WatchObject(ResponseStream),
}

type CompletedResult = Result<Completed, DiscoveryError>;

/// A request whose response head has not been received.
struct UnansweredRequest {
    sent_at: Instant,
    task: AbortHandle,
}

/// The most recent step towards an answer, which decides when a further request is due.
enum LatestStep {
    /// A request was sent.
    Sent(Instant),
    /// The body of a complete list is being received.
    Receiving(Rc<ReceiveProgress>),
}

/// Sends requests to one agent. All requests without a response are of one kind at any time. Dropping it
/// closes the connections of all open requests.
pub(super) struct AgentRequests<A> {
    agent: A,
    timing: RequestTiming,
    max_object_bytes: usize,
    tasks: JoinSet<CompletedResult>,
    /// Oldest first.
    unanswered: VecDeque<UnansweredRequest>,
    /// The tasks that receive a complete list or the rest of an object on a watch, oldest first.
    in_transit: Vec<AbortHandle>,
    /// `None` if no request is open.
    latest_step: Option<LatestStep>,
    /// Whether the latest request was for a watch.
    watch_requested: bool,
    /// An answer that arrived during a backoff.
    early_answer: Option<Answer>,
    /// Time that the agent took to begin the answer to the last request for a complete list. Zero if a watch
    /// has been answered since, so that an agent is not asked more slowly after an outage that it was asked
    /// in.
    list_response_time: Duration,
}

impl<A: Connect + Clone + 'static> AgentRequests<A> {
    pub(super) fn new(agent: A, timing: RequestTiming, max_object_bytes: usize) -> Self {
        AgentRequests {
            agent,
            timing,
            max_object_bytes,
            tasks: JoinSet::new(),
            unanswered: VecDeque::new(),
            in_transit: Vec::new(),
            latest_step: None,
            watch_requested: false,
            early_answer: None,
            list_response_time: Duration::ZERO,
        }
    }

    /// Sends a request, unless the response to an earlier one is being received in time, and returns the
    /// first answer. The answer may belong to an earlier request of the same kind, or be a watch that was
    /// passed to [`AgentRequests::keep_watch`]. All other requests are closed then.
    ///
    /// # Errors
    /// Returns an error if a request fails or the latest one is overdue. A request that is overdue stays
    /// open.
    pub(super) async fn send(&mut self, request: Request) -> Result<Answer, DiscoveryError> {
        if self.watch_requested != request.is_watch() {
            self.close_unanswered();
            self.latest_step = None;
            self.watch_requested = request.is_watch();
        }
        if let Some(answer) = self.early_answer.take() {
            return Ok(answer);
        }
        if self.is_overdue() {
            self.start(request);
        }
        loop {
            let due_at = self.due_at();
            match timeout_at(due_at, self.next_answer()).await {
                Ok(answer) => return answer,
                Err(_) if !self.is_overdue() => {}
                Err(_) => return Err(self.overdue_error()),
            }
        }
    }

    /// Keeps a watch open on which an object is overdue. If the rest of the object arrives in time for a
    /// response, the watch becomes an answer.
    pub(super) fn keep_watch(&mut self, mut response: ResponseStream) {
        self.receive_in_transit(async move {
            let received = timeout(MAX_RESPONSE_TIME, response.receive_object()).await;
            received.map_err(|_| DiscoveryError::ObjectTimeout)??;
            Ok(Completed::WatchObject(response))
        });
    }

    /// Waits for `duration`, but not longer than until an open request is answered.
    pub(super) async fn back_off(&mut self, duration: Duration) {
        let ends_at = Instant::now() + duration;
        while let Ok(result) = timeout_at(ends_at, self.next_answer()).await {
            // The failure of an earlier request has no effect: the next request follows after the backoff.
            if let Ok(answer) = result {
                self.early_answer = Some(answer);
                return;
            }
        }
    }

    fn start(&mut self, request: Request) {
        self.unanswered.retain(|unanswered| !unanswered.task.is_finished());
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.close_one_unanswered();
        }
        let (agent, max_object_bytes) = (self.agent.clone(), self.max_object_bytes);
        let sent_at = Instant::now();
        let task = self.tasks.spawn_local(async move {
            let response = ResponseStream::open(&agent, &request.path(), max_object_bytes).await?;
            Ok(Completed::Head { request, response_time: sent_at.elapsed(), response })
        });
        self.unanswered.push_back(UnansweredRequest { sent_at, task });
        self.latest_step = Some(LatestStep::Sent(sent_at));
    }

    /// Closes the oldest request, or, until the time of the oldest one has passed, the second oldest one. One
    /// request thus gets the full time, and an agent that always takes longer than the others get is still
    /// heard.
    fn close_one_unanswered(&mut self) {
        // All requests for a list that were open may still be in the agent's queue.
        let queueing_time = self.list_response_time * (MAX_UNANSWERED as u32 + 1);
        let oldest_time = MAX_RESPONSE_TIME.max(queueing_time);
        let oldest_has_time =
            self.unanswered.front().is_some_and(|oldest| oldest.sent_at.elapsed() < oldest_time);
        if let Some(closed) = self.unanswered.remove(usize::from(oldest_has_time)) {
            closed.task.abort();
        }
    }

    /// Waits for the first answer to an open request, or for the failure of one. Waits forever if no request
    /// is open. May be cancelled at any time.
    async fn next_answer(&mut self) -> Result<Answer, DiscoveryError> {
        loop {
            match self.next_completed().await {
                Ok(Completed::Head { request: Request::CompleteList, response_time, response }) => {
                    self.list_response_time = response_time;
                    self.receive_list(response);
                }
                Ok(Completed::Head { response, .. } | Completed::WatchObject(response)) => {
                    self.list_response_time = Duration::ZERO;
                    self.close_all();
                    return Ok(Answer::Watch(response));
                }
                Ok(Completed::List(response)) => {
                    self.close_all();
                    return Ok(Answer::CompleteList(response));
                }
                Err(error) => {
                    // Another request may follow at once, unless a list is still being received.
                    if self.tasks.is_empty() || matches!(self.latest_step, Some(LatestStep::Sent(_))) {
                        self.latest_step = None;
                    }
                    return Err(error);
                }
            }
        }
    }

    async fn next_completed(&mut self) -> CompletedResult {
        loop {
            match self.tasks.join_next().await {
                None => pending().await,
                Some(Ok(result)) => return result,
                Some(Err(error)) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
                // The request was closed.
                Some(Err(_)) => {}
            }
        }
    }

    /// Receives a complete list. The agent responds, so the requests without a response are closed.
    fn receive_list(&mut self, mut response: ResponseStream) {
        self.close_unanswered();
        self.latest_step = Some(LatestStep::Receiving(response.progress()));
        self.receive_in_transit(async move {
            let received = timeout(MAX_RESPONSE_TIME, response.receive_object()).await;
            received.map_err(|_| DiscoveryError::ListTimeout)??;
            Ok(Completed::List(response))
        });
    }

    /// Runs a task that receives an object. If there are too many, the newest of the others is closed.
    fn receive_in_transit(&mut self, receive: impl Future<Output = CompletedResult> + 'static) {
        self.in_transit.retain(|task| !task.is_finished());
        if self.in_transit.len() >= MAX_OBJECTS_IN_TRANSIT {
            self.in_transit.pop().iter().for_each(AbortHandle::abort);
        }
        self.in_transit.push(self.tasks.spawn_local(receive));
    }

    /// Time without a response head after which a further request is due: the request timeout, or the time
    /// that the agent took for its latest list if that is longer.
    fn request_interval(&self) -> Duration {
        self.timing.timeout.max(self.list_response_time.min(MAX_REQUEST_INTERVAL))
    }

    /// When a further request is due: when the latest request has had no response head for the request
    /// interval, or its list has stalled for [`STALL_TIMEOUT`] or is incomplete after [`OBJECT_TIMEOUT`].
    fn due_at(&self) -> Instant {
        match &self.latest_step {
            None => Instant::now(),
            Some(LatestStep::Sent(sent_at)) => *sent_at + self.request_interval(),
            Some(LatestStep::Receiving(progress)) => {
                (progress.started_at() + OBJECT_TIMEOUT).min(progress.last_chunk_at() + STALL_TIMEOUT)
            }
        }
    }

    fn is_overdue(&self) -> bool {
        self.due_at() <= Instant::now()
    }

    fn overdue_error(&self) -> DiscoveryError {
        match self.latest_step {
            Some(LatestStep::Receiving(_)) => DiscoveryError::ListTimeout,
            _ => DiscoveryError::ResponseTimeout,
        }
    }

    fn close_unanswered(&mut self) {
        self.unanswered.drain(..).for_each(|unanswered| unanswered.task.abort());
    }

    /// Closes all open requests and drops an answer that arrived during a backoff.
    pub(super) fn close_all(&mut self) {
        self.close_unanswered();
        self.in_transit.clear();
        self.latest_step = None;
        self.early_answer = None;
        // Dropping the old set aborts its tasks and discards what they have received.
        self.tasks = JoinSet::new();
    }
}
