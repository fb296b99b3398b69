//! A gate that blocks threads until a test opens it.

use super::WAIT_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex};

#[derive(Default)]
struct State {
    open: Mutex<bool>,
    opened: Condvar,
}

/// Blocks the threads that wait at the gate until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<State>);

impl Gate {
    /// Opens the gate for the threads that wait now and for all later ones.
    pub fn open(&self) {
        *self.0.open.lock().expect("lock poisoned") = true;
        self.0.opened.notify_all();
    }

    /// Blocks until the gate is open.
    pub fn wait(&self) {
        let open = self.0.open.lock().expect("lock poisoned");
        let waited = self.0.opened.wait_timeout_while(open, WAIT_TIMEOUT, |open| !*open);
        assert!(
            !waited.expect("lock poisoned").1.timed_out(),
            "a thread waited too long: the test did not open the gate"
        );
    }
}
