//! The platform list: which servers exist and which are leaving (design 4).

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    pub id: String,
    pub address: std::net::SocketAddr,
    pub region: String,
    pub zone: String,
    pub labels: std::collections::BTreeMap<String, String>,
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Just started: it bears its modest rate only.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    /// Requests that it works on at one time; 0: not told.
    #[serde(rename = "slots")]
    pub concurrency: u32,
}

impl crate::selector::Labelled for Server {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointList {
    pub revision: u64,
    pub servers: Vec<Server>,
}

/// Three times 4,500 servers (docs/CAPACITY.md), with room for labels.
/// What changed from one revision of a list to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointListDelta {
    pub base: u64,
    pub revision: u64,
    /// New or different.
    pub changed: Vec<Server>,
    /// Ids.
    pub removed: Vec<String>,
    /// Of the list that it leads to: two readers may have given one revision to different lists.
    pub digest: u64,
}

impl EndpointList {
    /// Of its servers, whatever their order.
    pub fn digest(&self) -> u64 {
        let one = |server: &Server| {
            let flags =
                [server.draining, server.warming_up].map(|flag| if flag { "1" } else { "0" });
            let address = server.address.to_string();
            crate::stable_hash(&[&server.id, &address, &server.zone, flags[0], flags[1]])
        };
        self.servers.iter().map(one).fold(0, u64::wrapping_add)
    }

    /// From `base` to this list.
    pub fn since(&self, base: &EndpointList) -> EndpointListDelta {
        let before: std::collections::HashMap<&str, &Server> =
            base.servers.iter().map(|server| (server.id.as_str(), server)).collect();
        let now: std::collections::HashSet<&str> =
            self.servers.iter().map(|server| server.id.as_str()).collect();
        let is_same = |server: &&Server| before.get(server.id.as_str()) != Some(server);
        let gone = base.servers.iter().filter(|server| !now.contains(server.id.as_str()));
        EndpointListDelta {
            base: base.revision,
            revision: self.revision,
            changed: self.servers.iter().filter(is_same).cloned().collect(),
            removed: gone.map(|server| server.id.clone()).collect(),
            digest: self.digest(),
        }
    }

    /// The list that a delta leads to; `None` where it does not lead there from this one.
    pub fn with(&self, delta: &EndpointListDelta) -> Option<EndpointList> {
        if delta.base != self.revision {
            return None;
        }
        let mut changed: std::collections::HashMap<&str, &Server> =
            delta.changed.iter().map(|server| (server.id.as_str(), server)).collect();
        let removed: std::collections::HashSet<&str> =
            delta.removed.iter().map(String::as_str).collect();
        let kept = self.servers.iter().filter(|server| !removed.contains(server.id.as_str()));
        let mut servers: Vec<Server> = kept
            .map(|server| changed.remove(server.id.as_str()).unwrap_or(server).clone())
            .collect();
        // In the order in which they were told.
        servers.extend(
            delta.changed.iter().filter(|one| changed.contains_key(one.id.as_str())).cloned(),
        );
        let list = EndpointList { revision: delta.revision, servers };
        (list.digest() == delta.digest).then_some(list)
    }
}

pub const MAX_SERVERS: usize = 16_384;
pub const MAX_BYTES: usize = 8 << 20;

/// Reads the platform's document; one fault anywhere refuses the whole of it.
pub fn parse(bytes: &[u8]) -> Result<EndpointList, Vec<crate::ValidationError>> {
    let mut reader = crate::json_reader::JsonReader::default();
    if bytes.len() > MAX_BYTES {
        reader.reject("$", "too large");
        return Err(reader.errors);
    }
    let mut list = EndpointList::default();
    if let Some(document) = reader.document(bytes)
        && let Some(object) = reader.object("$", &document, &["revision", "servers"])
    {
        if object.get("revision").is_none() {
            reader.reject("$.revision", "missing");
        }
        if object.get("servers").is_none() {
            reader.reject("$.servers", "missing");
        }
        list.revision =
            reader.integer("$.revision", object.get("revision"), 0, 1 << 53).unwrap_or_default();
        let mut ids = std::collections::HashSet::new();
        let mut addresses = std::collections::HashSet::new();
        let entries = reader.array("$.servers", object.get("servers"), MAX_SERVERS);
        for (index, entry) in entries.iter().enumerate() {
            let path = format!("$.servers[{index}]");
            if let Some(server) = server(&mut reader, &path, entry) {
                if !ids.insert(server.id.clone()) {
                    reader.reject(&format!("{path}.id"), "named twice");
                }
                if !addresses.insert(server.address) {
                    reader.reject(&format!("{path}.address"), "in use by another server");
                }
                list.servers.push(server);
            }
        }
    }
    if reader.errors.is_empty() { Ok(list) } else { Err(reader.errors) }
}

fn server(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    entry: &jzon::JsonValue,
) -> Option<Server> {
    let known = ["id", "address", "region", "zone", "labels", "state", "cold", "slots"];
    let object = reader.object(path, entry, &known)?;
    let id = reader.name(&format!("{path}.id"), object.get("id"));
    let region = reader.name(&format!("{path}.region"), object.get("region"));
    let zone = reader.name(&format!("{path}.zone"), object.get("zone"));
    let address_path = format!("{path}.address");
    let address =
        reader.required_string(&address_path, object.get("address"), 64).and_then(|text| {
            match text.parse::<std::net::SocketAddr>() {
                Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => {
                    Some(address)
                }
                _ => {
                    reader.reject(&address_path, "must be an IP number and a port");
                    None
                }
            }
        });
    let labels = labels(reader, &format!("{path}.labels"), object.get("labels"));
    let state_path = format!("{path}.state");
    let leaving = match reader.required_string(&state_path, object.get("state"), 16) {
        Some("ready") => Some(false),
        Some("leaving") => Some(true),
        Some(_) => {
            reader.reject(&state_path, "must be ready or leaving");
            None
        }
        None => None,
    };
    let cold = reader.boolean(&format!("{path}.cold"), object.get("cold")).unwrap_or(false);
    let slots = reader.integer(&format!("{path}.slots"), object.get("slots"), 0, 1 << 20);
    Some(Server {
        id: id?,
        address: address?,
        region: region?,
        zone: zone?,
        labels,
        draining: leaving?,
        warming_up: cold,
        concurrency: slots.unwrap_or(0) as u32,
    })
}

/// Labels as the platform's document and the status show them.
pub fn labels_as_json<'l>(
    labels: impl IntoIterator<Item = (&'l String, &'l String)>,
) -> jzon::JsonValue {
    let mut value = jzon::JsonValue::new_object();
    for (key, label) in labels {
        value[key.as_str()] = label.as_str().into();
    }
    value
}

/// Labels of servers and places; `zone` and `region` are always the place's own.
pub fn labels(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
) -> std::collections::BTreeMap<String, String> {
    let mut labels = std::collections::BTreeMap::new();
    let Some(value) = value else { return labels };
    let Some(object) = value.as_object() else {
        reader.reject(path, "must be an object");
        return labels;
    };
    for (key, value) in object.iter() {
        let key_path = format!("{path}.{key}");
        if !crate::selector::is_label(key) || key == "zone" || key == "region" {
            reader.reject(&key_path, "not usable as a label's key");
        }
        if let Some(text) = reader.string(&key_path, Some(value), 63) {
            if crate::selector::is_label(text) {
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
