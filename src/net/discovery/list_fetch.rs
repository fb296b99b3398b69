//! Reads one complete list in the background, while a watch is being opened or read.

use super::connect::Connect;
use super::error::DiscoveryError;
use super::requests::COMPLETE_LIST_PATH;
use super::response::ResponseStream;
use super::timing::MAX_RESPONSE_TIME;
use std::future::pending;
use std::time::Duration;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{sleep, timeout};

/// Pause after a failed request, so that an agent that answers with errors does not get requests in a busy
/// loop.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request for the complete list of one agent, repeated until it succeeds. Dropping it closes the
/// connection.
pub(super) struct ListFetch(JoinHandle<ResponseStream>);

impl ListFetch {
    /// Starts to read the complete list of `agent`, a JSON object of at most `max_object_bytes`.
    pub(super) fn start<A: Connect + Clone + 'static>(agent: &A, max_object_bytes: usize) -> Self {
        let agent = agent.clone();
        ListFetch(tokio::task::spawn_local(async move { fetch(&agent, max_object_bytes).await }))
    }
}

impl Drop for ListFetch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Waits until the list of `list_fetch` has been received, and sets it to `None` then. Waits forever if it is
/// `None`. May be cancelled at any time.
pub(super) async fn fetched_list(list_fetch: &mut Option<ListFetch>) -> ResponseStream {
    let Some(ListFetch(task)) = list_fetch else { return pending().await };
    let fetched = task.await;
    *list_fetch = None;
    match fetched.map_err(JoinError::try_into_panic) {
        Ok(response) => response,
        Err(Ok(panic)) => std::panic::resume_unwind(panic),
        // Only dropping the handle aborts the task.
        Err(Err(_)) => pending().await,
    }
}

/// Requests the complete list until one is received. Only one request is open at a time, because a slow agent
/// also works on requests that have been closed.
async fn fetch(agent: &impl Connect, max_object_bytes: usize) -> ResponseStream {
    loop {
        let error = match timeout(MAX_RESPONSE_TIME, receive_list(agent, max_object_bytes)).await {
            Ok(Ok(response)) => return response,
            Ok(Err(error)) => error,
            Err(_) => DiscoveryError::ListTimeout,
        };
        log::warn!("discovery: reading the complete list of the new agent {agent} failed: {error}");
        sleep(RETRY_DELAY).await;
    }
}

async fn receive_list(
    agent: &impl Connect,
    max_object_bytes: usize,
) -> Result<ResponseStream, DiscoveryError> {
    let mut response = ResponseStream::open(agent, COMPLETE_LIST_PATH, max_object_bytes).await?;
    response.receive_object().await?;
    Ok(response)
}
