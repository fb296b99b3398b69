//! Keeps the address and state of each server that discovery reports.

use super::discovery::{EndpointEntry, EndpointList};
use crate::event::{Endpoint, EndpointState, EndpointUpdate};
use crate::ids::ServerId;
use log::Level;
use std::collections::{HashMap, HashSet};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// Zone number of a server whose zone is not in the configuration.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// The reason why an entry of a server list is ignored.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The entry is not JSON of the expected form.
    #[error("malformed entry: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The entry's phase is unknown.
    #[error("server {id} has unknown phase {phase:?}")]
    UnknownPhase {
        /// The server's id in the list.
        id: String,
        /// The phase as the list gives it.
        phase: String,
    },
    /// Another server with the same [`ServerId`] is already registered.
    #[error("server {id} has the same numeric id {} as the registered server {other}", server.0)]
    ServerIdCollision {
        /// The server's id in the list.
        id: String,
        /// The numeric id of both servers.
        server: ServerId,
        /// The list id of the server that was registered first.
        other: String,
    },
    /// The entry has no valid address.
    #[error("server {id} has no valid address: {source}")]
    InvalidAddress {
        /// The server's id in the list.
        id: String,
        /// Why the address cannot be parsed.
        source: AddrParseError,
    },
}

impl EndpointError {
    /// A collision is logged as an error: it lasts until one of the two servers is renamed, and one of them
    /// gets no requests until then.
    fn log_level(&self) -> Level {
        match self {
            EndpointError::ServerIdCollision { .. } => Level::Error,
            _ => Level::Warn,
        }
    }
}

/// A server list, decoded for the policy.
pub struct DecodedList {
    /// The entries that were decoded.
    pub endpoints: Vec<Endpoint>,
    /// Whether all entries were decoded. If one was ignored, the registry may lack a change.
    pub all_decoded: bool,
}

struct RegisteredEndpoint {
    /// The server's id in the list.
    id: String,
    address: SocketAddr,
    ready: bool,
}

/// The servers that discovery has listed and not removed since.
pub struct EndpointRegistry {
    zones: Vec<String>,
    endpoints: HashMap<ServerId, RegisteredEndpoint>,
}

impl EndpointRegistry {
    /// Creates an empty registry. The number of a zone is its index in `zones`.
    pub fn new(zones: Vec<String>) -> Self {
        EndpointRegistry { zones, endpoints: HashMap::new() }
    }

    /// Whether no server is registered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Whether a server is registered and accepts new requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.endpoints.get(&server).is_some_and(|endpoint| endpoint.ready)
    }

    /// The address of a registered server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.get(&server).map(|endpoint| endpoint.address)
    }

    /// Applies a list from discovery. Entries that cannot be decoded are logged and ignored.
    pub fn apply(&mut self, list: &EndpointList<'_>, update: EndpointUpdate) -> DecodedList {
        let mut decoded = DecodedList { endpoints: Vec::new(), all_decoded: true };
        for entry in list.entries() {
            match entry.map_err(EndpointError::from).and_then(|entry| self.register(&entry)) {
                Ok(endpoint) => decoded.endpoints.push(endpoint),
                Err(error) => {
                    log::log!(error.log_level(), "discovery: ignored one entry of the server list: {error}");
                    decoded.all_decoded = false;
                }
            }
        }
        if update != EndpointUpdate::Incremental {
            let listed: HashSet<ServerId> = decoded.endpoints.iter().map(|e| e.server).collect();
            self.endpoints.retain(|server, _| listed.contains(server));
        }
        decoded
    }

    fn register(&mut self, entry: &EndpointEntry<'_>) -> Result<Endpoint, EndpointError> {
        let server = server_id(&entry.id);
        let state = decode_state(entry)?;
        if let Some(other) = self.endpoints.get(&server).filter(|other| other.id != entry.id) {
            let (id, other) = (entry.id.to_string(), other.id.clone());
            return Err(EndpointError::ServerIdCollision { id, server, other });
        }
        if state == EndpointState::Removed {
            self.endpoints.remove(&server);
        } else {
            let ready = state == EndpointState::Ready;
            let address = self.decode_address(entry, server, ready)?;
            let id = entry.id.to_string();
            self.endpoints.insert(server, RegisteredEndpoint { id, address, ready });
        }
        Ok(Endpoint {
            server,
            weight: entry.size,
            zone: self.zone_number(&entry.locality),
            cell: entry.cell,
            started: entry.up_since_ms,
            state,
        })
    }

    /// Parses the address of an entry. If a draining server's entry has no valid address, a server that is
    /// registered keeps its address, so that the drain still takes effect.
    fn decode_address(
        &self,
        entry: &EndpointEntry<'_>,
        server: ServerId,
        ready: bool,
    ) -> Result<SocketAddr, EndpointError> {
        let known = if ready { None } else { self.address(server) };
        entry.host_port.parse().or_else(|source| {
            known.ok_or_else(|| EndpointError::InvalidAddress { id: entry.id.to_string(), source })
        })
    }

    fn zone_number(&self, name: &str) -> u16 {
        let index = self.zones.iter().position(|zone| zone == name);
        index.map_or(UNKNOWN_ZONE, |index| index as u16)
    }
}

fn decode_state(entry: &EndpointEntry<'_>) -> Result<EndpointState, EndpointError> {
    match entry.phase.as_ref() {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Removed),
        phase => Err(EndpointError::UnknownPhase { id: entry.id.to_string(), phase: phase.to_owned() }),
    }
}

/// Derives the numeric id of a server, which is the same at every gateway. If the part of its id in the list
/// after the last hyphen (without a hyphen, the whole id) is a hexadecimal number of eight characters, the
/// result is that number. Otherwise the result is the 32-bit FNV-1a hash of the whole id.
fn server_id(id: &str) -> ServerId {
    const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let suffix = id.rsplit('-').next().unwrap_or(id);
    let number = if suffix.len() == 8 { u32::from_str_radix(suffix, 16).ok() } else { None };
    ServerId(number.unwrap_or_else(|| {
        id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
    }))
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_registry.rs"]
mod tests;
