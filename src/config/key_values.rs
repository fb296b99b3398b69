//! Settings as values under dotted paths, such as `classes.0.deadline`, with typed look-ups.

use super::error::SettingsError;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::HashMap;

/// Settings by their dotted paths. A list of objects has its length under `.count` and its items under `.0`,
/// `.1` and so on; a list of plain values is one value, joined by commas. Where a path occurs twice, the last
/// one counts.
#[derive(Debug, Default)]
pub(super) struct KeyValues<'a>(HashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> KeyValues<'a> {
    /// Reads `path=value` lines; lines without `=` are skipped.
    pub fn from_text(text: &'a str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        KeyValues(pairs.map(|(key, value)| (key.trim().into(), value.trim().into())).collect())
    }

    /// Takes in nested JSON.
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
                fields.iter().for_each(|(key, field)| self.insert_json(&join(path, key), field));
            }
            Value::Array(items) if items.is_empty() || items.iter().any(Value::is_object) => {
                self.insert(&join(path, "count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.insert_json(&join(path, &index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let plain: Vec<String> = items.iter().map(plain_text).collect();
                self.insert(path, plain.join(","));
            }
            plain => self.insert(path, plain_text(plain)),
        }
    }

    fn insert(&mut self, path: &str, value: String) {
        self.0.insert(path.trim().to_owned().into(), value.into());
    }
}

impl KeyValues<'_> {
    /// A value as it stands; `None` where it is absent.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    /// A number, or `default` where it is absent.
    ///
    /// # Errors
    /// When the value is no number, or not finite.
    pub fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        let value: f64 =
            text.trim().parse().map_err(|_| SettingsError::NotANumber { key: key.to_owned() })?;
        if !value.is_finite() {
            return Err(SettingsError::NotFinite { key: key.to_owned() });
        }
        Ok(value)
    }

    /// A number that has no default.
    ///
    /// # Errors
    /// When the value is absent, no number or not finite.
    pub fn required_number(&self, key: &str) -> Result<f64, SettingsError> {
        if self.text(key).is_none() {
            return Err(SettingsError::Missing { key: key.to_owned() });
        }
        self.number(key, 0.0)
    }

    /// A flag: set by `true` or `1`, and by nothing else.
    pub fn flag(&self, key: &str) -> bool {
        matches!(self.text(key).map(str::trim), Some("true" | "1"))
    }

    /// The length of a list of objects. Bounded by the number of settings: a length out of nowhere would make
    /// the reader allocate items that nobody has sent.
    ///
    /// # Errors
    /// When the value is absent, no whole number or over that bound.
    pub fn count(&self, key: &str) -> Result<usize, SettingsError> {
        let count = self.required_number(key)?;
        if count < 0.0 || count.fract() != 0.0 || count > self.0.len() as f64 {
            return Err(SettingsError::InvalidCount { key: key.to_owned(), count });
        }
        Ok(count as usize)
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// A plain value as the simulator writes it: blanks and commas become `_`, as they would end the value there.
fn plain_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    text.replace(|c: char| c.is_whitespace() || c == ',', "_")
}

#[cfg(test)]
#[path = "../../tests/unit/key_values.rs"]
mod tests;
