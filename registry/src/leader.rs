//! The duty of one registry: the plan of shares, under an epoch (design 5.6, 7.4). Pure.

use vanepath_cluster::{gossip::Peer, node::ClusterView, wire};

/// A server does no more than all of its work, in thousandths, whatever it tells.
const DEMAND_MOST: u32 = 1000;

/// Who just started, or woke from a freeze, has heard of too little to say anything: it takes the
/// duty only after a while, and the last plan stays meanwhile.
#[derive(Debug, Default)]
pub struct LeadershipReadiness {
    fresh_since: Option<std::time::Duration>,
}

/// Twice what a proxy takes to tell all that it sees.
const SETTLED_AFTER: std::time::Duration = std::time::Duration::from_millis(4000);

/// Whether this registry hears from more than half of all that there are, itself counted: one that
/// does not may be cut off, and others are asked first (design 5.3).
pub fn hears_majority(view: &ClusterView) -> bool {
    let is_registry =
        |one: &&(wire::NodeInfo, wire::NodeStatus)| one.0.role == wire::Role::Registry;
    let live = view.live.iter().filter(is_registry).count();
    let lost = view.unreachable.iter().filter(is_registry).count();
    2 * live > live + lost
}

impl LeadershipReadiness {
    pub fn may_lead(&mut self, now: std::time::Duration, is_fresh: bool) -> bool {
        if !is_fresh {
            self.fresh_since = None;
            return false;
        }
        now.saturating_sub(*self.fresh_since.get_or_insert(now)) >= SETTLED_AFTER
    }
}

/// The next plan if this daemon has the duty and something changed. `may_move`: enough time went
/// by since the last step for its effect to show (a receipt's TTL and the way of the news).
pub fn next_plan(
    view: &ClusterView,
    own: &str,
    sources: &[Peer],
    may_move: bool,
) -> Option<wire::TrafficShiftPlan> {
    let holder = view.leader(wire::Role::Registry)?;
    // The last plan stays while this registry has not heard what all proxies see.
    if holder.name != own || !view.is_fresh || !view.has_observations {
        return None;
    }
    let before = &view.plan;
    let is_mine = before.leader == own;
    // The last word of a proxy that is dead is no news of servers.
    let live: std::collections::HashSet<&str> =
        view.live.iter().map(|(card, _)| card.name.as_str()).collect();
    let is_live = |source: &&Peer| live.contains(source.info.name.as_str());
    let proxies: Vec<&Peer> = sources
        .iter()
        .filter(|source| source.info.role == wire::Role::Proxy)
        .filter(is_live)
        .collect();
    let Absent { cold, away } = absent(&proxies);
    let moved = if may_move { moved(view, &proxies) } else { before.shifted.clone() };
    let is_same = is_mine
        && before.shifted == moved
        && before.revision == view.committed.config_revision
        && before.warming_up.keys().eq(cold.keys())
        && before.unreachable == away;
    if is_same {
        return None;
    }
    Some(wire::TrafficShiftPlan {
        epoch: if is_mine { before.epoch } else { before.epoch + 1 },
        counter: if is_mine { before.counter + 1 } else { 1 },
        leader: own.to_string(),
        revision: view.committed.config_revision,
        shifted: moved,
        warming_up: cold,
        unreachable: away,
    })
}

/// What the proxies together know of servers that are not simply there.
#[derive(Debug, Default, PartialEq)]
struct Absent {
    cold: std::collections::BTreeMap<String, wire::WarmUp>,
    away: std::collections::BTreeSet<String>,
}

/// A server is away where its machine refused a connection, or where two proxies cannot reach it
/// and none is in touch with it. It is cold where one saw it come back after a refusal, or two did
/// after silence and none has been in touch with it since before: a part of the fleet that was cut
/// off saw nothing come back but itself.
fn absent(proxies: &[&Peer]) -> Absent {
    #[derive(Default)]
    struct Seen {
        suspects: u32,
        refused_suspects: u32,
        ages: Vec<u32>,
        refused_ages: Vec<u32>,
        steady_ms: u32,
    }
    let mut all: std::collections::BTreeMap<&str, Seen> = Default::default();
    for source in proxies {
        for sight in &source.observations.servers {
            let seen = all.entry(&sight.server).or_default();
            seen.steady_ms = seen.steady_ms.max(sight.in_contact_ms);
            match (sight.phase, sight.connection_refused) {
                (wire::ServerPhase::WarmingUp, true) => seen.refused_ages.push(sight.age_ms),
                (wire::ServerPhase::WarmingUp, false) => seen.ages.push(sight.age_ms),
                (wire::ServerPhase::Suspect, true) => seen.refused_suspects += 1,
                (wire::ServerPhase::Suspect, false) => seen.suspects += 1,
                _ => {}
            }
        }
    }
    let mut absent = Absent::default();
    for (server, seen) in all {
        // The oldest: who heard of it later reckons from the first who saw it.
        let refused_ms = seen.refused_ages.iter().max().copied();
        let age_ms = seen.ages.iter().max().copied();
        // Who is in touch refutes silence, not a refusal: a short one falls between two probes.
        let is_seen = seen.ages.len() >= 2 && seen.steady_ms <= age_ms.unwrap_or_default() + 1500;
        if let Some(age_ms) = refused_ms.or(age_ms.filter(|_| is_seen)) {
            let connection_refused = refused_ms.is_some();
            let warm_up = wire::WarmUp { age_ms, connection_refused };
            absent.cold.insert(server.to_string(), warm_up);
        } else if seen.refused_suspects > 0 || (seen.suspects >= 2 && seen.steady_ms == 0) {
            absent.away.insert(server.to_string());
        }
    }
    absent
}

/// The next shares of each service: what the zones' proxies take of it, in parts of a server's work,
/// and how many servers each zone has for it.
fn moved(
    view: &ClusterView,
    proxies: &[&Peer],
) -> std::collections::BTreeMap<String, wire::ZoneShares> {
    let mut moved = std::collections::BTreeMap::new();
    let demand = demand(proxies);
    for (index, service) in view.config.services.iter().enumerate() {
        let before = view.plan.shifted.get(&service.name).cloned().unwrap_or_default();
        let shares = crate::traffic_shift::next(&zones(view, proxies, &demand, index), &before);
        if !shares.is_empty() {
            moved.insert(service.name.clone(), shares);
        }
    }
    moved
}

/// What a server does, as the proxies heard of it last, the sum and of how many: what is more than all of it
/// waits there, and is work that another one may do.
type Demand<'s> = std::collections::HashMap<&'s str, (u32, u32)>;

fn demand<'s>(proxies: &[&'s Peer]) -> Demand<'s> {
    let mut demand = Demand::new();
    for source in proxies {
        for sight in &source.observations.servers {
            let (sum, count) = demand.entry(&sight.server).or_default();
            *sum += sight.load_milli.min(DEMAND_MOST);
            *count += 1;
        }
    }
    demand
}

fn zones(
    view: &ClusterView,
    proxies: &[&Peer],
    demand: &Demand<'_>,
    service: usize,
) -> std::collections::BTreeMap<String, crate::traffic_shift::ZoneLoad> {
    let mut zones: std::collections::BTreeMap<String, crate::traffic_shift::ZoneLoad> =
        Default::default();
    let mut taken = 0.0;
    for source in proxies {
        let zone = zones.entry(source.info.zone.clone()).or_default();
        zone.region = source.info.region.clone();
        zone.is_place |= source.status.ready
            && !source.status.draining
            && !view.committed.drained_zones.contains(&source.info.zone);
        let own = source.observations.request_rates.get(&view.config.services[service].name);
        zone.taken += f64::from(own.copied().unwrap_or(0));
        taken += f64::from(own.copied().unwrap_or(0));
    }
    let none = vanepath_config::selector::ClientLocation::default();
    let mut work = Vec::new();
    let mut silent = 0.0;
    for server in &view.endpoints.servers {
        let is_there = !server.draining
            && !view.plan.unreachable.contains(&server.id)
            && !view.committed.drained_zones.contains(&server.zone)
            && view.config.services[service].selector.matches(server, none);
        if !is_there {
            continue;
        }
        match demand.get(server.id.as_str()) {
            Some((sum, count)) => work.push(f64::from(*sum) / 1000.0 / f64::from(*count)),
            None => silent += 1.0,
        }
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.region = server.region.clone();
        zone.servers += 1.0;
    }
    // Those that say nothing are taken for the mean of those that do.
    let told: f64 = work.iter().sum();
    let all = told * (1.0 + silent / (work.len() as f64).max(1.0));
    let each = if taken > 0.0 { all / taken } else { 0.0 };
    for zone in zones.values_mut() {
        zone.taken *= each;
    }
    zones
}

#[cfg(test)]
mod tests;
