//! The configuration file.

use super::{Config, ConfigError};

/// A site's file lacks its classes. The gateway has to end with a message rather than reject every request.
#[test]
fn a_configuration_without_classes_is_an_error() {
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}"#;
    assert!(matches!(Config::parse(text), Err(ConfigError::Settings(_))));
    assert!(matches!(Config::parse("{"), Err(ConfigError::Malformed(_))));
}
