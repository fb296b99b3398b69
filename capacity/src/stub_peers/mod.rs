//! Stubs of a gateway's peers on loopback: a discovery agent, a counter, a server and a client. Unlike the
//! stubs of the tests, they return errors and do only the necessary work, so that they use little processor
//! time compared with the gateway.

mod client;
mod connection;
mod counter;
mod discovery;
mod server;

pub use client::{Client, ClientRequest};
pub use counter::start_counter;
pub use discovery::DiscoveryStub;
pub use server::ServerStub;
