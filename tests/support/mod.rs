//! Stub servers, discovery and counter on loopback sockets, clients, and the real limiter started against them.
//!
//! The stubs panic where a test can't go on. Those of the capacity program return errors and do less, so that they cost
//! little beside the limiter; the two have nothing but the wire in common.

mod client;
mod counter;
mod discovery;
mod gate;
mod limiter;
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
    discovery::{list, member, Discovery},
    gate::Gate,
    limiter::Limiter,
    message::{answer, read_message, Message},
    server::{often, Act, Server},
    setup::{around, Setup, WIDE},
    unreachable::Unreachable,
    wait::{eventually, within, PATIENCE},
};
