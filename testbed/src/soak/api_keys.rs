//! The tenants of a soak test. One tenant keeps its key; the key of the other one is replaced with each version of
//! the configuration, so that keys are taken away in series.

use jzon::JsonValue;

/// Name of the tenant whose key stays.
const PERMANENT_TENANT: &str = "permanent";
/// Name of the tenant whose key is replaced with each version.
const ROTATING_TENANT: &str = "rotating";
/// Every request with a number divisible by this presents a rotating key.
const ROTATING_REQUEST_INTERVAL: u64 = 10;
/// Rotating keys are presented from the newest acknowledged version back to this many versions before it.
const MAX_KEY_AGE: u64 = 3;

/// The API key that a request presents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ApiKey {
    /// The key that is never taken away.
    #[default]
    Permanent,
    /// The key that the configuration of this version holds, and no other.
    OfVersion(u64),
}

impl ApiKey {
    /// The key that the request with this number presents, while `newest_version` is the newest version that
    /// the operator knows to be acknowledged.
    pub fn for_request(number: u64, newest_version: u64) -> ApiKey {
        if !number.is_multiple_of(ROTATING_REQUEST_INTERVAL) {
            return ApiKey::Permanent;
        }
        let age = number / ROTATING_REQUEST_INTERVAL % (MAX_KEY_AGE + 1);
        ApiKey::OfVersion(newest_version.saturating_sub(age).max(1))
    }

    /// The key itself.
    pub fn text(self) -> String {
        match self {
            ApiKey::Permanent => "soak-permanent-key".to_string(),
            ApiKey::OfVersion(version) => format!("soak-rotating-key-{version}"),
        }
    }

    /// The name of the tenant that has the key.
    pub fn tenant(self) -> &'static str {
        match self {
            ApiKey::Permanent => PERMANENT_TENANT,
            ApiKey::OfVersion(_) => ROTATING_TENANT,
        }
    }
}

/// The tenants of the configuration of this version.
pub fn tenants(version: u64) -> JsonValue {
    let tenant = |key: ApiKey| {
        jzon::object! { "name": key.tenant(), "keys": [key.text()] }
    };
    jzon::array![tenant(ApiKey::Permanent), tenant(ApiKey::OfVersion(version))]
}
