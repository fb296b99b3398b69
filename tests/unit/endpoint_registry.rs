//! How the registry applies server lists.

use super::*;

fn apply(registry: &mut EndpointRegistry, members: &str, update: EndpointUpdate) -> DecodedList {
    let text = format!("{{\"revision\":1,\"members\":[{members}]}}");
    let list: EndpointList<'_> = serde_json::from_str(&text).expect("the server list is not valid JSON");
    registry.apply(&list, update)
}

fn registry() -> EndpointRegistry {
    EndpointRegistry::new(vec!["north".to_owned(), "south".to_owned()])
}

const READY: &str = r#"{"id":"s-0000000a","host_port":"127.0.0.1:9","locality":"south","phase":"Ready"}"#;
const DRAINING: &str = r#"{"id":"s-0000000a","phase":"Terminating"}"#;

#[test]
fn a_numeric_server_id_is_the_hex_suffix_of_the_list_id_or_else_its_hash() {
    assert_eq!(server_id("web-0000000a"), ServerId(10));
    assert_eq!(server_id("a"), ServerId(0xe40c_292c), "not the FNV-1a hash of a one-byte id");
    assert_ne!(server_id("node/1"), server_id("node/2"));
}

#[test]
fn a_draining_entry_without_an_address_keeps_the_registered_address() {
    let mut registry = registry();
    let decoded = apply(&mut registry, READY, EndpointUpdate::Complete);
    assert!(decoded.all_decoded && registry.is_ready(ServerId(10)));
    assert_eq!((decoded.endpoints[0].zone, decoded.endpoints[0].state), (1, EndpointState::Ready));
    let decoded = apply(&mut registry, DRAINING, EndpointUpdate::Incremental);
    assert!(decoded.all_decoded && !registry.is_ready(ServerId(10)));
    assert_eq!(decoded.endpoints[0].zone, UNKNOWN_ZONE);
    assert_eq!(registry.address(ServerId(10)), "127.0.0.1:9".parse().ok());
}

#[test]
fn invalid_entries_are_ignored_and_mark_the_list_incomplete() {
    for entry in [
        DRAINING,
        r#"{"id":"s-0000000b"}"#,
        r#"{"id":"s-0000000b","host_port":"127.0.0.1:9","phase":"Dozing"}"#,
        r#"{"id":"s-0000000b","host_port":"nowhere","phase":"Ready"}"#,
    ] {
        let mut registry = registry();
        let decoded = apply(&mut registry, entry, EndpointUpdate::Incremental);
        assert!(
            !decoded.all_decoded && decoded.endpoints.is_empty() && registry.is_empty(),
            "an invalid entry was applied: {entry}"
        );
    }
}

#[test]
fn a_server_with_the_numeric_id_of_a_registered_one_is_ignored() {
    let mut registry = registry();
    let other = READY.replace("s-0000000a", "t-0000000a").replace("127.0.0.1:9", "127.0.0.1:8");
    let decoded = apply(&mut registry, &format!("{READY},{other}"), EndpointUpdate::Complete);
    assert!(!decoded.all_decoded && decoded.endpoints.len() == 1);
    assert_eq!(registry.address(ServerId(10)), "127.0.0.1:9".parse().ok());
}

#[test]
fn only_an_incremental_list_keeps_servers_that_are_missing_from_it() {
    for (update, kept) in [
        (EndpointUpdate::Incremental, true),
        (EndpointUpdate::Complete, false),
        (EndpointUpdate::Cached, false),
    ] {
        let mut registry = registry();
        apply(&mut registry, READY, EndpointUpdate::Complete);
        apply(&mut registry, &READY.replace("0a\"", "0b\""), update);
        assert_eq!((registry.is_ready(ServerId(10)), registry.is_ready(ServerId(11))), (kept, true));
    }
}

/// An entry of a server at `127.0.0.1:9` that started at this time, Unix ms.
fn started(id: &str, phase: &str, started_at: u64) -> String {
    format!(r#"{{"id":"{id}","host_port":"127.0.0.1:9","phase":"{phase}","up_since_ms":{started_at}}}"#)
}

fn states(decoded: &DecodedList) -> Vec<(u32, EndpointState)> {
    decoded.endpoints.iter().map(|endpoint| (endpoint.server.0, endpoint.state)).collect()
}

/// Regression test for an incident: a new process came up at the address of a server that discovery still listed
/// as ready, and got the requests for both.
#[test]
fn a_server_whose_address_is_taken_by_a_later_process_is_removed() {
    use EndpointState::{Ready, Removed};
    let mut registry = registry();
    apply(&mut registry, &started("s-0000000a", "Ready", 1000), EndpointUpdate::Complete);
    let decoded = apply(&mut registry, &started("s-0000000b", "Ready", 2000), EndpointUpdate::Incremental);
    assert_eq!(states(&decoded), [(11, Ready), (10, Removed)]);
    assert_eq!((registry.is_ready(ServerId(10)), registry.is_ready(ServerId(11))), (false, true));
    // A list that still contains the old server does not bring it back, whatever the order.
    for list in [["a", "b"], ["b", "a"]] {
        let entry =
            |id: &&str| started(&format!("s-0000000{id}"), "Ready", if *id == "a" { 1000 } else { 2000 });
        let list: Vec<String> = list.iter().map(entry).collect();
        let decoded = apply(&mut registry, &list.join(","), EndpointUpdate::Complete);
        assert_eq!(states(&decoded), [(11, Ready), (10, Removed)]);
    }
    // If the old server comes back as the latest process at the address, it takes the address over.
    let decoded = apply(&mut registry, &started("s-0000000a", "Ready", 3000), EndpointUpdate::Incremental);
    assert_eq!(states(&decoded), [(10, Ready), (11, Removed)]);
}

#[test]
fn servers_that_started_at_the_same_time_may_share_an_address() {
    let mut registry = registry();
    let list = [started("s-0000000a", "Ready", 0), started("s-0000000b", "Ready", 0)].join(",");
    let decoded = apply(&mut registry, &list, EndpointUpdate::Complete);
    assert_eq!(states(&decoded), [(10, EndpointState::Ready), (11, EndpointState::Ready)]);
}

#[test]
fn a_listed_server_may_have_the_numeric_id_of_one_that_the_same_list_leaves_out() {
    let mut registry = registry();
    apply(&mut registry, READY, EndpointUpdate::Complete);
    let other = READY.replace("s-0000000a", "t-0000000a").replace("127.0.0.1:9", "127.0.0.1:8");
    let decoded = apply(&mut registry, &other, EndpointUpdate::Complete);
    assert!(decoded.all_decoded, "the server was ignored");
    assert_eq!(registry.address(ServerId(10)), "127.0.0.1:8".parse().ok());
}
