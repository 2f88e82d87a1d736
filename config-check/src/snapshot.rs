//! The state of a fleet as reported by one registry.

use jzon::JsonValue;
use std::collections::BTreeMap;
use vanepath_config::endpoint_list::Server;

/// A server and its health, as reported in a registry's status.
#[derive(Clone, Debug)]
pub struct ServerSnapshot {
    /// The server's entry in the endpoint list.
    pub server: Server,
    /// Whether the proxies consider it healthy.
    pub is_live: bool,
}

/// The location of a live proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyLocation {
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// The state of a fleet at one point in time.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Revision of the committed configuration.
    pub revision: u64,
    /// All servers of the endpoint list.
    pub servers: Vec<ServerSnapshot>,
    /// Locations of the proxies that are ready.
    pub proxies: Vec<ProxyLocation>,
    /// Zones that are drained.
    pub drained_zones: Vec<String>,
    /// Names of daemons whose revision is older than one that they had before (design 5.8).
    pub regressed_daemons: Vec<String>,
    /// The active configuration document, byte for byte, if there is one.
    pub active_config: Option<Vec<u8>>,
}

/// A member that the snapshot needs is absent from a registry's status or has an unexpected form, because
/// the registry is of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the registry's status is of another version")]
pub struct SnapshotError {
    /// Key of the absent or unexpected member.
    pub member: &'static str,
}

impl FleetSnapshot {
    /// Makes a snapshot from a registry's status; `active_config` is the active configuration document.
    ///
    /// # Errors
    /// If a member of the status is absent or has another form.
    pub fn from_status(
        status: &JsonValue,
        active_config: Option<Vec<u8>>,
    ) -> Result<FleetSnapshot, SnapshotError> {
        let revision = status["revision"].as_u64().ok_or(SnapshotError { member: "revision" })?;
        let drained_zones = array(status, "emptied")?
            .iter()
            .map(|zone| {
                zone.as_str().map(str::to_string).ok_or(SnapshotError { member: "emptied" })
            })
            .collect::<Result<_, _>>()?;
        // Registries of earlier versions do not have this member.
        let regressed_daemons = status["behindFloor"]
            .members()
            .map(|name| {
                name.as_str().map(str::to_string).ok_or(SnapshotError { member: "behindFloor" })
            })
            .collect::<Result<_, _>>()?;
        let proxies = array(status, "daemons")?
            .iter()
            .filter(|daemon| is_ready_proxy(daemon))
            .map(proxy_location)
            .collect::<Result<_, _>>()?;
        let servers =
            array(status, "servers")?.iter().map(server_snapshot).collect::<Result<_, _>>()?;
        Ok(FleetSnapshot {
            revision,
            servers,
            proxies,
            drained_zones,
            regressed_daemons,
            active_config,
        })
    }
}

pub(crate) fn array<'v>(
    value: &'v JsonValue,
    member: &'static str,
) -> Result<&'v Vec<JsonValue>, SnapshotError> {
    value[member].as_array().ok_or(SnapshotError { member })
}

pub(crate) fn string(value: &JsonValue, member: &'static str) -> Result<String, SnapshotError> {
    value[member].as_str().map(str::to_string).ok_or(SnapshotError { member })
}

fn boolean(value: &JsonValue, member: &'static str) -> Result<bool, SnapshotError> {
    value[member].as_bool().ok_or(SnapshotError { member })
}

fn is_ready_proxy(daemon: &JsonValue) -> bool {
    daemon["role"].as_str() == Some("proxy") && daemon["ready"].as_bool() == Some(true)
}

fn proxy_location(daemon: &JsonValue) -> Result<ProxyLocation, SnapshotError> {
    Ok(ProxyLocation { zone: string(daemon, "zone")?, region: string(daemon, "region")? })
}

fn server_snapshot(server: &JsonValue) -> Result<ServerSnapshot, SnapshotError> {
    let labels = server["labels"].as_object().ok_or(SnapshotError { member: "labels" })?;
    let labels = labels
        .iter()
        .map(|(key, value)| {
            let value = value.as_str().ok_or(SnapshotError { member: "labels" })?;
            Ok((key.to_string(), value.to_string()))
        })
        .collect::<Result<BTreeMap<String, String>, SnapshotError>>()?;
    let address = string(server, "address")?;
    Ok(ServerSnapshot {
        server: Server {
            id: string(server, "id")?,
            address: address.parse().map_err(|_| SnapshotError { member: "address" })?,
            region: string(server, "region")?,
            zone: string(server, "zone")?,
            labels,
            draining: boolean(server, "leaving")?,
            warming_up: false,
            concurrency: 0,
        },
        is_live: boolean(server, "live")?,
    })
}
