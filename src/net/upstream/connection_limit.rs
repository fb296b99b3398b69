//! Limit on the number of open upstream connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections against a maximum.
pub(super) struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl ConnectionLimit {
    pub(super) fn new(max: usize) -> Self {
        ConnectionLimit { open: Rc::default(), max }
    }

    pub(super) fn is_reached(&self) -> bool {
        self.open.get() >= self.max
    }

    /// Counts one more connection, for as long as the permit lives. The caller has made sure that the limit
    /// is not reached.
    pub(super) fn acquire(&self) -> ConnectionPermit {
        self.open.set(self.open.get() + 1);
        ConnectionPermit(self.open.clone())
    }

    #[cfg(test)]
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }
}

/// The right to one open connection, given back when dropped.
pub(super) struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
