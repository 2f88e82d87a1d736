//! The differences between two configurations, by the names of their parts.

use vanepath_config::model::{Class, Config, Rule};

/// What would change from one configuration to the next, a line each.
pub fn changes(before: &Config, after: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(part_changes(
        "class",
        &before.classes,
        &after.classes,
        |class| &class.name,
        |old, new| class_form(before, old) == class_form(after, new),
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
        |old, new| rule_form(before, old) == rule_form(after, new),
    ));
    if is_rule_order_changed(before, after) {
        lines.push("rules would stand in another order, and the first that matches counts".into());
    }
    lines
}

/// Which of the named parts would be removed, added or changed.
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

/// A class with the names of the classes that it borrows from, and how many slots, in place of their
/// indices, which differ between configurations.
fn class_form(config: &Config, class: &Class) -> (Class, Vec<(String, u64)>) {
    let borrows = class.borrows.iter();
    let borrows = borrows.map(|one| (config.classes[one.class].name.clone(), one.max_slots));
    (Class { borrows: Vec::new(), ..class.clone() }, borrows.collect())
}

/// A rule with the names of its class and services in place of their indices.
fn rule_form(config: &Config, rule: &Rule) -> (Rule, String, Vec<String>) {
    let services = std::iter::once(&rule.service).chain(&rule.spillover);
    let services = services.map(|index| config.services[*index].name.clone()).collect();
    let class = config.classes[rule.class].name.clone();
    let bare = Rule { class: 0, service: 0, spillover: Vec::new(), ..rule.clone() };
    (bare, class, services)
}

/// Whether the rules of both configurations stand in another order.
fn is_rule_order_changed(before: &Config, after: &Config) -> bool {
    let names = |config: &Config| -> Vec<String> {
        config.rules.iter().map(|rule| rule.name.clone()).collect()
    };
    let (old, new) = (names(before), names(after));
    let old_order: Vec<&String> = old.iter().filter(|name| new.contains(name)).collect();
    let new_order: Vec<&String> = new.iter().filter(|name| old.contains(name)).collect();
    old_order != new_order
}
