//! Operators: their periodic calls, and the calls that actions of a scenario make.

use crate::sim::network::Timer;
use crate::sim::state::{Action, KEYLESS_CALL_TIMEOUT, OperatorCall, Sim};
use jzon::JsonValue;
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

/// The part of a configuration that restricts bound filings to the region `middle`.
pub const MOVED_BOUNDS: &str = r#""regions": ["middle"]"#;
/// The part of the initial configuration that restricts bound filings to the region `north`.
const ORDINARY_BOUNDS: &str = r#""regions": ["north"]"#;
/// How long the platform retransmits a call without an idempotency key, from the first transmission on.
const RETRANSMISSION_PERIOD: Duration = Duration::from_secs(8);
/// Time from the acknowledgement of a withdrawal to the next evacuation of a series.
const PAUSE_BETWEEN_EVACUATIONS: Duration = Duration::from_millis(150);

/// The configuration with a unique tag, as a label of a zone, so that no two submissions are equal.
pub fn tagged(config: &str, tag: usize) -> Vec<u8> {
    let from = r#"{"zone": "north-1", "region": "north"}"#;
    let to = format!(r#"{{"zone": "north-1", "region": "north", "labels": {{"tag": "t{tag}"}}}}"#);
    config.replace(from, &to).into_bytes()
}

/// A configuration that registries must reject; `way` selects the kind of error.
fn invalid(config: &str, way: usize) -> Vec<u8> {
    let text = match way % 8 {
        0 => config.replacen("\"once\"", "\"twice\"", 1),
        1 => config.replacen("\"urgency\": 1", "\"urgency\": 1, \"urgency\": 2", 1),
        2 => config[..config.len() / 2].to_string(),
        3 => config.replacen("\"service\": ", "\"service\": \"nobody\", \"was\": ", 1),
        4 => format!("{config}}}"),
        5 => config.replacen("\"selector\": \"app = ", "\"selector\": \"app == ", 1),
        6 => config.replacen("\"livenessPath\": \"/live\"", "\"livenessPath\": \"live\"", 1),
        _ => config.replacen("\"deadlineMs\": 5000", "\"deadlineMs\": -5000", 1),
    };
    text.into_bytes()
}

/// A random registry among those that are up, or among all if none is.
fn any_registry(sim: &mut Sim) -> usize {
    let registries = sim.nodes_of(Role::Registry);
    let up: Vec<usize> = registries.iter().copied().filter(|index| sim.is_up(*index)).collect();
    let candidates = if up.is_empty() { registries } else { up };
    candidates[sim.net.random.below(candidates.len())]
}

/// Calls a random registry, and returns the indexes of the operation and of the registry.
fn call_any(sim: &mut Sim, call: OperatorCall) -> (usize, usize) {
    let registry = any_registry(sim);
    (sim.call_registry(call, registry), registry)
}

/// Submits a tagged configuration, and returns the index of the operation.
pub(in crate::sim) fn replace_config(sim: &mut Sim, if_revision: Option<u64>) -> usize {
    let tag = sim.operations.len();
    let bytes = tagged(&sim.world.config_text, tag);
    let change = Change::ReplaceConfig { bytes, if_revision, version: None };
    call_any(sim, OperatorCall::Change { key: format!("key-{tag}"), change }).0
}

/// Makes the next periodic call of an operator, of a random kind, and schedules the one after it.
pub(in crate::sim) fn next_call(sim: &mut Sim) {
    if sim.world.stopped {
        return;
    }
    let pause = sim.world.operator_interval.mul_f64(0.5 + sim.net.random.fraction());
    let operator = sim.operator_host;
    sim.net.set_timer(operator, pause, Timer::NextOperatorCall);
    let percent = sim.net.random.below(100);
    let registry = any_registry(sim);
    match percent {
        0..35 => {
            replace_config(sim, None);
        }
        35..50 => {
            // Two concurrent submissions, both conditional on the newest revision that operators know of.
            let last_revision =
                accepted_changes(sim).into_iter().map(|(_, config_revision)| config_revision).max();
            replace_config(sim, last_revision);
            replace_config(sim, last_revision);
        }
        50..60 => repeat_last_change(sim, registry),
        60..85 => {
            sim.call_registry(OperatorCall::Read, registry);
            if percent >= 79 {
                submit_invalid(sim, registry);
            }
        }
        _ => {
            let known = accepted_changes(sim);
            if !known.is_empty() {
                let revision = known[sim.net.random.below(known.len())].0;
                sim.call_registry(OperatorCall::History { revision }, registry);
            }
        }
    }
}

/// The revisions of accepted changes, each with the revision of its configuration.
fn accepted_changes(sim: &Sim) -> Vec<(u64, u64)> {
    let outcomes = sim.operations.iter().map(|operation| &operation.outcome);
    let accepted = outcomes.filter_map(|outcome| match outcome {
        Some(Outcome::Accepted { revision, config_revision, .. }) => {
            Some((*revision, *config_revision))
        }
        _ => None,
    });
    accepted.collect()
}

/// Sends the last valid submission again, with its key, to this registry.
fn repeat_last_change(sim: &mut Sim, registry: usize) {
    let last_change = sim.operations.iter().rev().map(|operation| &operation.call).find(|call| {
        matches!(call, OperatorCall::Change { .. })
            && !call.is_invalid()
            && call.evacuation().is_none()
    });
    if let Some(call) = last_change.cloned() {
        sim.call_registry(call, registry);
    }
}

fn submit_invalid(sim: &mut Sim, registry: usize) {
    let way = sim.operations.len();
    let bytes = invalid(&sim.world.config_text, way);
    let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
    sim.call_registry(OperatorCall::Change { key: format!("invalid-{way}"), change }, registry);
}

/// Reads the configuration.
pub(super) fn read(sim: &mut Sim) {
    call_any(sim, OperatorCall::Read);
}

/// Submits a configuration with its classes in another order, rotated by the tag.
pub(super) fn reorder_classes(sim: &mut Sim) {
    let tag = sim.operations.len();
    let mut document =
        jzon::parse(&tagged_text(sim, tag)).expect("the configuration of a scenario is valid JSON");
    if let JsonValue::Array(classes) = &mut document["classes"] {
        let shift = tag % classes.len().max(1);
        classes.rotate_left(shift);
    }
    let bytes = document.dump().into_bytes();
    let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
    call_any(sim, OperatorCall::Change { key: format!("turned-{tag}"), change });
}

fn tagged_text(sim: &Sim, tag: usize) -> String {
    String::from_utf8(tagged(&sim.world.config_text, tag)).expect("a tagged configuration is UTF-8")
}

/// Takes a key away from a tenant, moves it to another one, or adds one.
pub(super) fn change_keys(sim: &mut Sim, step: usize) {
    let Some(tenancy) = &mut sim.world.tenancy else { return };
    tenancy.change_keys(step);
    sim.world.config_text = tenancy.config_text();
    replace_config(sim, None);
}

/// Restricts bound filings to the region `middle`, or to `north` as initially.
pub(super) fn move_region_bounds(sim: &mut Sim, is_moved: bool) {
    let (from, to) = match is_moved {
        true => (ORDINARY_BOUNDS, MOVED_BOUNDS),
        false => (MOVED_BOUNDS, ORDINARY_BOUNDS),
    };
    sim.world.config_text = sim.world.config_text.replace(from, to);
    replace_config(sim, None);
}

/// Drains or restores a zone, with an idempotency key.
pub(super) fn change_zone(sim: &mut Sim, change: Change) {
    let key = format!("zone-{}", sim.operations.len());
    call_any(sim, OperatorCall::Change { key, change });
}

/// Submits two configurations under the same new version, and schedules two resubmissions of each.
pub(super) fn race(sim: &mut Sim) {
    let versions = sim.operations.iter().filter_map(|operation| operation.call.version());
    let version = versions.max().unwrap_or(0) + 1 + sim.net.random.draw() % 3;
    for _ in 0..2 {
        let tag = sim.operations.len();
        let text = tagged_text(sim, tag);
        let bytes = text.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: Some(version) };
        call_any(sim, OperatorCall::Change { key: format!("raced-{tag}"), change });
        for attempt in 1..=2 {
            let later = Duration::from_millis(1100 * attempt + sim.net.random.draw() % 600);
            sim.schedule(sim.net.now + later, Action::Resubmit(tag));
        }
    }
}

/// Submits the same configuration and version with a new key, as an operator does who got no response and
/// does not know the first key.
pub(super) fn resubmit(sim: &mut Sim, operation: usize) {
    let OperatorCall::Change { change, .. } = sim.operations[operation].call.clone() else {
        return;
    };
    let key = format!("again-{}", sim.operations.len());
    call_any(sim, OperatorCall::Change { key, change });
}

/// Sends a call of an evacuation without an idempotency key. With `registry_dies`, the registry that receives it
/// crashes within 400 ms.
pub(super) fn send_keyless_call(
    sim: &mut Sim,
    evacuation: usize,
    step: usize,
    registry_dies: bool,
) {
    let now = sim.net.now;
    let order = &mut sim.evacuations[evacuation];
    let is_first = order.sent_at[step].is_none();
    let first_sent_at = *order.sent_at[step].get_or_insert(now);
    let freezes = match &order.series {
        Some(series) if step == 1 && is_first => series.freezes.clone(),
        _ => Vec::new(),
    };
    // A drain that was never acknowledged is not withdrawn, and retransmissions end after a limited period.
    let is_due = step == 0 || order.acknowledged_at[0].is_some();
    if !is_due || now > first_sent_at + RETRANSMISSION_PERIOD {
        return;
    }
    let zone = order.zone.to_string();
    // Often the call happens to wait at the registry that freezes.
    let is_frozen_registry =
        |(node, _): &&(usize, Duration)| sim.nodes[*node].info.role == Role::Registry;
    let frozen_registry = freezes.iter().find(is_frozen_registry).map(|(node, _)| *node);
    for (node, duration) in freezes {
        let host = sim.nodes[node].host;
        sim.net.freeze(host);
        sim.schedule(now + duration, Action::Resume(node));
    }
    let change = if step == 0 { Change::DrainZone { zone } } else { Change::RestoreZone { zone } };
    let key = format!("order-{evacuation}-{step}-{}", sim.operations.len());
    let registry = match frozen_registry.filter(|_| sim.net.random.below(2) == 0) {
        Some(registry) => registry,
        None => any_registry(sim),
    };
    sim.call_registry(OperatorCall::Change { key, change }, registry);
    if registry_dies {
        // The crash comes before the stores have the call, while they agree on it, or afterwards.
        let max_delay_ms = [40, 150, 400][sim.net.random.below(3)];
        let when = now + Duration::from_millis(sim.net.random.draw() % max_delay_ms);
        sim.schedule(when, Action::Crash { node: registry, loses_power: false });
        sim.schedule(when + Duration::from_secs(3), Action::Start(registry));
    }
}

/// Whether the answer to this call is one of those that are lost.
pub(in crate::sim) fn takes_lost_answer(sim: &mut Sim, operation: usize) -> bool {
    let Some((evacuation, step)) = sim.operations[operation].call.evacuation_step() else {
        return false;
    };
    let lost = &mut sim.evacuations[evacuation].lost_answers[step];
    let is_lost = *lost > 0;
    *lost = lost.saturating_sub(1);
    is_lost
}

/// Handles the end of a call of an evacuation: records its acknowledgement, or schedules a retransmission,
/// after the operator's time-out if the answer was lost.
pub(in crate::sim) fn keyless_call_ended(sim: &mut Sim, operation: usize, is_lost: bool) {
    let ended = &sim.operations[operation];
    let Some((evacuation, step)) = ended.call.evacuation_step() else { return };
    let (outcome, from) = (ended.outcome.clone(), ended.started_at);
    let is_accepted = matches!(outcome, Some(Outcome::Accepted { .. }));
    sim.trace_event(|| {
        format!("step {step} of evacuation {evacuation}, sent at {from:?}: {outcome:?}")
    });
    if is_accepted {
        let is_first = sim.evacuations[evacuation].acknowledged_at[step].is_none();
        sim.evacuations[evacuation].acknowledged_at[step] = Some(sim.net.now);
        if is_first {
            continue_series(sim, evacuation, step);
        }
        return;
    }
    let pause = if is_lost { KEYLESS_CALL_TIMEOUT } else { Duration::from_millis(50) };
    let soon = sim.net.now + pause;
    sim.schedule(soon, Action::KeylessCall { evacuation, step, registry_dies: false });
}

/// Schedules what follows in a series of evacuations once a call is acknowledged.
fn continue_series(sim: &mut Sim, evacuation: usize, step: usize) {
    let Some(series) = sim.evacuations[evacuation].series.clone() else { return };
    let now = sim.net.now;
    let registry_dies = false;
    match (step, series.next) {
        (0, _) => {
            let action = Action::KeylessCall { evacuation, step: 1, registry_dies };
            sim.schedule(now + series.hold, action);
        }
        (_, Some(next)) => {
            let action = Action::KeylessCall { evacuation: next, step: 0, registry_dies };
            sim.schedule(now + PAUSE_BETWEEN_EVACUATIONS, action);
        }
        _ => {}
    }
}

/// Reads all revisions in order, at the end of a run.
pub(super) fn read_history(sim: &mut Sim) -> Vec<(u64, Option<Outcome>)> {
    let registries = (0..sim.nodes.len())
        .filter(|index| sim.nodes[*index].info.role == Role::Registry && sim.is_up(*index));
    let registry = registries.min().unwrap_or_else(|| sim.node_index("registry-0"));
    let latest = match call_and_wait(sim, OperatorCall::Read, registry) {
        Some(Outcome::Value { value }) => value.revision,
        other => return vec![(0, other)],
    };
    let mut history = Vec::new();
    for revision in 1..=latest {
        history.push((revision, call_and_wait(sim, OperatorCall::History { revision }, registry)));
    }
    history
}

/// Calls a registry and runs the simulation until the call ends, for at most 10 s.
fn call_and_wait(sim: &mut Sim, call: OperatorCall, registry: usize) -> Option<Outcome> {
    let operation = sim.call_registry(call, registry);
    for _ in 0..100 {
        let until = sim.net.now + Duration::from_millis(100);
        sim.run_until(until);
        if sim.operations[operation].ended_at.is_some() {
            break;
        }
    }
    sim.operations[operation].outcome.clone()
}
