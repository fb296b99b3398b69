//! The simulator's wire protocol: frames and codes. Translation only; it decides nothing.

mod frame;
mod host;

pub use frame::WireError;
pub use host::Host;
