//! Client connections: accepts them, reads each request whole and writes its one response.
//!
//! [`ClientListener`] accepts connections and registers each in the `connection_table`. A `connection_task`
//! serves one connection through an `instrumented_stream`, which keeps the state in `connection` up to date.
//! Each request passes the steps of the `request_handler`: read, validate, admit, respond. The `idle_reaper`
//! and the `eviction` module close connections that make no progress or whose place is needed.

mod connection;
mod connection_table;
mod connection_task;
mod disconnect;
mod eviction;
mod head_counter;
mod headers;
mod idle_reaper;
mod in_flight_ids;
mod instrumented_stream;
mod listener;
mod quota_header;
mod request_body;
mod request_error;
mod request_handler;
mod request_parser;
mod response;

pub use listener::ClientListener;
