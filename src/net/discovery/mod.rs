//! Watches the discovery agent and passes its endpoint lists to the event loop.
//!
//! [`WatcherHandle`] runs one watcher for the agent that the configuration names. The watcher reads a
//! complete list once, then keeps a watch open that sends the changes, and retries after a backoff when a
//! request or the watch fails. It passes each list to an [`EndpointSink`].

mod connect;
mod endpoint_list;
mod error;
mod json_framer;
mod json_scanner;
mod response;
mod timing;
mod watcher;

pub use connect::Connect;
pub use endpoint_list::{EndpointEntry, EndpointList};
pub use error::DiscoveryError;
pub use json_framer::max_object_bytes;
pub use watcher::{EndpointSink, WatcherHandle, WatcherLimits};
