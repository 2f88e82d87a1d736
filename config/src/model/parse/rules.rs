//! The key `rules`: which requests rules match, and how these are served.

use super::{
    MAX_DEADLINE_MS, MIN_DEADLINE_MS, NameIndex, RelativeTo, is_path, read_reference, read_selector,
};
use crate::json_reader::{JsonReader, ObjectReader};
use crate::model::{DEFAULT_MAX_ATTEMPTS, Preference, Rule, WeightedService, Zone};
use crate::selector::ClientLocation;
use jzon::JsonValue;
use std::time::Duration;

const KEYS: [&str; 14] = [
    "name",
    "match",
    "class",
    "service",
    "split",
    "spill",
    "prefer",
    "regions",
    "carriedAnywhere",
    "literalPrefix",
    "attempts",
    "deadlineMs",
    "aimMs",
    "public",
];
const MAX_ATTEMPTS: u64 = 64;
const MAX_METHODS: usize = 16;
const MAX_HOST_BYTES: usize = 253;
const MAX_PREFIX_BYTES: usize = 1024;
const MAX_WEIGHTED_SERVICES: usize = 64;
const MAX_SPILLOVER: usize = 16;
const MAX_REGIONS: usize = 64;
const MAX_TIERS: usize = 16;
const MAX_PREFERENCES: usize = 16;

/// The entries to which a rule may refer.
pub(super) struct Names<'n> {
    pub classes: &'n NameIndex,
    pub services: &'n NameIndex,
    /// Empty if the document does not list the zones; a rule may then refer to any zone.
    pub zones: &'n [Zone],
}

pub(super) fn read_rule(
    reader: &mut JsonReader,
    path: &str,
    entry: &JsonValue,
    names: &Names<'_>,
) -> Rule {
    let mut object = ObjectReader::of_value_or_empty(reader, path, entry, &KEYS);
    // Validation errors are reported in the order of these reads.
    let name = object.name("name").unwrap_or_default();
    let class = read_key_reference(&mut object, "class", names.classes);
    let weighted_services = read_weighted_services(&mut object, names.services);
    let service = read_own_service(&mut object, &weighted_services, names.services);
    let forwarded_anywhere = object.boolean("carriedAnywhere").unwrap_or(false);
    let literal_prefix = object.boolean("literalPrefix").unwrap_or(false);
    let limits = read_limits(&mut object);
    let request_match = read_match(&mut object);
    let spillover = read_spillover(&mut object, service, names.services);
    let regions = read_regions(&mut object, names.zones);
    let prefer = read_preferences(&mut object, names.zones);
    let is_public = object.boolean("public").unwrap_or(false);
    Rule {
        name,
        methods: request_match.methods,
        host: request_match.host,
        path_prefix: request_match.path_prefix,
        class: class.unwrap_or_default(),
        service: service.unwrap_or_default(),
        spillover,
        prefer,
        regions,
        forwarded_anywhere,
        literal_prefix,
        weighted_services,
        max_attempts: limits.max_attempts,
        deadline: limits.deadline,
        latency_target: limits.latency_target,
        is_public,
    }
}

fn read_key_reference(
    object: &mut ObjectReader<'_, '_>,
    key: &str,
    names: &NameIndex,
) -> Option<usize> {
    let (path, value) = (object.path_of(key), object.get(key));
    read_reference(object.reader, &path, value, names)
}

/// The key `split`: services with their weights.
fn read_weighted_services(
    object: &mut ObjectReader<'_, '_>,
    service_names: &NameIndex,
) -> Vec<WeightedService> {
    let mut weighted: Vec<WeightedService> = Vec::new();
    for (index, entry) in object.array("split", MAX_WEIGHTED_SERVICES).iter().enumerate() {
        let path = object.path_of(&format!("split[{index}]"));
        let known_keys = ["service", "weight"];
        let Some(mut object) = ObjectReader::of_value(object.reader, &path, entry, &known_keys)
        else {
            continue;
        };
        let service = read_key_reference(&mut object, "service", service_names);
        let weight = object.required_number("weight", 0.0, 1e9);
        if let (Some(service), Some(weight)) = (service, weight) {
            if weighted.iter().any(|earlier| earlier.service == service) {
                object.reader.reject(&path, "named twice");
            }
            weighted.push(WeightedService { service, weight });
        }
    }
    if !weighted.is_empty() && weighted.iter().all(|entry| entry.weight <= 0.0) {
        object.reject("split", "no weight is above 0");
    }
    weighted
}

/// The key `service`; if it is absent, the first service of `split`.
fn read_own_service(
    object: &mut ObjectReader<'_, '_>,
    weighted_services: &[WeightedService],
    service_names: &NameIndex,
) -> Option<usize> {
    let service = match weighted_services.first() {
        Some(first) if object.get("service").is_none() => Some(first.service),
        _ => read_key_reference(object, "service", service_names),
    };
    if object.get("split").is_some() && object.get("service").is_some() {
        object.reject("split", "either service or split");
    }
    service
}

/// The keys `attempts`, `deadlineMs` and `aimMs`.
struct Limits {
    max_attempts: u32,
    deadline: Option<Duration>,
    latency_target: Option<Duration>,
}

fn read_limits(object: &mut ObjectReader<'_, '_>) -> Limits {
    let attempts = object.integer("attempts", 1, MAX_ATTEMPTS);
    let deadline_ms = object.integer("deadlineMs", MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    let latency_target_ms = object.integer("aimMs", 1, MAX_DEADLINE_MS);
    Limits {
        max_attempts: attempts.map_or(DEFAULT_MAX_ATTEMPTS, |attempts| attempts as u32),
        deadline: deadline_ms.map(Duration::from_millis),
        latency_target: latency_target_ms.map(Duration::from_millis),
    }
}

/// The key `match`; if it is absent, the rule matches every request.
struct RequestMatch {
    methods: Vec<String>,
    host: Option<String>,
    path_prefix: String,
}

fn read_match(object: &mut ObjectReader<'_, '_>) -> RequestMatch {
    let Some(mut object) = object.object("match", &["methods", "host", "pathPrefix"]) else {
        return RequestMatch { methods: Vec::new(), host: None, path_prefix: "/".to_string() };
    };
    RequestMatch {
        methods: read_methods(&mut object),
        host: read_host(&mut object),
        path_prefix: read_path_prefix(&mut object),
    }
}

fn read_methods(object: &mut ObjectReader<'_, '_>) -> Vec<String> {
    // A CONNECT has no response to forward (RFC 9110, 9.3.6).
    let is_forwardable = |method: &str| {
        !method.is_empty()
            && method != "CONNECT"
            && method.bytes().all(|byte| byte.is_ascii_uppercase())
    };
    let mut methods = Vec::new();
    let listed = object.array("methods", MAX_METHODS);
    for (index, method) in listed.iter().enumerate() {
        let path = object.path_of(&format!("methods[{index}]"));
        match object.reader.string(&path, Some(method), 16) {
            Some(method) if is_forwardable(method) => methods.push(method.to_string()),
            Some(_) => object.reader.reject(&path, "not a method that can be carried"),
            None => {}
        }
    }
    if object.get("methods").is_some() && listed.is_empty() {
        object.reject("methods", "can never match: no method");
    }
    methods
}

fn read_host(object: &mut ObjectReader<'_, '_>) -> Option<String> {
    let host = object.string("host", MAX_HOST_BYTES)?;
    let is_host = !host.is_empty()
        && host.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-.".contains(&byte));
    if !is_host {
        object.reject("host", "not a host's name");
    }
    Some(host.to_string())
}

fn read_path_prefix(object: &mut ObjectReader<'_, '_>) -> String {
    match object.string("pathPrefix", MAX_PREFIX_BYTES) {
        Some(prefix) if is_path(prefix) => prefix.to_string(),
        Some(_) => {
            object.reject("pathPrefix", "can never match: not a path");
            "/".to_string()
        }
        None => "/".to_string(),
    }
}

/// The key `spill`: services that serve the requests for which the rule's own service has no capacity.
fn read_spillover(
    object: &mut ObjectReader<'_, '_>,
    own_service: Option<usize>,
    service_names: &NameIndex,
) -> Vec<usize> {
    let mut spillover = Vec::new();
    for (index, value) in object.array("spill", MAX_SPILLOVER).iter().enumerate() {
        let path = object.path_of(&format!("spill[{index}]"));
        if let Some(other) = read_reference(object.reader, &path, Some(value), service_names) {
            if Some(other) == own_service || spillover.contains(&other) {
                object.reader.reject(&path, "named twice");
            }
            spillover.push(other);
        }
    }
    spillover
}

pub(super) fn read_regions(object: &mut ObjectReader<'_, '_>, zones: &[Zone]) -> Vec<String> {
    let mut regions = Vec::new();
    let listed = object.array("regions", MAX_REGIONS);
    for (index, value) in listed.iter().enumerate() {
        let path = object.path_of(&format!("regions[{index}]"));
        if let Some(region) = object.reader.name(&path, Some(value)) {
            let is_known = zones.iter().any(|zone| zone.region == region);
            if !zones.is_empty() && !is_known {
                object.reader.reject(&path, format!("no place lies in region '{region}'"));
            }
            regions.push(region);
        }
    }
    if object.get("regions").is_some() && listed.is_empty() {
        object.reject("regions", "an empty bound lets nothing be served");
    }
    regions
}

/// The key `prefer`: tiers of zones with their shares of the traffic.
fn read_preferences(object: &mut ObjectReader<'_, '_>, zones: &[Zone]) -> Vec<Vec<Preference>> {
    let mut tiers = Vec::new();
    for (index, tier) in object.array("prefer", MAX_TIERS).iter().enumerate() {
        let path = object.path_of(&format!("prefer[{index}]"));
        tiers.push(read_tier(object.reader, &path, tier, zones));
    }
    tiers
}

fn read_tier(
    reader: &mut JsonReader,
    path: &str,
    tier: &JsonValue,
    zones: &[Zone],
) -> Vec<Preference> {
    let mut preferences = Vec::new();
    for (index, entry) in reader.array(path, Some(tier), MAX_PREFERENCES).iter().enumerate() {
        let path = format!("{path}[{index}]");
        preferences.extend(read_preference(reader, &path, entry, zones));
    }
    let sum: f64 = preferences.iter().map(|preference| preference.share).sum();
    if (sum - 100.0).abs() > 1e-6 {
        reader.reject(path, format!("the shares add up to {sum}, not 100"));
    }
    preferences
}

fn read_preference(
    reader: &mut JsonReader,
    path: &str,
    entry: &JsonValue,
    zones: &[Zone],
) -> Option<Preference> {
    let mut object = ObjectReader::of_value(reader, path, entry, &["places", "share"])?;
    let preferred = read_selector(&mut object, "places", RelativeTo::Client);
    if !preferred.is_relative() && !zones.is_empty() {
        let location = ClientLocation::default();
        if !zones.iter().any(|zone| preferred.matches(zone, location)) {
            object.reject("places", "matches no place");
        }
    }
    let share = object.required_number("share", 0.0, 100.0).unwrap_or(0.0);
    Some(Preference { zones: preferred, share })
}
