//! Reads the configuration file of the gateway process.

use super::error::ConfigError;
use super::key_values::KeyValues;
use super::settings_reader::read_settings;
use crate::net::discovery::EndpointList;
use crate::settings::Settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;

/// Upper limit of the durations that [`duration_ms`] reads, ms: one day. Longer durations are shortened to
/// one day, because `Duration::from_secs_f64` panics on a value such as 1e300.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Default of [`Config::server_idle_timeout`], ms.
const DEFAULT_SERVER_IDLE_TIMEOUT_MS: f64 = 15_000.0;
/// Default of [`Config::connect_timeout`], ms.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Default of [`Config::drain_grace`], ms.
const DEFAULT_DRAIN_GRACE_MS: f64 = 1000.0;

/// The configuration file as it is deserialized. The names of the fields are part of the file format.
#[derive(Deserialize)]
struct ConfigFile {
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

/// Resource limits that the platform sets for the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors, which include all sockets.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Maximum memory of the process, MB (1 MB is 1,000,000 bytes).
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

/// The names that clients and discovery use for classes, plans and zones. The policy uses the index of a name
/// as the id. A name that is missing or not a string in the file is read as an empty string.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The names of the request classes, indexed by [`ClassId`](crate::ids::ClassId).
    pub classes: Vec<String>,
    /// The names of the tenants' plans, indexed by [`PlanId`](crate::ids::PlanId).
    pub plans: Vec<String>,
    /// The names of the zones, indexed by [`Endpoint::zone`](crate::event::Endpoint::zone).
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

/// The configuration of a gateway.
pub struct Config {
    /// The gateway's name, which is only used in the log.
    pub name: String,
    /// The address on which the gateway accepts client connections.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the counter service. With `None`, no connections to a counter service are opened.
    pub counter: Option<SocketAddr>,
    /// Seed of the policy's random numbers. The file contains it as a hexadecimal number; any other text is
    /// hashed.
    pub seed: u64,
    /// The JSON text of the endpoint list that this gateway used last; `None` if the file contains none.
    pub cached_endpoints_json: Option<Box<RawValue>>,
    /// Resource limits that the platform sets for the process.
    pub limits: Limits,
    /// Settings of the policy.
    pub settings: Settings,
    /// The names of classes, plans and zones.
    pub names: Names,
    /// Idle time after which the servers close a connection, ms.
    pub server_idle_timeout: f64,
    /// Timeout for opening a connection to a server, ms. A connection that is not open by then has failed.
    pub connect_timeout: f64,
    /// Time, ms, for which new requests may still reach a server after discovery reports that the server is
    /// draining.
    pub drain_grace: f64,
}

impl Config {
    /// Reads the configuration file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or its content is invalid.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
        Config::parse(&text)
    }

    /// Decodes the endpoint list that this gateway used last and starts with. The list may be stale. Returns
    /// `None` if the list is missing or cannot be decoded; the gateway then starts without servers until
    /// discovery sends a complete list.
    pub fn cached_endpoints(&self) -> Option<EndpointList<'_>> {
        serde_json::from_str(self.cached_endpoints_json.as_ref()?.get()).ok()
    }

    /// Reads a configuration from the text of its file.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON with the required fields, or if the settings are invalid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let values = KeyValues::from_json(&file.settings);
        let duration =
            |section: &str, key: &str, default_ms| duration_ms(&file.settings[section][key], default_ms);
        Ok(Config {
            settings: read_settings(&values).map_err(ConfigError::Settings)?,
            names: Names::from_json(&file.settings),
            server_idle_timeout: duration("ceilings", "conn_idle", DEFAULT_SERVER_IDLE_TIMEOUT_MS),
            connect_timeout: duration("ceilings", "connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS),
            drain_grace: duration("safety", "drain_grace", DEFAULT_DRAIN_GRACE_MS),
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

/// Reads a duration, ms, and limits it to [`MAX_DURATION_MS`]. Returns the default if the value is missing,
/// not a JSON number or not positive.
fn duration_ms(value: &Value, default_ms: f64) -> f64 {
    value
        .as_f64()
        .filter(|duration| *duration > 0.0)
        .map_or(default_ms, |duration| duration.min(MAX_DURATION_MS))
}

/// Returns the 64-bit FNV-1a hash of `text`. The hash is used as the seed if `text` is not a 64-bit
/// hexadecimal number.
fn hash_seed(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

#[cfg(test)]
#[path = "../../tests/unit/config_file.rs"]
mod tests;
