//! The checker of setups against the fleet as it is (design 9.4): which rules match no live
//! server, what the loss of a zone or a region would leave each class, what would change.

pub mod floors;

use vanepath_config::model::Config;
use vanepath_config::selector::ClientLocation;

/// A server as a registry's status tells it.
#[derive(Clone, Debug)]
pub struct Server {
    pub server: vanepath_config::endpoint_list::Server,
    pub is_live: bool,
}

/// The fleet as it is.
#[derive(Clone, Debug, Default)]
pub struct FleetAsIs {
    pub revision: u64,
    pub servers: Vec<Server>,
    /// Zone and region of each live proxy.
    pub proxies: Vec<(String, String)>,
    pub emptied: Vec<String>,
    /// Daemons that go by an older word than the same name did before (design 5.8).
    pub behind: Vec<String>,
    /// The setup in force, byte for byte, if there is one.
    pub in_force: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Weight {
    /// Good to know.
    Note,
    /// Works today, but not after a loss that the fleet should survive.
    Warning,
    /// Would not be served as things are.
    Bad,
}

#[derive(Clone, Debug)]
pub struct Finding {
    pub weight: Weight,
    pub path: String,
    pub message: String,
}

/// Everything worth saying about a setup that is valid in itself.
pub fn check(setup: &Config, fleet: &FleetAsIs) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut find = |weight: Weight, path: String, message: String| {
        findings.push(Finding { weight, path, message });
    };
    for name in &fleet.behind {
        let message = "goes by an older word than it did before: see its status, 'floor'";
        find(Weight::Warning, format!("daemon {name}"), message.to_string());
    }
    let none = ClientLocation::default();
    let serves = |service: usize, server: &Server| {
        setup.services[service].selector.matches(&server.server, none)
            && !server.server.draining
            && !fleet.emptied.contains(&server.server.zone)
    };
    for (index, service) in setup.services.iter().enumerate() {
        let path = format!("$.services[{index}]");
        let listed = fleet.servers.iter().filter(|server| serves(index, server)).count();
        let live = fleet.servers.iter().filter(|server| server.is_live && serves(index, server));
        match (listed, live.count()) {
            (0, _) => find(
                Weight::Bad,
                path,
                format!("service '{}' selects no server of the platform", service.name),
            ),
            (listed, 0) => find(
                Weight::Bad,
                path,
                format!("service '{}': none of its {listed} servers is live", service.name),
            ),
            (listed, live) => find(
                Weight::Note,
                path,
                format!("service '{}': {live} of {listed} servers are live", service.name),
            ),
        }
    }
    let zones: std::collections::BTreeSet<(&str, &str)> = fleet
        .servers
        .iter()
        .map(|one| (one.server.zone.as_str(), one.server.region.as_str()))
        .chain(fleet.proxies.iter().map(|(zone, region)| (zone.as_str(), region.as_str())))
        .collect();
    let regions: std::collections::BTreeSet<&str> = zones.iter().map(|zone| zone.1).collect();
    for (index, rule) in setup.rules.iter().enumerate() {
        let path = format!("$.rules[{index}]");
        let services: Vec<usize> =
            std::iter::once(rule.service).chain(rule.spillover.iter().copied()).collect();
        // What is left when some place is lost: live servers, and proxies to carry.
        let left = |is_lost: &dyn Fn(&str, &str) -> bool| {
            let servers = fleet.servers.iter().filter(|one| {
                one.is_live
                    && services.iter().any(|service| serves(*service, one))
                    && rule.allows_region(&one.server.region)
                    && !is_lost(&one.server.zone, &one.server.region)
            });
            let proxies = fleet.proxies.iter().filter(|(zone, region)| {
                rule.allows_region(region)
                    && !fleet.emptied.contains(zone)
                    && !is_lost(zone, region)
            });
            (servers.count(), proxies.count())
        };
        let (servers, proxies) = left(&|_, _| false);
        if servers == 0 {
            let message = format!("rule '{}' matches no live server", rule.name);
            find(Weight::Bad, path.clone(), message);
            continue;
        }
        if proxies == 0 {
            let message = format!("rule '{}': no live proxy may carry it", rule.name);
            find(Weight::Bad, path.clone(), message);
            continue;
        }
        let class = &setup.classes[rule.class].name;
        let mut losses: Vec<(String, usize, usize)> = Vec::new();
        for (zone, _) in &zones {
            let (servers, proxies) = left(&|lost, _| lost == *zone);
            losses.push((format!("zone {zone}"), servers, proxies));
        }
        for region in &regions {
            let (servers, proxies) = left(&|_, lost| lost == *region);
            losses.push((format!("region {region}"), servers, proxies));
        }
        for (what, left_servers, left_proxies) in losses {
            let is_bound = !rule.regions.is_empty();
            if left_servers == 0 || left_proxies == 0 {
                // A rule bound to one region cannot outlive it: that is what was asked for.
                let is_meant = is_bound && rule.regions.len() == 1 && what.starts_with("region");
                find(
                    if is_meant { Weight::Note } else { Weight::Warning },
                    path.clone(),
                    format!(
                        "without {what} rule '{}' (class '{class}') has {left_servers} servers and \
                         {left_proxies} proxies left",
                        rule.name
                    ),
                );
            } else if left_servers * 2 < servers {
                find(
                    Weight::Note,
                    path.clone(),
                    format!(
                        "without {what} rule '{}' (class '{class}') has {left_servers} of {servers} \
                         servers left",
                        rule.name
                    ),
                );
            }
        }
    }
    if let Some(Ok(before)) = fleet.in_force.as_deref().map(vanepath_config::model::parse) {
        for line in changes(&before, setup) {
            find(Weight::Note, "$".to_string(), line);
        }
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.weight));
    findings
}

/// What would change from one setup to the next, by name.
pub fn changes(before: &Config, after: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    fn compare<T: PartialEq>(
        what: &str,
        before: &[T],
        after: &[T],
        name: impl Fn(&T) -> &str,
        same: impl Fn(&T, &T) -> bool,
        lines: &mut Vec<String>,
    ) {
        for old in before {
            if !after.iter().any(|new| name(new) == name(old)) {
                lines.push(format!("{what} '{}' would be gone", name(old)));
            }
        }
        for new in after {
            match before.iter().find(|old| name(old) == name(new)) {
                None => lines.push(format!("{what} '{}' would be new", name(new))),
                Some(old) if !same(old, new) => {
                    lines.push(format!("{what} '{}' would change", name(new)));
                }
                Some(_) => {}
            }
        }
    }
    // References are indices: they are compared by the names that they stand for.
    let class_name = |setup: &Config, index: usize| setup.classes[index].name.clone();
    let service_name = |setup: &Config, index: usize| setup.services[index].name.clone();
    compare(
        "class",
        &before.classes,
        &after.classes,
        |class| &class.name,
        |old, new| {
            let loans = |setup: &Config, class: &vanepath_config::model::Class| {
                let loans = class.borrows.iter();
                loans.map(|one| (class_name(setup, one.class), one.max_slots)).collect::<Vec<_>>()
            };
            let bare = |class: &vanepath_config::model::Class| {
                let mut bare = class.clone();
                bare.borrows.clear();
                bare
            };
            bare(old) == bare(new) && loans(before, old) == loans(after, new)
        },
        &mut lines,
    );
    compare(
        "service",
        &before.services,
        &after.services,
        |service| &service.name,
        |old, new| old == new,
        &mut lines,
    );
    compare(
        "place",
        &before.zones,
        &after.zones,
        |place| &place.name,
        |old, new| old == new,
        &mut lines,
    );
    compare(
        "rule",
        &before.rules,
        &after.rules,
        |rule| &rule.name,
        |old, new| {
            let names = |setup: &Config, rule: &vanepath_config::model::Rule| {
                let services = std::iter::once(&rule.service).chain(&rule.spillover);
                let services: Vec<String> =
                    services.map(|index| service_name(setup, *index)).collect();
                (class_name(setup, rule.class), services)
            };
            let bare = |rule: &vanepath_config::model::Rule| {
                let mut bare = rule.clone();
                bare.class = 0;
                bare.service = 0;
                bare.spillover.clear();
                bare
            };
            bare(old) == bare(new) && names(before, old) == names(after, new)
        },
        &mut lines,
    );
    let order = |setup: &Config| -> Vec<String> {
        setup.rules.iter().map(|rule| rule.name.clone()).collect()
    };
    let (old, new) = (order(before), order(after));
    let both: Vec<&String> = old.iter().filter(|name| new.contains(name)).collect();
    let moved: Vec<&String> = new.iter().filter(|name| old.contains(name)).collect();
    if both != moved {
        lines.push("rules would stand in another order, and the first that matches counts".into());
    }
    lines
}

/// Reads a registry's status and setup.
pub fn fleet_from(status: &jzon::JsonValue, in_force: Option<Vec<u8>>) -> Option<FleetAsIs> {
    let text = |value: &jzon::JsonValue| value.as_str().map(str::to_string);
    let mut fleet =
        FleetAsIs { revision: status["revision"].as_u64()?, in_force, ..FleetAsIs::default() };
    for zone in status["emptied"].as_array()? {
        fleet.emptied.push(text(zone)?);
    }
    for name in status["behindFloor"].members() {
        fleet.behind.push(text(name)?);
    }
    for daemon in status["daemons"].as_array()? {
        let is_proxy = daemon["role"].as_str() == Some("proxy");
        if is_proxy && daemon["ready"].as_bool() == Some(true) {
            fleet.proxies.push((text(&daemon["zone"])?, text(&daemon["region"])?));
        }
    }
    for server in status["servers"].as_array()? {
        let mut labels = std::collections::BTreeMap::new();
        for (key, value) in server["labels"].as_object()?.iter() {
            labels.insert(key.to_string(), text(value)?);
        }
        fleet.servers.push(Server {
            server: vanepath_config::endpoint_list::Server {
                id: text(&server["id"])?,
                address: server["address"].as_str()?.parse().ok()?,
                region: text(&server["region"])?,
                zone: text(&server["zone"])?,
                labels,
                draining: server["leaving"].as_bool()?,
                warming_up: false,
                concurrency: 0,
            },
            is_live: server["live"].as_bool()?,
        });
    }
    Some(fleet)
}

#[cfg(test)]
mod tests;
