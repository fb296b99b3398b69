//! Tests of the decoding of endpoint lists.

use super::EndpointList;

/// One entry of a list is invalid. The gateway must not lose all servers because of it: the other entries are
/// decoded, and the invalid one is reported as an error.
#[test]
fn an_invalid_entry_does_not_prevent_the_decoding_of_the_others() {
    let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("the list cannot be decoded");
    assert_eq!(list.entries().flatten().map(|entry| entry.id).collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(list.entries().count(), 2);
}

#[test]
fn strings_with_escapes_are_decoded() {
    let text = r#"{"revision":4,"members":[{"id":"s-\u0031}","host_port":"a\"]}","phase":"Re\u0061dy"}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("the list cannot be decoded");
    let entry = list.entries().next().expect("the list has no entry").expect("the entry cannot be decoded");
    assert_eq!((&*entry.id, &*entry.host_port, &*entry.phase), ("s-1}", "a\"]}", "Ready"));
}
