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
