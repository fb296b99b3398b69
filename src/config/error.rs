//! Errors in the configuration file, and in settings from the file or from the simulator.

use std::error::Error;
use std::fmt::{Display, Formatter};

/// The reason why settings are invalid. In each variant, `key` is the path of the setting, such as
/// `classes.0.deadline`.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// A required setting is missing.
    Missing {
        /// Path of the setting.
        key: String,
    },
    /// The value of a numeric setting is not a number.
    NotANumber {
        /// Path of the setting.
        key: String,
    },
    /// The value of a numeric setting is infinite or NaN.
    NotFinite {
        /// Path of the setting.
        key: String,
    },
    /// The length of a list is negative, not a whole number, or larger than the number of settings.
    InvalidCount {
        /// Path of the setting that holds the length.
        key: String,
        /// The length in the settings.
        count: f64,
    },
    /// The value of a setting is missing or is not one of the allowed values.
    UnknownValue {
        /// Path of the setting.
        key: String,
        /// The value; `None` if it is missing.
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

/// The reason why a configuration file cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// The file at this path cannot be read or is not UTF-8.
    Unreadable(String, std::io::Error),
    /// The file is not valid JSON, or lacks a required field, or has a field of the wrong type.
    Malformed(serde_json::Error),
    /// The settings in the file are invalid.
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
