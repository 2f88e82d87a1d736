//! The key `tenants`: who may send requests, by API keys. Messages never contain a key.

use super::rules::read_regions;
use crate::json_reader::{JsonReader, ObjectReader};
use crate::model::{KeyDigest, Tenant, Tenants, Zone};
use jzon::JsonValue;
use std::collections::HashSet;

const KEYS: [&str; 4] = ["name", "keys", "urgency", "regions"];
const MAX_TENANTS: usize = 65_536;
const MAX_KEYS_PER_TENANT: usize = 64;
const MAX_PRIORITY: u64 = 100;
const MIN_KEY_BYTES: usize = 16;
const MAX_KEY_BYTES: usize = 256;

/// Reads the tenants; `None` if the document has no such key, so that requests need no API key.
pub(super) fn read_tenants(document: &mut ObjectReader<'_, '_>, zones: &[Zone]) -> Option<Tenants> {
    document.get("tenants")?;
    let mut tenants = Tenants::default();
    let mut names = HashSet::new();
    for (index, entry) in document.array("tenants", MAX_TENANTS).iter().enumerate() {
        let path = format!("$.tenants[{index}]");
        let mut object = ObjectReader::of_value_or_empty(document.reader, &path, entry, &KEYS);
        let tenant = read_tenant(&mut object, zones);
        if !names.insert(tenant.name.clone()) {
            object.reject("name", "named twice");
        }
        read_keys(&mut object, tenant, &mut tenants);
    }
    Some(tenants)
}

fn read_tenant(object: &mut ObjectReader<'_, '_>, zones: &[Zone]) -> Tenant {
    Tenant {
        name: object.name("name").unwrap_or_default(),
        priority: object.integer("urgency", 0, MAX_PRIORITY).unwrap_or(0),
        regions: read_regions(object, zones),
    }
}

fn read_keys(object: &mut ObjectReader<'_, '_>, tenant: Tenant, tenants: &mut Tenants) {
    object.require("keys");
    let keys = object.array("keys", MAX_KEYS_PER_TENANT);
    let tenant = tenants.add(tenant);
    for (index, value) in keys.iter().enumerate() {
        let path = object.path_of(&format!("keys[{index}]"));
        let Some(key) = read_key(object.reader, &path, value) else { continue };
        if let Err(holder) = tenants.add_key(tenant, key) {
            let message = format!("tenant '{}' has the same key", holder.name);
            object.reader.reject(&path, message);
        }
    }
}

fn read_key(reader: &mut JsonReader, path: &str, value: &JsonValue) -> Option<KeyDigest> {
    let is_key = |text: &str| {
        (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',')
    };
    let key = value.as_str().filter(|text| is_key(text));
    if key.is_none() {
        let message = format!(
            "must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} visible ASCII characters other than ','"
        );
        reader.reject(path, message);
    }
    key.map(|key| KeyDigest::of(key.as_bytes()))
}
