//! Combines the proxies' observations into the sets of servers that are unreachable or warming up.

use std::collections::{BTreeMap, BTreeSet};
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::wire::{ServerObservation, ServerPhase, WarmUp};

/// A proxy whose contact with a server has lasted longer than the server's warm-up by more than this, in
/// milliseconds, shows that the server was never unreachable.
const CONTACT_TOLERANCE_MS: u32 = 1500;

/// The servers that are warming up or unreachable, by id.
#[derive(Debug, Default, PartialEq)]
pub struct ServerSummary {
    /// Servers that have just become reachable again.
    pub warming_up: BTreeMap<String, WarmUp>,
    /// Servers that receive no requests.
    pub unreachable: BTreeSet<String>,
}

/// The observations of one server by all proxies.
#[derive(Default)]
struct AggregatedObservations {
    /// The number of proxies that suspect the server after a time-out.
    suspecting: u32,
    /// The number of proxies that suspect the server after a refused connection.
    suspecting_refused: u32,
    /// How long (ms) each proxy has seen the server warming up after a time-out.
    warm_up_ages_ms: Vec<u32>,
    /// How long (ms) each proxy has seen the server warming up after a refused connection.
    refused_warm_up_ages_ms: Vec<u32>,
    /// The longest uninterrupted contact (ms) of any proxy with the server.
    longest_contact_ms: u32,
}

impl AggregatedObservations {
    fn add(&mut self, observation: &ServerObservation) {
        self.longest_contact_ms = self.longest_contact_ms.max(observation.in_contact_ms);
        match (observation.phase, observation.connection_refused) {
            (ServerPhase::WarmingUp, true) => {
                self.refused_warm_up_ages_ms.push(observation.age_ms);
            }
            (ServerPhase::WarmingUp, false) => self.warm_up_ages_ms.push(observation.age_ms),
            (ServerPhase::Suspect, true) => self.suspecting_refused += 1,
            (ServerPhase::Suspect, false) => self.suspecting += 1,
            _ => {}
        }
    }

    /// The state of the server's warm-up, or `None` if it is not warming up.
    fn warm_up(&self) -> Option<WarmUp> {
        // The highest age is used: some proxies notice the server's return later than others.
        let refused_ms = self.refused_warm_up_ages_ms.iter().max().copied();
        let age_ms = self.warm_up_ages_ms.iter().max().copied();
        // Unbroken contact of one proxy contradicts time-outs of others. It does not contradict a refused
        // connection, since a short restart can fall between two health checks.
        let is_confirmed = self.warm_up_ages_ms.len() >= 2
            && self.longest_contact_ms <= age_ms.unwrap_or_default() + CONTACT_TOLERANCE_MS;
        let age_ms = refused_ms.or(age_ms.filter(|_| is_confirmed))?;
        Some(WarmUp { age_ms, connection_refused: refused_ms.is_some() })
    }

    fn is_unreachable(&self) -> bool {
        self.suspecting_refused > 0 || (self.suspecting >= 2 && self.longest_contact_ms == 0)
    }
}

/// Summarizes the proxies' observations. A server is unreachable if its machine refused a connection, or if
/// at least two proxies cannot reach it and none is in contact with it. It is warming up if one proxy saw it
/// return after a refused connection, or if at least two did after time-outs and no proxy has been in contact
/// with it since before its return: proxies that were partitioned themselves see servers return that were
/// never unreachable.
pub fn summarize_servers(proxies: &[&Peer]) -> ServerSummary {
    let mut by_server: BTreeMap<&str, AggregatedObservations> = BTreeMap::new();
    for proxy in proxies {
        for observation in &proxy.observations.servers {
            by_server.entry(&observation.server).or_default().add(observation);
        }
    }
    let mut summary = ServerSummary::default();
    for (server, observed) in by_server {
        if let Some(warm_up) = observed.warm_up() {
            summary.warming_up.insert(server.to_string(), warm_up);
        } else if observed.is_unreachable() {
            summary.unreachable.insert(server.to_string());
        }
    }
    summary
}
