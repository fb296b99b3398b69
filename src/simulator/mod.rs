//! Adapter between the simulator's binary protocol and the gateways that the simulator runs. It only converts
//! events and actions; the policy makes all decisions.
//!
//! `layout` defines the codes and byte offsets of the records, and `frame` reads and writes their fields.
//! `event_decoder` decodes events, `action_encoder` encodes actions, and [`GatewayHost`] runs the gateways.

mod action_encoder;
mod error;
mod event_decoder;
mod frame;
mod host;
mod layout;

pub use error::FrameError;
pub use host::GatewayHost;
