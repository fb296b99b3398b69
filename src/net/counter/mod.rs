//! Sends calls to the counter service. The calls are lines of text, pipelined on a few persistent
//! connections; the service replies to the calls of a connection in order.
//!
//! The [`CounterClient`] queues each call on a connection, which the call's key selects. One task per
//! connection writes the queued calls, matches the replies to the pending calls and reports the outcomes as
//! events. One task per slot of the connection set opens the connections, with a backoff after failures.

mod calls;
mod client;
mod connection;
mod connection_set;
mod exchange;
mod protocol;
mod reconnect;

pub use calls::{CallId, CompletedCall};
pub use client::CounterClient;
pub use protocol::Increment;
