//! Watches the discovery agent and passes its endpoint lists to the event loop.
//!
//! [`WatcherHandle`] runs one watcher for the agent in the configuration. The watcher first reads a complete
//! list, unless the gateway starts with a cached list. It then keeps a watch open, on which the agent sends
//! the changes. When a request or the watch fails, the watcher retries after a backoff, and reads a complete
//! list again if a change may have been lost. It passes each list to an [`EndpointSink`].

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
