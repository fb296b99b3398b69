//! Decodes endpoint lists from JSON.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A list that the agent sends: all endpoints, or the changes since an earlier revision. Borrows from the
/// JSON text.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList<'a> {
    /// The revision number of the agent's endpoint data after the changes in this list.
    pub revision: u64,
    /// Whether the list contains every endpoint and not only the changed ones; false if the field is missing.
    #[serde(default)]
    pub complete: bool,
    /// The entries, undecoded. Each entry is decoded separately, so that an invalid entry does not make the
    /// others unreadable.
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry<'a> {
    /// The id of the endpoint, which is the same at every gateway.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The IP address and port at which this machine reaches the endpoint; empty if they are missing.
    #[serde(borrow, default)]
    pub host_port: Cow<'a, str>,
    /// The name of the endpoint's zone; empty if it is missing.
    #[serde(borrow, default)]
    pub locality: Cow<'a, str>,
    /// The number of the endpoint's cell; 0 if it is missing.
    #[serde(default)]
    pub cell: u16,
    /// The state of the endpoint: `Ready`, `Terminating` or `Gone`.
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    /// The capacity of the endpoint relative to the other endpoints; 1 if it is missing.
    #[serde(default = "default_size")]
    pub size: f64,
    /// The time at which the endpoint last started, Unix time in ms; 0, the default, means long ago.
    #[serde(default)]
    pub up_since_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

impl<'a> EndpointList<'a> {
    /// Decodes the entries one by one. Returns an error for each entry that cannot be decoded.
    pub fn entries(&self) -> impl Iterator<Item = Result<EndpointEntry<'a>, serde_json::Error>> + '_ {
        self.members.iter().map(|entry| serde_json::from_str(entry.get()))
    }

    /// Marks the list as complete, whatever the agent sent.
    pub(super) fn into_complete(self) -> Self {
        EndpointList { complete: true, ..self }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_list.rs"]
mod tests;
