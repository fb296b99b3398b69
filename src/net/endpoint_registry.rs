//! Addresses and states of the servers, as discovery reports them.

use super::discovery::{EndpointEntry, EndpointList};
use crate::event::{Endpoint, EndpointState, EndpointUpdate};
use crate::ids::ServerId;
use log::Level;
use std::collections::{HashMap, HashSet};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// Zone of a server whose zone is not in the configuration.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// Why an entry of a server list is ignored.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The entry is not of the agreed form.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The entry's state is none that is known.
    #[error("{id} is in unknown phase {phase:?}")]
    UnknownPhase {
        /// The server's id in the list.
        id: String,
        /// The state as it stands in the list.
        phase: String,
    },
    /// Another server has the same number.
    #[error("{id} has the number {} of {other}", server.0)]
    NumberCollision {
        /// The server's id in the list.
        id: String,
        /// The number of both.
        server: ServerId,
        /// The id of the server that was there before.
        other: String,
    },
    /// The entry has no address that can be read.
    #[error("{id} has no address: {source}")]
    NoAddress {
        /// The server's id in the list.
        id: String,
        /// Why its address cannot be read.
        source: AddrParseError,
    },
}

impl EndpointError {
    /// A collision lasts until one of the servers is renamed, and one of them gets no requests until then.
    fn log_level(&self) -> Level {
        match self {
            EndpointError::NumberCollision { .. } => Level::Error,
            _ => Level::Warn,
        }
    }
}

/// What a server list says, in terms of the policy.
pub struct DecodedList {
    /// The entries that could be read.
    pub endpoints: Vec<Endpoint>,
    /// No entry was ignored. Otherwise the registry may lack a change.
    pub complete: bool,
}

struct RegisteredEndpoint {
    /// The server's id in the list.
    id: String,
    address: SocketAddr,
    ready: bool,
}

/// The servers that discovery has named and not withdrawn.
pub struct EndpointRegistry {
    zones: Vec<String>,
    endpoints: HashMap<ServerId, RegisteredEndpoint>,
}

impl EndpointRegistry {
    /// A registry without servers. A zone's number is its place in `zones`.
    pub fn new(zones: Vec<String>) -> Self {
        EndpointRegistry { zones, endpoints: HashMap::new() }
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Whether a server is known and takes new requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.endpoints.get(&server).is_some_and(|endpoint| endpoint.ready)
    }

    /// Where a known server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.get(&server).map(|endpoint| endpoint.address)
    }

    /// Takes in a list. Entries that cannot be used are logged and ignored.
    pub fn apply(&mut self, list: &EndpointList<'_>, update: EndpointUpdate) -> DecodedList {
        let mut decoded = DecodedList { endpoints: Vec::new(), complete: true };
        for member in list.members() {
            match member.map_err(EndpointError::from).and_then(|member| self.register(&member)) {
                Ok(endpoint) => decoded.endpoints.push(endpoint),
                Err(error) => {
                    log::log!(error.log_level(), "discovery entry ignored: {error}");
                    decoded.complete = false;
                }
            }
        }
        if update != EndpointUpdate::Incremental {
            let listed: HashSet<ServerId> = decoded.endpoints.iter().map(|e| e.server).collect();
            self.endpoints.retain(|server, _| listed.contains(server));
        }
        decoded
    }

    fn register(&mut self, member: &EndpointEntry<'_>) -> Result<Endpoint, EndpointError> {
        let server = server_id(&member.id);
        let state = decode_state(member)?;
        if let Some(other) = self.endpoints.get(&server).filter(|other| other.id != member.id) {
            let (id, other) = (member.id.to_string(), other.id.clone());
            return Err(EndpointError::NumberCollision { id, server, other });
        }
        if state == EndpointState::Removed {
            self.endpoints.remove(&server);
        } else {
            let ready = state == EndpointState::Ready;
            let address = self.decode_address(member, server, ready)?;
            let id = member.id.to_string();
            self.endpoints.insert(server, RegisteredEndpoint { id, address, ready });
        }
        Ok(Endpoint {
            server,
            weight: member.size,
            zone: self.zone_number(&member.locality),
            cell: member.cell,
            started: member.up_since_ms,
            state,
        })
    }

    /// The address of an entry. A drain takes effect without one too: a known server then keeps its address.
    fn decode_address(
        &self,
        member: &EndpointEntry<'_>,
        server: ServerId,
        ready: bool,
    ) -> Result<SocketAddr, EndpointError> {
        let known = if ready { None } else { self.address(server) };
        member.host_port.parse().or_else(|source| {
            known.ok_or_else(|| EndpointError::NoAddress { id: member.id.to_string(), source })
        })
    }

    fn zone_number(&self, name: &str) -> u16 {
        let index = self.zones.iter().position(|zone| zone == name);
        index.map_or(UNKNOWN_ZONE, |index| index as u16)
    }
}

fn decode_state(member: &EndpointEntry<'_>) -> Result<EndpointState, EndpointError> {
    match member.phase.as_ref() {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Removed),
        phase => Err(EndpointError::UnknownPhase { id: member.id.to_string(), phase: phase.to_owned() }),
    }
}

/// The number of a server, the same at every gateway: the eight hexadecimal digits that end its id after a
/// hyphen, or else the 32-bit FNV-1a hash of the id.
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
