//! The differences between two configurations, whose parts are matched by name.

use vanepath_config::model::{Class, Config, Rule};

/// The changes from one configuration to another, one line each.
pub fn changes(before: &Config, after: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(part_changes(
        "class",
        &before.classes,
        &after.classes,
        |class| &class.name,
        |old, new| comparable_class(before, old) == comparable_class(after, new),
    ));
    lines.extend(part_changes(
        "service",
        &before.services,
        &after.services,
        |service| &service.name,
        |old, new| old == new,
    ));
    lines.extend(part_changes(
        "place",
        &before.zones,
        &after.zones,
        |zone| &zone.name,
        |old, new| old == new,
    ));
    lines.extend(part_changes(
        "rule",
        &before.rules,
        &after.rules,
        |rule| &rule.name,
        |old, new| comparable_rule(before, old) == comparable_rule(after, new),
    ));
    if is_rule_order_changed(before, after) {
        lines.push("rules would stand in another order, and the first that matches counts".into());
    }
    lines
}

/// The removed, added and changed parts of one kind.
fn part_changes<T>(
    kind: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &str,
    is_same: impl Fn(&T, &T) -> bool,
) -> Vec<String> {
    let mut lines = Vec::new();
    for old in before {
        if !after.iter().any(|new| name(new) == name(old)) {
            lines.push(format!("{kind} '{}' would be gone", name(old)));
        }
    }
    for new in after {
        match before.iter().find(|old| name(old) == name(new)) {
            None => lines.push(format!("{kind} '{}' would be new", name(new))),
            Some(old) if !is_same(old, new) => {
                lines.push(format!("{kind} '{}' would change", name(new)));
            }
            Some(_) => {}
        }
    }
    lines
}

/// A form of a class that can be compared between configurations: the classes that it borrows slots from
/// are given by name, since their indices differ between configurations.
fn comparable_class(config: &Config, class: &Class) -> (Class, Vec<(String, u64)>) {
    let borrows = class.borrows.iter();
    let borrows =
        borrows.map(|borrow| (config.classes[borrow.class].name.clone(), borrow.max_slots));
    (Class { borrows: Vec::new(), ..class.clone() }, borrows.collect())
}

/// A form of a rule that can be compared between configurations: its class and services are given by name
/// instead of by index.
fn comparable_rule(config: &Config, rule: &Rule) -> (Rule, String, Vec<String>) {
    let services = std::iter::once(&rule.service).chain(&rule.spillover);
    let services = services.map(|index| config.services[*index].name.clone()).collect();
    let class = config.classes[rule.class].name.clone();
    let without_indices = Rule { class: 0, service: 0, spillover: Vec::new(), ..rule.clone() };
    (without_indices, class, services)
}

/// Whether the rules that both configurations have are in a different order.
fn is_rule_order_changed(before: &Config, after: &Config) -> bool {
    let names = |config: &Config| -> Vec<String> {
        config.rules.iter().map(|rule| rule.name.clone()).collect()
    };
    let (old, new) = (names(before), names(after));
    let old_order: Vec<&String> = old.iter().filter(|name| new.contains(name)).collect();
    let new_order: Vec<&String> = new.iter().filter(|name| old.contains(name)).collect();
    old_order != new_order
}
