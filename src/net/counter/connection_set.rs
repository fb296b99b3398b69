//! The connections that take calls, one per slot, and the address of the counter service.

use super::connection::Connection;
use crate::ids::{CounterKey, Millis};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of connections. There are several because the service answers the calls on one connection in the
/// order in which it receives them, so that a call to a slow shard delays the later calls on the same
/// connection.
pub(super) const CONNECTION_COUNT: usize = 4;

#[derive(Default)]
struct Slot {
    connection: RefCell<Option<Rc<Connection>>>,
    address_changed: Notify,
}

/// The connections that take calls, and the address that new connections are opened to.
#[derive(Default)]
pub(super) struct ConnectionSet {
    address: Cell<Option<SocketAddr>>,
    slots: [Slot; CONNECTION_COUNT],
}

impl ConnectionSet {
    /// Creates a set with empty slots. Without an address the slots stay empty.
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        ConnectionSet { address: Cell::new(address), ..Self::default() }
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Sets the address. If it differs from the previous one, the task of each slot is notified.
    pub(super) fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.slots.iter().for_each(|slot| slot.address_changed.notify_one());
        }
    }

    /// Waits until the address changes. Each slot is notified separately of a change.
    pub(super) async fn address_changed(&self, index: usize) {
        self.slots[index].address_changed.notified().await;
    }

    /// Selects the connection for the calls of a key. A key keeps the same connection while that is open, so
    /// that its calls stay in order. Otherwise the next open connection takes its calls: if they failed
    /// instead, the reset of one connection would look like a failure of the service.
    pub(super) fn select(&self, key: CounterKey) -> Option<Rc<Connection>> {
        let first = (key.0 % CONNECTION_COUNT as u64) as usize;
        (0..CONNECTION_COUNT)
            .filter_map(|offset| self.slots[(first + offset) % CONNECTION_COUNT].connection.borrow().clone())
            .find(|connection| !connection.is_unresponsive())
    }

    /// Puts a new connection into a slot and retires the previous one.
    pub(super) fn replace(&self, index: usize, connection: Rc<Connection>) {
        if let Some(previous) = self.slots[index].connection.replace(Some(connection)) {
            previous.retire();
        }
    }

    /// Empties a slot, unless it already holds another connection.
    pub(super) fn remove(&self, index: usize, connection: &Rc<Connection>) {
        let mut current = self.slots[index].connection.borrow_mut();
        if current.as_ref().is_some_and(|current| Rc::ptr_eq(current, connection)) {
            *current = None;
        }
    }

    /// Checks the health of each connection.
    pub(super) fn check_health(&self, now: Millis, unresponsive_after: Millis) {
        for slot in &self.slots {
            if let Some(connection) = slot.connection.borrow().as_ref() {
                connection.check_health(now, unresponsive_after);
            }
        }
    }
}
