//! The steering paths: `GET /v1/steer` and `GET /v1/addresses` (design 7.3, 7.5).

use super::errors::ApiError;
use super::response::ApiResponse;
use crate::state::{Counter, Registry};
use crate::steering::{self, AddressSource, SteeringError};
use hyper::StatusCode;
use vanepath_cluster::node;

/// `GET /v1/steer`: the ranked pathways for a client.
pub fn steer(registry: &Registry, query: &str) -> Result<ApiResponse, ApiError> {
    registry.counters.increment(Counter::SteerPolls);
    let view = registry.node.current_view.load();
    let is_ready = registry.is_ready() && registry.node.has_recent_tick();
    let outcome = steering::steer(&view, is_ready, registry.own_location(), query, node::random());
    if outcome.is_first {
        registry.counters.increment(Counter::SteerPollsFirst);
    }
    if outcome.is_forged {
        registry.counters.increment(Counter::SteerEchoesBad);
    }
    match outcome.response {
        Ok(response) => Ok(node::json_response(StatusCode::OK, &response)),
        Err(error) => Err(count_rejection(registry, error)),
    }
}

/// `GET /v1/addresses`: proxy addresses, for clients that balance load between them on their own.
pub fn addresses(registry: &Registry, query: &str) -> Result<ApiResponse, ApiError> {
    registry.counters.increment(Counter::SteerPolls);
    let view = registry.node.current_view.load();
    // No configuration is required: without rules, addresses depend on the proxies alone.
    let is_ready =
        view.is_fresh && registry.node.has_recent_tick() && !registry.node.is_shutting_down();
    let own_location = registry.own_location();
    let answer = steering::addresses(&view, is_ready, own_location, query, node::random())
        .map_err(|error| count_rejection(registry, error))?;
    let counter = match answer.source {
        AddressSource::OwnRegion => None,
        AddressSource::OtherAllowedRegion => Some(Counter::AddressesOfOtherHomes),
        AddressSource::Restarting => Some(Counter::AddressesOfRestarting),
        AddressSource::OtherRegion => Some(Counter::AddressesElsewhere),
    };
    if let Some(counter) = counter {
        registry.counters.increment(counter);
    }
    Ok(node::json_response(StatusCode::OK, &answer.json()))
}

fn count_rejection(registry: &Registry, error: SteeringError) -> ApiError {
    registry.counters.increment(match error {
        SteeringError::Behind => Counter::SteerRefusedBehind,
        SteeringError::Partitioned => Counter::SteerRefusedCutOff,
        SteeringError::NotReady => Counter::SteerRefusedNotReady,
    });
    ApiError::Steering(error)
}
