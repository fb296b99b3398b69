//! The gateway's sockets: one module for each kind of peer, and the one [`event_loop`], which turns what happens on
//! them into events of the policy and executes its actions.

pub mod client;
pub mod clock;
pub mod counter;
pub mod discovery;
pub mod endpoint_registry;
pub mod event_loop;
pub mod event_sink;
pub mod request_table;
pub mod socket;
pub mod supervisor;
pub mod timer_queue;
pub mod upstream;

pub use supervisor::keep_running;
