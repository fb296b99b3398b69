//! Watches the discovery agent and passes its endpoint lists to the event loop.
//!
//! [`WatcherHandle`] runs one watcher for the agent in the configuration. The watcher first reads a complete
//! list, unless the gateway already has one. It then keeps a watch open, on which the agent sends the
//! changes. If the list that the gateway has came from another agent, the watcher also reads the new agent's
//! complete list, beside the watch. When the watch fails, the watcher retries after a backoff, and reads a
//! complete list again if a change may have been lost. When a request fails or its response is overdue, the
//! watcher sends another one after a backoff, and uses the first response to any of them. It passes each list
//! to an [`EndpointSink`].

mod connect;
mod endpoint_list;
mod error;
mod json_framer;
mod json_scanner;
mod list_fetch;
mod requests;
mod response;
mod timing;
mod watcher;
mod watcher_handle;

pub use connect::Connect;
pub use endpoint_list::{EndpointEntry, EndpointList};
pub use error::DiscoveryError;
pub use json_framer::max_object_bytes;
pub use watcher::EndpointSink;
pub use watcher_handle::{WatcherHandle, WatcherLimits};
