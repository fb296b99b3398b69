//! Stores settings as strings under dotted paths, such as `classes.0.deadline`, and converts them to numbers
//! and flags.

use super::error::SettingsError;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::HashMap;

/// The values of settings by their dotted paths. A list that contains an object, or that is empty, has its
/// length under `.count` and its items under `.0`, `.1` and so on. Any other list is one value: its items,
/// joined by commas. If a path occurs more than once, the value that is read last is used; the fields of a
/// JSON object are read in the order of their sorted names.
#[derive(Debug, Default)]
pub(super) struct KeyValues<'a>(HashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> KeyValues<'a> {
    /// Reads `path=value` lines and trims white space around paths and values. Lines without `=` are skipped.
    pub fn from_text(text: &'a str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        KeyValues(pairs.map(|(key, value)| (key.trim().into(), value.trim().into())).collect())
    }

    /// Flattens nested JSON into values under dotted paths.
    pub fn from_json(settings: &Value) -> KeyValues<'static> {
        let mut values = KeyValues::default();
        values.insert_json("", settings);
        values
    }
}

impl KeyValues<'static> {
    fn insert_json(&mut self, path: &str, value: &Value) {
        match value {
            Value::Object(fields) => {
                fields.iter().for_each(|(key, field)| self.insert_json(&join_path(path, key), field));
            }
            Value::Array(items) if items.is_empty() || items.iter().any(Value::is_object) => {
                self.insert(&join_path(path, "count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.insert_json(&join_path(path, &index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(scalar_to_text).collect();
                self.insert(path, texts.join(","));
            }
            scalar => self.insert(path, scalar_to_text(scalar)),
        }
    }

    fn insert(&mut self, path: &str, value: String) {
        self.0.insert(path.trim().to_owned().into(), value.into());
    }
}

impl KeyValues<'_> {
    /// Returns the text of a setting, or `None` if the setting is missing.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    /// Returns the number that a setting holds, or `default` if the setting is missing.
    ///
    /// # Errors
    /// Returns an error if the value is not a number or not finite.
    pub fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        let value: f64 =
            text.trim().parse().map_err(|_| SettingsError::NotANumber { key: key.to_owned() })?;
        if !value.is_finite() {
            return Err(SettingsError::NotFinite { key: key.to_owned() });
        }
        Ok(value)
    }

    /// Returns the number that a required setting holds.
    ///
    /// # Errors
    /// Returns an error if the setting is missing, not a number or not finite.
    pub fn required_number(&self, key: &str) -> Result<f64, SettingsError> {
        if self.text(key).is_none() {
            return Err(SettingsError::Missing { key: key.to_owned() });
        }
        self.number(key, 0.0)
    }

    /// Returns whether the value of a setting is `true` or `1`. Returns false if the setting is missing.
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.text(key).map(str::trim), Some("true" | "1"))
    }

    /// Returns the length of a list of objects. The length may not exceed the total number of settings.
    /// Without this limit, a wrong length would make the settings reader allocate items that the settings do
    /// not contain.
    ///
    /// # Errors
    /// Returns an error if the length is missing, not a number, negative, not whole or over the limit.
    pub fn count(&self, key: &str) -> Result<usize, SettingsError> {
        let count = self.required_number(key)?;
        if count < 0.0 || count.fract() != 0.0 || count > self.0.len() as f64 {
            return Err(SettingsError::InvalidCount { key: key.to_owned(), count });
        }
        Ok(count as usize)
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// Converts a scalar, or a list inside a list, to the text that the simulator writes for it. White space and
/// commas become `_`, because in the simulator's text they would end the value.
fn scalar_to_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    text.replace(|c: char| c.is_whitespace() || c == ',', "_")
}

#[cfg(test)]
#[path = "../../tests/unit/key_values.rs"]
mod tests;
