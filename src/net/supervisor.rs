//! Restarts long-running tasks of the gateway after a panic.

use std::future::Future;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};

/// Pause before a task that has panicked is restarted, so that a task that panics immediately is not
/// restarted in a busy loop.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// Calls `start` and spawns its future as a task. Each time the task panics, calls `start` again and spawns
/// the new future. The restarts end when a task completes or the returned handle is aborted. Aborting the
/// handle also aborts the current task. Must be called in a [`LocalSet`](tokio::task::LocalSet).
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + 'static) -> AbortHandle
where
    F: Future<Output = ()> + 'static,
{
    let supervise = async move {
        // When the supervisor is aborted, it drops this set, which aborts the task. A task that is spawned
        // without a set would keep running after the supervisor is aborted.
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
