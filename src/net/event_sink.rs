//! Where the modules that own sockets report what happens on them.

use crate::event::Event;
use crate::ids::Millis;

/// Takes in events for the decisions of the gateway.
pub trait EventSink {
    /// The time that decisions are made by, Unix ms.
    fn now(&self) -> Millis;

    /// Hands on an event and executes what it leads to.
    fn dispatch(&self, event: Event);
}
