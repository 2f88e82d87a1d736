//! A daemon's settings: a checked file, which flags override (design 2.2).

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    Proxy,
    Registry,
    Store,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub role: Role,
    pub fleet: String,
    pub name: String,
    pub region: String,
    pub zone: String,
    /// HTTP: callers on a proxy, operators and callers on a registry, liveness on a store.
    pub listen: std::net::SocketAddr,
    pub advertise: std::net::SocketAddr,
    /// Between the system's own daemons.
    pub cluster_listen: std::net::SocketAddr,
    pub cluster_advertise: std::net::SocketAddr,
    pub seeds: Vec<std::net::SocketAddr>,
    pub data_folder: Option<std::path::PathBuf>,
    /// So many stores hold the word from the first start on.
    pub bootstrap_size: usize,
    /// This disk, if empty, takes part in the beginning of a word.
    pub may_bootstrap: bool,
    /// Where the platform list is read: `http://IP:PORT/PATH`.
    pub endpoint_list_url: Option<String>,
    pub shutdown_grace: std::time::Duration,
    /// Where its own pages (status, readiness, counters) are, if not beside the rest.
    pub admin_listen: Option<std::net::SocketAddr>,
    /// Registry only: a second address at which clients reach the directory.
    pub steering_listen: Option<std::net::SocketAddr>,
    /// The region of each zone, where the platform list does not tell it.
    pub zone_regions: std::collections::BTreeMap<String, String>,
    pub retry_budget: RetryBudgetSettings,
    /// Millions of bits a second that its machine's link carries, if it is narrow enough to matter.
    pub link_megabits: Option<f64>,
    /// How the outside is spoken to; set by the program, not by its settings.
    pub wire_format: crate::wire_format::SelectedFormat,
    /// What it was started with, so that changed settings can be read again (design 2.2).
    pub arguments: Vec<String>,
    pub file: Option<std::path::PathBuf>,
    /// Given as a flag only: go on from this store's copy alone, then end (design 6.6).
    pub rescue: bool,
}

/// What further attempts the whole fleet may make, for each service: in any window so many beyond
/// the first of each request as this part of the requests, and so many more (design 8.5).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    pub ratio: f64,
    pub window: std::time::Duration,
    pub extra: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, window: std::time::Duration::from_secs(10), extra: 32.0 }
    }
}

pub enum Invocation {
    Run(Box<Settings>),
    /// Print this and end well.
    Print(String),
}

/// Key, flag and meaning; one table for the file, the flags and `--help`.
const KEYS: &[(&str, &str, &str)] = &[
    ("fleet", "fleet", "name of the whole fleet; daemons of other fleets are turned away"),
    ("name", "name", "this daemon's own name, unique in the fleet"),
    ("region", "region", "the region it stands in"),
    ("zone", "zone", "the zone it stands in"),
    ("listen", "listen", "IP:PORT for HTTP"),
    ("advertise", "advertise", "IP:PORT others reach HTTP at (default: listen)"),
    ("siblingListen", "sibling-listen", "IP:PORT for sibling traffic"),
    ("siblingAdvertise", "sibling-advertise", "IP:PORT siblings reach it at"),
    ("seeds", "seed", "sibling addresses of up to three other daemons (flag repeats)"),
    ("dataFolder", "data-folder", "store only: the one folder for its files"),
    ("stores", "stores", "store only: how many hold the word from the first start on (default 3)"),
    ("storeLosses", "store-losses", "store only: instead of stores: so many may be lost at once"),
    ("firstStart", "first-start", "store only: false: never begins a word (default true)"),
    ("platform", "platform", "registry only: http://IP:PORT/PATH of the platform list"),
    ("graceMs", "grace-ms", "how long a stop may take before what is left is cut"),
    (
        "seedPort",
        "seed-port",
        "the sibling port of all seeds, where they are given with another one",
    ),
    ("pagesListen", "pages-listen", "IP:PORT for its own pages (default: beside the rest)"),
    ("directoryListen", "directory-listen", "registry only: IP:PORT for clients of the directory"),
    (
        "zones",
        "zones",
        "the region of each zone, if the platform list does not tell it (file only)",
    ),
    (
        "linkMegabits",
        "link-megabits",
        "proxy only: what its machine's link carries, in Mbit/s (file only)",
    ),
    ("retries", "retries", "proxy only: further attempts of the fleet for a service (file only)"),
];

fn allowed(role: Role, key: &str) -> bool {
    match key {
        "dataFolder" | "stores" | "storeLosses" | "firstStart" => role == Role::Store,
        "platform" | "directoryListen" => role == Role::Registry,
        "retries" | "linkMegabits" => role == Role::Proxy,
        _ => true,
    }
}

/// Reads flags and file. `Err` holds the message for the operator.
pub fn start(role: Role, arguments: &[String]) -> Result<Invocation, miette::Report> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optflag("V", "version", "show the version and end");
    options.optflag("", "check", "check the settings and end");
    options.optopt("s", "settings", "settings file (JSON)", "FILE");
    if role == Role::Registry {
        options.optopt("", "check-setup", "check a setup as the interface would and end", "FILE");
    }
    if role == Role::Store {
        let meaning = "a majority of disks is lost: go on from this copy alone, then end; \
                       see docs/operators.md first";
        options.optflag("", "rescue", meaning);
    }
    for (key, flag, meaning) in KEYS.iter().filter(|(key, _, _)| allowed(role, key)) {
        match *key {
            "zones" | "retries" | "linkMegabits" => continue,
            "seeds" => options.optmulti("", flag, meaning, "IP:PORT"),
            _ => options.optopt("", flag, meaning, "VALUE"),
        };
    }
    let matches =
        options.parse(arguments).map_err(|error| miette::miette!("{error}; see --help"))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: vanepath-{role} [options]\nvanepath's {role} daemon.");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!("vanepath-{role} {}", env!("CARGO_PKG_VERSION"))));
    }
    if !matches.free.is_empty() {
        miette::bail!("unexpected argument '{}'; see --help", matches.free[0]);
    }
    if role == Role::Registry
        && let Some(file) = matches.opt_str("check-setup")
    {
        let bytes =
            std::fs::read(&file).map_err(|error| miette::miette!("cannot read {file}: {error}"))?;
        return match crate::model::parse(&bytes) {
            Ok(setup) => Ok(Invocation::Print(format!(
                "good: {} classes, {} services, {} rules",
                setup.classes.len(),
                setup.services.len(),
                setup.rules.len()
            ))),
            Err(faults) => Err(validation_report(&format!("{file} would be refused"), &faults)),
        };
    }

    let mut reader = crate::json_reader::JsonReader::default();
    let mut values = jzon::object::Object::new();
    if let Some(file) = matches.opt_str("settings") {
        let bytes = std::fs::read(&file)
            .map_err(|error| miette::miette!("settings: cannot read {file}: {error}"))?;
        let keys: Vec<&str> =
            KEYS.iter().map(|(key, _, _)| *key).filter(|key| allowed(role, key)).collect();
        if let Some(document) = reader.document(&bytes)
            && let Some(object) = reader.object("$", &document, &keys)
        {
            values = object.clone();
        }
    }
    for (key, flag, _) in KEYS.iter().filter(|(key, _, _)| allowed(role, key)) {
        if matches!(*key, "zones" | "retries" | "linkMegabits") {
            continue;
        }
        let given = matches.opt_strs(flag);
        if given.is_empty() {
            continue;
        }
        let value = match *key {
            "seeds" => jzon::JsonValue::Array(given.into_iter().map(Into::into).collect()),
            "stores" | "storeLosses" | "firstStart" | "graceMs" | "seedPort" => {
                jzon::parse(&given[0]).unwrap_or_else(|_| jzon::JsonValue::String(given[0].clone()))
            }
            _ => jzon::JsonValue::String(given[0].clone()),
        };
        values.insert(key, value);
    }
    let settings = check(role, &values, &mut reader);
    match settings {
        Some(mut settings) if reader.errors.is_empty() => {
            settings.arguments = arguments.to_vec();
            settings.file = matches.opt_str("settings").map(std::path::PathBuf::from);
            settings.rescue = role == Role::Store && matches.opt_present("rescue");
            if matches.opt_present("check") {
                Ok(Invocation::Print("settings are good".to_string()))
            } else {
                Ok(Invocation::Run(Box::new(settings)))
            }
        }
        _ => Err(validation_report("the settings cannot be used", &reader.errors)),
    }
}

/// A list of faults as one message for the operator.
pub fn validation_report(title: &str, faults: &[crate::ValidationError]) -> miette::Report {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    miette::miette!("{title}\n{}", lines.join("\n"))
}

fn check(
    role: Role,
    values: &jzon::object::Object,
    reader: &mut crate::json_reader::JsonReader,
) -> Option<Settings> {
    let fleet = match values.get("fleet") {
        Some(value) => reader.name("$.fleet", Some(value)),
        None => Some("vanepath".to_string()),
    };
    let name = reader.name("$.name", values.get("name"));
    let region = reader.name("$.region", values.get("region"));
    let zone = reader.name("$.zone", values.get("zone"));
    let listen = address(reader, "$.listen", values.get("listen"), false, true);
    let advertise = address(reader, "$.advertise", values.get("advertise"), true, false).or(listen);
    let sibling_listen =
        address(reader, "$.siblingListen", values.get("siblingListen"), false, true);
    let sibling_advertise =
        address(reader, "$.siblingAdvertise", values.get("siblingAdvertise"), true, false)
            .or(sibling_listen);
    for (key, address) in [("advertise", advertise), ("siblingAdvertise", sibling_advertise)] {
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            reader.reject(&format!("$.{key}"), "others cannot reach an unspecified address");
        }
    }
    if listen.is_some() && listen == sibling_listen {
        reader.reject("$.siblingListen", "the same as listen");
    }
    let seed_port = reader.integer("$.seedPort", values.get("seedPort"), 1, 65_535);
    let mut seeds = Vec::new();
    if values.get("seeds").is_none() {
        reader.reject("$.seeds", "missing");
    }
    let listed = reader.array("$.seeds", values.get("seeds"), 3);
    for (index, value) in listed.iter().enumerate() {
        let path = format!("$.seeds[{index}]");
        if let Some(mut seed) = address(reader, &path, Some(value), true, true) {
            if let Some(port) = seed_port {
                seed.set_port(port as u16);
            }
            if seeds.contains(&seed) {
                reader.reject(&path, "named twice");
            }
            seeds.push(seed);
        }
    }
    if values.get("seeds").is_some() && listed.is_empty() {
        reader.reject("$.seeds", "at least one is needed");
    }
    let data_folder =
        reader.string("$.dataFolder", values.get("dataFolder"), 4096).map(std::path::PathBuf::from);
    let losses = reader.integer("$.storeLosses", values.get("storeLosses"), 0, 7);
    if losses.is_some() && values.get("stores").is_some() {
        reader.reject("$.storeLosses", "either stores or storeLosses");
    }
    // A majority is left after that many losses.
    let held = losses.map_or(3, |losses| 2 * losses + 1);
    let stores = reader.integer("$.stores", values.get("stores"), 1, 15).unwrap_or(held);
    if stores.is_multiple_of(2) {
        reader.reject("$.stores", "must be odd");
    }
    let first_start = reader.boolean("$.firstStart", values.get("firstStart")).unwrap_or(true);
    if role == Role::Store && values.get("dataFolder").is_none() {
        reader.reject("$.dataFolder", "missing");
    }
    let platform = reader.string("$.platform", values.get("platform"), 1024).map(str::to_string);
    if let Some(platform) = &platform
        && split_url(platform).is_none()
    {
        reader.reject("$.platform", "must be http://IP:PORT/PATH");
    }
    if role == Role::Registry && values.get("platform").is_none() {
        reader.reject("$.platform", "missing");
    }
    let grace_ms = reader.integer("$.graceMs", values.get("graceMs"), 0, 600_000).unwrap_or(10_000);
    let pages_listen = address(reader, "$.pagesListen", values.get("pagesListen"), false, false);
    let directory_listen =
        address(reader, "$.directoryListen", values.get("directoryListen"), false, false);
    let zones = zones(reader, values.get("zones"));
    let retries = retries(reader, values.get("retries"));
    let link_mbps = reader.number("$.linkMegabits", values.get("linkMegabits"), 0.01, 1e7);
    Some(Settings {
        role,
        fleet: fleet?,
        name: name?,
        region: region?,
        zone: zone?,
        listen: listen?,
        advertise: advertise?,
        cluster_listen: sibling_listen?,
        cluster_advertise: sibling_advertise?,
        seeds,
        data_folder,
        bootstrap_size: stores as usize,
        may_bootstrap: first_start,
        endpoint_list_url: platform,
        shutdown_grace: std::time::Duration::from_millis(grace_ms),
        admin_listen: pages_listen,
        steering_listen: directory_listen,
        zone_regions: zones,
        retry_budget: retries,
        link_megabits: link_mbps,
        wire_format: Default::default(),
        arguments: Vec::new(),
        file: None,
        rescue: false,
    })
}

fn zones(
    reader: &mut crate::json_reader::JsonReader,
    value: Option<&jzon::JsonValue>,
) -> std::collections::BTreeMap<String, String> {
    let mut zones = std::collections::BTreeMap::new();
    let Some(value) = value else { return zones };
    let Some(object) = value.as_object() else {
        reader.reject("$.zones", "must be an object");
        return zones;
    };
    for (zone, region) in object.iter() {
        let path = format!("$.zones.{zone}");
        if !crate::json_reader::is_name(zone) {
            reader.reject(&path, "not a zone's name");
        }
        if let Some(region) = reader.name(&path, Some(region)) {
            zones.insert(zone.to_string(), region);
        }
    }
    zones
}

fn retries(
    reader: &mut crate::json_reader::JsonReader,
    value: Option<&jzon::JsonValue>,
) -> RetryBudgetSettings {
    let mut retries = RetryBudgetSettings::default();
    if let Some(value) = value
        && let Some(object) = reader.object("$.retries", value, &["ratio", "windowMs", "extra"])
    {
        let ratio = reader.number("$.retries.ratio", object.get("ratio"), 0.0, 10.0);
        let window_ms = reader.integer("$.retries.windowMs", object.get("windowMs"), 100, 600_000);
        let extra = reader.number("$.retries.extra", object.get("extra"), 0.0, 1e9);
        retries.ratio = ratio.unwrap_or(retries.ratio);
        retries.window = window_ms.map_or(retries.window, std::time::Duration::from_millis);
        retries.extra = extra.unwrap_or(retries.extra);
    }
    retries
}

fn address(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    reachable: bool,
    needed: bool,
) -> Option<std::net::SocketAddr> {
    if value.is_none() && needed {
        reader.reject(path, "missing");
    }
    let text = reader.string(path, value, 64)?;
    match text.parse::<std::net::SocketAddr>() {
        Ok(address) if address.port() == 0 => reader.reject(path, "port 0 cannot be used"),
        Ok(address) if reachable && address.ip().is_unspecified() => {
            reader.reject(path, "others cannot reach an unspecified address");
        }
        Ok(address) => return Some(address),
        Err(_) => reader.reject(path, format!("'{text}' is not an IP number and a port")),
    }
    None
}

/// `http://IP:PORT/PATH` to its address and path.
pub fn split_url(url: &str) -> Option<(std::net::SocketAddr, &str)> {
    let rest = url.strip_prefix("http://")?;
    let slash = rest.find('/')?;
    Some((rest[..slash].parse().ok()?, &rest[slash..]))
}

#[cfg(test)]
mod tests;
