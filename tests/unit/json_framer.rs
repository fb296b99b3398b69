//! Tests of the assembly of JSON objects from the pieces of a stream.

use super::super::endpoint_list::EndpointList;
use super::super::json_scanner::{ByteScanner, JsonScanner, ScanResult};
use super::{max_object_bytes, JsonFramer, MAX_KEPT_BUFFER_BYTES};
use serde::Deserialize;
use serde_json::value::RawValue;

const MAX_BYTES: usize = 1 << 20;

/// Counts the scanned bytes.
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

/// Returns the revision of the next list, or `Err` if the bytes are not a list.
fn next_revision(framer: &mut JsonFramer) -> Result<Option<u64>, ()> {
    let Some(object) = framer.next_object().map_err(drop)? else { return Ok(None) };
    let list: EndpointList = serde_json::from_slice(object).map_err(drop)?;
    Ok(Some(list.revision))
}

/// Reads a stream of pieces. Returns the revisions of its lists, whether all of the stream is valid, and the
/// framer.
fn read_stream(pieces: &[&str]) -> (Vec<u64>, bool, JsonFramer) {
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
fn objects_that_span_several_pieces_and_lines_are_assembled() {
    let (revisions, valid, framer) = read_stream(&[
        "\n{\"revision\"",
        ":1,\"complete\":false,\"members\":[]}\r",
        "\n\n{\n  \"revision\": 2,\n  \"complete\"",
        ": false,\n\n  \"members\": [\n  ]\n}\n\n{\"revision\":3,",
        "\"complete\":true,\"members\":[]}{\"revision\":4,\"complete\":true,\"members\":[]}\n",
        "\n{",
    ]);
    assert_eq!((revisions, valid, framer.in_object()), (vec![1, 2, 3, 4], true, true));
    let (revisions, valid, framer) = read_stream(&["{\"revision\":1,\"members\":[]}\n", "\n"]);
    assert_eq!((revisions, valid, framer.in_object()), (vec![1], true, false));
}

/// The agent, or another service at its address, sends data that is not an endpoint list. The framer must
/// report the first invalid byte at once: an object that never ends would otherwise look like one that
/// arrives slowly.
#[test]
fn data_that_is_not_an_endpoint_list_is_an_error() {
    for text in [
        "{\"revision\": oops",
        "{}",
        "7\n",
        "{\"revision\":1}",
        "{\"members\":[]}",
        "{\"revision\":-1,\"members\":[]}",
        // The error is found before the object could end.
        "{\"revision\":1}}",
        "{\"revision\":1]",
        "{\"revision\":1,\"members\":[{\"id\":\"s-1\"} {",
        "{\"revision\":1 2",
        "{\"revision\":1,\"members\":[\"a\"\"b\"",
        "{\"revision\":1\u{0}",
        "[{\"revision\":1,\"members\":[]}]",
        "\"revision\"",
        // A form feed is not white space in JSON.
        "\u{c}{\"revision\":1,\"members\":[]}",
        // The object is cut off in a string, and the next line follows.
        "{\"revision\":1,\"compl\n{\"revision\":2,\"members\":[]}\n",
    ] {
        assert!(!read_stream(&[text]).1, "{text:?} was accepted");
    }
}

/// Returns the text of a complete list with `endpoints` entries, on one line or indented.
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
    text.expect("the list cannot be serialized") + "\n"
}

/// The undecoded entries of a list, for counting their bytes.
#[derive(Deserialize)]
struct RawEntries<'a> {
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// A complete list of thousands of endpoints arrives in a thousand pieces. If the framer scanned from the
/// start of the object at each piece, the work would grow with the square of the list's length, and the
/// gateway would handle no requests meanwhile.
#[test]
fn each_byte_is_processed_at_most_three_times_for_any_list_length_and_piece_size() {
    for (endpoints, piece_bytes) in
        [(20, 1400), (200, 1400), (1000, 1400), (5700, 1400), (20, 1), (200, 1), (5700, 1)]
    {
        for indented in [false, true] {
            let text = complete_list(endpoints, indented);
            let max_bytes = max_object_bytes(192.0);
            let mut framer = JsonFramer::with_scanner(CountingScanner::default(), max_bytes);
            let (mut decoded, mut lists, mut parsed_bytes) = (0, 0, 0);
            // A watch may send several lists.
            for piece in text.repeat(3).as_bytes().chunks(piece_bytes) {
                framer.push(piece);
                while let Some(object) = framer.next_object().expect("the stream is not valid JSON") {
                    let list: EndpointList =
                        serde_json::from_slice(object).expect("the object is not an endpoint list");
                    let raw: RawEntries =
                        serde_json::from_slice(object).expect("the object is not an endpoint list");
                    let entry_bytes: usize = raw.members.iter().map(|entry| entry.get().len()).sum();
                    // The decoder of the list reads all bytes, and the decoder of the entries reads their
                    // bytes again.
                    parsed_bytes += object.len() + entry_bytes;
                    decoded += list.entries().filter(Result::is_ok).count();
                    lists += 1;
                }
            }
            assert_eq!(
                (lists, decoded),
                (3, 3 * endpoints as usize),
                "{endpoints} endpoints in pieces of {piece_bytes} bytes: wrong count of lists or entries"
            );
            let work = (framer.scanner.scanned + parsed_bytes) as f64 / (3 * text.len()) as f64;
            println!(
                "{endpoints} endpoints, indented {indented}, pieces of {piece_bytes} bytes: a byte was \
                 processed {work:.3} times on average"
            );
            // Each byte is scanned once and decoded once, and the bytes of entries are decoded a second time.
            assert!(
                work <= 3.0,
                "{endpoints} endpoints in pieces of {piece_bytes} bytes: a byte was processed {work} times \
                 on average"
            );
            framer.push(b"\n");
            assert!(framer.buffer.capacity() <= MAX_KEPT_BUFFER_BYTES, "the empty buffer was not freed");
        }
    }
}

/// The agent sends an object that never ends. The framer must reject it at the limit, before it fills the
/// memory.
#[test]
fn the_size_limit_of_an_object_follows_the_memory_limit() {
    // With 64 MB of memory, an object may be over twice as long as the indented list of the planned fleet.
    assert!(max_object_bytes(64.0) > 2 * complete_list(5700, true).len());
    assert!(max_object_bytes(640.0) == 10 * max_object_bytes(64.0));
    assert!(max_object_bytes(-1.0) == max_object_bytes(f64::NAN));
    let text = complete_list(200, false);
    let mut framer = JsonFramer::new(text.len() / 2);
    let rejected_at = text.as_bytes().chunks(1400).position(|piece| {
        framer.push(piece);
        framer.next_object().is_err()
    });
    assert_eq!(
        rejected_at,
        Some(text.len() / 2 / 1400),
        "the object was not rejected at the piece that exceeds the limit"
    );
}

#[test]
fn strings_with_brackets_and_escapes_do_not_end_an_object() {
    let text = r#"{"revision":4,"members":[{"id":"s-\u0031}","host_port":"a\"]}","phase":"Re\u0061dy"}]}"#;
    let mut framer = JsonFramer::new(MAX_BYTES);
    framer.push(text.as_bytes());
    let object =
        framer.next_object().expect("the stream is not valid JSON").expect("the object is not complete");
    assert_eq!(object, text.as_bytes());
}
