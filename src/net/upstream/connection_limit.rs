//! The limit on the number of open upstream connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the connections that are open or being opened, and compares their number with a maximum.
pub(super) struct ConnectionLimit {
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
}

impl ConnectionLimit {
    pub(super) fn new(max_connections: usize) -> Self {
        ConnectionLimit { open_connections: Rc::default(), max_connections }
    }

    pub(super) fn is_reached(&self) -> bool {
        self.open_connections.get() >= self.max_connections
    }

    /// Counts one more connection until the permit is dropped. The caller must have checked that the limit is
    /// not reached.
    pub(super) fn acquire(&self) -> ConnectionPermit {
        self.open_connections.set(self.open_connections.get() + 1);
        ConnectionPermit(self.open_connections.clone())
    }

    #[cfg(test)]
    pub(super) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}

/// A permit for one open connection. Dropping the permit lets another connection be opened.
pub(super) struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
