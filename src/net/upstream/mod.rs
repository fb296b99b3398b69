//! Upstream side of the gateway: connections to servers, and the attempts that are made on them.
//!
//! Connections are pooled here and not by a pooling HTTP client. Such a client resends requests on its own
//! and does not report whether any part of a request was written, which decides whether it may be retried.
//!
//! An [`attempt`](attempt()) takes a connection from the [`ConnectionPool`] or opens one, sends the request
//! through a stream that guards its first byte, reads the response completely and reports one result to its
//! [`AttemptOwner`].

mod attempt;
mod closable_socket;
mod connection;
mod connection_limit;
mod instrumented_stream;
mod pool;
mod request;
mod response;

pub use attempt::{attempt, AttemptOwner, AttemptSpec};
pub use pool::{ConnectionPool, PoolSettings};
pub use request::ForwardedRequest;
