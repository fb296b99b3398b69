//! Adapter between the simulator's binary frames and the gateways that it runs. It translates and decides
//! nothing.
//!
//! `layout` has the codes and byte positions of the records, `frame` reads and writes fields, `event_decoder`
//! and `action_encoder` translate, and [`GatewayHost`] runs the gateways.

mod action_encoder;
mod error;
mod event_decoder;
mod frame;
mod host;
mod layout;

pub use error::FrameError;
pub use host::GatewayHost;
