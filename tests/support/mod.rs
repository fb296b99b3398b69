//! Stub servers, discovery and counter on loopback sockets, clients, and the real gateway started against
//! them.
//!
//! The stubs panic where a test can't go on. Those of the capacity program return errors and do less, so that
//! they cost little beside the gateway; the two have nothing but the wire in common.

mod client;
mod counter;
mod discovery;
mod gate;
mod gateway_process;
mod message;
mod server;
mod setup;
mod unreachable;
mod wait;

// Each file of tests uses its own part.
#[allow(unused_imports)]
pub use self::{
    client::Client,
    counter::Counter,
    discovery::{endpoint_entry, endpoint_list, Discovery},
    gate::Gate,
    gateway_process::GatewayProcess,
    message::{read_message, response_bytes, Message},
    server::{endpoints_of, Server, StubResponse},
    setup::{start_stubs, Setup, LARGE_QUOTA_PLAN},
    unreachable::UnreachableServer,
    wait::{eventually, holds_within, WAIT_TIMEOUT},
};
