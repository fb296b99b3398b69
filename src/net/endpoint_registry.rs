//! Keeps the address of each server that discovery reports, and whether the server accepts new requests.

use super::discovery::{EndpointEntry, EndpointList};
use crate::event::{Endpoint, EndpointState, EndpointUpdate};
use crate::ids::{Millis, ServerId};
use log::Level;
use std::collections::{HashMap, HashSet};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// Zone number of a server whose zone is not in the configuration.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// The reason why an entry of an endpoint list is ignored.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The entry is invalid JSON, or one of its fields is missing or has the wrong type.
    #[error("malformed entry: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The entry's phase is not `Ready`, `Terminating` or `Gone`.
    #[error("server {id} has unknown phase {phase:?}")]
    UnknownPhase {
        /// The server's id in the list.
        id: String,
        /// The phase in the list.
        phase: String,
    },
    /// Another server with the same [`ServerId`] is already registered.
    #[error("server {id} has the same numeric id {} as the registered server {other}", server.0)]
    ServerIdCollision {
        /// The server's id in the list.
        id: String,
        /// The numeric id of both servers.
        server: ServerId,
        /// The id, in the list, of the server that was registered first.
        other: String,
    },
    /// The entry's address is missing or is not an IP address with a port.
    #[error("server {id} has no valid address: {source}")]
    InvalidAddress {
        /// The server's id in the list.
        id: String,
        /// Why the address cannot be parsed.
        source: AddrParseError,
    },
}

impl EndpointError {
    /// Returns the level at which the reason is logged. A collision is an error, because one of the two
    /// servers gets no requests until one of them is renamed or the registered server is removed.
    fn log_level(&self) -> Level {
        match self {
            EndpointError::ServerIdCollision { .. } => Level::Error,
            _ => Level::Warn,
        }
    }
}

/// An endpoint list, decoded for the policy.
pub struct DecodedList {
    /// The valid entries, in the order of the list.
    pub endpoints: Vec<Endpoint>,
    /// Whether all entries were valid. If an entry was ignored, the registry may lack the
    /// change that the entry describes.
    pub all_decoded: bool,
}

struct RegisteredEndpoint {
    /// The server's id in the list.
    id: String,
    address: SocketAddr,
    /// Time of the server's last start, Unix ms; 0 means long ago.
    started_at: Millis,
    /// Whether the server accepts new requests; false once another process has taken its address.
    ready: bool,
}

/// The servers in the current endpoint list whose entries were valid, including draining servers.
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
        let entries: Vec<_> = list.entries().collect();
        if update != EndpointUpdate::Incremental {
            // Servers that are not listed are removed first, since a listed server may have the numeric id of
            // one that is gone.
            let listed: HashSet<&str> = entries.iter().flatten().map(|entry| entry.id.as_ref()).collect();
            self.endpoints.retain(|_, endpoint| listed.contains(endpoint.id.as_str()));
        }
        for entry in entries {
            match entry.map_err(EndpointError::from).and_then(|entry| self.apply_entry(&entry)) {
                Ok(endpoint) => decoded.endpoints.push(endpoint),
                Err(error) => {
                    log::log!(error.log_level(), "discovery: ignored an endpoint list entry: {error}");
                    decoded.all_decoded = false;
                }
            }
        }
        if update != EndpointUpdate::Incremental {
            let listed: HashSet<ServerId> = decoded.endpoints.iter().map(|e| e.server).collect();
            self.endpoints.retain(|server, _| listed.contains(server));
        }
        self.remove_replaced(&mut decoded.endpoints);
        decoded
    }

    /// Marks servers whose addresses have been taken by processes that started later as not ready, and makes
    /// the policy remove them.
    ///
    /// Discovery may report the new process before it reports that the old one is gone. Requests to the old
    /// server would reach the new process, and the policy would count them for the old server.
    fn remove_replaced(&mut self, endpoints: &mut Vec<Endpoint>) {
        let latest_starts = self.latest_starts(endpoints);
        let mut replaced: Vec<ServerId> = self
            .endpoints
            .iter()
            .filter(|(_, e)| latest_starts.get(&e.address).is_some_and(|latest| e.started_at < *latest))
            .map(|(server, _)| *server)
            .collect();
        if replaced.is_empty() {
            return;
        }
        // The policy must get the same list each time, and the order of a hash map varies.
        replaced.sort_unstable();
        endpoints.retain(|endpoint| !replaced.contains(&endpoint.server));
        for server in replaced {
            if let Some(endpoint) = self.endpoints.get_mut(&server) {
                endpoint.ready = false;
            }
            endpoints.push(Endpoint { server, state: EndpointState::Removed, ..Endpoint::default() });
        }
    }

    /// The start of the latest process at each address of these servers.
    fn latest_starts(&self, endpoints: &[Endpoint]) -> HashMap<SocketAddr, Millis> {
        let mut latest_starts: HashMap<SocketAddr, Millis> = endpoints
            .iter()
            .filter_map(|endpoint| self.address(endpoint.server))
            .map(|address| (address, 0.0))
            .collect();
        for endpoint in self.endpoints.values() {
            if let Some(latest) = latest_starts.get_mut(&endpoint.address) {
                *latest = latest.max(endpoint.started_at);
            }
        }
        latest_starts
    }

    fn apply_entry(&mut self, entry: &EndpointEntry<'_>) -> Result<Endpoint, EndpointError> {
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
            let started_at = entry.up_since_ms;
            self.endpoints.insert(server, RegisteredEndpoint { id, address, started_at, ready });
        }
        Ok(Endpoint {
            server,
            weight: entry.size,
            zone: self.zone_number(&entry.locality),
            cell: entry.cell,
            started_at: entry.up_since_ms,
            state,
        })
    }

    /// Parses the address of an entry. If the entry of a draining server has no valid address, this returns
    /// the address under which the server is already registered, so that the drain still takes effect.
    fn decode_address(
        &self,
        entry: &EndpointEntry<'_>,
        server: ServerId,
        ready: bool,
    ) -> Result<SocketAddr, EndpointError> {
        let registered_address = if ready { None } else { self.address(server) };
        entry.host_port.parse().or_else(|source| {
            registered_address
                .ok_or_else(|| EndpointError::InvalidAddress { id: entry.id.to_string(), source })
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

/// Derives the numeric id of a server from its id in the list, so that all gateways use the same numeric id.
/// If the text after the last hyphen, or the whole id if it has no hyphen, is a hexadecimal number of eight
/// characters, the result is this number. Otherwise the result is the 32-bit FNV-1a hash of the whole id.
fn server_id(id: &str) -> ServerId {
    const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let suffix = id.rsplit('-').next().unwrap_or(id);
    let numeric_suffix = if suffix.len() == 8 { u32::from_str_radix(suffix, 16).ok() } else { None };
    ServerId(numeric_suffix.unwrap_or_else(|| {
        id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
    }))
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_registry.rs"]
mod tests;
