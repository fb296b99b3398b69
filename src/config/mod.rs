//! Reads the settings of a gateway: [`Config`] from the file that `PROXY_CONFIG` names, and [`parse_settings`] from
//! the text that the simulator hands to an instance.

mod file;
mod settings_text;

pub use crate::simulator::WireError;
pub use file::{Config, ConfigError, Limits, Names};
pub use settings_text::parse_settings;
