//! Lists and objects of discovery, as they come in pieces.

use super::*;

fn read(pieces: &[&str]) -> (Vec<u64>, bool, Objects) {
    let (mut objects, mut seen) = (Objects::default(), Vec::new());
    for piece in pieces {
        objects.push(piece.as_bytes());
        loop {
            match objects.next() {
                Ok(Some(list)) => seen.push(list.revision),
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
