//! Tests that the documentation lists exactly the events that the code writes.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Calls that write an event; its name is the first string literal after them.
const WRITERS: [&str; 5] = [
    ".log(",
    "log_order(",
    "log_primary(",
    ".write_ordinary(",
    "let event = if",
];

fn sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

fn names_in_code() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    sources(&root.join("src"), &mut text);
    sources(&root.join("../../platform/src"), &mut text);
    let mut names = BTreeSet::new();
    for writer in WRITERS {
        for call in text.split(writer).skip(1) {
            let Some((before, rest)) = call.split_once('"') else {
                continue;
            };
            let direct = before
                .chars()
                .all(|letter| letter.is_whitespace() || "node.now(),&order".contains(letter));
            let (name, _) = rest.split_once('"').unwrap();
            if direct || writer == "let event = if" {
                names.insert(name.to_owned());
            }
        }
    }
    names
}

fn documented_names() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/EVENTS.md")).unwrap();
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_documentation_lists_exactly_the_events_in_the_code() {
    assert_eq!(names_in_code(), documented_names());
}
