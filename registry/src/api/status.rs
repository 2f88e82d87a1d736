//! `GET /v1/status`: the state of all nodes, routing rules and servers as this registry knows it (design
//! 9.1).

use super::LIST_STAGES;
use super::response::ApiResponse;
use super::zones::{drain_orders_json, drained_zones_json};
use crate::state::Registry;
use crate::steering::{self, Client, Pathway};
use hyper::StatusCode;
use jzon::JsonValue;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Event, Peer};
use vanepath_cluster::node::{self, ClusterView, HandleEvent, ListPeers};
use vanepath_cluster::wire::{NodeInfo, NodeStatus, Role};
use vanepath_config::endpoint_list::{self, Server};
use vanepath_config::selector::ClientLocation;

/// The maximum time that a status request waits for the proxies' observations of servers. A registry that
/// needs them for the plan always has them; any other one has to request them first.
const OBSERVATIONS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which a waiting status request checks whether the observations have arrived.
const OBSERVATIONS_INTERVAL: Duration = Duration::from_millis(50);

/// `GET /v1/status`.
pub async fn read(registry: &Registry) -> ApiResponse {
    let node = &registry.node;
    let view = view_with_observations(registry).await;
    let peers = node.gossip.send(ListPeers).await.unwrap_or_default();
    let daemons: Vec<JsonValue> =
        view.live.iter().map(|(info, status)| node_json(registry, &view, info, status)).collect();
    let servers: Vec<JsonValue> =
        view.endpoints.servers.iter().map(|server| server_json(&view, &peers, server)).collect();
    let outcome =
        registry.poll_outcome.lock().expect("the poll outcome lock is never poisoned").to_string();
    let committed = &view.committed;
    let value = jzon::object! {
        "name": node.settings.name.as_str(),
        "revision": committed.revision,
        "setupRevision": committed.config_revision,
        "inForceEverywhere": is_active_everywhere(&view),
        "behindFloor": names_behind(&view),
        "floor": view.read_index_json(),
        "emptied": drained_zones_json(&committed.drained_zones),
        "orders": drain_orders_json(&committed.drained_zones, &committed.extra_drain_orders),
        "epoch": view.plan.epoch,
        "holder": view.plan.leader.as_str(),
        "platform": jzon::object! { "revision": view.endpoints.revision, "state": outcome },
        "listAge": node.list_ages.as_json(&LIST_STAGES),
        "daemons": daemons,
        "lost": unreachable_names(&view, &peers),
        "ordersFromHere": rankings_json(registry, &view),
        "servers": servers,
    };
    node::json_response(StatusCode::OK, &value)
}

/// The current view, with the proxies' observations of servers if they arrive in time.
async fn view_with_observations(registry: &Registry) -> Arc<ClusterView> {
    let node = &registry.node;
    let _ = node.gossip.send(HandleEvent(Event::ObservationsWanted)).await;
    let deadline = node.clock.now() + OBSERVATIONS_TIMEOUT;
    loop {
        let view = node.current_view.load_full();
        if view.has_observations || node.clock.now() >= deadline {
            return view;
        }
        tokio::time::sleep(OBSERVATIONS_INTERVAL).await;
    }
}

fn node_json(
    registry: &Registry,
    view: &ClusterView,
    info: &NodeInfo,
    status: &NodeStatus,
) -> JsonValue {
    // The highest revision ever reported as active on the node, in any of its incarnations (design 5.8).
    let is_own = info.name == registry.node.info.name;
    let own_revision = is_own.then(|| view.active_revision());
    let highest =
        own_revision.or(view.highest_active_revisions.get(&info.name).copied()).unwrap_or(0);
    jzon::object! {
        "floor": highest,
        "behind": status.revision < highest,
        "name": info.name.as_str(),
        "role": info.role.to_string(),
        "region": info.region.as_str(),
        "zone": info.zone.as_str(),
        "address": info.address.to_string(),
        "ready": status.is_available(),
        "leaving": status.draining,
        "revision": status.revision,
        "seat": status.disk.and_then(|disk| disk.slot),
    }
}

/// Whether every live proxy has the committed revision.
fn is_active_everywhere(view: &ClusterView) -> bool {
    view.live.iter().all(|(info, status)| {
        info.role != Role::Proxy || status.revision >= view.committed.revision
    })
}

/// The names of live nodes whose active revision is lower than one that was active on them before (design
/// 5.8).
fn names_behind(view: &ClusterView) -> Vec<JsonValue> {
    let is_behind = |info: &NodeInfo, revision: u64| {
        view.highest_active_revisions.get(&info.name).is_some_and(|highest| revision < *highest)
    };
    view.live
        .iter()
        .filter(|(info, status)| is_behind(info, status.revision))
        .map(|(info, _)| info.name.as_str().into())
        .collect()
}

/// The names of peers that are known but not live.
fn unreachable_names(view: &ClusterView, peers: &[Peer]) -> Vec<JsonValue> {
    peers
        .iter()
        .filter(|peer| !is_live(view, peer))
        .map(|peer| peer.info.name.as_str().into())
        .collect()
}

fn is_live(view: &ClusterView, peer: &Peer) -> bool {
    view.live.iter().any(|(info, _)| info.name == peer.info.name)
}

/// For each rule, the ranking of pathways for a client at this registry's own location.
fn rankings_json(registry: &Registry, view: &ClusterView) -> Vec<JsonValue> {
    let settings = &registry.node.settings;
    let client = Client { zone: settings.zone.clone(), region: settings.region.clone(), bucket: 0 };
    let pathways = steering::pathways(view);
    (0..view.config.rules.len()).map(|rule| ranking_json(view, &pathways, rule, &client)).collect()
}

fn ranking_json(
    view: &ClusterView,
    pathways: &[Pathway],
    rule: usize,
    client: &Client,
) -> JsonValue {
    let ranked = steering::rank_pathways(view, pathways, rule, client);
    let order: Vec<JsonValue> = ranked
        .iter()
        .map(|entry| {
            jzon::object! {
                "place": pathways[entry.pathway].zone.as_str(),
                "why": entry.reason.as_str(),
            }
        })
        .collect();
    jzon::object! { "rule": view.config.rules[rule].name.as_str(), "order": order }
}

/// A server, with the reason why it does or does not receive requests, from the observations of all proxies.
fn server_json(view: &ClusterView, peers: &[Peer], server: &Server) -> JsonValue {
    let services: Vec<&str> = view
        .config
        .services
        .iter()
        .filter(|service| service.selector.matches(server, ClientLocation::default()))
        .map(|service| service.name.as_str())
        .collect();
    let observed = ObservedServer::of(view, peers, server);
    let reason = server_reason(view, server, &services, &observed);
    jzon::object! {
        "id": server.id.as_str(),
        "address": server.address.to_string(),
        "region": server.region.as_str(),
        "zone": server.zone.as_str(),
        "labels": endpoint_list::labels_as_json(&server.labels),
        "leaving": server.draining,
        "live": observed.is_healthy(),
        "services": services,
        "demand": f64::from(observed.load_milli) / 1000.0,
        "why": reason,
    }
}

/// The live proxies' observations of one server.
#[derive(Default)]
struct ObservedServer {
    /// The number of proxies by the phase in which they see the server.
    phases: BTreeMap<&'static str, u32>,
    /// The highest reported load, in thousandths.
    load_milli: u32,
}

impl ObservedServer {
    fn of(view: &ClusterView, peers: &[Peer], server: &Server) -> ObservedServer {
        let mut observed = ObservedServer::default();
        for peer in peers.iter().filter(|peer| is_live(view, peer)) {
            let observations = peer.observations.servers.iter();
            for observation in observations.filter(|entry| entry.server == server.id) {
                *observed.phases.entry(observation.phase.into()).or_default() += 1;
                observed.load_milli = observed.load_milli.max(observation.load_milli);
            }
        }
        observed
    }

    /// Whether any proxy sees the server as healthy, in slow start or warming up.
    fn is_healthy(&self) -> bool {
        ["live", "ramping", "cold"].iter().any(|phase| self.phases.contains_key(phase))
    }
}

fn server_reason(
    view: &ClusterView,
    server: &Server,
    services: &[&str],
    observed: &ObservedServer,
) -> String {
    if server.draining {
        "no work: the platform says that it is leaving".to_string()
    } else if view.committed.drained_zones.contains(&server.zone) {
        "no work: its zone is emptied".to_string()
    } else if services.is_empty() {
        "no work: no service selects it".to_string()
    } else if observed.phases.is_empty() {
        "not yet heard of by any proxy".to_string()
    } else {
        let phases = observed.phases.iter();
        let phases: Vec<String> =
            phases.map(|(phase, count)| format!("{phase} for {count} proxies")).collect();
        phases.join(", ")
    }
}
