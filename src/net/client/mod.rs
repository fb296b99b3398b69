//! Accepts client connections, reads each request completely before it is admitted, and writes the response.
//!
//! [`ClientListener`] accepts connections and registers each in the `connection_table`. A `connection_task`
//! serves one connection through an `instrumented_stream`, which keeps the state in `connection` up to date.
//! The `request_handler` validates each request, submits it to the event loop and returns its response. The
//! `idle_reaper` closes connections that are idle for too long or make no progress. The `eviction` module
//! closes a connection when the connection limit is reached.

mod connection;
mod connection_table;
mod connection_task;
mod correlation_ids;
mod disconnect;
mod eviction;
mod head_counter;
mod headers;
mod idle_reaper;
mod instrumented_stream;
mod listener;
mod quota_header;
mod request_body;
mod request_error;
mod request_handler;
mod request_parser;
mod response;

pub use listener::ClientListener;
