//! Where the modules that own sockets report what happens on them.

use crate::event::Event;
use crate::ids::Millis;

/// Receives events for the policy.
pub trait EventSink {
    /// The time that decisions are made by; Unix time, ms.
    fn now(&self) -> Millis;

    /// Passes an event to the policy and executes the actions that follow.
    fn dispatch(&self, event: Event);
}
