//! Decoding of endpoint lists.

use super::EndpointList;

/// One entry of a list is not of the agreed form. The gateway must not lose sight of the whole fleet for it:
/// the others are decoded, and the bad one is reported in its place.
#[test]
fn a_malformed_entry_does_not_hide_the_others() {
    let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("a list");
    assert_eq!(list.entries().flatten().map(|entry| entry.id).collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(list.entries().count(), 2);
}

#[test]
fn strings_with_escapes_are_decoded() {
    let text = r#"{"revision":4,"members":[{"id":"s-\u0031}","host_port":"a\"]}","phase":"Re\u0061dy"}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("a list");
    let entry = list.entries().next().expect("an entry").expect("a sound one");
    assert_eq!((&*entry.id, &*entry.host_port, &*entry.phase), ("s-1}", "a\"]}", "Ready"));
}
