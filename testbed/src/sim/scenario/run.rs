//! Runs a scenario from one seed.

use super::operators::read_history;
use super::schedule::schedule;
use super::{Fault, Plan, start_fleet};
use crate::sim::mutations::Mutation;
use crate::sim::state::{Action, FAULTS_BEGIN, FailureMode, RoleState, Sim};
use std::time::Duration;

/// The time from the start of one fault to the start of the next, for faults that do not overlap.
const FAULT_INTERVAL: Duration = Duration::from_secs(22);
/// How long a run continues after the end of the last fault.
const RECOVERY_PERIOD: Duration = Duration::from_secs(30);
/// The last part of the recovery period, in which clients and operators start no new calls.
const QUIET_PERIOD: Duration = Duration::from_secs(6);

/// A completed run.
pub struct Run {
    /// The final state of the simulation, with the recorded histories.
    pub sim: Sim,
    /// The seed.
    pub seed: u64,
    /// When the last fault ended.
    pub last_fault_end: Duration,
    /// When the run ended, after all calls of clients and operators.
    pub end: Duration,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// The time between two changes of keys, in scenarios with tenants.
const KEY_CHANGE_INTERVAL: Duration = Duration::from_millis(1700);

/// Runs a plan from one seed.
pub fn run(seed: u64, plan: &Plan) -> Run {
    let mut sim = start_fleet(seed, plan);
    let mut last_fault_end = FAULTS_BEGIN;
    for (index, fault) in plan.faults.iter().enumerate() {
        let start = if plan.overlap {
            FAULTS_BEGIN + Duration::from_millis(sim.net.random.draw() % 3000)
        } else {
            FAULTS_BEGIN + FAULT_INTERVAL * index as u32
        };
        last_fault_end = schedule(&mut sim, *fault, start).max(last_fault_end);
    }
    if plan.tenants {
        schedule_key_changes(&mut sim, last_fault_end);
    }
    sim.run_until(last_fault_end);
    if plan.mutation != Some(Mutation::StaysDown) {
        end_all_faults(&mut sim);
    }
    let end = last_fault_end + RECOVERY_PERIOD;
    sim.run_until(end - QUIET_PERIOD);
    sim.world.stopped = true;
    sim.run_until(end);
    let history = read_history(&mut sim);
    sim.world.history = history;
    Run { sim, seed, last_fault_end, end, faults: plan.faults.clone() }
}

/// Schedules changes of keys from before the first fault until after the last one.
fn schedule_key_changes(sim: &mut Sim, last_fault_end: Duration) {
    let mut at = FAULTS_BEGIN - KEY_CHANGE_INTERVAL;
    let mut step = 0;
    while at < last_fault_end + KEY_CHANGE_INTERVAL * 3 {
        sim.schedule(at, Action::ChangeKeys(step));
        at += KEY_CHANGE_INTERVAL;
        step += 1;
    }
}

/// Restores everything that is still down, frozen or partitioned.
fn end_all_faults(sim: &mut Sim) {
    sim.net.heal();
    for index in 0..sim.nodes.len() {
        if !sim.world.retired.contains(&index) {
            restore_node(sim, index);
        }
    }
    for index in 0..sim.world.servers.len() {
        restore_server(sim, index);
    }
}

fn restore_node(sim: &mut Sim, index: usize) {
    let host = sim.nodes[index].host;
    if sim.net.hosts[host].frozen {
        sim.net.resume(host);
    }
    let had_full_disk = match &mut sim.nodes[index].role_state {
        RoleState::Store(store) => std::mem::replace(&mut store.disk.is_full, false),
        _ => false,
    };
    if had_full_disk && sim.is_up(index) {
        sim.crash(index, false);
    }
    if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
        sim.start_node(index);
    }
}

fn restore_server(sim: &mut Sim, index: usize) {
    let host = sim.world.servers[index].host;
    sim.set_failure_mode(index, FailureMode::Healthy, 0.0);
    if sim.net.hosts[host].frozen {
        sim.net.resume(host);
    }
    let is_removed = sim.world.servers[index].id.contains("gone");
    if !is_removed && (!sim.net.hosts[host].up || !sim.net.hosts[host].powered) {
        sim.start_server(index);
    }
}
