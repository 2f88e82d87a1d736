//! The configuration: `PUT /v1/setup`, `GET /v1/setup` and `GET /v1/setup/REVISION` (design 6.9, 7.5).

use super::errors::ApiError;
use super::idempotency_key::IdempotencyKey;
use super::response::ApiResponse;
use super::stores::Receipt;
use super::{stores, submissions};
use crate::state::{Counter, Registry};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Response};
use vanepath_cluster::node;
use vanepath_config::model;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::Value;

/// `PUT /v1/setup`: replaces the configuration. The document is validated here and committed by the stores.
pub async fn write(
    registry: &Registry,
    request: hyper::Request<Incoming>,
) -> Result<ApiResponse, ApiError> {
    let receipt = Receipt::now(registry);
    let key = IdempotencyKey::from_headers(request.headers())?;
    let if_revision = if_match(request.headers())?;
    let bytes = read_body(registry, request.into_body()).await?;
    let version = match registry.node.settings.wire_format.parse_config(&bytes) {
        Ok(config) => config.version,
        Err(errors) => {
            registry.counters.increment(Counter::SetupsRefusedInvalid);
            return Err(ApiError::InvalidConfig(errors));
        }
    };
    let change = Change::ReplaceConfig { bytes: bytes.to_vec(), if_revision, version };
    let outcome = stores::submit(registry, &key, change, receipt).await;
    if let Outcome::Accepted { revision, is_repeat: false, .. } = outcome {
        registry.counters.increment(Counter::SetupsAccepted);
        log::info!("configuration committed as revision {revision}");
    }
    submissions::outcome_response(registry, &key.text, outcome)
}

/// The configuration revision that the header `If-Match` requires (RFC 9110 section 13.1.1).
fn if_match(headers: &HeaderMap) -> Result<Option<u64>, ApiError> {
    let Some(value) = headers.get(header::IF_MATCH) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ApiError::UnreadableIfMatch)?;
    let revision = text.trim().trim_matches('"').parse::<u64>();
    revision.map(Some).map_err(|_| ApiError::InvalidIfMatch)
}

async fn read_body(registry: &Registry, body: Incoming) -> Result<Bytes, ApiError> {
    match Limited::new(body, model::MAX_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            registry.counters.increment(Counter::SetupsRefusedInvalid);
            Err(ApiError::ConfigTooLarge { max_bytes: model::MAX_BYTES })
        }
        Err(_) => Err(ApiError::IncompleteBody),
    }
}

/// `GET /v1/setup`: the committed configuration, byte for byte.
pub async fn read(registry: &Registry) -> Result<ApiResponse, ApiError> {
    let value = stores::read_value(registry).await?;
    if value.config_revision == 0 {
        return Err(ApiError::NoConfigYet);
    }
    Ok(config_response(&value))
}

/// `GET /v1/setup/REVISION`: the configuration that was in force at the revision, byte for byte.
pub async fn read_revision(registry: &Registry, revision: &str) -> Result<ApiResponse, ApiError> {
    let revision = revision.parse::<u64>().map_err(|_| ApiError::InvalidRevision)?;
    match stores::read(registry, Request::History { revision }).await? {
        Outcome::Value { value } if value.config_revision > 0 => Ok(config_response(&value)),
        Outcome::NoSuchRevision { latest } => Err(ApiError::NoSuchRevision { latest }),
        _ => Err(ApiError::NoConfigAtRevision),
    }
}

/// A response with the document, and its revision as the entity tag for a later `If-Match`.
fn config_response(value: &Value) -> ApiResponse {
    let mut response = Response::new(node::body(value.document.clone()));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{}\"", value.config_revision)) {
        headers.insert(header::ETAG, etag);
    }
    headers.insert("vanepath-setup-revision", HeaderValue::from(value.config_revision));
    headers.insert("vanepath-revision", HeaderValue::from(value.revision));
    response
}
