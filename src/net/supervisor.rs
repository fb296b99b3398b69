//! Restarts the tasks that the gateway needs for its whole life.

use std::future::Future;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};

/// Pause before a task that has panicked is restarted, so that one that panics at once does not spin.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// Runs the task that `start` returns, and restarts it each time it panics, until it ends by itself or the
/// returned handle is aborted. Needs a [`LocalSet`](tokio::task::LocalSet).
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + 'static) -> AbortHandle
where
    F: Future<Output = ()> + 'static,
{
    let supervise = async move {
        // Dropped with this future, the set aborts the task: aborting the supervision alone would leave it
        // running.
        let mut task = JoinSet::new();
        task.spawn_local(start());
        while let Some(Err(error)) = task.join_next().await {
            log::error!("task {name} ended, restarting: {error}");
            tokio::time::sleep(RESTART_DELAY).await;
            task.spawn_local(start());
        }
    };
    tokio::task::spawn_local(supervise).abort_handle()
}

#[cfg(test)]
#[path = "../../tests/unit/supervisor.rs"]
mod tests;
