//! Objects of the discovery agent, as they come in pieces.

use super::super::endpoint_list::EndpointList;
use super::super::json_scanner::{ByteScanner, JsonScanner, ScanResult};
use super::{max_object_bytes, JsonFramer, MAX_KEPT_BUFFER};
use serde::Deserialize;
use serde_json::value::RawValue;

const MAX_BYTES: usize = 1 << 20;

/// Counts the bytes that are scanned.
#[derive(Default)]
struct CountingScanner {
    scanner: JsonScanner,
    scanned: usize,
}

impl ByteScanner for CountingScanner {
    fn scan(&mut self, byte: u8) -> ScanResult {
        self.scanned += 1;
        self.scanner.scan(byte)
    }

    fn in_object(&self) -> bool {
        self.scanner.in_object()
    }
}

/// The next list; `Err` where the bytes are none.
fn next_revision(framer: &mut JsonFramer) -> Result<Option<u64>, ()> {
    let Some(object) = framer.next_object().map_err(drop)? else { return Ok(None) };
    let list: EndpointList = serde_json::from_slice(object).map_err(drop)?;
    Ok(Some(list.revision))
}

/// The versions of the lists in a stream of such pieces, whether all of it is valid, and the framer after it.
fn read(pieces: &[&str]) -> (Vec<u64>, bool, JsonFramer) {
    let (mut framer, mut revisions) = (JsonFramer::new(MAX_BYTES), Vec::new());
    for piece in pieces {
        framer.push(piece.as_bytes());
        loop {
            match next_revision(&mut framer) {
                Ok(Some(revision)) => revisions.push(revision),
                Ok(None) => break,
                Err(()) => return (revisions, false, framer),
            }
        }
    }
    (revisions, true, framer)
}

#[test]
fn objects_are_put_together_over_the_borders_of_pieces_and_lines() {
    let (revisions, valid, framer) = read(&[
        "\n{\"revision\"",
        ":1,\"complete\":false,\"members\":[]}\r",
        "\n\n{\n  \"revision\": 2,\n  \"complete\"",
        ": false,\n\n  \"members\": [\n  ]\n}\n\n{\"revision\":3,",
        "\"complete\":true,\"members\":[]}{\"revision\":4,\"complete\":true,\"members\":[]}\n",
        "\n{",
    ]);
    assert_eq!((revisions, valid, framer.in_object()), (vec![1, 2, 3, 4], true, true));
    let (revisions, valid, framer) = read(&["{\"revision\":1,\"members\":[]}\n", "\n"]);
    assert_eq!((revisions, valid, framer.in_object()), (vec![1], true, false));
}

/// The agent, or something in its place, sends what is no endpoint list. The watcher has to be told, and as
/// soon as the first wrong byte has come: a stream without an end of the object would otherwise look like a
/// slow one.
#[test]
fn what_is_no_list_is_an_error() {
    for bad in [
        "{\"revision\": oops",
        "{}",
        "7\n",
        "{\"revision\":1}",
        "{\"members\":[]}",
        "{\"revision\":-1,\"members\":[]}",
        // Found before the object could end.
        "{\"revision\":1}}",
        "{\"revision\":1]",
        "{\"revision\":1,\"members\":[{\"id\":\"s-1\"} {",
        "{\"revision\":1 2",
        "{\"revision\":1,\"members\":[\"a\"\"b\"",
        "{\"revision\":1\u{0}",
        "[{\"revision\":1,\"members\":[]}]",
        "\"revision\"",
        // No white space of JSON.
        "\u{c}{\"revision\":1,\"members\":[]}",
        // Cut off in a string, with the next line behind it.
        "{\"revision\":1,\"compl\n{\"revision\":2,\"members\":[]}\n",
    ] {
        assert!(!read(&[bad]).1, "{bad:?}");
    }
}

/// A complete list of so many endpoints, on one line or indented.
fn complete_list(endpoints: u32, indented: bool) -> String {
    let members: Vec<_> = (0..endpoints)
        .map(|i| {
            let host_port = format!("10.{}.{}.{}:8000", i >> 16, i >> 8 & 255, i & 255);
            serde_json::json!({"id": format!("s-{i:08x}"), "host_port": host_port, "locality": "a",
                "flavor": "m2", "cell": 3, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    let list = serde_json::json!({"revision": 7, "complete": true, "members": members});
    let text = if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
    text.expect("a text") + "\n"
}

/// The entries of a list as they stand in its text, for their length.
#[derive(Deserialize)]
struct RawEntries<'a> {
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// A complete list of thousands of endpoints comes in a thousand pieces. If the framer scanned from the start
/// of the object at each piece, the work would grow with the square of the list, and the gateway would stand
/// still.
#[test]
fn each_byte_is_looked_at_as_often_however_long_the_list_and_small_the_pieces() {
    for (endpoints, piece_bytes) in
        [(20, 1400), (200, 1400), (1000, 1400), (5700, 1400), (20, 1), (200, 1), (5700, 1)]
    {
        for indented in [false, true] {
            let text = complete_list(endpoints, indented);
            let max_bytes = max_object_bytes(192.0);
            let mut framer = JsonFramer::with_scanner(CountingScanner::default(), max_bytes);
            let (mut decoded, mut lists, mut parsed_bytes) = (0, 0, 0);
            // Three of them, as a watch may send.
            for piece in text.repeat(3).as_bytes().chunks(piece_bytes) {
                framer.push(piece);
                while let Some(object) = framer.next_object().expect("an object") {
                    let list: EndpointList = serde_json::from_slice(object).expect("a list");
                    let raw: RawEntries = serde_json::from_slice(object).expect("a list");
                    let entry_bytes: usize = raw.members.iter().map(|entry| entry.get().len()).sum();
                    // By the decoder of the list, and again by that of each entry.
                    parsed_bytes += object.len() + entry_bytes;
                    decoded += list.entries().filter(Result::is_ok).count();
                    lists += 1;
                }
            }
            assert_eq!(
                (lists, decoded),
                (3, 3 * endpoints as usize),
                "{endpoints} in pieces of {piece_bytes}"
            );
            let work = (framer.scanner.scanned + parsed_bytes) as f64 / (3 * text.len()) as f64;
            println!("{endpoints} endpoints, indented {indented}, pieces of {piece_bytes}: {work:.3}");
            // Once by the scan, once by the decoder, and once more where it is an entry's.
            assert!(work <= 3.0, "{endpoints} in pieces of {piece_bytes}: {work} looks at a byte");
            framer.push(b"\n");
            assert!(framer.buffer.capacity() <= MAX_KEPT_BUFFER, "the buffer is kept");
        }
    }
}

/// A peer sends an object that never ends. It is refused at the limit, not when the memory is full.
#[test]
fn the_limit_of_an_object_follows_the_memory_limit() {
    // The plan's list, indented, at 64 MB.
    assert!(max_object_bytes(64.0) > 2 * complete_list(5700, true).len());
    assert!(max_object_bytes(640.0) == 10 * max_object_bytes(64.0));
    assert!(max_object_bytes(-1.0) == max_object_bytes(f64::NAN));
    let text = complete_list(200, false);
    let mut framer = JsonFramer::new(text.len() / 2);
    let refused_at = text.as_bytes().chunks(1400).position(|piece| {
        framer.push(piece);
        framer.next_object().is_err()
    });
    assert_eq!(refused_at, Some(text.len() / 2 / 1400), "refused with the piece that passes the limit");
}

#[test]
fn strings_with_brackets_and_escapes_do_not_end_an_object() {
    let text = r#"{"revision":4,"members":[{"id":"s-\u0031}","host_port":"a\"]}","phase":"Re\u0061dy"}]}"#;
    let mut framer = JsonFramer::new(MAX_BYTES);
    framer.push(text.as_bytes());
    let object = framer.next_object().expect("an object").expect("a complete one");
    assert_eq!(object, text.as_bytes());
}
