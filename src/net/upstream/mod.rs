//! The upstream side of the gateway: the connections to servers and the attempts that use them.
//!
//! This module pools connections itself instead of using a pooling HTTP client. Such a client resends
//! requests on its own and does not report whether any part of a request was written. The gateway needs this
//! information to decide whether it may retry the request.
//!
//! An attempt ([`run_attempt`]) takes a connection from the [`ConnectionPool`] or opens one and sends the
//! request on it. Before the connection's stream writes the first byte, it checks whether the attempt may
//! still begin. The attempt then reads the complete response. Whether or not it succeeds, it reports exactly
//! one result to its [`AttemptOwner`].

mod attempt;
mod closable_socket;
mod connection;
mod connection_limit;
mod instrumented_stream;
mod pool;
mod request;
mod response;

pub use attempt::{run_attempt, AttemptOwner, AttemptSpec, Target};
pub use pool::{ConnectionPool, PoolSettings};
pub use request::ForwardedRequest;
