//! The key `classes`: priorities, limits and borrowing.

use super::{MAX_DEADLINE_MS, MIN_DEADLINE_MS, NameIndex, read_reference};
use crate::json_reader::{JsonReader, ObjectReader};
use crate::model::{Borrow, Class, Idempotency};
use jzon::JsonValue;
use std::time::Duration;

const KEYS: [&str; 9] =
    ["name", "urgency", "kind", "room", "borrows", "queue", "bodyMostBytes", "deadlineMs", "bulk"];
const MAX_PRIORITY: u64 = 100;
const MAX_SLOTS: u64 = 100_000;
const MAX_BORROWS: usize = 64;
const DEFAULT_IN_FLIGHT: u64 = 1024;
const DEFAULT_QUEUED: u64 = 4096;
const DEFAULT_BODY_BYTES: u64 = 16 << 20;
const DEFAULT_DEADLINE_MS: u64 = 10_000;

pub(super) fn read_class(
    reader: &mut JsonReader,
    path: &str,
    entry: &JsonValue,
    class_names: &NameIndex,
) -> Class {
    let mut object = ObjectReader::of_value_or_empty(reader, path, entry, &KEYS);
    // Validation errors are reported in the order of these reads.
    let name = object.name("name").unwrap_or_default();
    let idempotency = read_idempotency(&mut object);
    let priority = object.required_integer("urgency", 0, MAX_PRIORITY).unwrap_or(MAX_PRIORITY);
    let max_in_flight = object.integer("room", 1, MAX_SLOTS).unwrap_or(DEFAULT_IN_FLIGHT);
    let max_queued = object.integer("queue", 0, MAX_SLOTS).unwrap_or(DEFAULT_QUEUED);
    let max_body_bytes = object.integer("bodyMostBytes", 0, 1 << 40).unwrap_or(DEFAULT_BODY_BYTES);
    let deadline_ms = object.integer("deadlineMs", MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    let borrows = read_borrows(&mut object, class_names);
    let bulk = object.boolean("bulk").unwrap_or(false);
    Class {
        name,
        priority,
        idempotency,
        max_in_flight,
        borrows,
        max_queued,
        max_body_bytes,
        deadline: Duration::from_millis(deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)),
        bulk,
    }
}

fn read_idempotency(object: &mut ObjectReader<'_, '_>) -> Idempotency {
    match object.required_string("kind", 16).map(str::parse) {
        Some(Ok(idempotency)) => idempotency,
        Some(Err(_)) => {
            object.reject("kind", "must be repeatable or once");
            Idempotency::NonIdempotent
        }
        None => Idempotency::NonIdempotent,
    }
}

fn read_borrows(object: &mut ObjectReader<'_, '_>, class_names: &NameIndex) -> Vec<Borrow> {
    let mut borrows: Vec<Borrow> = Vec::new();
    for (index, entry) in object.array("borrows", MAX_BORROWS).iter().enumerate() {
        let path = object.path_of(&format!("borrows[{index}]"));
        let known_keys = ["from", "most"];
        let Some(mut object) = ObjectReader::of_value(object.reader, &path, entry, &known_keys)
        else {
            continue;
        };
        let (from_path, from) = (object.path_of("from"), object.get("from"));
        let class = read_reference(object.reader, &from_path, from, class_names);
        let max_slots = object.required_integer("most", 1, MAX_SLOTS);
        if let (Some(class), Some(max_slots)) = (class, max_slots) {
            if borrows.iter().any(|borrow| borrow.class == class) {
                object.reject("from", "named twice");
            }
            borrows.push(Borrow { class, max_slots });
        }
    }
    borrows
}

/// Rejects classes that borrow from themselves, directly or through other classes.
pub(super) fn reject_borrow_cycles(reader: &mut JsonReader, classes: &[Class]) {
    for (index, class) in classes.iter().enumerate() {
        let mut visited = vec![false; classes.len()];
        let mut pending: Vec<usize> = class.borrows.iter().map(|borrow| borrow.class).collect();
        while let Some(next) = pending.pop() {
            if next == index {
                let path = format!("$.classes[{index}].borrows");
                reader.reject(&path, "the borrowing comes back to this class");
                break;
            }
            if next < visited.len() && !std::mem::replace(&mut visited[next], true) {
                pending.extend(classes[next].borrows.iter().map(|borrow| borrow.class));
            }
        }
    }
}
