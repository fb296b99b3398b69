//! Reads the file that `PROXY_CONFIG` names.

use super::error::ConfigError;
use super::key_values::KeyValues;
use super::settings_reader::read_settings;
use crate::net::discovery::EndpointList;
use crate::settings::Settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;

/// Longer spans of the settings count as this, ms: a day.
const MAX_SPAN_MS: f64 = 86_400_000.0;
/// Defaults of the spans that only the sockets need, ms.
const DEFAULT_CONN_IDLE_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_DRAIN_GRACE_MS: f64 = 1000.0;

/// The file as it stands.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    #[serde(default)]
    limits: Limits,
    settings: Value,
}

/// What the platform allows the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors, sockets of all kinds among them.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory, MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    192.0
}

fn default_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: default_sockets(), memory_mb: default_memory_mb() }
    }
}

/// Names that clients and discovery use, each at the index that the decision module uses. A name that is no
/// string is empty.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Plans of tenants.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Names {
    fn from_json(settings: &Value) -> Self {
        let items = |key: &str| settings[key].as_array().map(Vec::as_slice).unwrap_or_default();
        let name = |value: &Value| value.as_str().unwrap_or("").to_owned();
        Names {
            classes: items("classes").iter().map(|class| name(&class["name"])).collect(),
            plans: items("plans").iter().map(|plan| name(&plan["name"])).collect(),
            zones: items("areas").iter().map(name).collect(),
        }
    }
}

/// Everything that a gateway starts with.
pub struct Config {
    /// The gateway's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The counter service, if there is one.
    pub counter: Option<SocketAddr>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// The endpoint list as this gateway last had it, as it stands in the file.
    pub cached_endpoints_json: Option<Box<RawValue>>,
    /// What the platform allows.
    pub limits: Limits,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, plans and zones.
    pub names: Names,
    /// A server closes a connection that was idle this long, ms.
    pub server_idle_timeout: f64,
    /// A connection that is not open within this, ms, has failed.
    pub connect_timeout: f64,
    /// From this long after the notification of its drain, ms, no new request may reach an endpoint.
    pub drain_grace: f64,
}

impl Config {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When the file cannot be read or does not hold what a gateway needs.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Config::parse(&text)
    }

    /// The endpoint list as this gateway last had it. It may be old and is only where to begin: without it,
    /// or where it cannot be decoded, discovery sends a complete one.
    pub fn cached_endpoints(&self) -> Option<EndpointList<'_>> {
        serde_json::from_str(self.cached_endpoints_json.as_ref()?.get()).ok()
    }

    /// Reads the text of a configuration.
    ///
    /// # Errors
    /// When it does not hold what a gateway needs.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let values = KeyValues::from_json(&file.settings);
        let span = |section: &str, key: &str, default_ms| span_ms(&file.settings[section][key], default_ms);
        Ok(Config {
            settings: read_settings(&values).map_err(ConfigError::Settings)?,
            names: Names::from_json(&file.settings),
            server_idle_timeout: span("ceilings", "conn_idle", DEFAULT_CONN_IDLE_MS),
            connect_timeout: span("ceilings", "connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS),
            drain_grace: span("safety", "drain_grace", DEFAULT_DRAIN_GRACE_MS),
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            counter: file.counter,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| hash_seed(&file.seed)),
            cached_endpoints_json: file.known,
            limits: file.limits,
        })
    }
}

/// A span, ms; the default where it is absent, no JSON number or not positive.
fn span_ms(value: &Value, default_ms: f64) -> f64 {
    value.as_f64().filter(|span| *span > 0.0).map_or(default_ms, |span| span.min(MAX_SPAN_MS))
}

/// The seed for a text that is no hexadecimal number: its FNV-1a hash.
fn hash_seed(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

#[cfg(test)]
#[path = "../../tests/unit/config_file.rs"]
mod tests;
