//! Drain orders: at the end of a run each zone is as the last of its orders left it.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::{OperatorCall, Sim};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome};

/// One order of an operator with all its transmissions.
struct Order {
    is_drain: bool,
    /// When it was first sent.
    sent_at: Duration,
    /// When it was acknowledged. An order without an acknowledgement may take effect at any time after it
    /// was sent.
    acknowledged_at: Option<Duration>,
}

/// Checks that a zone is drained if the order that took effect last drains it, and is in use if that order
/// restores it, however often the calls were retransmitted. The module `reachability` checks that drained
/// zones get no requests meanwhile.
pub(super) fn check(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let Some((_, Some(Outcome::Value { value }))) = sim.world.history.last() else { return };
    let zones: BTreeSet<&str> = sim.evacuations.iter().map(|evacuation| evacuation.zone).collect();
    for zone in zones {
        let orders = orders_of(sim, zone);
        let is_drained = value.drained_zones.contains(zone);
        let last = possibly_last(&orders);
        if is_drained && last.iter().all(|order| !order.is_drain) {
            let text = format!("{zone} is still drained, although its last order restores it");
            report.violations.push(text);
        }
        if !is_drained && last.iter().all(|order| order.is_drain) {
            let text = format!("{zone} is in use, although its last order drains it");
            report.violations.push(text);
        }
    }
}

/// The orders for a zone. The calls of one step of an evacuation are transmissions of one order, other calls
/// are orders of their own.
fn orders_of(sim: &Sim, zone: &str) -> Vec<Order> {
    let mut orders: BTreeMap<String, Order> = BTreeMap::new();
    for operation in &sim.operations {
        let OperatorCall::Change { key, change } = &operation.call else { continue };
        let is_drain = match change {
            Change::DrainZone { zone: other } if other == zone => true,
            Change::RestoreZone { zone: other } if other == zone => false,
            _ => continue,
        };
        let id = match operation.call.evacuation() {
            Some(evacuation) => format!("evacuation {evacuation} {is_drain}"),
            None => key.clone(),
        };
        let is_accepted = matches!(operation.outcome, Some(Outcome::Accepted { .. }));
        let order = orders.entry(id).or_insert(Order {
            is_drain,
            sent_at: operation.started_at,
            acknowledged_at: None,
        });
        if is_accepted && order.acknowledged_at.is_none() {
            order.acknowledged_at = operation.ended_at;
        }
    }
    orders.into_values().collect()
}

/// The orders that may have taken effect after all others: no other one was first sent after their
/// acknowledgement and acknowledged.
fn possibly_last(orders: &[Order]) -> Vec<&Order> {
    let is_followed = |order: &Order| {
        order.acknowledged_at.is_some_and(|acknowledged_at| {
            orders
                .iter()
                .any(|other| other.acknowledged_at.is_some() && other.sent_at > acknowledged_at)
        })
    };
    orders.iter().filter(|order| !is_followed(order)).collect()
}
