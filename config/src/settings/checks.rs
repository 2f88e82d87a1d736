//! Validation of settings, by groups of keys. Validation errors are reported in the order of the groups.

use super::{RetryBudgetSettings, Role, Settings, split_url};
use crate::json_reader::{JsonReader, ObjectReader, is_name};
use jzon::JsonValue;
use jzon::object::Object;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_FLEET: &str = "vanepath";
const MAX_SEEDS: usize = 3;
const MAX_STORES: u64 = 15;
const MAX_STORE_LOSSES: u64 = 7;
const DEFAULT_STORES: u64 = 3;
const DEFAULT_GRACE_MS: u64 = 10_000;
const MAX_GRACE_MS: u64 = 600_000;
const DEFAULT_CONFIG_LEASE_MS: u64 = 5_000;
/// Below this, confirmations do not arrive in time.
const MIN_CONFIG_LEASE_MS: u64 = 2_500;
const MAX_CONFIG_LEASE_MS: u64 = 600_000;

/// Reads settings from these values. Validation errors are collected in the reader; `None` if a required
/// value is absent or invalid.
pub(super) fn check_settings(
    role: Role,
    values: &Object,
    reader: &mut JsonReader,
) -> Option<Settings> {
    let mut object = ObjectReader::new(reader, "$", values);
    let identity = read_identity(&mut object);
    let addresses = read_addresses(&mut object);
    let seeds = read_seeds(&mut object);
    let storage = read_storage(&mut object, role);
    let endpoint_list_url = read_endpoint_list_url(&mut object, role);
    let endpoint_list_rate = object.number("platformCallsPerSecond", 0.1, 1e6);
    let grace_ms = object.integer("graceMs", 0, MAX_GRACE_MS).unwrap_or(DEFAULT_GRACE_MS);
    let admin_listen = read_address(&mut object, "pagesListen", Reachable::Locally);
    let steering_listen = read_address(&mut object, "directoryListen", Reachable::Locally);
    let zone_regions = read_zone_regions(&mut object);
    let retry_budget = read_retry_budget(&mut object);
    let config_lease_ms = object.integer("configLeaseMs", MIN_CONFIG_LEASE_MS, MAX_CONFIG_LEASE_MS);
    let link_megabits = object.number("linkMegabits", 0.01, 1e7);
    Some(Settings {
        role,
        fleet: identity.fleet?,
        name: identity.name?,
        region: identity.region?,
        zone: identity.zone?,
        listen: addresses.listen?,
        advertise: addresses.advertise?,
        cluster_listen: addresses.cluster_listen?,
        cluster_advertise: addresses.cluster_advertise?,
        seeds,
        data_folder: storage.data_folder,
        bootstrap_size: storage.bootstrap_size,
        may_bootstrap: storage.may_bootstrap,
        endpoint_list_url,
        endpoint_list_rate,
        shutdown_grace: Duration::from_millis(grace_ms),
        admin_listen,
        steering_listen,
        zone_regions,
        retry_budget,
        config_lease: Duration::from_millis(config_lease_ms.unwrap_or(DEFAULT_CONFIG_LEASE_MS)),
        link_megabits,
        wire_format: Default::default(),
        arguments: Vec::new(),
        file: None,
        rescue: false,
    })
}

struct Identity {
    fleet: Option<String>,
    name: Option<String>,
    region: Option<String>,
    zone: Option<String>,
}

fn read_identity(object: &mut ObjectReader<'_, '_>) -> Identity {
    let fleet = match object.get("fleet") {
        Some(_) => object.name("fleet"),
        None => Some(DEFAULT_FLEET.to_string()),
    };
    Identity {
        fleet,
        name: object.name("name"),
        region: object.name("region"),
        zone: object.name("zone"),
    }
}

struct Addresses {
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    cluster_listen: Option<SocketAddr>,
    cluster_advertise: Option<SocketAddr>,
}

fn read_addresses(object: &mut ObjectReader<'_, '_>) -> Addresses {
    object.require("listen");
    let listen = read_address(object, "listen", Reachable::Locally);
    let advertise = read_address(object, "advertise", Reachable::Remotely).or(listen);
    object.require("siblingListen");
    let cluster_listen = read_address(object, "siblingListen", Reachable::Locally);
    let cluster_advertise =
        read_address(object, "siblingAdvertise", Reachable::Remotely).or(cluster_listen);
    for (key, address) in [("advertise", advertise), ("siblingAdvertise", cluster_advertise)] {
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            object.reject(key, UNREACHABLE);
        }
    }
    if listen.is_some() && listen == cluster_listen {
        object.reject("siblingListen", "the same as listen");
    }
    Addresses { listen, advertise, cluster_listen, cluster_advertise }
}

fn read_seeds(object: &mut ObjectReader<'_, '_>) -> Vec<SocketAddr> {
    let seed_port = object.integer("seedPort", 1, 65_535);
    let mut seeds = Vec::new();
    object.require("seeds");
    let listed = object.array("seeds", MAX_SEEDS);
    for (index, value) in listed.iter().enumerate() {
        let path = object.path_of(&format!("seeds[{index}]"));
        let seed = parse_address(object.reader, &path, Some(value), Reachable::Remotely);
        let Some(mut seed) = seed else { continue };
        if let Some(port) = seed_port {
            seed.set_port(port as u16);
        }
        if seeds.contains(&seed) {
            object.reader.reject(&path, "named twice");
        }
        seeds.push(seed);
    }
    if object.get("seeds").is_some() && listed.is_empty() {
        object.reject("seeds", "at least one is needed");
    }
    seeds
}

/// Settings that only stores use.
struct Storage {
    data_folder: Option<PathBuf>,
    bootstrap_size: usize,
    may_bootstrap: bool,
}

fn read_storage(object: &mut ObjectReader<'_, '_>, role: Role) -> Storage {
    let data_folder = object.string("dataFolder", 4096).map(PathBuf::from);
    let losses = object.integer("storeLosses", 0, MAX_STORE_LOSSES);
    if losses.is_some() && object.get("stores").is_some() {
        object.reject("storeLosses", "either stores or storeLosses");
    }
    // A majority remains after this many losses.
    let default_size = losses.map_or(DEFAULT_STORES, |losses| 2 * losses + 1);
    let bootstrap_size = object.integer("stores", 1, MAX_STORES).unwrap_or(default_size);
    if bootstrap_size.is_multiple_of(2) {
        object.reject("stores", "must be odd");
    }
    let may_bootstrap = object.boolean("firstStart").unwrap_or(true);
    if role == Role::Store {
        object.require("dataFolder");
    }
    Storage { data_folder, bootstrap_size: bootstrap_size as usize, may_bootstrap }
}

fn read_endpoint_list_url(object: &mut ObjectReader<'_, '_>, role: Role) -> Option<String> {
    let url = object.string("platform", 1024).map(str::to_string);
    if url.as_deref().is_some_and(|url| split_url(url).is_none()) {
        object.reject("platform", "must be http://IP:PORT/PATH");
    }
    if role == Role::Registry {
        object.require("platform");
    }
    url
}

fn read_zone_regions(object: &mut ObjectReader<'_, '_>) -> BTreeMap<String, String> {
    let mut zone_regions = BTreeMap::new();
    let Some(value) = object.get("zones") else { return zone_regions };
    let Some(zones) = value.as_object() else {
        object.reject("zones", "must be an object");
        return zone_regions;
    };
    for (zone, region) in zones.iter() {
        let path = object.path_of(&format!("zones.{zone}"));
        if !is_name(zone) {
            object.reader.reject(&path, "not a zone's name");
        }
        if let Some(region) = object.reader.name(&path, Some(region)) {
            zone_regions.insert(zone.to_string(), region);
        }
    }
    zone_regions
}

fn read_retry_budget(object: &mut ObjectReader<'_, '_>) -> RetryBudgetSettings {
    let default = RetryBudgetSettings::default();
    let Some(mut object) = object.object("retries", &["ratio", "windowMs", "extra"]) else {
        return default;
    };
    let ratio = object.number("ratio", 0.0, 10.0);
    let window_ms = object.integer("windowMs", 100, 600_000);
    let extra = object.number("extra", 0.0, 1e9);
    RetryBudgetSettings {
        ratio: ratio.unwrap_or(default.ratio),
        window: window_ms.map_or(default.window, Duration::from_millis),
        extra: extra.unwrap_or(default.extra),
    }
}

/// From where an address must be reachable.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reachable {
    /// The address is bound on this machine; an unspecified one stands for all addresses of the machine.
    Locally,
    Remotely,
}

const UNREACHABLE: &str = "others cannot reach an unspecified address";

fn read_address(
    object: &mut ObjectReader<'_, '_>,
    key: &str,
    reachable: Reachable,
) -> Option<SocketAddr> {
    let (path, value) = (object.path_of(key), object.get(key));
    parse_address(object.reader, &path, value, reachable)
}

fn parse_address(
    reader: &mut JsonReader,
    path: &str,
    value: Option<&JsonValue>,
    reachable: Reachable,
) -> Option<SocketAddr> {
    let text = reader.string(path, value, 64)?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => reader.reject(path, "port 0 cannot be used"),
        Ok(address) if reachable == Reachable::Remotely && address.ip().is_unspecified() => {
            reader.reject(path, UNREACHABLE);
        }
        Ok(address) => return Some(address),
        Err(_) => reader.reject(path, format!("'{text}' is not an IP number and a port")),
    }
    None
}
