//! The endpoint list: which servers exist and which are draining (design 4).

use crate::ValidationError;
use crate::json_reader::{JsonReader, ObjectReader};
use crate::selector::{Labelled, is_label};
use crate::stable_hash;
use jzon::JsonValue;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Maximum number of servers in a list: three times 4,500 (docs/CAPACITY.md), plus a reserve.
pub const MAX_SERVERS: usize = 16_384;

/// Maximum size of the document in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// A server in the list. The `serde` attributes keep the field names of earlier versions on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Unique in the list.
    pub id: String,
    /// The address at which it accepts requests; unique in the list.
    pub address: SocketAddr,
    /// The region in which it runs.
    pub region: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Additional labels that selectors can refer to.
    pub labels: BTreeMap<String, String>,
    /// Whether it completes its requests in flight and gets no new ones.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Whether it was just started and is limited to the slow-start rate of its service.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    /// Number of requests that it processes concurrently; 0: unknown.
    #[serde(rename = "slots")]
    pub concurrency: u32,
}

impl Labelled for Server {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

/// All servers of the fleet at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Increases with each change.
    pub revision: u64,
    /// In the order in which they first appeared in the list.
    pub servers: Vec<Server>,
}

/// The changes from one revision of a list to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListDelta {
    /// The revision to which the delta applies.
    pub base: u64,
    /// The revision that results from it.
    pub revision: u64,
    /// Servers that were added or changed.
    pub changed: Vec<Server>,
    /// Ids of the servers that were removed.
    pub removed: Vec<String>,
    /// Digest of the resulting list. The revision alone does not identify a list: two readers may have given
    /// the same revision to different lists.
    pub digest: u64,
}

impl EndpointListDelta {
    /// The changes of this delta and then of the next one, which applies to its result.
    pub fn followed_by(&self, next: &EndpointListDelta) -> EndpointListDelta {
        let changed_next: HashSet<&str> =
            next.changed.iter().map(|server| server.id.as_str()).collect();
        let removed_next: HashSet<&str> = next.removed.iter().map(String::as_str).collect();
        let is_changed_again = |id: &str| changed_next.contains(id) || removed_next.contains(id);
        let changed = self.changed.iter().filter(|server| !is_changed_again(&server.id));
        let removed = self.removed.iter().filter(|id| !is_changed_again(id));
        EndpointListDelta {
            base: self.base,
            revision: next.revision,
            changed: changed.chain(&next.changed).cloned().collect(),
            removed: removed.chain(&next.removed).cloned().collect(),
            digest: next.digest,
        }
    }

    /// The number of servers that were changed, added or removed.
    pub fn change_count(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

impl EndpointList {
    /// A digest of the servers that does not depend on their order.
    pub fn digest(&self) -> u64 {
        let server_digest = |server: &Server| {
            let flags =
                [server.draining, server.warming_up].map(|flag| if flag { "1" } else { "0" });
            let address = server.address.to_string();
            stable_hash(&[&server.id, &address, &server.zone, flags[0], flags[1]])
        };
        self.servers.iter().map(server_digest).fold(0, u64::wrapping_add)
    }

    /// The delta from `base` to this list.
    pub fn delta_since(&self, base: &EndpointList) -> EndpointListDelta {
        let before: HashMap<&str, &Server> =
            base.servers.iter().map(|server| (server.id.as_str(), server)).collect();
        let now: HashSet<&str> = self.servers.iter().map(|server| server.id.as_str()).collect();
        let is_changed = |server: &&Server| before.get(server.id.as_str()) != Some(server);
        let removed = base.servers.iter().filter(|server| !now.contains(server.id.as_str()));
        EndpointListDelta {
            base: base.revision,
            revision: self.revision,
            changed: self.servers.iter().filter(is_changed).cloned().collect(),
            removed: removed.map(|server| server.id.clone()).collect(),
            digest: self.digest(),
        }
    }

    /// This list with a delta applied; `None` if the delta does not apply to this list, so that the full list
    /// is needed.
    pub fn with_delta(&self, delta: &EndpointListDelta) -> Option<EndpointList> {
        if delta.base != self.revision {
            return None;
        }
        let mut changed: HashMap<&str, &Server> =
            delta.changed.iter().map(|server| (server.id.as_str(), server)).collect();
        let removed: HashSet<&str> = delta.removed.iter().map(String::as_str).collect();
        let remaining = self.servers.iter().filter(|server| !removed.contains(server.id.as_str()));
        let mut servers: Vec<Server> = remaining
            .map(|server| changed.remove(server.id.as_str()).unwrap_or(server).clone())
            .collect();
        // The remaining entries of `changed` are new servers; they are appended in the delta's order.
        servers.extend(
            delta.changed.iter().filter(|server| changed.contains_key(server.id.as_str())).cloned(),
        );
        let list = EndpointList { revision: delta.revision, servers };
        (list.digest() == delta.digest).then_some(list)
    }
}

/// Parses and validates an endpoint list document.
///
/// # Errors
/// All validation errors; no part of an invalid list may be used.
pub fn parse(bytes: &[u8]) -> Result<EndpointList, Vec<ValidationError>> {
    let mut reader = JsonReader::default();
    let mut list = EndpointList::default();
    if bytes.len() > MAX_BYTES {
        reader.reject("$", "too large");
    } else if let Some(document) = reader.document(bytes) {
        let known_keys = ["revision", "servers"];
        if let Some(mut object) = ObjectReader::of_value(&mut reader, "$", &document, &known_keys) {
            list = read_list(&mut object);
        }
    }
    reader.into_result(list)
}

fn read_list(object: &mut ObjectReader<'_, '_>) -> EndpointList {
    object.require("revision");
    object.require("servers");
    let revision = object.integer("revision", 0, 1 << 53).unwrap_or_default();
    let mut servers = Vec::new();
    let mut ids = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, entry) in object.array("servers", MAX_SERVERS).iter().enumerate() {
        let path = format!("$.servers[{index}]");
        let Some(server) = read_server(object.reader, &path, entry) else { continue };
        if !ids.insert(server.id.clone()) {
            object.reader.reject(&format!("{path}.id"), "named twice");
        }
        if !addresses.insert(server.address) {
            object.reader.reject(&format!("{path}.address"), "in use by another server");
        }
        servers.push(server);
    }
    EndpointList { revision, servers }
}

fn read_server(reader: &mut JsonReader, path: &str, entry: &JsonValue) -> Option<Server> {
    let known_keys = ["id", "address", "region", "zone", "labels", "state", "cold", "slots"];
    let mut object = ObjectReader::of_value(reader, path, entry, &known_keys)?;
    // Validation errors are reported in the order of these reads.
    let id = object.name("id");
    let region = object.name("region");
    let zone = object.name("zone");
    let address = read_address(&mut object);
    let (labels_path, labels) = (object.path_of("labels"), object.get("labels"));
    let labels = read_labels(object.reader, &labels_path, labels);
    let draining = read_draining(&mut object);
    let warming_up = object.boolean("cold").unwrap_or(false);
    let concurrency = object.integer("slots", 0, 1 << 20);
    Some(Server {
        id: id?,
        address: address?,
        region: region?,
        zone: zone?,
        labels,
        draining: draining?,
        warming_up,
        concurrency: concurrency.unwrap_or(0) as u32,
    })
}

fn read_address(object: &mut ObjectReader<'_, '_>) -> Option<SocketAddr> {
    let address = object.required_string("address", 64)?.parse::<SocketAddr>();
    match address {
        Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Some(address),
        _ => {
            object.reject("address", "must be an IP number and a port");
            None
        }
    }
}

fn read_draining(object: &mut ObjectReader<'_, '_>) -> Option<bool> {
    match object.required_string("state", 16)? {
        "ready" => Some(false),
        "leaving" => Some(true),
        _ => {
            object.reject("state", "must be ready or leaving");
            None
        }
    }
}

/// Labels in the JSON form that the list's document and the status page use.
pub fn labels_as_json<'l>(labels: impl IntoIterator<Item = (&'l String, &'l String)>) -> JsonValue {
    let mut value = JsonValue::new_object();
    for (key, label) in labels {
        value[key.as_str()] = label.as_str().into();
    }
    value
}

/// Reads the labels of a server or a zone. The labels `zone` and `region` always come from the keys of these
/// names, and are rejected here.
pub(crate) fn read_labels(
    reader: &mut JsonReader,
    path: &str,
    value: Option<&JsonValue>,
) -> BTreeMap<String, String> {
    let mut labels = BTreeMap::new();
    let Some(value) = value else { return labels };
    let Some(object) = value.as_object() else {
        reader.reject(path, "must be an object");
        return labels;
    };
    for (key, value) in object.iter() {
        let key_path = format!("{path}.{key}");
        if !is_label(key) || key == "zone" || key == "region" {
            reader.reject(&key_path, "not usable as a label's key");
        }
        if let Some(text) = reader.string(&key_path, Some(value), 63) {
            if is_label(text) {
                labels.insert(key.to_string(), text.to_string());
            } else {
                reader.reject(&key_path, "not usable as a label's value");
            }
        }
    }
    labels
}

#[cfg(test)]
mod tests;
