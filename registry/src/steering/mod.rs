//! Steering of clients (design 7.1 to 7.3): each client polls for an ordered list of pathways, which is
//! valid for its TTL. Responses are computed from memory alone, by pure functions without I/O.
//!
//! The interface follows HLS Content Steering: a steering manifest with `TTL`, `RELOAD-URI` and
//! `PATHWAY-PRIORITY`, which the client reloads before it expires (Apple, WWDC22 session "Improve global
//! streaming availability with HLS Content Steering"). Here a pathway is a zone whose proxies
//! accept requests; vanepath adds a pathway priority for each routing rule.

mod addresses;
mod client;
mod error;
mod pathways;
mod query;
mod ranking;
mod response;
mod state_token;

pub use addresses::{AddressSource, Addresses, MAX_ADDRESSES, addresses};
pub use client::{BUCKETS, Client};
pub use error::SteeringError;
pub use pathways::{Pathway, pathways};
pub use ranking::{RankedPathway, rank_pathways};
pub use response::{MAX_TTL, TTL, steering_response};
pub use state_token::SteeringState;

use vanepath_cluster::node::ClusterView;
use vanepath_config::json_reader;

/// The response to one steering request, with the facts that its metrics count.
pub struct SteeringOutcome {
    /// The body of the response.
    pub response: Result<jzon::JsonValue, SteeringError>,
    /// The request had no valid state token.
    pub is_first: bool,
    /// The request had a state token that no registry has issued.
    pub is_forged: bool,
}

/// Answers one steering request from memory. `own_location` is the registry's zone and region, the default
/// for clients that do not state theirs. `random` jitters the TTL and selects the bucket of a client without
/// an id.
pub fn steer(
    view: &ClusterView,
    is_ready: bool,
    own_location: (&str, &str),
    query: &str,
    random: u64,
) -> SteeringOutcome {
    let rejected =
        |error| SteeringOutcome { response: Err(error), is_first: false, is_forged: false };
    if !is_ready || view.config.rules.is_empty() || pathways(view).is_empty() {
        // Clients that get an error keep their last answer, which is better than one without pathways.
        return rejected(SteeringError::NotReady);
    }
    let token = query::value(query, "state");
    let state = token.and_then(SteeringState::parse);
    let is_forged = token.is_some() && state.is_none();
    let is_first = state.is_none();
    let client = match state {
        // The client has a newer answer, which must not be replaced by an older one.
        Some(state) if state.revision > view.committed.revision => {
            return rejected(SteeringError::Behind);
        }
        // A partitioned registry would keep its clients on an outdated state. Another registry may know more,
        // and if there is none the client keeps its last answer. A client without one gets an answer from
        // the state known here.
        Some(_) if view.is_isolated || view.is_partitioned => {
            return rejected(SteeringError::Partitioned);
        }
        Some(state) => state.client,
        None => first_time_client(view, own_location, query, random),
    };
    let shows_reasons = query::value(query, "why").is_some();
    let response = steering_response(view, &client, random >> 20, shows_reasons);
    SteeringOutcome { response: Ok(response), is_first, is_forged }
}

/// The location and bucket of a client whose request has no valid state token.
fn first_time_client(
    view: &ClusterView,
    own_location: (&str, &str),
    query: &str,
    random: u64,
) -> Client {
    let name = |key: &str| query::value(query, key).filter(|name| json_reader::is_name(name));
    let zone = name("zone").unwrap_or(own_location.0);
    // The region of a known zone is taken from the cluster view; for other zones the client states it.
    let known_node = view.live.iter().find(|(info, _)| info.zone == zone);
    let region = known_node
        .map(|(info, _)| info.region.as_str())
        .or(name("region"))
        .unwrap_or(own_location.1);
    let bucket = match query::value(query, "caller") {
        Some(id) => vanepath_config::stable_hash(&["caller", id]) % BUCKETS,
        None => random % BUCKETS,
    };
    Client { zone: zone.to_string(), region: region.to_string(), bucket }
}

#[cfg(test)]
mod tests;
