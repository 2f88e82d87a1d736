//! Drain orders: `GET /v1/zones`, and `PUT` and `DELETE /v1/zones/ZONE/emptied` (design 6.10, 7.5).

use super::errors::ApiError;
use super::idempotency_key::IdempotencyKey;
use super::response::ApiResponse;
use super::stores::Receipt;
use super::{stores, submissions};
use crate::state::{Counter, Registry};
use hyper::{HeaderMap, StatusCode};
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use vanepath_cluster::node;
use vanepath_store::protocol::Change;

/// Time after its start by which a registry is assumed to know all nodes and servers.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a registry that has just started checks whether a zone has become known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(50);

/// Drains or restores a zone, depending on `change`.
pub async fn write(
    registry: &Registry,
    zone: &str,
    change: Change,
    headers: &HeaderMap,
) -> Result<ApiResponse, ApiError> {
    let receipt = Receipt::now(registry);
    let key = IdempotencyKey::from_headers(headers)?;
    // A registry that has just started knows too little to reject a zone as unknown.
    while !is_known_zone(registry, zone) {
        if has_discovered_all(registry) {
            return Err(ApiError::NoSuchZone);
        }
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
    }
    registry.counters.increment(Counter::ZoneChanges);
    let outcome = stores::submit(registry, &key, change, receipt).await;
    submissions::outcome_response(registry, &key.text, outcome)
}

/// Whether any node, server, drain order or configured zone that this registry knows has this zone name.
fn is_known_zone(registry: &Registry, zone: &str) -> bool {
    let view = registry.node.current_view.load_full();
    view.live.iter().any(|(info, _)| info.zone == zone)
        || view.endpoints.servers.iter().any(|server| server.zone == zone)
        || view.config.zones.iter().any(|configured| configured.name == zone)
        || view.committed.drained_zones.contains(zone)
        || registry.node.settings.zone_regions.contains_key(zone)
}

/// Whether this registry has received gossip for long enough, or is isolated, so that waiting longer would
/// not help.
fn has_discovered_all(registry: &Registry) -> bool {
    let view = registry.node.current_view.load();
    let is_synced = view.live.first().is_some_and(|(_, status)| status.synced);
    is_synced || view.is_isolated || registry.node.clock.now() > DISCOVERY_TIMEOUT
}

/// `GET /v1/zones`: the drained zones, as read from the stores.
pub async fn read(registry: &Registry) -> Result<ApiResponse, ApiError> {
    let value = stores::read_value(registry).await?;
    let body = jzon::object! {
        "emptied": drained_zones_json(&value.drained_zones),
        "orders": drain_orders_json(&value.drained_zones, &value.extra_drain_orders),
        "revision": value.revision,
    };
    Ok(node::json_response(StatusCode::OK, &body))
}

/// The names of the drained zones.
pub fn drained_zones_json(drained: &BTreeSet<String>) -> Vec<JsonValue> {
    drained.iter().map(|zone| zone.as_str().into()).collect()
}

/// The number of drain orders in force for each drained zone; `extra` is the number of those beyond the
/// first.
pub fn drain_orders_json(drained: &BTreeSet<String>, extra: &BTreeMap<String, u32>) -> JsonValue {
    let mut orders = JsonValue::new_object();
    for zone in drained {
        let extra = extra.get(zone).copied().unwrap_or(0);
        orders[zone.as_str()] = extra.saturating_add(1).into();
    }
    orders
}
