//! The gateway on its sockets.
//!
//! - [`event_loop`] turns what happens on the sockets into events of the policy, and executes its actions. It owns the
//!   [`request_table`], the [`endpoint_registry`], the [`timer_queue`] and the [`clock`].
//! - [`client`], [`upstream`], [`counter`] and [`discovery`] hold the connections to one kind of peer each, and report
//!   to the event loop as an [`event_sink`].
//! - [`serve`] starts all of these; [`signals`], [`shutdown`], [`connection_limits`], [`logging`] and [`supervisor`]
//!   are about the process.

pub mod client;
pub mod clock;
pub mod connection_limits;
pub mod counter;
pub mod discovery;
pub mod endpoint_registry;
pub mod event_loop;
pub mod event_sink;
pub mod logging;
pub mod request_table;
pub mod serve;
pub mod shutdown;
pub mod signals;
pub mod socket;
pub mod supervisor;
pub mod timer_queue;
pub mod upstream;
