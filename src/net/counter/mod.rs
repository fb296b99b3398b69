//! Calls to the counter service: lines that are pipelined on a few persistent connections, whose replies come
//! back in order.
//!
//! The [`CounterClient`] queues a call on the connection of its key. A task for each connection writes what
//! is queued, matches replies to pending calls, reports their outcomes as events, and reconnects with
//! backoff.

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
