//! Restarts the tasks that the gateway needs for the life of the process.

use std::future::Future;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};

/// Pause before a task that has panicked is restarted, so that a task that panics at once does not restart in
/// a busy loop.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// Runs the future that `start` returns as a task, and starts a new one each time the task panics, until the
/// task completes or the returned handle is aborted. Must be called in a [`LocalSet`](tokio::task::LocalSet).
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + 'static) -> AbortHandle
where
    F: Future<Output = ()> + 'static,
{
    let supervise = async move {
        // The set is dropped with this future and then aborts the task. If the task were spawned directly, it
        // would keep running after its supervisor is aborted.
        let mut task = JoinSet::new();
        task.spawn_local(start());
        while let Some(Err(error)) = task.join_next().await {
            log::error!("task {name} panicked, restarting it in {RESTART_DELAY:?}: {error}");
            tokio::time::sleep(RESTART_DELAY).await;
            task.spawn_local(start());
        }
    };
    tokio::task::spawn_local(supervise).abort_handle()
}

#[cfg(test)]
#[path = "../../tests/unit/supervisor.rs"]
mod tests;
