//! The operator's setup: classes, services, places and rules, by index into arenas (design 3.1).

/// Room for three times 1,100 routes, 270 services and 22,000 tenants of a hundred bytes each
/// (docs/CAPACITY.md).
pub const MAX_BYTES: usize = 8 << 20;
const SERVICES_MOST: usize = 1024;
const RULES_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Idempotency {
    /// May go again elsewhere: lookups and downloads.
    #[strum(serialize = "repeatable")]
    Idempotent,
    /// Must run at most once: filings.
    #[strum(serialize = "once")]
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Borrow {
    pub class: usize,
    pub max_slots: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// 0 is the most urgent.
    pub priority: u64,
    pub idempotency: Idempotency,
    /// Requests in hand at one time on one proxy.
    pub max_in_flight: u64,
    pub borrows: Vec<Borrow>,
    /// Requests that may wait on one proxy.
    pub max_queued: u64,
    /// The largest body of a request.
    pub max_body_bytes: u64,
    pub deadline: std::time::Duration,
    /// Its answers are large: they are better served near by, a little later, than far away.
    pub bulk: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub selector: crate::selector::Selector,
    pub health_check_path: String,
    /// The reply header in which a server names itself; empty: servers of this service don't.
    pub identity_header: String,
    /// Requests a second, fleet-wide, that one cold server gets at first.
    pub slow_start_rate: f64,
    /// How long a cold server ramps.
    pub slow_start_period: std::time::Duration,
    /// Requests in one server's hands from one proxy.
    pub max_in_flight_per_server: u64,
    /// Connections that one server takes from all proxies together; 0: no bound.
    pub max_connections: u64,
    /// Servers are judged by the traffic that they get; only one in doubt is probed.
    pub probes_suspects_only: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub region: String,
    pub labels: std::collections::BTreeMap<String, String>,
}

impl crate::selector::Labelled for Zone {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.name),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Preference {
    pub zones: crate::selector::Selector,
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub name: String,
    pub methods: Vec<String>,
    pub host: Option<String>,
    pub path_prefix: String,
    pub class: usize,
    pub service: usize,
    /// Other services that take what the own one has no room for.
    pub spillover: Vec<usize>,
    /// Tiers, the most preferred first; the shares of a tier add up to 100.
    pub prefer: Vec<Vec<Preference>>,
    /// The only regions that may carry or serve this; empty: all.
    pub regions: Vec<String>,
    /// The proxy that a client itself reached may carry it wherever it stands: `regions` binds
    /// servers only.
    pub forwarded_anywhere: bool,
    /// The prefix stands for itself alone: `/stock/` does not take `/stock`.
    pub literal_prefix: bool,
    /// Services by weight, `service` among them; empty: `service` alone.
    pub weighted_services: Vec<WeightedService>,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// Instead of the class's.
    pub deadline: Option<std::time::Duration>,
    /// Answers that come later are worth less: a request is refused at once, for the client to come back,
    /// rather than put into a queue in which it would be late (design 8.7).
    pub latency_target: Option<std::time::Duration>,
}

/// A service that gets a part of a rule's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedService {
    /// Index of the service.
    pub service: usize,
    /// Its part, in proportion to the sum of the rule's weights.
    pub weight: f64,
}

/// Unless a rule says otherwise.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 4;

impl Rule {
    /// Whether a proxy in this region may take it from a client.
    pub fn may_forward_from(&self, region: &str) -> bool {
        self.forwarded_anywhere || self.allows_region(region)
    }

    /// The service for one request, drawn by weight.
    pub fn pick_service(&self, random: u64) -> usize {
        let sum: f64 = self.weighted_services.iter().map(|one| one.weight).sum();
        let mut at = (random >> 11) as f64 / (1_u64 << 53) as f64 * sum;
        for one in self.weighted_services.iter().filter(|one| one.weight > 0.0) {
            at -= one.weight;
            if at < 0.0 {
                return one.service;
            }
        }
        self.weighted_services
            .iter()
            .rfind(|one| one.weight > 0.0)
            .map_or(self.service, |one| one.service)
    }

    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }

    pub fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|one| one == method))
            && self.host.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(host))
            && under_prefix(path, &self.path_prefix)
            && (!self.literal_prefix || path.starts_with(&self.path_prefix))
    }

    /// Whether every request that `other` matches matches this rule too.
    fn covers(&self, other: &Rule) -> bool {
        let methods = self.methods.is_empty()
            || (!other.methods.is_empty()
                && other.methods.iter().all(|method| self.methods.contains(method)));
        let hosts = self.host.is_none() || self.host == other.host;
        methods
            && hosts
            && under_prefix(&other.path_prefix, &self.path_prefix)
            && (!self.literal_prefix || other.path_prefix.starts_with(&self.path_prefix))
    }
}

/// Whole segments only: `/stock` covers `/stock/7`, never `/stocks`.
pub fn under_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']),
        None => prefix.strip_suffix('/').is_some_and(|bare| !bare.is_empty() && path == bare),
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Named by its author: one that is not above the held one changes nothing (design 6.9).
    pub version: Option<u64>,
    pub classes: Vec<Class>,
    pub services: Vec<Service>,
    pub zones: Vec<Zone>,
    pub rules: Vec<Rule>,
    /// Made of the rules once all are read.
    routes: crate::rule_index::RuleIndex,
}

impl Config {
    /// To be called once all rules are there: requests find them by an index.
    pub fn build_rule_index(&mut self) {
        self.routes = crate::rule_index::RuleIndex::of(&self.rules);
    }

    /// The first rule in the document's order that matches.
    pub fn rule_for(&self, method: &str, host: &str, path: &str) -> Option<usize> {
        let fits = |index: usize| self.rules[index].matches(method, host, path);
        self.routes.first(Some(host), path, fits)
    }

    /// The first rule above that takes all of what this one would.
    fn covered_by(&self, index: usize) -> Option<&Rule> {
        let rule = &self.rules[index];
        let covers = |above: usize| above < index && self.rules[above].covers(rule);
        let above = self.routes.first(rule.host.as_deref(), &rule.path_prefix, covers)?;
        Some(&self.rules[above])
    }
}

/// The one check of a setup: the interface, `--check-setup` and the checker all come here (3.2).
pub fn parse(bytes: &[u8]) -> Result<Config, Vec<crate::ValidationError>> {
    let mut reader = crate::json_reader::JsonReader::default();
    if bytes.len() > MAX_BYTES {
        reader.reject("$", format!("larger than {MAX_BYTES} bytes"));
        return Err(reader.errors);
    }
    let mut setup = Config::default();
    if let Some(document) = reader.document(bytes)
        && let Some(object) =
            reader.object("$", &document, &["version", "classes", "services", "places", "rules"])
    {
        setup.version = reader.integer("$.version", object.get("version"), 1, 1 << 53);
        for key in ["classes", "services", "rules"] {
            if object.get(key).is_none_or(|value| value.as_array().is_some_and(Vec::is_empty)) {
                reader.reject(&format!("$.{key}"), "must have at least one entry");
            }
        }
        places(&mut reader, object.get("places"), &mut setup);
        let class_names = names(&mut reader, "$.classes", object.get("classes"), 64);
        let service_names = names(&mut reader, "$.services", object.get("services"), SERVICES_MOST);
        names(&mut reader, "$.rules", object.get("rules"), RULES_MOST);
        for (index, entry) in entries(object.get("classes")).iter().enumerate() {
            class(&mut reader, &format!("$.classes[{index}]"), entry, &class_names, &mut setup);
        }
        for (index, entry) in entries(object.get("services")).iter().enumerate() {
            service(&mut reader, &format!("$.services[{index}]"), entry, &mut setup);
        }
        borrow_cycles(&mut reader, &setup);
        for (index, entry) in entries(object.get("rules")).iter().enumerate() {
            let path = format!("$.rules[{index}]");
            rule(&mut reader, &path, entry, &class_names, &service_names, &mut setup);
        }
        setup.build_rule_index();
        for index in 0..setup.rules.len() {
            if let Some(above) = setup.covered_by(index) {
                reader.reject(
                    &format!("$.rules[{index}].match"),
                    format!("can never match: rule '{}' above takes all of it", above.name),
                );
            }
        }
    }
    if reader.errors.is_empty() { Ok(setup) } else { Err(reader.errors) }
}

fn entries(value: Option<&jzon::JsonValue>) -> &[jzon::JsonValue] {
    value.and_then(|value| value.as_array()).map(Vec::as_slice).unwrap_or_default()
}

/// Indices of a list's entries by their names.
type Names = std::collections::HashMap<String, usize>;

/// The names of a list's entries; a repeated one is a fault, and stands for the first.
fn names(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    most: usize,
) -> Names {
    let mut names = Names::new();
    for (index, entry) in reader.array(path, value, most).iter().enumerate() {
        let name = entry.as_object().and_then(|object| object.get("name"));
        let name = name.and_then(|name| name.as_str()).unwrap_or_default().to_string();
        if !name.is_empty() && names.contains_key(&name) {
            reader.reject(&format!("{path}[{index}].name"), format!("'{name}' is named twice"));
        }
        names.entry(name).or_insert(index);
    }
    names
}

fn reference(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    names: &Names,
) -> Option<usize> {
    let name = reader.required_string(path, value, 63)?;
    let found = names.get(name).copied();
    if found.is_none() {
        reader.reject(path, format!("there is no '{name}'"));
    }
    found
}

fn places(
    reader: &mut crate::json_reader::JsonReader,
    value: Option<&jzon::JsonValue>,
    setup: &mut Config,
) {
    for (index, entry) in reader.array("$.places", value, 256).iter().enumerate() {
        let path = format!("$.places[{index}]");
        let Some(object) = reader.object(&path, entry, &["zone", "region", "labels"]) else {
            continue;
        };
        let zone = reader.name(&format!("{path}.zone"), object.get("zone"));
        let region = reader.name(&format!("{path}.region"), object.get("region"));
        let labels =
            crate::endpoint_list::labels(reader, &format!("{path}.labels"), object.get("labels"));
        if let (Some(zone), Some(region)) = (zone, region) {
            if setup.zones.iter().any(|place| place.name == zone) {
                reader.reject(&format!("{path}.zone"), format!("'{zone}' is named twice"));
            }
            setup.zones.push(Zone { name: zone, region, labels });
        }
    }
}

fn class(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    entry: &jzon::JsonValue,
    class_names: &Names,
    setup: &mut Config,
) {
    let known = [
        "name",
        "urgency",
        "kind",
        "room",
        "borrows",
        "queue",
        "bodyMostBytes",
        "deadlineMs",
        "bulk",
    ];
    let at = |key: &str| format!("{path}.{key}");
    let object = reader.object(path, entry, &known);
    let empty = jzon::object::Object::new();
    let object = object.unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    let kind = match reader.required_string(&at("kind"), object.get("kind"), 16).map(str::parse) {
        Some(Ok(kind)) => kind,
        Some(Err(_)) => {
            reader.reject(&at("kind"), "must be repeatable or once");
            Idempotency::NonIdempotent
        }
        None => Idempotency::NonIdempotent,
    };
    if object.get("urgency").is_none() {
        reader.reject(&at("urgency"), "missing");
    }
    let urgency = reader.integer(&at("urgency"), object.get("urgency"), 0, 100).unwrap_or(100);
    let room = reader.integer(&at("room"), object.get("room"), 1, 100_000).unwrap_or(1024);
    let queue = reader.integer(&at("queue"), object.get("queue"), 0, 100_000).unwrap_or(4096);
    let body_most = reader
        .integer(&at("bodyMostBytes"), object.get("bodyMostBytes"), 0, 1 << 40)
        .unwrap_or(16 << 20);
    let deadline_ms = reader.integer(&at("deadlineMs"), object.get("deadlineMs"), 100, 600_000);
    let mut borrows = Vec::new();
    for (index, entry) in reader.array(&at("borrows"), object.get("borrows"), 64).iter().enumerate()
    {
        let path = format!("{path}.borrows[{index}]");
        if let Some(object) = reader.object(&path, entry, &["from", "most"]) {
            let from = reference(reader, &format!("{path}.from"), object.get("from"), class_names);
            if object.get("most").is_none() {
                reader.reject(&format!("{path}.most"), "missing");
            }
            let most = reader.integer(&format!("{path}.most"), object.get("most"), 1, 100_000);
            if let (Some(class), Some(most)) = (from, most) {
                if borrows.iter().any(|borrow: &Borrow| borrow.class == class) {
                    reader.reject(&format!("{path}.from"), "named twice");
                }
                borrows.push(Borrow { class, max_slots: most });
            }
        }
    }
    let deadline = std::time::Duration::from_millis(deadline_ms.unwrap_or(10_000));
    let bulk = reader.boolean(&at("bulk"), object.get("bulk")).unwrap_or(false);
    let class = Class {
        name,
        priority: urgency,
        idempotency: kind,
        max_in_flight: room,
        borrows,
        max_queued: queue,
        max_body_bytes: body_most,
        deadline,
        bulk,
    };
    setup.classes.push(class);
}

fn borrow_cycles(reader: &mut crate::json_reader::JsonReader, setup: &Config) {
    for (index, class) in setup.classes.iter().enumerate() {
        let mut seen = vec![false; setup.classes.len()];
        let mut open: Vec<usize> = class.borrows.iter().map(|borrow| borrow.class).collect();
        while let Some(next) = open.pop() {
            if next == index {
                let path = format!("$.classes[{index}].borrows");
                reader.reject(&path, "the borrowing comes back to this class");
                break;
            }
            if next < seen.len() && !std::mem::replace(&mut seen[next], true) {
                open.extend(setup.classes[next].borrows.iter().map(|borrow| borrow.class));
            }
        }
    }
}

fn service(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    entry: &jzon::JsonValue,
    setup: &mut Config,
) {
    let known = [
        "name",
        "selector",
        "livenessPath",
        "identityHeader",
        "cold",
        "serverRoom",
        "connectionsMost",
        "probes",
    ];
    let at = |key: &str| format!("{path}.{key}");
    let empty = jzon::object::Object::new();
    let object = reader.object(path, entry, &known).unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    if object.get("selector").is_none() {
        reader.reject(&at("selector"), "missing");
    }
    let selector = selector(reader, &at("selector"), object.get("selector"), false);
    let liveness_path =
        reader.required_string(&at("livenessPath"), object.get("livenessPath"), 256);
    let liveness_path = liveness_path.unwrap_or("/").to_string();
    if !is_path(&liveness_path) {
        reader.reject(&at("livenessPath"), "must start with '/' and be plain URL characters");
    }
    let identity_header =
        match reader.string(&at("identityHeader"), object.get("identityHeader"), 64) {
            Some(header)
                if header.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-') =>
            {
                header.to_ascii_lowercase()
            }
            Some(_) => {
                reader.reject(&at("identityHeader"), "not a header's name");
                String::new()
            }
            None => "server-id".to_string(),
        };
    let mut cold_rate = 5.0;
    let mut cold_period_ms = 10_000;
    if let Some(cold) = object.get("cold")
        && let Some(object) = reader.object(&at("cold"), cold, &["ratePerSecond", "periodMs"])
    {
        let rate_path = at("cold.ratePerSecond");
        cold_rate =
            reader.number(&rate_path, object.get("ratePerSecond"), 0.1, 1e6).unwrap_or(cold_rate);
        cold_period_ms = reader
            .integer(&at("cold.periodMs"), object.get("periodMs"), 0, 600_000)
            .unwrap_or(cold_period_ms);
    }
    let server_room =
        reader.integer(&at("serverRoom"), object.get("serverRoom"), 1, 10_000).unwrap_or(64);
    let connections_path = at("connectionsMost");
    let connections_most =
        reader.integer(&connections_path, object.get("connectionsMost"), 1, 1 << 20).unwrap_or(0);
    let probes_in_doubt_only = match reader.string(&at("probes"), object.get("probes"), 16) {
        Some("in-doubt") => true,
        Some("always") | None => false,
        Some(_) => {
            reader.reject(&at("probes"), "must be always or in-doubt");
            false
        }
    };
    setup.services.push(Service {
        name,
        selector,
        health_check_path: liveness_path,
        identity_header,
        slow_start_rate: cold_rate,
        slow_start_period: std::time::Duration::from_millis(cold_period_ms),
        max_in_flight_per_server: server_room,
        max_connections: connections_most,
        probes_suspects_only: probes_in_doubt_only,
    });
}

fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !b"\"#<>?\\^`{|}".contains(&byte))
}

fn selector(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    relative: bool,
) -> crate::selector::Selector {
    let all = crate::selector::Selector::all();
    let Some(text) = reader.string(path, value, 1024) else {
        return all;
    };
    match crate::selector::Selector::parse(text) {
        Ok(selector) if !relative && selector.is_relative() => {
            reader.reject(path, "@zone and @region have no meaning here");
            all
        }
        Ok(selector) => selector,
        Err(message) => {
            reader.reject(path, format!("selector: {message}"));
            all
        }
    }
}

fn rule(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    entry: &jzon::JsonValue,
    class_names: &Names,
    service_names: &Names,
    setup: &mut Config,
) {
    let known = [
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
    ];
    let at = |key: &str| format!("{path}.{key}");
    let empty = jzon::object::Object::new();
    let object = reader.object(path, entry, &known).unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    let class = reference(reader, &at("class"), object.get("class"), class_names);
    let split = split(reader, &at("split"), object.get("split"), service_names);
    let service = match split.first() {
        Some(first) if object.get("service").is_none() => Some(first.service),
        _ => reference(reader, &at("service"), object.get("service"), service_names),
    };
    if object.get("split").is_some() && object.get("service").is_some() {
        reader.reject(&at("split"), "either service or split");
    }
    let anywhere_path = at("carriedAnywhere");
    let carried_anywhere =
        reader.boolean(&anywhere_path, object.get("carriedAnywhere")).unwrap_or(false);
    let literal_path = at("literalPrefix");
    let literal_prefix =
        reader.boolean(&literal_path, object.get("literalPrefix")).unwrap_or(false);
    let attempts = reader.integer(&at("attempts"), object.get("attempts"), 1, 64);
    let deadline_ms = reader.integer(&at("deadlineMs"), object.get("deadlineMs"), 100, 600_000);
    let aim_ms = reader.integer(&at("aimMs"), object.get("aimMs"), 1, 600_000);

    let mut methods = Vec::new();
    let mut host = None;
    let mut path_prefix = "/".to_string();
    if let Some(value) = object.get("match")
        && let Some(object) = reader.object(&at("match"), value, &["methods", "host", "pathPrefix"])
    {
        let listed = reader.array(&at("match.methods"), object.get("methods"), 16);
        for (index, method) in listed.iter().enumerate() {
            let path = at(&format!("match.methods[{index}]"));
            match reader.string(&path, Some(method), 16) {
                Some(method)
                    if !method.is_empty()
                        && method != "CONNECT"
                        && method.bytes().all(|byte| byte.is_ascii_uppercase()) =>
                {
                    methods.push(method.to_string());
                }
                Some(_) => reader.reject(&path, "not a method that can be carried"),
                None => {}
            }
        }
        if object.get("methods").is_some() && listed.is_empty() {
            reader.reject(&at("match.methods"), "can never match: no method");
        }
        host = reader.string(&at("match.host"), object.get("host"), 253).map(str::to_string);
        if host.as_deref().is_some_and(|host| {
            host.is_empty()
                || !host.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-.".contains(&byte))
        }) {
            reader.reject(&at("match.host"), "not a host's name");
        }
        if let Some(prefix) = reader.string(&at("match.pathPrefix"), object.get("pathPrefix"), 1024)
        {
            if is_path(prefix) {
                path_prefix = prefix.to_string();
            } else {
                reader.reject(&at("match.pathPrefix"), "can never match: not a path");
            }
        }
    }

    let mut spill = Vec::new();
    for (index, value) in reader.array(&at("spill"), object.get("spill"), 16).iter().enumerate() {
        let path = at(&format!("spill[{index}]"));
        if let Some(other) = reference(reader, &path, Some(value), service_names) {
            if Some(other) == service || spill.contains(&other) {
                reader.reject(&path, "named twice");
            }
            spill.push(other);
        }
    }

    let mut regions = Vec::new();
    let listed = reader.array(&at("regions"), object.get("regions"), 64);
    for (index, value) in listed.iter().enumerate() {
        let path = at(&format!("regions[{index}]"));
        if let Some(region) = reader.name(&path, Some(value)) {
            let known = setup.zones.iter().any(|place| place.region == region);
            if !setup.zones.is_empty() && !known {
                reader.reject(&path, format!("no place lies in region '{region}'"));
            }
            regions.push(region);
        }
    }
    if object.get("regions").is_some() && listed.is_empty() {
        reader.reject(&at("regions"), "an empty bound lets nothing be served");
    }

    let mut prefer = Vec::new();
    let tiers = reader.array(&at("prefer"), object.get("prefer"), 16);
    for (index, tier) in tiers.iter().enumerate() {
        let path = at(&format!("prefer[{index}]"));
        let listed = reader.array(&path, Some(tier), 16);
        let mut preferences = Vec::new();
        for (index, entry) in listed.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let Some(object) = reader.object(&path, entry, &["places", "share"]) else {
                continue;
            };
            let places_path = format!("{path}.places");
            if object.get("places").is_none() {
                reader.reject(&places_path, "missing");
            }
            let places = selector(reader, &places_path, object.get("places"), true);
            if !places.is_relative() && !setup.zones.is_empty() {
                let view = crate::selector::ClientLocation::default();
                if !setup.zones.iter().any(|place| places.matches(place, view)) {
                    reader.reject(&places_path, "matches no place");
                }
            }
            let share_path = format!("{path}.share");
            if object.get("share").is_none() {
                reader.reject(&share_path, "missing");
            }
            let share = reader.number(&share_path, object.get("share"), 0.0, 100.0).unwrap_or(0.0);
            preferences.push(Preference { zones: places, share });
        }
        let sum: f64 = preferences.iter().map(|one| one.share).sum();
        if (sum - 100.0).abs() > 1e-6 {
            reader.reject(&path, format!("the shares add up to {sum}, not 100"));
        }
        prefer.push(preferences);
    }

    setup.rules.push(Rule {
        name,
        methods,
        host,
        path_prefix,
        class: class.unwrap_or_default(),
        service: service.unwrap_or_default(),
        spillover: spill,
        prefer,
        regions,
        forwarded_anywhere: carried_anywhere,
        literal_prefix,
        weighted_services: split,
        max_attempts: attempts.map_or(DEFAULT_MAX_ATTEMPTS, |attempts| attempts as u32),
        deadline: deadline_ms.map(std::time::Duration::from_millis),
        latency_target: aim_ms.map(std::time::Duration::from_millis),
    });
}

fn split(
    reader: &mut crate::json_reader::JsonReader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    service_names: &std::collections::HashMap<String, usize>,
) -> Vec<WeightedService> {
    let mut split: Vec<WeightedService> = Vec::new();
    for (index, entry) in reader.array(path, value, 64).iter().enumerate() {
        let path = format!("{path}[{index}]");
        let Some(object) = reader.object(&path, entry, &["service", "weight"]) else { continue };
        let name = object.get("service");
        let service = reference(reader, &format!("{path}.service"), name, service_names);
        let weight_path = format!("{path}.weight");
        if object.get("weight").is_none() {
            reader.reject(&weight_path, "missing");
        }
        let weight = reader.number(&weight_path, object.get("weight"), 0.0, 1e9);
        if let (Some(service), Some(weight)) = (service, weight) {
            if split.iter().any(|one| one.service == service) {
                reader.reject(&path, "named twice");
            }
            split.push(WeightedService { service, weight });
        }
    }
    if !split.is_empty() && split.iter().all(|one| one.weight <= 0.0) {
        reader.reject(path, "no weight is above 0");
    }
    split
}

#[cfg(test)]
mod tests;
