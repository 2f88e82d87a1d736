//! Determines the tenant of a request, under the lease on the configuration (design 5.9, 8.11).

use super::Proxy;
use super::rejection::RejectionDetails;
use crate::authentication::{self, AuthenticationError, ConfigCurrency, PresentedKey};
use crate::endpoints::RoutingTable;
use crate::lifecycle::Rejection;
use vanepath_config::model::Rule;

/// Determines the index of the tenant that sent a request; `None`: it is anonymous, which is allowed.
///
/// # Errors
/// [`Rejection::Unauthorized`], [`Rejection::ConfigUnconfirmed`] if the key cannot be judged now, and
/// [`Rejection::NoCommonRegion`] if no server may serve this tenant's requests of this rule.
pub(super) fn authenticate(
    proxy: &Proxy,
    table: &RoutingTable,
    rule: &Rule,
    key: PresentedKey,
    details: &mut RejectionDetails,
) -> Result<Option<usize>, Rejection> {
    let tenants = table.config.tenants.as_ref();
    let currency = currency_of(proxy, table);
    let tenant = authentication::authenticate(tenants, rule.is_public, key, currency)
        .map_err(|error| reject(error, details))?;
    if let (Some(tenant), Some(tenants)) = (tenant, tenants)
        && !tenants.get(tenant).has_region_of(rule)
    {
        return Err(Rejection::NoCommonRegion);
    }
    Ok(tenant)
}

/// Whether the configuration of the table may be relied on to judge keys. A table that is about to be
/// replaced by one with a newer configuration counts as superseded: [`may_send_by`] is checked before
/// anything is sent.
fn currency_of(proxy: &Proxy, table: &RoutingTable) -> ConfigCurrency {
    let lease = proxy.node.config_lease();
    let is_outdated = lease.config_revision != table.revision.config;
    if !is_outdated && !may_send_by(proxy, table) {
        ConfigCurrency::Unconfirmed
    } else if is_outdated || lease.is_behind {
        ConfigCurrency::Superseded
    } else {
        ConfigCurrency::Leased
    }
}

/// Whether a tenant's request may be sent now by the configuration of this table: nothing newer was committed
/// before the start of the lease, and this program can read the newest one.
pub(super) fn may_send_by(proxy: &Proxy, table: &RoutingTable) -> bool {
    let lease = proxy.node.config_lease();
    let duration = proxy.node.settings.config_lease;
    let parsed_revision = proxy.node.current_view.load().parsed_config_revision;
    table.config.tenants.is_none()
        || (parsed_revision == table.revision.config
            && lease.is_valid(table.revision.config, proxy.now(), duration))
}

fn reject(error: AuthenticationError, details: &mut RejectionDetails) -> Rejection {
    details.detail = error.to_string();
    match error {
        AuthenticationError::Unconfirmed => Rejection::ConfigUnconfirmed,
        AuthenticationError::NoKey
        | AuthenticationError::SeveralKeys
        | AuthenticationError::UnknownKey => Rejection::Unauthorized,
    }
}
