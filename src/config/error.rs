//! Why a configuration or its settings cannot be used.

use std::error::Error;
use std::fmt::{Display, Formatter};

/// Why settings cannot be used. `key` is the setting's path, such as `classes.0.deadline`.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// A setting without a default is absent.
    Missing {
        /// The setting.
        key: String,
    },
    /// A value that has to be a number is none.
    NotANumber {
        /// The setting.
        key: String,
    },
    /// A number that is infinite or NaN.
    NotFinite {
        /// The setting.
        key: String,
    },
    /// The length of a list is no whole number, or more than there are settings.
    InvalidCount {
        /// The setting.
        key: String,
        /// Its value.
        count: f64,
    },
    /// A value that is none of those agreed on.
    UnknownValue {
        /// The setting.
        key: String,
        /// Its value; `None` where it is absent.
        value: Option<String>,
    },
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Missing { key } => write!(f, "setting {key}: missing"),
            SettingsError::NotANumber { key } => write!(f, "setting {key}: not a number"),
            SettingsError::NotFinite { key } => write!(f, "setting {key}: not finite"),
            SettingsError::InvalidCount { key, count } => {
                write!(f, "setting {key}: {count} is no count of the lines given")
            }
            SettingsError::UnknownValue { key, value } => write!(f, "setting {key}: {value:?} is unknown"),
        }
    }
}

impl Error for SettingsError {}

/// Why a gateway cannot start from its configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file of this path cannot be read.
    Unreadable(String, std::io::Error),
    /// The file is not JSON of the agreed form.
    Malformed(serde_json::Error),
    /// Its settings cannot be used.
    Settings(SettingsError),
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(path, error) => write!(f, "configuration {path:?}: {error}"),
            ConfigError::Malformed(error) => write!(f, "configuration: {error}"),
            ConfigError::Settings(error) => write!(f, "configuration, {error}"),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::Unreadable(_, error) => Some(error),
            ConfigError::Malformed(error) => Some(error),
            ConfigError::Settings(error) => Some(error),
        }
    }
}
