//! The interface through which the modules that own sockets report events to the event loop.

use crate::event::Event;
use crate::ids::Millis;

/// Receives events for the policy.
pub trait EventSink {
    /// The current time for the policy's decisions; Unix time, ms.
    fn now(&self) -> Millis;

    /// Passes an event to the policy and executes the actions that the policy returns.
    fn dispatch(&self, event: Event);
}
