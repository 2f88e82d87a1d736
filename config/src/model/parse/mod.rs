//! The parser of configuration documents. It is the only validation of a configuration: the operators'
//! interface, `--check-setup` and the offline checker all use it (design 3.2). The keys are those of the
//! published document.

mod classes;
mod rules;
mod services;
mod tenants;
mod zones;

use super::{Config, MAX_BYTES};
use crate::ValidationError;
use crate::json_reader::{JsonReader, ObjectReader};
use crate::selector::Selector;
use jzon::JsonValue;
use std::collections::HashMap;

const MAX_CLASSES: usize = 64;
const MAX_SERVICES: usize = 1024;
const MAX_RULES: usize = 4096;
const MAX_NAME_BYTES: usize = 63;
const MAX_DEADLINE_MS: u64 = 600_000;
const MIN_DEADLINE_MS: u64 = 100;

/// Indices of the entries of a list, by name.
type NameIndex = HashMap<String, usize>;

/// Parses and validates a configuration document.
///
/// # Errors
/// All validation errors; no part of an invalid document may be used.
pub fn parse(bytes: &[u8]) -> Result<Config, Vec<ValidationError>> {
    let mut reader = JsonReader::default();
    let mut config = Config::default();
    if bytes.len() > MAX_BYTES {
        reader.reject("$", format!("larger than {MAX_BYTES} bytes"));
    } else if let Some(document) = reader.document(bytes) {
        let known_keys = ["version", "classes", "services", "places", "rules", "tenants"];
        if let Some(mut object) = ObjectReader::of_value(&mut reader, "$", &document, &known_keys) {
            read_document(&mut object, &mut config);
        }
    }
    reader.into_result(config)
}

fn read_document(document: &mut ObjectReader<'_, '_>, config: &mut Config) {
    config.version = document.integer("version", 1, 1 << 53);
    for key in ["classes", "services", "rules"] {
        let list = document.get(key);
        if list.is_none_or(|value| value.as_array().is_some_and(Vec::is_empty)) {
            document.reject(key, "must have at least one entry");
        }
    }
    config.zones = zones::read_zones(document);
    let class_names = read_names(document, "classes", MAX_CLASSES);
    let service_names = read_names(document, "services", MAX_SERVICES);
    read_names(document, "rules", MAX_RULES);
    for (index, entry) in entries(document, "classes") {
        let path = format!("$.classes[{index}]");
        config.classes.push(classes::read_class(document.reader, &path, entry, &class_names));
    }
    for (index, entry) in entries(document, "services") {
        let path = format!("$.services[{index}]");
        config.services.push(services::read_service(document.reader, &path, entry));
    }
    classes::reject_borrow_cycles(document.reader, &config.classes);
    let names =
        rules::Names { classes: &class_names, services: &service_names, zones: &config.zones };
    for (index, entry) in entries(document, "rules") {
        let path = format!("$.rules[{index}]");
        config.rules.push(rules::read_rule(document.reader, &path, entry, &names));
    }
    config.tenants = tenants::read_tenants(document, &config.zones);
    config.build_rule_index();
    reject_shadowed_rules(document.reader, config);
}

/// The entries of a list with their indices. [`read_names`] has rejected a list that is too long, but its
/// entries are read nevertheless.
fn entries<'v>(
    document: &ObjectReader<'_, 'v>,
    key: &str,
) -> impl Iterator<Item = (usize, &'v JsonValue)> + use<'v> {
    let list = document.get(key).and_then(JsonValue::as_array);
    list.map(Vec::as_slice).unwrap_or_default().iter().enumerate()
}

/// Maps the names of a list's entries to indices. A duplicate name is rejected; it refers to the first entry.
fn read_names(document: &mut ObjectReader<'_, '_>, key: &str, max_entries: usize) -> NameIndex {
    let mut names = NameIndex::new();
    for (index, entry) in document.array(key, max_entries).iter().enumerate() {
        let name = entry.as_object().and_then(|object| object.get("name"));
        let name = name.and_then(JsonValue::as_str).unwrap_or_default().to_string();
        if !name.is_empty() && names.contains_key(&name) {
            document.reject(&format!("{key}[{index}].name"), format!("'{name}' is named twice"));
        }
        names.entry(name).or_insert(index);
    }
    names
}

/// Reads a required name; returns the index of the entry to which it refers.
fn read_reference(
    reader: &mut JsonReader,
    path: &str,
    value: Option<&JsonValue>,
    names: &NameIndex,
) -> Option<usize> {
    let name = reader.required_string(path, value, MAX_NAME_BYTES)?;
    let found = names.get(name).copied();
    if found.is_none() {
        reader.reject(path, format!("there is no '{name}'"));
    }
    found
}

/// Whether a selector may refer to the client's zone and region.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RelativeTo {
    Client,
    Nothing,
}

/// Reads a required selector. An absent or invalid one is rejected, and read as one that matches
/// everything.
fn read_selector(
    object: &mut ObjectReader<'_, '_>,
    key: &str,
    relative_to: RelativeTo,
) -> Selector {
    let Some(text) = object.required_string(key, 1024) else {
        return Selector::all();
    };
    match Selector::parse(text) {
        Ok(selector) if relative_to == RelativeTo::Nothing && selector.is_relative() => {
            object.reject(key, "@zone and @region have no meaning here");
            Selector::all()
        }
        Ok(selector) => selector,
        Err(error) => {
            object.reject(key, format!("selector: {error}"));
            Selector::all()
        }
    }
}

/// Whether a text is a path without a query, written in plain URL characters (RFC 3986).
fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !b"\"#<>?\\^`{|}".contains(&byte))
}

/// Rejects rules that can never match because an earlier rule matches all of their requests: they are
/// mistakes of the document's author.
fn reject_shadowed_rules(reader: &mut JsonReader, config: &Config) {
    for index in 0..config.rules.len() {
        if let Some(earlier) = config.shadowing_rule(index) {
            reader.reject(
                &format!("$.rules[{index}].match"),
                format!("can never match: rule '{}' above takes all of it", earlier.name),
            );
        }
    }
}
