//! Stubs of servers, discovery and the counter on loopback sockets, clients, and the real gateway, which is
//! started with these stubs as its peers.
//!
//! These stubs panic when a test cannot continue. The capacity program has stubs of its own, which return
//! errors and do less, so that their cost is small compared with the gateway's. The two sets of stubs share
//! no code, only the wire format.

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

// Each test file uses only some of these items.
#[allow(unused_imports)]
pub use self::{
    client::Client,
    counter::Counter,
    discovery::{endpoint_entry, endpoint_list, Discovery},
    gate::Gate,
    gateway_process::{memory, peak_memory, GatewayProcess},
    message::{read_message, response_bytes, Message},
    server::{endpoints_of, Server, StubResponse},
    setup::{start_stubs, Setup, LARGE_QUOTA_PLAN},
    unreachable::UnreachableServer,
    wait::{eventually, holds_within, WAIT_TIMEOUT},
};
