//! Detection of duplicate keys in objects, which `jzon` does not report.

use super::JsonReader;
use std::collections::HashSet;

/// An object or array that is open at the scan's current position.
enum Container {
    Object {
        seen_keys: HashSet<String>,
        current_key: String,
        /// Whether the next string is a key rather than a value.
        expects_key: bool,
    },
    Array {
        index: usize,
    },
}

/// Scans a text that `jzon` has already accepted, and rejects each duplicate key of an object.
pub(super) fn reject_duplicate_keys(text: &str, reader: &mut JsonReader) {
    let bytes = text.as_bytes();
    let mut open: Vec<Container> = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'{' => open.push(Container::Object {
                seen_keys: HashSet::new(),
                current_key: String::new(),
                expects_key: true,
            }),
            b'[' => open.push(Container::Array { index: 0 }),
            b'}' | b']' => {
                open.pop();
            }
            b',' => match open.last_mut() {
                Some(Container::Object { expects_key, .. }) => *expects_key = true,
                Some(Container::Array { index }) => *index += 1,
                None => {}
            },
            b'"' => {
                let start = at;
                at = end_of_string(bytes, start);
                read_string(&text[start..=at], &mut open, reader);
            }
            _ => {}
        }
        at += 1;
    }
}

/// The index of the closing quote of the string that starts at `start`.
fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at
}

/// Records a string if it is a key, and rejects it if the object already has that key.
fn read_string(quoted: &str, open: &mut [Container], reader: &mut JsonReader) {
    let Some(Container::Object { seen_keys, current_key, expects_key }) = open.last_mut() else {
        return;
    };
    if !*expects_key {
        return;
    }
    *expects_key = false;
    // Keys are compared without escape sequences: `"a"` and `"\u0061"` are the same key.
    let key = jzon::parse(quoted)
        .ok()
        .and_then(|value| value.as_str().map(str::to_string))
        .unwrap_or_default();
    let is_new = seen_keys.insert(key.clone());
    current_key.clone_from(&key);
    if !is_new {
        let path = path_of(&open[..open.len() - 1]);
        reader.reject(&format!("{path}.{key}"), "duplicate key");
    }
}

/// The path of the current position, given the containers that enclose it.
fn path_of(open: &[Container]) -> String {
    let mut path = String::from("$");
    for container in open {
        match container {
            Container::Object { current_key, .. } => path += &format!(".{current_key}"),
            Container::Array { index } => path += &format!("[{index}]"),
        }
    }
    path
}
