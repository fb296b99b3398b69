//! Decodes endpoint lists.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A complete endpoint list, or the changes to one. Borrows the JSON text that it was decoded from.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList<'a> {
    /// The list's version.
    pub revision: u64,
    /// Whether it holds every endpoint, not only those that changed.
    #[serde(default)]
    pub complete: bool,
    /// Decoded one by one, so that a malformed entry does not hide the others.
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry<'a> {
    /// Its id, the same at every gateway.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Where it listens, as seen from this machine.
    #[serde(borrow, default)]
    pub host_port: Cow<'a, str>,
    /// Its zone.
    #[serde(borrow, default)]
    pub locality: Cow<'a, str>,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// `Ready`, `Terminating` or `Gone`.
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    /// Its capacity relative to the others.
    #[serde(default = "default_size")]
    pub size: f64,
    /// When it last started, Unix ms; 0: long ago.
    #[serde(default)]
    pub up_since_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

impl<'a> EndpointList<'a> {
    /// The entries; an error for each that cannot be decoded.
    pub fn entries(&self) -> impl Iterator<Item = Result<EndpointEntry<'a>, serde_json::Error>> + '_ {
        self.members.iter().map(|member| serde_json::from_str(member.get()))
    }

    /// The same list, taken for a complete one.
    pub(super) fn into_complete(self) -> Self {
        EndpointList { complete: true, ..self }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_list.rs"]
mod tests;
