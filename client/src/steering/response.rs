//! The steering response of a registry and its JSON form, which extends the steering manifest of HLS
//! Content Steering by addresses, rules and registries.

use jzon::JsonValue;
use jzon::object::Object;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_config::model::under_prefix;

/// Upper bound of a response's time to live; higher values are reduced to it.
pub const MAX_TTL: Duration = Duration::from_secs(5);

/// A set of proxies that a response names, such as those of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Pathway {
    /// Its identifier, referred to by priority lists.
    pub id: String,
    /// Its proxies.
    pub addresses: Vec<SocketAddr>,
}

/// How requests that match a routing rule are steered.
#[derive(Clone, Debug, PartialEq)]
pub struct SteeringRule {
    /// Name of the rule.
    pub name: String,
    /// Methods that match; empty for all methods.
    pub methods: Vec<String>,
    /// Host that matches, compared without regard to case; `None` for all hosts.
    pub host: Option<String>,
    /// Path prefix that matches.
    pub path_prefix: String,
    /// Whether the request may be executed at most once; it is then retried only while it is known not to
    /// have run.
    pub is_at_most_once: bool,
    /// Identifiers of the pathways to use, the preferred one first.
    pub priority: Vec<String>,
}

impl SteeringRule {
    pub(super) fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|listed| listed == method))
            && self.host.as_deref().is_none_or(|expected| expected.eq_ignore_ascii_case(host))
            && under_prefix(path, &self.path_prefix)
    }
}

/// A registry's steering response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SteeringResponse {
    /// How long the response is valid before the next poll, at most [`MAX_TTL`].
    pub ttl: Duration,
    /// Path and query of the next poll, with the steering state token.
    pub reload_uri: String,
    /// Revision of the committed configuration that the response was made from.
    pub revision: u64,
    /// Identifiers of the pathways for requests that match no rule, the preferred one first.
    pub priority: Vec<String>,
    /// All pathways.
    pub pathways: Vec<Pathway>,
    /// Rules; the first that matches applies.
    pub rules: Vec<SteeringRule>,
    /// Registries to poll; empty if the response does not name them.
    pub registries: Vec<SocketAddr>,
}

impl SteeringResponse {
    pub(super) fn lists(&self, address: &SocketAddr) -> bool {
        self.pathways.iter().any(|pathway| pathway.addresses.contains(address))
    }
}

/// Why a text is not a valid steering response.
#[derive(Debug, thiserror::Error)]
pub enum SteeringResponseError {
    /// The text is not JSON.
    #[error("the steering response is not JSON")]
    Json(#[from] jzon::Error),
    /// A required member is absent or of another type.
    #[error("the steering response lacks a valid '{0}'")]
    Member(&'static str),
}

/// Parses a steering response.
///
/// # Errors
/// If the text is not JSON, or a required member is absent or not valid.
pub fn parse_response(text: &str) -> Result<SteeringResponse, SteeringResponseError> {
    let value = jzon::parse(text)?;
    let object = value.as_object().ok_or(SteeringResponseError::Member("$"))?;
    Ok(SteeringResponse {
        ttl: member(object, "TTL", ttl)?,
        reload_uri: member(object, "RELOAD-URI", string)?,
        revision: member(object, "REVISION", JsonValue::as_u64)?,
        priority: member(object, "PATHWAY-PRIORITY", strings)?,
        registries: registries(object)?,
        pathways: member(object, "PATHWAYS", JsonValue::as_array)?
            .iter()
            .map(pathway)
            .collect::<Result<_, _>>()?,
        rules: member(object, "RULES", JsonValue::as_array)?
            .iter()
            .map(rule)
            .collect::<Result<_, _>>()?,
    })
}

/// A required member, converted by `read`.
fn member<'o, T>(
    object: &'o Object,
    key: &'static str,
    read: impl FnOnce(&'o JsonValue) -> Option<T>,
) -> Result<T, SteeringResponseError> {
    object.get(key).and_then(read).ok_or(SteeringResponseError::Member(key))
}

fn string(value: &JsonValue) -> Option<String> {
    Some(value.as_str()?.to_string())
}

fn strings(value: &JsonValue) -> Option<Vec<String>> {
    value.as_array()?.iter().map(string).collect()
}

fn addresses(value: &JsonValue) -> Option<Vec<SocketAddr>> {
    strings(value)?.iter().map(|text| text.parse().ok()).collect()
}

fn ttl(value: &JsonValue) -> Option<Duration> {
    let seconds = value.as_f64().filter(|ttl| ttl.is_finite() && *ttl >= 0.0)?;
    Some(Duration::from_secs_f64(seconds.min(MAX_TTL.as_secs_f64())))
}

/// The addresses of the registries. Optional, since registries of earlier versions do not send them.
fn registries(object: &Object) -> Result<Vec<SocketAddr>, SteeringResponseError> {
    let names = object.get("DIRECTORIES").and_then(strings).unwrap_or_default();
    let addresses: Option<Vec<SocketAddr>> = names.iter().map(|text| text.parse().ok()).collect();
    addresses.ok_or(SteeringResponseError::Member("DIRECTORIES"))
}

fn pathway(value: &JsonValue) -> Result<Pathway, SteeringResponseError> {
    let object = value.as_object().ok_or(SteeringResponseError::Member("PATHWAYS"))?;
    Ok(Pathway {
        id: member(object, "ID", string)?,
        addresses: member(object, "ADDRESSES", addresses)?,
    })
}

fn rule(value: &JsonValue) -> Result<SteeringRule, SteeringResponseError> {
    let object = value.as_object().ok_or(SteeringResponseError::Member("RULES"))?;
    Ok(SteeringRule {
        name: member(object, "NAME", string)?,
        methods: member(object, "METHODS", strings)?,
        host: object.get("HOST").and_then(string),
        path_prefix: member(object, "PATH-PREFIX", string)?,
        is_at_most_once: member(object, "ONCE", JsonValue::as_bool)?,
        priority: member(object, "PATHWAY-PRIORITY", strings)?,
    })
}
