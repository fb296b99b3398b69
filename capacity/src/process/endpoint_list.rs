//! Endpoint lists as a discovery agent writes them.

use crate::error::Error;
use serde_json::Value;
use std::net::SocketAddr;

/// Zones and cells over which the servers are spread.
const ZONES: usize = 6;
const CELL_SIZE: usize = 8;

/// How the JSON of a list is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Layout {
    /// On one line.
    Compact,
    /// Over several lines, with indentation.
    Indented,
}

/// One entry of a list; `phase` as the agent names it.
pub(super) fn entry(server: usize, address: SocketAddr, phase: &str) -> String {
    let zone = server % ZONES;
    let cell = server / CELL_SIZE;
    format!(
        r#"{{"id":"s-{server:08x}","host_port":"{address}","locality":"zone-{zone}","flavor":"m2","cell":{cell},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A complete list of servers that all have one address.
pub(super) fn complete(servers: usize, address: SocketAddr, layout: Layout) -> Result<String, Error> {
    let entries: Vec<String> = (1..=servers).map(|server| entry(server, address, "Ready")).collect();
    let text = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","));
    match layout {
        Layout::Compact => Ok(text + "\n"),
        Layout::Indented => {
            let parsed: Value = serde_json::from_str(&text)?;
            Ok(serde_json::to_string_pretty(&parsed)? + "\n")
        }
    }
}

/// A change of one entry.
pub(super) fn change(revision: usize, entry: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":false,"members":[{entry}]}}"#)
}
