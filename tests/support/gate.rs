//! A gate that threads wait at.

use super::WAIT_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex};

#[derive(Default)]
struct State {
    open: Mutex<bool>,
    opened: Condvar,
}

/// Holds back whoever waits at it until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<State>);

impl Gate {
    /// Lets all go on that wait or will wait.
    pub fn open(&self) {
        *self.0.open.lock().expect("a lock") = true;
        self.0.opened.notify_all();
    }

    /// Waits until the gate is open.
    pub fn wait(&self) {
        let open = self.0.open.lock().expect("a lock");
        let waited = self.0.opened.wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open);
        assert!(!waited.expect("a lock").1.timed_out(), "a gate was never opened");
    }
}
