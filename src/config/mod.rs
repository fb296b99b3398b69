//! Reads the settings of a gateway. [`Config`] reads them from the configuration file, whose path the program
//! takes from the environment variable `PROXY_CONFIG` if it is set; [`parse_settings`] reads them from the
//! text that the simulator sends to an instance.
//!
//! `key_values` converts both formats to values under dotted paths, and `settings_reader` builds the
//! [`Settings`](crate::settings::Settings) from them. Only `settings_reader` and `file` contain the external
//! names of the settings.

mod error;
mod file;
mod key_values;
mod settings_reader;

pub use error::{ConfigError, SettingsError};
pub use file::{Config, Limits, Names};
pub use settings_reader::parse_settings;
