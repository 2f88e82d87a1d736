//! Steering of clients (design 7.1 to 7.3): each client polls for an ordered list of pathways and the time
//! for which it holds. The answers come from memory alone. Pure.
//!
//! The interface follows HLS Content Steering: a steering manifest with `TTL`, `RELOAD-URI` and
//! `PATHWAY-PRIORITY`, which the client reloads before it expires (Apple, WWDC22 session "Improve global
//! streaming availability with HLS Content Steering"). A pathway is here a zone whose proxies take
//! requests; vanepath adds a priority of pathways for each routing rule.

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

/// The answer to one steering request, with what its metrics need.
pub struct SteeringOutcome {
    /// The body of the response.
    pub response: Result<jzon::JsonValue, SteeringError>,
    /// The client came without a valid state token.
    pub is_first: bool,
    /// The client came with a state token that no registry has issued.
    pub is_forged: bool,
}

/// Answers one steering request from memory. `own` is the registry's zone and region, for clients that
/// do not name theirs; `random` jitters the TTL and draws the bucket of a client without a name.
pub fn steer(
    view: &ClusterView,
    is_ready: bool,
    own: (&str, &str),
    query: &str,
    random: u64,
) -> SteeringOutcome {
    let rejected =
        |error| SteeringOutcome { response: Err(error), is_first: false, is_forged: false };
    if !is_ready || view.config.rules.is_empty() || pathways(view).is_empty() {
        // Without an answer clients keep the one they have, which is better than one without pathways.
        return rejected(SteeringError::NotReady);
    }
    let token = query::value(query, "state");
    let state = token.and_then(SteeringState::parse);
    let is_forged = token.is_some() && state.is_none();
    let is_first = state.is_none();
    let client = match state {
        // The client has a newer answer: it must not get an older one here.
        Some(state) if state.revision > view.committed.revision => {
            return rejected(SteeringError::Behind);
        }
        // A registry that is partitioned from most others would hold its clients to what was so before.
        // Another one may know more, and if there is none the client keeps the answer it has; a client
        // without any gets this one.
        Some(_) if view.is_isolated || view.is_partitioned => {
            return rejected(SteeringError::Partitioned);
        }
        Some(state) => state.client,
        None => first_time_client(view, own, query, random),
    };
    let shows_reasons = query::value(query, "why").is_some();
    let response = steering_response(view, &client, random >> 20, shows_reasons);
    SteeringOutcome { response: Ok(response), is_first, is_forged }
}

/// The location and bucket of a client that brings no state token.
fn first_time_client(view: &ClusterView, own: (&str, &str), query: &str, random: u64) -> Client {
    let name = |key: &str| query::value(query, key).filter(|name| json_reader::is_name(name));
    let zone = name("zone").unwrap_or(own.0);
    // The region of a zone that is known here; for other zones the client's own statement counts.
    let known = view.live.iter().find(|(info, _)| info.zone == zone);
    let region = known.map(|(info, _)| info.region.as_str()).or(name("region")).unwrap_or(own.1);
    let bucket = match query::value(query, "caller") {
        Some(id) => vanepath_config::stable_hash(&["caller", id]) % BUCKETS,
        None => random % BUCKETS,
    };
    Client { zone: zone.to_string(), region: region.to_string(), bucket }
}

#[cfg(test)]
mod tests;
