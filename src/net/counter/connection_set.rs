//! The connections that take calls, at most one per slot, and the address of the counter service.

use super::connection::Connection;
use crate::ids::{CounterKey, Millis};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of connections that take calls. There are several because the service answers the calls on one
/// connection in the order in which it receives them, so that a call to a slow shard delays the later calls
/// on the same connection.
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
    /// Creates a set with empty slots. Without an address, the slots stay empty until
    /// [`ConnectionSet::set_address`] sets one.
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        ConnectionSet { address: Cell::new(address), ..Self::default() }
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Sets the address, and notifies the task of each slot if the address has changed.
    pub(super) fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.slots.iter().for_each(|slot| slot.address_changed.notify_one());
        }
    }

    /// Waits until the address changes. Returns at once if the address has changed since the last wait for
    /// the same slot.
    pub(super) async fn wait_for_address_change(&self, index: usize) {
        self.slots[index].address_changed.notified().await;
    }

    /// Returns the connection for the calls of a key, or `None` if no responsive connection is open. A key
    /// keeps the same connection while the connection is open and responsive, so that the key's calls stay in
    /// order. Otherwise the responsive connection in the next slot that has one takes the calls: if the calls
    /// failed instead, the reset of one connection would look like a failure of the service.
    pub(super) fn select(&self, key: CounterKey) -> Option<Rc<Connection>> {
        let first_index = (key.0 % CONNECTION_COUNT as u64) as usize;
        (0..CONNECTION_COUNT)
            .filter_map(|offset| {
                self.slots[(first_index + offset) % CONNECTION_COUNT].connection.borrow().clone()
            })
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

    /// Marks the unresponsive connections and pings the idle connections among those that take calls.
    pub(super) fn check_health(&self, now: Millis, unresponsive_after: Millis) {
        for slot in &self.slots {
            if let Some(connection) = slot.connection.borrow().as_ref() {
                connection.check_health(now, unresponsive_after);
            }
        }
    }
}
