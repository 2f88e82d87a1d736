//! Sets up the fleet of a plan, with its servers, clients and operators.

use super::operators::replace_config;
use super::platform::publish;
use super::{Deployment, Fault, Plan};
use crate::sim::network::{Delays, Timer};
use crate::sim::state::{Sim, Tenancy};
use crate::topology::Topology;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::wire::Role;

/// Sets up the fleet of a plan and runs it until it is configured and clients and operators have started.
pub fn start_fleet(seed: u64, plan: &Plan) -> Sim {
    let topology = plan.deployment.topology();
    let mut sim = Sim::new(seed, delays(plan.deployment));
    sim.has_unversioned_lists = plan.unversioned_lists;
    sim.list_pages = plan.list_pages;
    sim.is_traced = plan.is_traced;
    sim.mutation = plan.mutation;
    sim.planned_crash = plan.planned_crash;
    sim.member_slots = plan.stores;
    sim.world.config_text = config_text(&topology, plan);
    if plan.tenants {
        let tenancy = Tenancy::new(sim.world.config_text.clone());
        sim.world.config_text = tenancy.config_text();
        sim.world.tenancy = Some(tenancy);
    }
    add_nodes(&mut sim, &topology, plan);
    add_servers(&mut sim, &topology, plan);
    add_clients(&mut sim, &topology, plan);
    start(&mut sim, plan);
    sim
}

fn delays(deployment: Deployment) -> Delays {
    match deployment {
        Deployment::Raiocerto => Delays {
            zone: Duration::from_millis(1),
            region: Duration::from_millis(55),
            client: Duration::from_millis(8),
        },
        Deployment::Guild => Delays {
            zone: Duration::from_micros(1500),
            region: Duration::from_millis(12),
            client: Duration::from_millis(1),
        },
    }
}

/// The configuration of the deployment, with smaller concurrency limits in scenarios with `Fault::Downloads`.
fn config_text(topology: &Topology, plan: &Plan) -> String {
    let text = topology.config.clone();
    if !plan.faults.contains(&Fault::Downloads) {
        return text;
    }
    let text =
        text.replace("\"room\": 64", "\"room\": 16").replace("\"most\": 128", "\"most\": 16");
    text.replacen("\"kind\": \"repeatable\"", "\"kind\": \"repeatable\", \"room\": 32", 1)
}

fn add_nodes(sim: &mut Sim, topology: &Topology, plan: &Plan) {
    for (slot, (zone, region)) in topology.zones[..plan.stores].iter().enumerate() {
        sim.add_node(Role::Store, &format!("store-{slot}"), zone, region, plan.stores);
        sim.add_node(Role::Registry, &format!("registry-{slot}"), zone, region, 0);
    }
    for spare in 0..plan.spares {
        let (zone, region) = topology.zones[(plan.stores + spare) % topology.zones.len()];
        sim.add_node(Role::Store, &format!("spare-{spare}"), zone, region, 0);
    }
    for index in 0..topology.proxies {
        let (zone, region) = topology.zones[index % topology.zones.len()];
        sim.add_node(Role::Proxy, &format!("proxy-{index:02}"), zone, region, 0);
    }
    let registries: Vec<SocketAddr> = sim
        .nodes
        .iter()
        .filter(|node| node.info.role == Role::Registry)
        .map(|node| node.info.cluster_address)
        .collect();
    sim.world.steering_addresses = registries.clone();
    let seeds: Vec<SocketAddr> = registries.into_iter().take(3).collect();
    for node in &mut sim.nodes {
        node.seeds = seeds.clone();
    }
}

fn add_servers(sim: &mut Sim, topology: &Topology, plan: &Plan) {
    for (app, count) in &topology.servers {
        for index in 0..*count {
            let (zone, region) = topology.zones[index % topology.zones.len()];
            sim.add_server(&format!("{app}-{index}"), app, zone, region);
        }
    }
    publish(sim, |_| {});
    sim.world.request_rate = topology.requests_per_second * plan.rate;
    if plan.faults.contains(&Fault::Surge) {
        // The service time makes servers 45 % busy at the ordinary request rate.
        let first_app = topology.servers[0];
        let per_second = sim.world.request_rate * 0.85 / f64::from(first_app.1 as u32);
        for server in sim.world.servers.iter_mut() {
            server.workers = 1;
            server.service_time = Duration::from_secs_f64(0.45 / per_second);
        }
    }
}

fn add_clients(sim: &mut Sim, topology: &Topology, plan: &Plan) {
    match plan.deployment {
        Deployment::Raiocerto => {
            sim.world.request_mix = [60, 25, 0, 15];
            sim.world.paths = ["/stock", "/orders", "/orders", "/documents"];
        }
        Deployment::Guild => {
            sim.world.request_mix = [65, 15, 5, 15];
            sim.world.paths = ["/parcels", "/appeals", "/appeals/north", "/extracts"];
        }
    }
    // Steering moves whole clients between zones: with only a few of them the load would shift in steps.
    let per_zone = if plan.faults.contains(&Fault::Surge) { 20 } else { 3 };
    for (zone, region) in &topology.zones {
        for index in 0..per_zone {
            sim.add_client(&format!("{zone}-c{index}"), zone, region);
        }
    }
}

fn start(sim: &mut Sim, plan: &Plan) {
    for index in 0..sim.nodes.len() {
        sim.start_node(index);
    }
    sim.run_until(Duration::from_secs(3));
    replace_config(sim, None);
    sim.run_until(Duration::from_secs(6));
    for client in 0..sim.world.clients.len() {
        sim.start_client(client);
    }
    sim.world.operator_interval = plan.operator_interval;
    if plan.operator_interval > Duration::ZERO {
        let operator = sim.operator_host;
        sim.net.set_timer(operator, plan.operator_interval, Timer::NextOperatorCall);
    }
}
