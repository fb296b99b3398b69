//! The connections in use, one in each slot, and the service's address.

use super::connection::Connection;
use crate::ids::{CounterKey, Millis};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Number of connections. The service answers each connection in order, so a call to a slow shard delays
/// those behind it.
pub(super) const CONNECTIONS: usize = 4;

#[derive(Default)]
struct Slot {
    connection: RefCell<Option<Rc<Connection>>>,
    address_changed: Notify,
}

/// The connections that take calls, and where they lead.
#[derive(Default)]
pub(super) struct ConnectionSet {
    address: Cell<Option<SocketAddr>>,
    slots: [Slot; CONNECTIONS],
}

impl ConnectionSet {
    /// All slots empty; without an address they stay so.
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        ConnectionSet { address: Cell::new(address), ..Self::default() }
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Sets the address and, if it is another one, tells the task of each slot.
    pub(super) fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.slots.iter().for_each(|slot| slot.address_changed.notify_one());
        }
    }

    /// Waits until the address has changed.
    pub(super) async fn address_changed(&self, index: usize) {
        self.slots[index].address_changed.notified().await;
    }

    /// The connection that takes a key's calls: always the same while it is up, so that they stay in order,
    /// else the next that is. Without that, one reset connection would look like a service that has failed.
    pub(super) fn select(&self, key: CounterKey) -> Option<Rc<Connection>> {
        let first = (key.0 % CONNECTIONS as u64) as usize;
        (0..CONNECTIONS)
            .filter_map(|offset| self.slots[(first + offset) % CONNECTIONS].connection.borrow().clone())
            .find(|connection| !connection.is_unresponsive())
    }

    /// Puts a new connection in a slot and retires the one before it.
    pub(super) fn replace(&self, index: usize, connection: Rc<Connection>) {
        if let Some(previous) = self.slots[index].connection.replace(Some(connection)) {
            previous.retire();
        }
    }

    /// Empties a slot, unless another connection has taken it since.
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
