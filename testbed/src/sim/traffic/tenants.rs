//! Authentication of simulated requests, with the decisions of the proxy's own modules.

use crate::sim::mutations::Mutation;
use crate::sim::network::CallId;
use crate::sim::state::{CONFIG_LEASE, RoleState, Sim, Tenancy, TenantRun};
use std::time::Duration;
use vanepath_proxy::authentication::{
    AuthenticationError, ConfigCurrency, PresentedKey, authenticate,
};
use vanepath_proxy::lifecycle::Rejection;

impl Sim {
    /// Records when a client sends a request to a proxy.
    pub(super) fn record_client_send(&mut self, call: CallId) {
        let now = self.net.now;
        if let Some(tenancy) = &mut self.world.tenancy {
            tenancy.sent_at.insert(call, now);
        }
    }

    /// Determines the tenant of a request by its routing table. `Err` if the request must not be sent.
    pub(super) fn authenticate_request(
        &mut self,
        index: usize,
        progress_id: usize,
    ) -> Result<(), Rejection> {
        if self.world.tenancy.is_none() {
            return Ok(());
        }
        let currency = self.config_currency(index, progress_id);
        let mutation = self.mutation;
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return Ok(()) };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return Ok(()) };
        let config = progress.table.config.clone();
        let rule = &config.rules[progress.rule];
        let key = PresentedKey::One(Tenancy::digest(Tenancy::key_of(progress.request)));
        let judged = authenticate(config.tenants.as_ref(), rule.is_public, key, currency);
        let count = config.tenants.as_ref().map_or(1, |tenants| tenants.iter().count());
        progress.tenant = match (judged, mutation) {
            (Err(AuthenticationError::UnknownKey), Some(Mutation::AcceptsUnknownKeys)) => Some(0),
            (Ok(tenant), Some(Mutation::NamesOtherTenant)) => {
                tenant.map(|tenant| (tenant + progress.request / 50) % count)
            }
            (Ok(tenant), _) => tenant,
            (Err(AuthenticationError::Unconfirmed), _) => return Err(Rejection::ConfigUnconfirmed),
            (Err(_), _) => return Err(Rejection::Unauthorized),
        };
        Ok(())
    }

    /// Whether a request may be sent to a server now, by the lease on the configuration of its table.
    pub(super) fn may_send_by_lease(&self, index: usize, progress_id: usize) -> bool {
        self.world.tenancy.is_none()
            || self.config_currency(index, progress_id) != ConfigCurrency::Unconfirmed
                && !self.awaits_newer_table(index, progress_id)
    }

    fn config_currency(&self, index: usize, progress_id: usize) -> ConfigCurrency {
        let node = &self.nodes[index];
        let now = self.net.local_time(node.host);
        let lease = node.gossip.config_lease();
        if self.mutation == Some(Mutation::IgnoresConfigLease) {
            return ConfigCurrency::Leased;
        }
        if self.awaits_newer_table(index, progress_id) {
            return ConfigCurrency::Superseded;
        }
        if !lease.is_valid(lease.config_revision, now, CONFIG_LEASE) {
            ConfigCurrency::Unconfirmed
        } else if lease.is_behind {
            ConfigCurrency::Superseded
        } else {
            ConfigCurrency::Leased
        }
    }

    /// Whether the routing table of a request is older than the configuration that the node has.
    fn awaits_newer_table(&self, index: usize, progress_id: usize) -> bool {
        let node = &self.nodes[index];
        let RoleState::Proxy(proxy) = &node.role_state else { return false };
        let Some(progress) = proxy.in_progress.get(&progress_id) else { return false };
        self.mutation != Some(Mutation::IgnoresConfigLease)
            && node.gossip.config_lease().config_revision != progress.table.revision.config
    }

    /// The name of the tenant that the server of a request is told, and when the client sent the request.
    pub(super) fn tenant_of(
        &self,
        index: usize,
        progress_id: usize,
    ) -> Option<(Option<String>, Duration)> {
        let tenancy = self.world.tenancy.as_ref()?;
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return None };
        let progress = proxy.in_progress.get(&progress_id)?;
        let sent_at = tenancy.sent_at.get(&progress.call).copied()?;
        let tenants = progress.table.config.tenants.as_ref()?;
        Some((progress.tenant.map(|tenant| tenants.get(tenant).name.clone()), sent_at))
    }

    /// Records that a server runs a request.
    pub(super) fn record_tenant_run(
        &mut self,
        request: usize,
        sender: Option<(Option<String>, Duration)>,
    ) {
        let at = self.net.now;
        if let (Some(tenancy), Some((tenant, client_sent_at))) = (&mut self.world.tenancy, sender) {
            let key = Tenancy::key_of(request);
            tenancy.runs.push(TenantRun { request, key, tenant, client_sent_at, at });
        }
    }
}
