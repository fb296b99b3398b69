//! Watches the discovery agent and hands its endpoint lists on.
//!
//! [`WatcherHandle`] runs one watcher for the agent that the configuration names. The watcher reads a
//! complete list once, then holds a watch open for changes, and repeats what fails after a backoff. Each list
//! goes to an [`EndpointSink`].

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
