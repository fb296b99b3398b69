//! Endpoint lists in the JSON format of a discovery agent.

use crate::error::Error;
use serde_json::Value;
use std::net::SocketAddr;

/// Number of zones over which the servers are distributed.
const ZONES: usize = 6;
/// Number of servers in a cell.
const CELL_SIZE: usize = 8;

/// Formatting of the JSON text of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Layout {
    /// The list is one line without white space.
    Compact,
    /// The list has several lines with indentation.
    Indented,
}

/// The JSON of one entry. `phase` is the state of the server as the agent names it.
pub(super) fn entry_json(server: usize, address: SocketAddr, phase: &str) -> String {
    let zone = server % ZONES;
    let cell = server / CELL_SIZE;
    format!(
        r#"{{"id":"s-{server:08x}","host_port":"{address}","locality":"zone-{zone}","flavor":"m2","cell":{cell},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// The JSON of a complete list, in which all servers have the same address.
pub(super) fn complete_list_json(
    servers: usize,
    address: SocketAddr,
    layout: Layout,
) -> Result<String, Error> {
    let entries: Vec<String> = (1..=servers).map(|server| entry_json(server, address, "Ready")).collect();
    let text = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","));
    match layout {
        Layout::Compact => Ok(text + "\n"),
        Layout::Indented => {
            let parsed: Value = serde_json::from_str(&text)?;
            Ok(serde_json::to_string_pretty(&parsed)? + "\n")
        }
    }
}

/// The JSON of an incremental list that changes one entry.
pub(super) fn incremental_list_json(revision: usize, entry: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":false,"members":[{entry}]}}"#)
}
