//! What the proxies' observations say together about servers that are unreachable or warming up.

use std::collections::{BTreeMap, BTreeSet};
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::wire::{ServerObservation, ServerPhase, WarmUp};

/// A proxy that has been in contact for this much longer than a server has been back, in milliseconds,
/// contradicts that the server was ever away.
const CONTACT_TOLERANCE_MS: u32 = 1500;

/// Servers in other than the usual state, by id.
#[derive(Debug, Default, PartialEq)]
pub struct ServerSummary {
    /// Servers that have just come back.
    pub warming_up: BTreeMap<String, WarmUp>,
    /// Servers that get no requests.
    pub unreachable: BTreeSet<String>,
}

/// All proxies' observations of one server.
#[derive(Default)]
struct Evidence {
    /// Proxies that suspect the server after a time-out,
    suspecting: u32,
    /// and those that suspect it after a refused connection.
    suspecting_refused: u32,
    /// For how long (ms) proxies have seen it warming up after a time-out,
    warm_up_ages_ms: Vec<u32>,
    /// and after a refused connection.
    refused_warm_up_ages_ms: Vec<u32>,
    /// The longest contact (ms) that any proxy has had without a break.
    longest_contact_ms: u32,
}

impl Evidence {
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

    /// Whether, and since when, the server is warming up.
    fn warm_up(&self) -> Option<WarmUp> {
        // The oldest age counts: proxies that saw the return later count from the first one.
        let refused_ms = self.refused_warm_up_ages_ms.iter().max().copied();
        let age_ms = self.warm_up_ages_ms.iter().max().copied();
        // A proxy in contact contradicts time-outs of others. It does not contradict a refused connection,
        // since a short restart falls between two of its health checks.
        let is_confirmed = self.warm_up_ages_ms.len() >= 2
            && self.longest_contact_ms <= age_ms.unwrap_or_default() + CONTACT_TOLERANCE_MS;
        let age_ms = refused_ms.or(age_ms.filter(|_| is_confirmed))?;
        Some(WarmUp { age_ms, connection_refused: refused_ms.is_some() })
    }

    fn is_unreachable(&self) -> bool {
        self.suspecting_refused > 0 || (self.suspecting >= 2 && self.longest_contact_ms == 0)
    }
}

/// A server is unreachable where its machine refused a connection, or where two proxies cannot reach it and
/// none is in contact with it. It is warming up where one proxy saw it come back after a refused connection,
/// or two did after time-outs and none has been in contact since before: proxies that were partitioned
/// themselves see servers come back that never were away.
pub fn summarize_servers(proxies: &[&Peer]) -> ServerSummary {
    let mut evidence: BTreeMap<&str, Evidence> = BTreeMap::new();
    for proxy in proxies {
        for observation in &proxy.observations.servers {
            evidence.entry(&observation.server).or_default().add(observation);
        }
    }
    let mut summary = ServerSummary::default();
    for (server, evidence) in evidence {
        if let Some(warm_up) = evidence.warm_up() {
            summary.warming_up.insert(server.to_string(), warm_up);
        } else if evidence.is_unreachable() {
            summary.unreachable.insert(server.to_string());
        }
    }
    summary
}
