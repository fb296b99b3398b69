//! Tests of the configuration file.

use super::{Config, ConfigError};

/// A configuration file without classes, or cut off, must be an error: a gateway that started from it would
/// reject every request.
#[test]
fn a_configuration_without_classes_or_with_invalid_json_is_an_error() {
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}"#;
    assert!(matches!(Config::parse(text), Err(ConfigError::Settings(_))));
    assert!(matches!(Config::parse("{"), Err(ConfigError::Malformed(_))));
}
