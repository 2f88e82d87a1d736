//! Authentication of requests by API keys (design 8.11). Pure: the caller supplies the configuration and
//! whether it is known to be the newest one.

use hyper::header::HeaderMap;
use vanepath_config::model::{KeyDigest, Tenants};

/// What a request presents as its API key. The key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key field.
    None,
    /// The request has one key field.
    One(KeyDigest),
    /// The request has several key fields, so that it is not clear which one counts.
    Several,
}

impl PresentedKey {
    /// Reads the fields of this name.
    pub fn from_headers(headers: &HeaderMap, name: &str) -> PresentedKey {
        let mut fields = headers.get_all(name).iter();
        match (fields.next(), fields.next()) {
            (None, _) => PresentedKey::None,
            (Some(key), None) => PresentedKey::One(KeyDigest::of(key.as_bytes())),
            (Some(_), Some(_)) => PresentedKey::Several,
        }
    }

    /// Whether the request is served on behalf of a tenant, so that its key has to be valid.
    pub fn is_present(&self) -> bool {
        *self != PresentedKey::None
    }
}

/// What is known about the age of the configuration that a request is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigCurrency {
    /// No newer configuration was committed before a moment that the lease covers.
    Leased,
    /// The same, but a newer one is known to exist by now.
    Superseded,
    /// The lease has run out: keys may have been revoked.
    Unconfirmed,
}

/// Why a request is not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
pub enum AuthenticationError {
    /// Its route needs a key.
    #[strum(serialize = "no API key")]
    NoKey,
    /// It has more than one key field.
    #[strum(serialize = "several API keys")]
    SeveralKeys,
    /// No tenant of the newest configuration has its key.
    #[strum(serialize = "unknown API key")]
    UnknownKey,
    /// The configuration may not be the newest one, and a newer one may judge the key differently.
    #[strum(serialize = "the configuration is not confirmed to be the newest one")]
    Unconfirmed,
}

/// Determines the index of the tenant that sent a request; `None`: the request is anonymous, which the route
/// or the configuration allows. `tenants` are those of the configuration, `is_public` is that of the route.
///
/// # Errors
/// If the request must not be forwarded.
pub fn authenticate(
    tenants: Option<&Tenants>,
    is_public: bool,
    key: PresentedKey,
    currency: ConfigCurrency,
) -> Result<Option<usize>, AuthenticationError> {
    let Some(tenants) = tenants else { return Ok(None) };
    match key {
        PresentedKey::None if is_public => Ok(None),
        PresentedKey::None => Err(AuthenticationError::NoKey),
        PresentedKey::Several => Err(AuthenticationError::SeveralKeys),
        PresentedKey::One(_) if currency == ConfigCurrency::Unconfirmed => {
            Err(AuthenticationError::Unconfirmed)
        }
        PresentedKey::One(digest) => match tenants.find(&digest) {
            Some(tenant) => Ok(Some(tenant)),
            None if currency == ConfigCurrency::Superseded => Err(AuthenticationError::Unconfirmed),
            None => Err(AuthenticationError::UnknownKey),
        },
    }
}

#[cfg(test)]
mod tests;
