//! The table of all open client connections.

use super::connection::Connection;
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// All open client connections, including those that are closing.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
    removal_signal: Notify,
}

impl ConnectionTable {
    /// Adds a connection, which stays in the table until the returned guard is dropped.
    pub fn register(self: &Rc<Self>, connection: Connection) -> RegisteredConnection {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let connection = Rc::new(connection);
        self.connections.borrow_mut().insert(id, connection.clone());
        RegisteredConnection { table: self.clone(), id, connection }
    }

    /// Returns the connections by id; ids ascend in the order of registration. No connection may be
    /// registered or removed while the returned borrow is held.
    pub fn entries(&self) -> Ref<'_, HashMap<u64, Rc<Connection>>> {
        self.connections.borrow()
    }

    /// Number of connections in the table, including those that are closing.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Waits until a connection is removed. Completes immediately if one has been removed since the previous
    /// wait completed.
    pub fn connection_removed(&self) -> impl Future<Output = ()> + '_ {
        self.removal_signal.notified()
    }
}

/// Guard that removes its connection from the table when dropped, no matter how the connection ends.
pub struct RegisteredConnection {
    table: Rc<ConnectionTable>,
    id: u64,
    connection: Rc<Connection>,
}

impl RegisteredConnection {
    /// The connection that this guard keeps in the table.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
        self.table.removal_signal.notify_one();
    }
}
