//! The operator's setup: classes, services, places and rules, by index into arenas (design 3.1).

pub const BYTES_MOST: usize = 256 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// May go again elsewhere: lookups and downloads.
    Repeatable,
    /// Must run at most once: filings.
    Once,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Borrow {
    pub class: usize,
    pub most: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// 0 is the most urgent.
    pub urgency: u64,
    pub kind: Kind,
    /// Requests in hand at one time on one proxy.
    pub room: u64,
    pub borrows: Vec<Borrow>,
    /// Requests that may wait on one proxy.
    pub queue: u64,
    /// The largest body of a request.
    pub body_most: u64,
    pub deadline: std::time::Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub selector: crate::selector::Selector,
    pub liveness_path: String,
    /// The reply header in which a server names itself; empty: servers of this service don't.
    pub identity_header: String,
    /// Requests a second, fleet-wide, that one cold server gets at first.
    pub cold_rate: f64,
    /// How long a cold server ramps.
    pub cold_period: std::time::Duration,
    /// Requests in one server's hands from one proxy.
    pub server_room: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub zone: String,
    pub region: String,
    pub labels: std::collections::BTreeMap<String, String>,
}

impl crate::selector::Labelled for Place {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Preference {
    pub places: crate::selector::Selector,
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
    pub spill: Vec<usize>,
    /// Tiers, the most preferred first; the shares of a tier add up to 100.
    pub prefer: Vec<Vec<Preference>>,
    /// The only regions that may carry or serve this; empty: all.
    pub regions: Vec<String>,
}

impl Rule {
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }

    pub fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|one| one == method))
            && self.host.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(host))
            && under_prefix(path, &self.path_prefix)
    }

    /// Whether every request that `other` matches matches this rule too.
    fn covers(&self, other: &Rule) -> bool {
        let methods = self.methods.is_empty()
            || (!other.methods.is_empty()
                && other.methods.iter().all(|method| self.methods.contains(method)));
        let hosts = self.host.is_none() || self.host == other.host;
        methods && hosts && under_prefix(&other.path_prefix, &self.path_prefix)
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
pub struct Setup {
    /// Named by its author: one that is not above the held one changes nothing (design 6.9).
    pub version: Option<u64>,
    pub classes: Vec<Class>,
    pub services: Vec<Service>,
    pub places: Vec<Place>,
    pub rules: Vec<Rule>,
}

impl Setup {
    pub fn rule_for(&self, method: &str, host: &str, path: &str) -> Option<usize> {
        self.rules.iter().position(|rule| rule.matches(method, host, path))
    }
}

/// The one check of a setup: the interface, `--check-setup` and the checker all come here (3.2).
pub fn parse(bytes: &[u8]) -> Result<Setup, Vec<crate::Fault>> {
    let mut reader = crate::read::Reader::default();
    if bytes.len() > BYTES_MOST {
        reader.fault("$", format!("larger than {BYTES_MOST} bytes"));
        return Err(reader.faults);
    }
    let mut setup = Setup::default();
    if let Some(document) = reader.document(bytes)
        && let Some(object) =
            reader.object("$", &document, &["version", "classes", "services", "places", "rules"])
    {
        setup.version = reader.whole("$.version", object.get("version"), 1, 1 << 53);
        for key in ["classes", "services", "rules"] {
            if object.get(key).is_none_or(|value| value.as_array().is_some_and(Vec::is_empty)) {
                reader.fault(&format!("$.{key}"), "must have at least one entry");
            }
        }
        places(&mut reader, object.get("places"), &mut setup);
        let class_names = names(&mut reader, "$.classes", object.get("classes"), 64);
        let service_names = names(&mut reader, "$.services", object.get("services"), 256);
        names(&mut reader, "$.rules", object.get("rules"), 1024);
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
        for (index, rule) in setup.rules.iter().enumerate() {
            if let Some(above) = setup.rules[..index].iter().find(|above| above.covers(rule)) {
                reader.fault(
                    &format!("$.rules[{index}].match"),
                    format!("can never match: rule '{}' above takes all of it", above.name),
                );
            }
        }
    }
    if reader.faults.is_empty() { Ok(setup) } else { Err(reader.faults) }
}

fn entries(value: Option<&jzon::JsonValue>) -> &[jzon::JsonValue] {
    value.and_then(|value| value.as_array()).map(Vec::as_slice).unwrap_or_default()
}

/// The names of a list's entries; a repeated one is a fault.
fn names(
    reader: &mut crate::read::Reader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    most: usize,
) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for (index, entry) in reader.array(path, value, most).iter().enumerate() {
        let name = entry.as_object().and_then(|object| object.get("name"));
        let name = name.and_then(|name| name.as_str()).unwrap_or_default().to_string();
        if !name.is_empty() && names.contains(&name) {
            reader.fault(&format!("{path}[{index}].name"), format!("'{name}' is named twice"));
        }
        names.push(name);
    }
    names
}

fn reference(
    reader: &mut crate::read::Reader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    names: &[String],
) -> Option<usize> {
    let name = reader.needed(path, value, 63)?;
    let found = names.iter().position(|known| known == name);
    if found.is_none() {
        reader.fault(path, format!("there is no '{name}'"));
    }
    found
}

fn places(reader: &mut crate::read::Reader, value: Option<&jzon::JsonValue>, setup: &mut Setup) {
    for (index, entry) in reader.array("$.places", value, 256).iter().enumerate() {
        let path = format!("$.places[{index}]");
        let Some(object) = reader.object(&path, entry, &["zone", "region", "labels"]) else {
            continue;
        };
        let zone = reader.name(&format!("{path}.zone"), object.get("zone"));
        let region = reader.name(&format!("{path}.region"), object.get("region"));
        let labels =
            crate::platform::labels(reader, &format!("{path}.labels"), object.get("labels"));
        if let (Some(zone), Some(region)) = (zone, region) {
            if setup.places.iter().any(|place| place.zone == zone) {
                reader.fault(&format!("{path}.zone"), format!("'{zone}' is named twice"));
            }
            setup.places.push(Place { zone, region, labels });
        }
    }
}

fn class(
    reader: &mut crate::read::Reader,
    path: &str,
    entry: &jzon::JsonValue,
    class_names: &[String],
    setup: &mut Setup,
) {
    let known =
        ["name", "urgency", "kind", "room", "borrows", "queue", "bodyMostBytes", "deadlineMs"];
    let at = |key: &str| format!("{path}.{key}");
    let object = reader.object(path, entry, &known);
    let empty = jzon::object::Object::new();
    let object = object.unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    let kind = match reader.needed(&at("kind"), object.get("kind"), 16).map(str::parse) {
        Some(Ok(kind)) => kind,
        Some(Err(_)) => {
            reader.fault(&at("kind"), "must be repeatable or once");
            Kind::Once
        }
        None => Kind::Once,
    };
    if object.get("urgency").is_none() {
        reader.fault(&at("urgency"), "missing");
    }
    let urgency = reader.whole(&at("urgency"), object.get("urgency"), 0, 100).unwrap_or(100);
    let room = reader.whole(&at("room"), object.get("room"), 1, 100_000).unwrap_or(1024);
    let queue = reader.whole(&at("queue"), object.get("queue"), 0, 100_000).unwrap_or(4096);
    let body_most = reader
        .whole(&at("bodyMostBytes"), object.get("bodyMostBytes"), 0, 1 << 40)
        .unwrap_or(16 << 20);
    let deadline_ms = reader.whole(&at("deadlineMs"), object.get("deadlineMs"), 100, 600_000);
    let mut borrows = Vec::new();
    for (index, entry) in reader.array(&at("borrows"), object.get("borrows"), 64).iter().enumerate()
    {
        let path = format!("{path}.borrows[{index}]");
        if let Some(object) = reader.object(&path, entry, &["from", "most"]) {
            let from = reference(reader, &format!("{path}.from"), object.get("from"), class_names);
            if object.get("most").is_none() {
                reader.fault(&format!("{path}.most"), "missing");
            }
            let most = reader.whole(&format!("{path}.most"), object.get("most"), 1, 100_000);
            if let (Some(class), Some(most)) = (from, most) {
                if borrows.iter().any(|borrow: &Borrow| borrow.class == class) {
                    reader.fault(&format!("{path}.from"), "named twice");
                }
                borrows.push(Borrow { class, most });
            }
        }
    }
    let deadline = std::time::Duration::from_millis(deadline_ms.unwrap_or(10_000));
    setup.classes.push(Class { name, urgency, kind, room, borrows, queue, body_most, deadline });
}

fn borrow_cycles(reader: &mut crate::read::Reader, setup: &Setup) {
    for (index, class) in setup.classes.iter().enumerate() {
        let mut seen = vec![false; setup.classes.len()];
        let mut open: Vec<usize> = class.borrows.iter().map(|borrow| borrow.class).collect();
        while let Some(next) = open.pop() {
            if next == index {
                let path = format!("$.classes[{index}].borrows");
                reader.fault(&path, "the borrowing comes back to this class");
                break;
            }
            if next < seen.len() && !std::mem::replace(&mut seen[next], true) {
                open.extend(setup.classes[next].borrows.iter().map(|borrow| borrow.class));
            }
        }
    }
}

fn service(
    reader: &mut crate::read::Reader,
    path: &str,
    entry: &jzon::JsonValue,
    setup: &mut Setup,
) {
    let known = ["name", "selector", "livenessPath", "identityHeader", "cold", "serverRoom"];
    let at = |key: &str| format!("{path}.{key}");
    let empty = jzon::object::Object::new();
    let object = reader.object(path, entry, &known).unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    if object.get("selector").is_none() {
        reader.fault(&at("selector"), "missing");
    }
    let selector = selector(reader, &at("selector"), object.get("selector"), false);
    let liveness_path = reader.needed(&at("livenessPath"), object.get("livenessPath"), 256);
    let liveness_path = liveness_path.unwrap_or("/").to_string();
    if !is_path(&liveness_path) {
        reader.fault(&at("livenessPath"), "must start with '/' and be plain URL characters");
    }
    let identity_header = match reader.text(&at("identityHeader"), object.get("identityHeader"), 64)
    {
        Some(header) if header.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-') => {
            header.to_ascii_lowercase()
        }
        Some(_) => {
            reader.fault(&at("identityHeader"), "not a header's name");
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
            .whole(&at("cold.periodMs"), object.get("periodMs"), 0, 600_000)
            .unwrap_or(cold_period_ms);
    }
    let server_room =
        reader.whole(&at("serverRoom"), object.get("serverRoom"), 1, 10_000).unwrap_or(64);
    setup.services.push(Service {
        name,
        selector,
        liveness_path,
        identity_header,
        cold_rate,
        cold_period: std::time::Duration::from_millis(cold_period_ms),
        server_room,
    });
}

fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !b"\"#<>?\\^`{|}".contains(&byte))
}

fn selector(
    reader: &mut crate::read::Reader,
    path: &str,
    value: Option<&jzon::JsonValue>,
    relative: bool,
) -> crate::selector::Selector {
    let all = crate::selector::Selector::all();
    let Some(text) = reader.text(path, value, 1024) else {
        return all;
    };
    match crate::selector::Selector::parse(text) {
        Ok(selector) if !relative && selector.is_relative() => {
            reader.fault(path, "@zone and @region have no meaning here");
            all
        }
        Ok(selector) => selector,
        Err(message) => {
            reader.fault(path, format!("selector: {message}"));
            all
        }
    }
}

fn rule(
    reader: &mut crate::read::Reader,
    path: &str,
    entry: &jzon::JsonValue,
    class_names: &[String],
    service_names: &[String],
    setup: &mut Setup,
) {
    let known = ["name", "match", "class", "service", "spill", "prefer", "regions"];
    let at = |key: &str| format!("{path}.{key}");
    let empty = jzon::object::Object::new();
    let object = reader.object(path, entry, &known).unwrap_or(&empty);
    let name = reader.name(&at("name"), object.get("name")).unwrap_or_default();
    let class = reference(reader, &at("class"), object.get("class"), class_names);
    let service = reference(reader, &at("service"), object.get("service"), service_names);

    let mut methods = Vec::new();
    let mut host = None;
    let mut path_prefix = "/".to_string();
    if let Some(value) = object.get("match")
        && let Some(object) = reader.object(&at("match"), value, &["methods", "host", "pathPrefix"])
    {
        let listed = reader.array(&at("match.methods"), object.get("methods"), 16);
        for (index, method) in listed.iter().enumerate() {
            let path = at(&format!("match.methods[{index}]"));
            match reader.text(&path, Some(method), 16) {
                Some(method)
                    if !method.is_empty()
                        && method != "CONNECT"
                        && method.bytes().all(|byte| byte.is_ascii_uppercase()) =>
                {
                    methods.push(method.to_string());
                }
                Some(_) => reader.fault(&path, "not a method that can be carried"),
                None => {}
            }
        }
        if object.get("methods").is_some() && listed.is_empty() {
            reader.fault(&at("match.methods"), "can never match: no method");
        }
        host = reader.text(&at("match.host"), object.get("host"), 253).map(str::to_string);
        if host.as_deref().is_some_and(|host| {
            host.is_empty()
                || !host.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-.".contains(&byte))
        }) {
            reader.fault(&at("match.host"), "not a host's name");
        }
        if let Some(prefix) = reader.text(&at("match.pathPrefix"), object.get("pathPrefix"), 1024) {
            if is_path(prefix) {
                path_prefix = prefix.to_string();
            } else {
                reader.fault(&at("match.pathPrefix"), "can never match: not a path");
            }
        }
    }

    let mut spill = Vec::new();
    for (index, value) in reader.array(&at("spill"), object.get("spill"), 16).iter().enumerate() {
        let path = at(&format!("spill[{index}]"));
        if let Some(other) = reference(reader, &path, Some(value), service_names) {
            if Some(other) == service || spill.contains(&other) {
                reader.fault(&path, "named twice");
            }
            spill.push(other);
        }
    }

    let mut regions = Vec::new();
    let listed = reader.array(&at("regions"), object.get("regions"), 64);
    for (index, value) in listed.iter().enumerate() {
        let path = at(&format!("regions[{index}]"));
        if let Some(region) = reader.name(&path, Some(value)) {
            let known = setup.places.iter().any(|place| place.region == region);
            if !setup.places.is_empty() && !known {
                reader.fault(&path, format!("no place lies in region '{region}'"));
            }
            regions.push(region);
        }
    }
    if object.get("regions").is_some() && listed.is_empty() {
        reader.fault(&at("regions"), "an empty bound lets nothing be served");
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
                reader.fault(&places_path, "missing");
            }
            let places = selector(reader, &places_path, object.get("places"), true);
            if !places.is_relative() && !setup.places.is_empty() {
                let view = crate::selector::Viewpoint::default();
                if !setup.places.iter().any(|place| places.matches(place, view)) {
                    reader.fault(&places_path, "matches no place");
                }
            }
            let share_path = format!("{path}.share");
            if object.get("share").is_none() {
                reader.fault(&share_path, "missing");
            }
            let share = reader.number(&share_path, object.get("share"), 0.0, 100.0).unwrap_or(0.0);
            preferences.push(Preference { places, share });
        }
        let sum: f64 = preferences.iter().map(|one| one.share).sum();
        if (sum - 100.0).abs() > 1e-6 {
            reader.fault(&path, format!("the shares add up to {sum}, not 100"));
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
        spill,
        prefer,
        regions,
    });
}

#[cfg(test)]
mod tests {
    const GOOD: &str = r#"{
      "places": [{"zone": "a1", "region": "a", "labels": {"cost": "low"}},
                 {"zone": "b1", "region": "b"}],
      "classes": [
        {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 200},
        {"name": "filing", "urgency": 0, "kind": "once"},
        {"name": "bulk", "urgency": 5, "kind": "repeatable",
         "borrows": [{"from": "lookup", "most": 20}]}],
      "services": [
        {"name": "orders", "selector": "app = orders", "livenessPath": "/live",
         "cold": {"ratePerSecond": 5, "periodMs": 8000}},
        {"name": "papers", "selector": "app = papers", "livenessPath": "/live"}],
      "rules": [
        {"name": "file", "match": {"methods": ["POST"], "pathPrefix": "/orders"},
         "class": "filing", "service": "orders", "regions": ["a"]},
        {"name": "bulk", "match": {"pathPrefix": "/papers/"}, "class": "bulk",
         "service": "papers", "spill": ["orders"]},
        {"name": "rest", "class": "lookup", "service": "orders",
         "prefer": [[{"places": "zone = @zone", "share": 70},
                     {"places": "cost = low", "share": 30}]]}]
    }"#;

    fn faults(text: &str) -> String {
        match super::parse(text.as_bytes()) {
            Ok(_) => "taken".to_string(),
            Err(faults) => {
                faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("\n")
            }
        }
    }

    #[test]
    fn good_setup_is_taken_and_routes() {
        let setup = super::parse(GOOD.as_bytes()).unwrap();
        assert_eq!(setup.rule_for("POST", "h", "/orders/7"), Some(0));
        assert_eq!(setup.rule_for("POST", "h", "/ordersx"), Some(2));
        assert_eq!(setup.rule_for("GET", "h", "/papers"), Some(1));
        assert_eq!(setup.rule_for("GET", "h", "/papers/1?x=2"), Some(1));
        assert_eq!(setup.rule_for("GET", "h", "/orders"), Some(2));
    }

    /// The one that operators are shown is taken.
    #[test]
    fn the_example_of_the_docs_is_taken() {
        let text = include_str!("../../docs/setup.example.json");
        assert_eq!(faults(text), "taken");
    }

    /// Each kind of fault, one at a time, put into the good setup.
    #[test]
    fn each_fault_is_named_by_its_path() {
        let mut shown = String::new();
        for (from, to) in [
            (r#""urgency": 1"#, r#""urgency": 1, "colour": 2"#),
            (r#""urgency": 1"#, r#""urgency": 1, "\u0075rgency": 2"#),
            (r#""urgency": 1"#, r#""urgency": 1.5"#),
            (r#""urgency": 1"#, r#""urgency": 1e999"#),
            (r#""urgency": 1"#, r#""urgency": NaN"#),
            (r#""urgency": 1"#, r#""urgency": "1""#),
            (r#""urgency": 0"#, r#""urgency": -1"#),
            (r#""kind": "once""#, r#""kind": "twice""#),
            (r#""share": 70"#, r#""share": 60"#),
            (r#""share": 70"#, r#""share": 1e-400"#),
            (r#""from": "lookup""#, r#""from": "bulk""#),
            (r#""from": "lookup""#, r#""from": "nobody""#),
            (r#""selector": "app = orders""#, r#""selector": "app = (""#),
            (r#""selector": "app = orders""#, r#""selector": "zone = @zone""#),
            (r#""places": "cost = low""#, r#""places": "cost = high""#),
            (r#""service": "papers""#, r#""service": "paper""#),
            (r#""spill": ["orders"]"#, r#""spill": ["papers"]"#),
            (r#""regions": ["a"]"#, r#""regions": ["c"]"#),
            (r#""regions": ["a"]"#, r#""regions": []"#),
            (r#""methods": ["POST"]"#, r#""methods": []"#),
            (
                r#"{"pathPrefix": "/papers/"}"#,
                r#"{"methods": ["POST"], "pathPrefix": "/orders/x"}"#,
            ),
            (r#""name": "papers""#, r#""name": "orders""#),
            (r#""name": "bulk", "match""#, r#""name": "file", "match""#),
            (r#""livenessPath": "/live"}],"#, r#""livenessPath": "live"}],"#),
            (r#""zone": "b1""#, r#""zone": "a1""#),
            (r#""periodMs": 8000"#, r#""periodMs": true"#),
        ] {
            assert!(GOOD.contains(from), "{from}");
            shown +=
                &format!("{to}\n    {}\n", faults(&GOOD.replace(from, to)).replace('\n', "\n    "));
        }
        for text in ["", "[]", "{}", "{\"classes\": {}}", "{\"a\":1}}"] {
            shown += &format!("{text}\n    {}\n", faults(text).replace('\n', "\n    "));
        }
        shown += &faults(&" ".repeat(super::BYTES_MOST + 1));
        assert!(super::parse("[".repeat(100_000).as_bytes()).is_err());
        expect_test::expect![[r#"
            "urgency": 1, "colour": 2
                $.classes[0].colour: unknown key
            "urgency": 1, "\u0075rgency": 2
                $.classes[0].urgency: duplicate key
            "urgency": 1.5
                $.classes[0].urgency: must be a whole number
            "urgency": 1e999
                $.classes[0].urgency: must be from 0 to 100
            "urgency": NaN
                $: not JSON: Unexpected character: N at (5:39)
            "urgency": "1"
                $.classes[0].urgency: must be a number
            "urgency": -1
                $.classes[1].urgency: must be from 0 to 100
            "kind": "twice"
                $.classes[1].kind: must be repeatable or once
            "share": 60
                $.rules[2].prefer[0]: the shares add up to 90, not 100
            "share": 1e-400
                $.rules[2].prefer[0]: the shares add up to 30, not 100
            "from": "bulk"
                $.classes[2].borrows: the borrowing comes back to this class
            "from": "nobody"
                $.classes[2].borrows[0].from: there is no 'nobody'
            "selector": "app = ("
                $.services[0].selector: selector: expected a value where '(' stands
            "selector": "zone = @zone"
                $.services[0].selector: @zone and @region have no meaning here
            "places": "cost = high"
                $.rules[2].prefer[0][1].places: matches no place
            "service": "paper"
                $.rules[1].service: there is no 'paper'
            "spill": ["papers"]
                $.rules[1].spill[0]: named twice
            "regions": ["c"]
                $.rules[0].regions[0]: no place lies in region 'c'
            "regions": []
                $.rules[0].regions: an empty bound lets nothing be served
            "methods": []
                $.rules[0].match.methods: can never match: no method
            {"methods": ["POST"], "pathPrefix": "/orders/x"}
                $.rules[1].match: can never match: rule 'file' above takes all of it
            "name": "orders"
                $.services[1].name: 'orders' is named twice
                $.rules[1].service: there is no 'papers'
            "name": "file", "match"
                $.rules[1].name: 'file' is named twice
            "livenessPath": "live"}],
                $.services[1].livenessPath: must start with '/' and be plain URL characters
            "zone": "a1"
                $.places[1].zone: 'a1' is named twice
            "periodMs": true
                $.services[0].cold.periodMs: must be a number

                $: not JSON: Unexpected end of JSON
            []
                $: must be an object
            {}
                $.classes: must have at least one entry
                $.services: must have at least one entry
                $.rules: must have at least one entry
            {"classes": {}}
                $.services: must have at least one entry
                $.rules: must have at least one entry
                $.classes: must be an array
            {"a":1}}
                $: not JSON: Unexpected character: } at (1:8)
            $: larger than 262144 bytes"#]]
        .assert_eq(&shown);
    }
}
