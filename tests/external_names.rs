//! Checks that the source still contains the names that leave the process.
//!
//! Clients, servers, discovery, the counter, the simulator and configuration files depend on these names. A
//! rename through the compiler cannot tell such a name from an internal one, so a lost name would show only
//! in production. `external_names.txt` lists the names by the file that has to contain them.

use std::collections::HashMap;
use std::path::Path;

const NAME_LIST: &str = include_str!("external_names.txt");

/// A listed name, and the file that has to contain it.
struct ExternalName<'a> {
    file: &'a str,
    name: &'a str,
}

fn listed_names() -> Vec<ExternalName<'static>> {
    let mut file = "";
    let mut names = Vec::new();
    for line in NAME_LIST.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        match line.strip_prefix('[').and_then(|line| line.strip_suffix(']')) {
            Some(path) => file = path,
            None => names.push(ExternalName { file, name: line }),
        }
    }
    names
}

/// Returns a file without its comment lines, because a name in a comment has no effect.
fn read_without_comments(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let marker = if path.extension().is_some_and(|extension| extension == "rs") { "//" } else { "#" };
    let code = text.lines().filter(|line| !line.trim_start().starts_with(marker));
    code.collect::<Vec<_>>().join("\n")
}

/// Returns a file with its comments.
fn read_with_comments(path: &str) -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path))
        .expect("a listed file could not be read")
}

fn is_word_character(character: Option<char>) -> bool {
    character.is_some_and(|c| c.is_alphanumeric() || c == '_')
}

/// Whether `text` contains `name`. An occurrence that continues as a longer word at either end does not
/// count.
fn contains_name(text: &str, name: &str) -> bool {
    let starts_as_word = is_word_character(name.chars().next());
    let ends_as_word = is_word_character(name.chars().next_back());
    text.match_indices(name).any(|(start, _)| {
        let before = text[..start].chars().next_back();
        let after = text[start + name.len()..].chars().next();
        let continues_before = starts_as_word && is_word_character(before);
        let continues_after = ends_as_word && is_word_character(after);
        !continues_before && !continues_after
    })
}

#[test]
fn every_external_name_is_present_in_its_file() {
    let names = listed_names();
    assert!(names.len() > 200, "only {} names were read from external_names.txt", names.len());
    let mut code_by_file = HashMap::new();
    let mut missing = Vec::new();
    for ExternalName { file, name } in names {
        // The names that the protocol gives to the simulator's records appear only in comments of the layout
        // module, in backticks.
        let is_protocol_name = name.starts_with('`');
        let is_present = if is_protocol_name {
            read_with_comments(file).contains(name)
        } else {
            contains_name(code_by_file.entry(file).or_insert_with(|| read_without_comments(file)), name)
        };
        if !is_present {
            missing.push(format!("{file}: {name}"));
        }
    }
    assert!(
        missing.is_empty(),
        "these names leave the process but are missing from their files:\n{}",
        missing.join("\n")
    );
}

#[test]
fn a_name_inside_a_longer_word_does_not_count() {
    assert!(contains_name("discovery: SocketAddr,", "discovery: SocketAddr"));
    assert!(!contains_name("max_size: f64,", "size: f64"));
    assert!(!contains_name("CODE: u16 = 10400;", "CODE: u16 = 1040"));
    assert!(!contains_name("READY: u8 = 10;", "READY: u8 = 1"));
}
