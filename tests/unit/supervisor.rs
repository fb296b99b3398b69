//! How the supervisor restarts tasks.

use super::*;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

#[test]
fn a_task_that_panics_is_restarted() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime could not be built");
    let starts = Rc::new(Cell::new(0));
    let finished = Rc::new(Notify::new());
    let (task_starts, task_finished) = (starts.clone(), finished.clone());
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        keep_running("test", move || {
            let (starts, finished) = (task_starts.clone(), task_finished.clone());
            async move {
                starts.set(starts.get() + 1);
                assert!(starts.get() > 2, "deliberate panic of the first two runs");
                finished.notify_one();
            }
        });
        finished.notified().await;
    });
    assert_eq!(starts.get(), 3, "the task was not started exactly three times");
}
