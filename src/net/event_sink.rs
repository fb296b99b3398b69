//! The interface through which the modules that own connections report events to the event loop.

use crate::event::Event;
use crate::ids::Millis;

/// Receives events for the policy. The event loop implements this trait.
pub trait EventSink {
    /// The current Unix time, ms, on the clock that the policy's decisions use.
    fn now(&self) -> Millis;

    /// Passes an event to the policy and executes the actions that the policy returns. If another event is
    /// being handled, the new event is only enqueued.
    fn dispatch(&self, event: Event);
}
