//! The endpoint list: which servers exist and which are draining (design 4).

use crate::ValidationError;
use crate::json_reader::{JsonReader, ObjectReader};
use crate::selector::{Labelled, is_label};
use crate::stable_hash;
use jzon::JsonValue;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// The most servers of a list: three times 4,500 (docs/CAPACITY.md), with some to spare.
pub const MAX_SERVERS: usize = 16_384;

/// The largest document in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// A server of the list. The names in `serde` attributes are wire names of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Unique in the list.
    pub id: String,
    /// Where it takes requests, unique in the list.
    pub address: SocketAddr,
    /// The region in which it runs.
    pub region: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Further labels, which selectors can name.
    pub labels: BTreeMap<String, String>,
    /// It finishes what it has and gets no new requests.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Just started: it bears the rate of its service's slow start only.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    /// Requests that it works on at one time; 0: unknown.
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
    /// Rises with each change.
    pub revision: u64,
    /// In the order in which they were listed first.
    pub servers: Vec<Server>,
}

/// What changed from one revision of a list to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListDelta {
    /// The revision that it starts from.
    pub base: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// Servers that are new or different.
    pub changed: Vec<Server>,
    /// Ids of the servers that are gone.
    pub removed: Vec<String>,
    /// Digest of the list that it leads to: two readers may have given one revision to different lists.
    pub digest: u64,
}

impl EndpointList {
    /// A digest of the servers, whatever their order.
    pub fn digest(&self) -> u64 {
        let server_digest = |server: &Server| {
            let flags =
                [server.draining, server.warming_up].map(|flag| if flag { "1" } else { "0" });
            let address = server.address.to_string();
            stable_hash(&[&server.id, &address, &server.zone, flags[0], flags[1]])
        };
        self.servers.iter().map(server_digest).fold(0, u64::wrapping_add)
    }

    /// The delta that leads from `base` to this list.
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

    /// The list that a delta leads to; `None` where it does not lead there from this one, so that the
    /// whole list is needed.
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
        // What is left of `changed` is new, and keeps the delta's order.
        servers.extend(
            delta.changed.iter().filter(|one| changed.contains_key(one.id.as_str())).cloned(),
        );
        let list = EndpointList { revision: delta.revision, servers };
        (list.digest() == delta.digest).then_some(list)
    }
}

/// Reads and checks the document of the list.
///
/// # Errors
/// All validation errors; then no part of the list may be used.
pub fn parse(bytes: &[u8]) -> Result<EndpointList, Vec<ValidationError>> {
    let mut reader = JsonReader::default();
    let mut list = EndpointList::default();
    if bytes.len() > MAX_BYTES {
        reader.reject("$", "too large");
    } else if let Some(document) = reader.document(bytes) {
        let known = ["revision", "servers"];
        if let Some(mut object) = ObjectReader::of_value(&mut reader, "$", &document, &known) {
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
    let known = ["id", "address", "region", "zone", "labels", "state", "cold", "slots"];
    let mut object = ObjectReader::of_value(reader, path, entry, &known)?;
    // In the order in which validation errors are reported.
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

/// Labels as the list's document and the status show them.
pub fn labels_as_json<'l>(labels: impl IntoIterator<Item = (&'l String, &'l String)>) -> JsonValue {
    let mut value = JsonValue::new_object();
    for (key, label) in labels {
        value[key.as_str()] = label.as_str().into();
    }
    value
}

/// Reads the labels of servers and zones; the labels `zone` and `region` are always given by the zone, and
/// are rejected here.
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
