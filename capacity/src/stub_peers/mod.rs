//! Stubs of a real gateway's peers on loopback: a discovery agent, a counter, a server and a client. They
//! return errors and do no more than they must, unlike the stubs of the tests, so that they cost little
//! beside the gateway.

mod client;
mod connection;
mod counter;
mod discovery;
mod server;

pub use client::{Client, ClientRequest};
pub use counter::start_counter;
pub use discovery::DiscoveryStub;
pub use server::ServerStub;
