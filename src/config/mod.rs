//! Reads the settings of a gateway: [`Config`] from the file that `PROXY_CONFIG` names, and
//! [`parse_settings`] from the text that the simulator hands to an instance.
//!
//! Both forms become values under dotted paths (`key_values`), from which `settings_reader` fills the one
//! [`Settings`](crate::settings::Settings). The keys of the deployment's pages occur there and in `file`
//! only.

mod error;
mod file;
mod key_values;
mod settings_reader;

pub use error::{ConfigError, SettingsError};
pub use file::{Config, Limits, Names};
pub use settings_reader::parse_settings;
