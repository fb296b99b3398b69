//! The network side of the gateway: its sockets, timers and process lifecycle.
//!
//! - [`event_loop`] passes events from the sockets to the policy and executes the policy's actions. It owns
//!   the [`request_table`], the [`endpoint_registry`], the [`timer_queue`] and the [`clock`].
//! - [`client`], [`upstream`], [`counter`] and [`discovery`] each hold the connections to one kind of peer.
//!   [`client`] calls the event loop directly. The other three call it through traits, such as
//!   [`EventSink`](event_sink::EventSink). [`socket`] has low-level socket operations, and [`body`] reads the
//!   bodies of messages.
//! - [`cached_list`] decides for how long the endpoint list of the configuration may be used.
//! - [`serve`] starts all of these modules. [`signals`], [`shutdown`], [`connection_limits`], [`logging`] and
//!   [`supervisor`] handle the gateway process itself.

pub mod body;
pub mod cached_list;
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
