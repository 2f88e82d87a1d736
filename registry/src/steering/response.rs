//! The steering response, in the form of an HLS Content Steering manifest.

use super::client::Client;
use super::pathways::{Pathway, pathways};
use super::ranking::{RankedPathway, rank_pathways};
use super::state_token::SteeringState;
use jzon::JsonValue;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::model::{Idempotency, Rule};

/// The TTL of a steering response before jitter.
pub const TTL: Duration = Duration::from_millis(2000);
/// The maximum TTL of a steering response.
pub const MAX_TTL: Duration = Duration::from_millis(5000);

/// The response for one client. `random` jitters the TTL by up to a quarter in either direction;
/// `shows_reasons` adds the reason for each rank.
pub fn steering_response(
    view: &ClusterView,
    client: &Client,
    random: u64,
    shows_reasons: bool,
) -> JsonValue {
    let pathways = pathways(view);
    let state = SteeringState { revision: view.committed.revision, client: client.clone() };
    let mut rules = JsonValue::new_array();
    let mut default_ranking: Option<Vec<RankedPathway>> = None;
    for (index, rule) in view.config.rules.iter().enumerate() {
        let ranked = rank_pathways(view, &pathways, index, client);
        let _ = rules.push(rule_json(view, rule, &pathways, &ranked, shows_reasons));
        // The priority outside the rules is that of the last rule, which by convention matches all requests
        // that no earlier rule matches.
        default_ranking = Some(ranked);
    }
    jzon::object! {
        "VERSION": 1,
        "TTL": jittered_ttl_s(random),
        "RELOAD-URI": format!("/v1/steer?state={}", state.encode()),
        "PATHWAY-PRIORITY": priority_json(&pathways, &default_ranking.unwrap_or_default()),
        "PATHWAYS": pathways.iter().map(pathway_json).collect::<Vec<JsonValue>>(),
        "RULES": rules,
        "DIRECTORIES": registries_json(view),
        "REVISION": view.committed.revision,
        "EPOCH": view.plan.epoch,
    }
}

/// The TTL in seconds, rounded to tenths. The jitter spreads the reloads of many clients over time.
fn jittered_ttl_s(random: u64) -> f64 {
    let jitter = (random % 1001) as f64 / 1000.0;
    let ttl_s = (TTL.as_secs_f64() * (0.75 + 0.5 * jitter)).min(MAX_TTL.as_secs_f64());
    (ttl_s * 10.0).round() / 10.0
}

fn priority_json(pathways: &[Pathway], ranked: &[RankedPathway]) -> JsonValue {
    let zones = ranked.iter().map(|entry| pathways[entry.pathway].zone.as_str().into());
    JsonValue::Array(zones.collect())
}

fn rule_json(
    view: &ClusterView,
    rule: &Rule,
    pathways: &[Pathway],
    ranked: &[RankedPathway],
    shows_reasons: bool,
) -> JsonValue {
    let idempotency = view.config.classes[rule.class].idempotency;
    let methods: Vec<JsonValue> =
        rule.methods.iter().map(|method| method.as_str().into()).collect();
    let mut entry = jzon::object! {
        "NAME": rule.name.as_str(),
        "METHODS": methods,
        "PATH-PREFIX": rule.path_prefix.as_str(),
        "ONCE": idempotency == Idempotency::NonIdempotent,
        "PATHWAY-PRIORITY": priority_json(pathways, ranked),
    };
    if let Some(host) = &rule.host {
        entry["HOST"] = host.as_str().into();
    }
    if shows_reasons {
        let reasons: Vec<JsonValue> = ranked
            .iter()
            .map(|entry| format!("{}: {}", pathways[entry.pathway].zone, entry.reason).into())
            .collect();
        entry["WHY"] = reasons.into();
    }
    entry
}

fn pathway_json(pathway: &Pathway) -> JsonValue {
    let addresses: Vec<JsonValue> =
        pathway.addresses.iter().map(|address| address.to_string().into()).collect();
    jzon::object! {
        "ID": pathway.zone.as_str(),
        "REGION": pathway.region.as_str(),
        "ADDRESSES": addresses,
    }
}

/// The addresses of the registries that a client can poll.
fn registries_json(view: &ClusterView) -> Vec<JsonValue> {
    view.live
        .iter()
        .filter(|(info, status)| info.role == Role::Registry && status.is_available())
        .map(|(info, _)| info.address.to_string().into())
        .collect()
}
