//! The key `services`: selectors, health checks, slow start and limits per server.

use super::{RelativeTo, is_path, read_selector};
use crate::json_reader::{JsonReader, ObjectReader};
use crate::model::Service;
use jzon::JsonValue;
use std::time::Duration;

const KEYS: [&str; 8] = [
    "name",
    "selector",
    "livenessPath",
    "identityHeader",
    "cold",
    "serverRoom",
    "connectionsMost",
    "probes",
];
const DEFAULT_IDENTITY_HEADER: &str = "server-id";
const DEFAULT_SLOW_START_RATE: f64 = 5.0;
const DEFAULT_SLOW_START_MS: u64 = 10_000;
const MAX_SLOW_START_MS: u64 = 600_000;
const DEFAULT_IN_FLIGHT_PER_SERVER: u64 = 64;

pub(super) fn read_service(reader: &mut JsonReader, path: &str, entry: &JsonValue) -> Service {
    let mut object = ObjectReader::of_value_or_empty(reader, path, entry, &KEYS);
    // Validation errors are reported in the order of these reads.
    let name = object.name("name").unwrap_or_default();
    let selector = read_selector(&mut object, "selector", RelativeTo::Nothing);
    let health_check_path = read_health_check_path(&mut object);
    let identity_header = read_identity_header(&mut object);
    let (slow_start_rate, slow_start_period) = read_slow_start(&mut object);
    let max_in_flight = object.integer("serverRoom", 1, 10_000);
    let max_connections = object.integer("connectionsMost", 1, 1 << 20);
    let probes_suspects_only = read_probes(&mut object);
    Service {
        name,
        selector,
        health_check_path,
        identity_header,
        slow_start_rate,
        slow_start_period,
        max_in_flight_per_server: max_in_flight.unwrap_or(DEFAULT_IN_FLIGHT_PER_SERVER),
        max_connections: max_connections.unwrap_or(0),
        probes_suspects_only,
    }
}

fn read_health_check_path(object: &mut ObjectReader<'_, '_>) -> String {
    let path = object.required_string("livenessPath", 256).unwrap_or("/");
    if !is_path(path) {
        object.reject("livenessPath", "must start with '/' and be plain URL characters");
    }
    path.to_string()
}

fn read_identity_header(object: &mut ObjectReader<'_, '_>) -> String {
    let is_header =
        |header: &str| header.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    match object.string("identityHeader", 64) {
        Some(header) if is_header(header) => header.to_ascii_lowercase(),
        Some(_) => {
            object.reject("identityHeader", "not a header's name");
            String::new()
        }
        None => DEFAULT_IDENTITY_HEADER.to_string(),
    }
}

/// The initial rate of the slow start in requests per second, and its duration.
fn read_slow_start(object: &mut ObjectReader<'_, '_>) -> (f64, Duration) {
    let (mut rate, mut period_ms) = (None, None);
    if let Some(mut slow_start) = object.object("cold", &["ratePerSecond", "periodMs"]) {
        rate = slow_start.number("ratePerSecond", 0.1, 1e6);
        period_ms = slow_start.integer("periodMs", 0, MAX_SLOW_START_MS);
    }
    (
        rate.unwrap_or(DEFAULT_SLOW_START_RATE),
        Duration::from_millis(period_ms.unwrap_or(DEFAULT_SLOW_START_MS)),
    )
}

/// Whether only suspect servers are probed.
fn read_probes(object: &mut ObjectReader<'_, '_>) -> bool {
    match object.string("probes", 16) {
        Some("in-doubt") => true,
        Some("always") | None => false,
        Some(_) => {
            object.reject("probes", "must be always or in-doubt");
            false
        }
    }
}
