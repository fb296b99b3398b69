//! Lists and objects of discovery, as they come in pieces.

use super::*;

const MOST: usize = 1 << 20;

fn read(pieces: &[&str]) -> (Vec<u64>, bool, Objects) {
    let (mut objects, mut seen) = (Objects::new(MOST), Vec::new());
    for piece in pieces {
        objects.push(piece.as_bytes());
        loop {
            match objects.next().map(|object| object.map(|list| list.revision)) {
                Ok(Some(revision)) => seen.push(revision),
                Ok(None) => break,
                Err(_) => return (seen, false, objects),
            }
        }
    }
    (seen, true, objects)
}

#[test]
fn objects_are_put_together_over_the_borders_of_pieces_and_lines() {
    let (seen, sound, rest) = read(&[
        "\n{\"revision\"",
        ":1,\"complete\":false,\"members\":[]}\r",
        "\n\n{\n  \"revision\": 2,\n  \"complete\"",
        ": false,\n\n  \"members\": [\n  ]\n}\n\n{\"revision\":3,",
        "\"complete\":true,\"members\":[]}{\"revision\":4,\"complete\":true,\"members\":[]}\n",
        "\n{",
    ]);
    assert_eq!((seen, sound, rest.begun()), (vec![1, 2, 3, 4], true, true));
    let (seen, sound, rest) = read(&["{\"revision\":1,\"members\":[]}\n", "\n"]);
    assert_eq!((seen, sound, rest.begun()), (vec![1], true, false));
}

#[test]
fn an_agent_that_is_back_is_asked_again_within_the_grace_whatever_the_settings() {
    for grace in [0, 120, 500, 1000, 2500, 20_000].map(Duration::from_millis) {
        let timing = CallTiming::within(grace);
        // Only a grace too short for any call is not kept to.
        assert!(timing.patience + timing.longest_pause < grace.max(PAUSE * 3), "{grace:?}");
        assert!(timing.patience >= PAUSE && timing.longest_pause >= PAUSE, "{grace:?}: asks without a pause");
    }
}

#[test]
fn what_is_no_list_is_told_as_an_error() {
    for bad in [
        "{\"revision\": oops",
        "{}",
        "7\n",
        "{\"revision\":1}",
        "{\"members\":[]}",
        "{\"revision\":-1,\"members\":[]}",
        // Told before the object could end.
        "{\"revision\":1}}",
        "{\"revision\":1]",
        "{\"revision\":1,\"members\":[{\"id\":\"s-1\"} {",
        "{\"revision\":1 2",
        "{\"revision\":1,\"members\":[\"a\"\"b\"",
        "{\"revision\":1\u{0}",
        "[{\"revision\":1,\"members\":[]}]",
        "\"revision\"",
        // Cut off in a text, with the next line behind it.
        "{\"revision\":1,\"compl\n{\"revision\":2,\"members\":[]}\n",
    ] {
        assert!(!read(&[bad]).1, "{bad:?}");
    }
}

#[test]
fn an_entry_that_cannot_be_read_does_not_hide_the_others() {
    let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
    let list: ServerList = serde_json::from_str(text).expect("a list");
    assert_eq!(list.members().flatten().map(|m| m.id).collect::<Vec<_>>(), ["s-1"]);
    assert_eq!(list.members().count(), 2);
}

/// A whole list of so many servers, on one line or indented.
fn fleet(servers: u32, indented: bool) -> String {
    let members: Vec<_> = (0..servers)
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

#[test]
fn each_byte_is_looked_at_as_often_however_long_the_list_and_small_the_pieces() {
    for (servers, piece) in
        [(20, 1400), (200, 1400), (1000, 1400), (5700, 1400), (20, 1), (200, 1), (5700, 1)]
    {
        for indented in [false, true] {
            let text = fleet(servers, indented);
            let mut objects = Objects::new(most_bytes(192.0));
            let (mut taken, mut lists, mut entries) = (0, 0, 0);
            // Three of them, as a watch may tell.
            for data in text.repeat(3).as_bytes().chunks(piece) {
                objects.push(data);
                while let Some(list) = objects.next().expect("a sound list") {
                    entries += list.members.iter().map(|entry| entry.get().len()).sum::<usize>();
                    taken += list.members().filter(Result::is_ok).count();
                    lists += 1;
                }
            }
            assert_eq!((lists, taken), (3, 3 * servers as usize), "{servers} in pieces of {piece}");
            let work = (objects.work + entries) as f64 / (3 * text.len()) as f64;
            println!("{servers} servers, indented {indented}, pieces of {piece}: {work:.3} bytes a byte");
            // Once by the search for its end, once by the parser, and once more where it is an entry's.
            assert!(work <= 3.0, "{servers} in pieces of {piece}: {work} bytes looked at a byte received");
            objects.push(b"\n");
            assert!(objects.bytes.capacity() <= KEPT_BUFFER, "the buffer is kept");
        }
    }
}

#[test]
fn the_bound_on_an_object_follows_the_memory_limit() {
    // The plan's list, indented, at 64 MB.
    assert!(most_bytes(64.0) > 2 * fleet(5700, true).len());
    assert!(most_bytes(640.0) == 10 * most_bytes(64.0) && most_bytes(-1.0) == most_bytes(f64::NAN));
    let text = fleet(200, false);
    let mut objects = Objects::new(text.len() / 2);
    let told = text.as_bytes().chunks(1400).position(|data| {
        objects.push(data);
        objects.next().is_err()
    });
    assert_eq!(told, Some(text.len() / 2 / 1400), "too long an object is told as soon as it is");
}

#[test]
fn texts_that_need_escapes_are_read_and_do_not_end_an_object() {
    let text = r#"{"revision":4,"members":[{"id":"s-\u0031}","host_port":"a\"]}","phase":"Re\u0061dy"}]}"#;
    let mut objects = Objects::new(MOST);
    objects.push(text.as_bytes());
    let list = objects.next().expect("sound").expect("a list");
    let member = list.members().next().expect("an entry").expect("a sound one");
    assert_eq!((&*member.id, &*member.host_port, &*member.phase), ("s-1}", "a\"]}", "Ready"));
}
