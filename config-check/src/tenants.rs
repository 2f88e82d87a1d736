//! Findings about tenants and their keys. They name tenants and count keys, and never show a key.

use crate::finding::{Finding, Severity};
use std::collections::{BTreeMap, HashMap};
use vanepath_config::model::{Config, Tenant, Tenants};

/// Findings about the tenants of a configuration by itself.
pub(crate) fn tenant_findings(config: &Config) -> Vec<Finding> {
    let Some(tenants) = &config.tenants else { return Vec::new() };
    let key_counts = key_counts(tenants);
    let mut findings = Vec::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("$.tenants[{index}]");
        if !key_counts.contains_key(&index) {
            let message = format!("tenant '{}' has no keys: it can send nothing", tenant.name);
            findings.push(Finding::new(Severity::Warning, path.clone(), message));
        }
        for rule in config.rules.iter().filter(|rule| !tenant.has_region_of(rule)) {
            let message = format!(
                "tenant '{}' and rule '{}' have no region in common: its requests are rejected",
                tenant.name, rule.name
            );
            findings.push(Finding::new(Severity::Warning, path.clone(), message));
        }
    }
    findings
}

/// What would change for tenants if `after` replaced `before`, one line each.
pub(crate) fn tenant_changes(before: &Config, after: &Config) -> Vec<String> {
    match (&before.tenants, &after.tenants) {
        (None, None) => Vec::new(),
        (None, Some(_)) => vec!["requests would need API keys".to_string()],
        (Some(_), None) => vec!["requests would need no API keys any more".to_string()],
        (Some(before), Some(after)) => {
            let mut lines = changed_tenants(before, after);
            lines.extend(moved_keys(before, after));
            lines
        }
    }
}

fn changed_tenants(before: &Tenants, after: &Tenants) -> Vec<String> {
    let (old, new) = (by_name(before), by_name(after));
    let mut lines = Vec::new();
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        lines.push(format!("tenant '{name}' would be gone"));
    }
    for (name, tenant) in &new {
        match old.get(name) {
            None => lines.push(format!("tenant '{name}' would be new")),
            Some(earlier) if earlier != tenant => {
                lines.push(format!("tenant '{name}' would change"));
            }
            Some(_) => {}
        }
    }
    lines
}

/// The keys that tenants would lose, gain or pass on to another tenant.
fn moved_keys(before: &Tenants, after: &Tenants) -> Vec<String> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (key, holder) in before.keys() {
        let old = &before.get(holder).name;
        match after.find(key).map(|holder| &after.get(holder).name) {
            None => *counts.entry(format!("tenant '{old}' would lose keys")).or_default() += 1,
            Some(new) if new != old => {
                let line = format!("keys of tenant '{old}' would go to tenant '{new}'");
                *counts.entry(line).or_default() += 1;
            }
            Some(_) => {}
        }
    }
    for (_, holder) in after.keys().filter(|(key, _)| before.find(key).is_none()) {
        let line = format!("tenant '{}' would get keys", after.get(holder).name);
        *counts.entry(line).or_default() += 1;
    }
    counts.into_iter().map(|(line, count)| format!("{line}: {count}")).collect()
}

fn by_name(tenants: &Tenants) -> BTreeMap<&str, &Tenant> {
    tenants.iter().map(|tenant| (tenant.name.as_str(), tenant)).collect()
}

/// The number of keys of each tenant that has any.
fn key_counts(tenants: &Tenants) -> HashMap<usize, usize> {
    let mut counts = HashMap::new();
    for (_, holder) in tenants.keys() {
        *counts.entry(holder).or_default() += 1;
    }
    counts
}
