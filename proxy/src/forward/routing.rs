//! Determines the rule, the service and the deadline of a request.

use super::Proxy;
use super::authentication::{authenticate, may_send_by};
use super::rejection::RejectionDetails;
use crate::authentication::PresentedKey;
use crate::endpoints::{RoutingTable, SelectionContext, eligible_proxies};
use crate::lifecycle::Rejection;
use hyper::header::HeaderMap;
use hyper::http::request;
use jzon::JsonValue;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::NodeInfo;
use vanepath_config::model::{Class, Rule, Tenant};

/// The parts of a request by which its rule and its tenant are found.
pub(super) struct RequestTarget {
    method: String,
    host: String,
    /// Path and query.
    path: String,
    key: PresentedKey,
}

impl RequestTarget {
    /// `host` is the name of the host without a port.
    pub fn new(proxy: &Proxy, head: &request::Parts, host: String) -> RequestTarget {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        let key_header = proxy.node.settings.wire_format.headers().api_key;
        let key = PresentedKey::from_headers(&head.headers, key_header);
        RequestTarget { method: head.method.to_string(), host, path, key }
    }
}

/// The rule that applies to a request and its tenant, and the routing table in which they were found.
#[derive(Clone)]
pub(super) struct Route {
    pub table: Arc<RoutingTable>,
    /// The index of the rule.
    pub rule: usize,
    /// The index of the tenant; `None`: the request is anonymous.
    tenant: Option<usize>,
    target: Arc<RequestTarget>,
}

impl Route {
    /// Finds the rule and the tenant of a request in the latest routing table.
    ///
    /// # Errors
    /// [`Rejection::Unmatched`] if no rule matches, and [`Rejection::WrongRegion`] if the rule does
    /// not allow forwarding from this proxy's region; `details` then lists the proxies that may forward.
    /// Those of [`authenticate`].
    pub fn find(
        proxy: &Proxy,
        target: RequestTarget,
        details: &mut RejectionDetails,
    ) -> Result<Route, Rejection> {
        let table = proxy.endpoints.table.load_full();
        let rule = find_rule(proxy, &table, &target, details)?;
        let rule_config = &table.config.rules[rule];
        let tenant = authenticate(proxy, &table, rule_config, target.key, details)?;
        Ok(Route { table, rule, tenant, target: Arc::new(target) })
    }

    /// Switches to the latest routing table, and finds rule and tenant again if the config has changed. On an
    /// error the route stays as it is.
    ///
    /// # Errors
    /// As for [`Route::find`].
    pub fn refresh(
        &mut self,
        proxy: &Proxy,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        let latest = proxy.endpoints.table.load_full();
        let rule = if Arc::ptr_eq(&latest.config, &self.table.config) {
            self.rule
        } else {
            find_rule(proxy, &latest, &self.target, details)?
        };
        let rule_config = &latest.config.rules[rule];
        let tenant = authenticate(proxy, &latest, rule_config, self.target.key, details)?;
        (self.table, self.rule, self.tenant) = (latest, rule, tenant);
        Ok(())
    }

    /// The rule that applies to the request.
    pub fn rule(&self) -> &Rule {
        &self.table.config.rules[self.rule]
    }

    /// The class of the rule.
    pub fn class(&self) -> &Class {
        &self.table.config.classes[self.rule().class]
    }

    /// The tenant of the request; `None`: it is anonymous.
    pub fn tenant(&self) -> Option<&Tenant> {
        Some(self.table.config.tenants.as_ref()?.get(self.tenant?))
    }

    /// Whether the request may be sent now by this table: always if it is anonymous, otherwise under the
    /// lease on the configuration, whatever happened since the table was chosen.
    pub fn may_send(&self, proxy: &Proxy) -> bool {
        !self.target.key.is_present() || may_send_by(proxy, &self.table)
    }

    /// Whether a newer table is about to replace the one by which the request's key was judged.
    pub fn awaits_newer_table(&self, proxy: &Proxy) -> bool {
        self.target.key.is_present()
            && self.table.config.tenants.is_some()
            && proxy.node.config_lease().config_revision != self.table.revision.config
    }

    /// Picks a service at random by the weights of the rule, and counts the request towards the retry
    /// budget of the service. Returns its name, which remains valid when the config changes.
    pub fn pick_service(&self, proxy: &Proxy) -> String {
        let service = self.rule().pick_service(proxy.random());
        let name = self.table.config.services[service].name.clone();
        let mut budgets = proxy.retry_budgets.lock().expect("no panic under this lock");
        budgets.record_request(proxy.now(), &name);
        name
    }

    /// The index in this table of the service that was picked, or of the rule's main service if the
    /// rule no longer lists the one that was picked.
    pub fn service_index(&self, name: &str) -> usize {
        let rule = self.rule();
        let services = &self.table.config.services;
        let weighted = rule.weighted_services.iter().map(|weighted| weighted.service);
        let mut matching = weighted.filter(|index| services[*index].name == name);
        matching.next().unwrap_or(rule.service)
    }

    /// The input to the selection of a server for this request.
    pub fn selection_context<'c>(
        &'c self,
        proxy: &'c Proxy,
        service: usize,
        drained_zones: &'c BTreeSet<String>,
        tried: &'c [usize],
    ) -> SelectionContext<'c> {
        SelectionContext {
            rule: self.rule,
            tenant: self.tenant(),
            service,
            drained_zones,
            zone: &proxy.node.settings.zone,
            region: &proxy.node.settings.region,
            tried,
            only_alternative_for: None,
            is_past_target: false,
        }
    }
}

fn find_rule(
    proxy: &Proxy,
    table: &RoutingTable,
    target: &RequestTarget,
    details: &mut RejectionDetails,
) -> Result<usize, Rejection> {
    let index = table
        .config
        .rule_for(&target.method, &target.host, &target.path)
        .ok_or(Rejection::Unmatched)?;
    let rule = &table.config.rules[index];
    if !rule.may_forward_from(&proxy.node.settings.region) {
        details.places = eligible_locations(&proxy.node.current_view.load(), rule);
        return Err(Rejection::WrongRegion);
    }
    Ok(index)
}

/// The proxies that may forward requests of this rule, in the form in which a rejection lists them.
fn eligible_locations(view: &ClusterView, rule: &Rule) -> Vec<JsonValue> {
    let location = |node: &NodeInfo| {
        jzon::object! {
            "zone": node.zone.as_str(),
            "region": node.region.as_str(),
            "address": node.address.to_string(),
        }
    };
    eligible_proxies(view, rule).map(location).collect()
}

/// The time limit of a request.
#[derive(Clone, Copy)]
pub(super) struct RequestTiming {
    /// Time from the arrival of the request: the limit of its rule, or else of its class, or the limit
    /// that the client states if that is shorter.
    pub limit: Duration,
    /// When the limit is reached, on the clock of the node.
    pub deadline: Duration,
    /// Whether the client has probably used up the latency target with earlier attempts.
    pub is_past_latency_target: bool,
}

impl RequestTiming {
    /// Reads the limit that the client states from the headers, and records it.
    pub fn new(
        proxy: &Proxy,
        route: &Route,
        headers: &HeaderMap,
        received_at: Duration,
    ) -> RequestTiming {
        let rule = route.rule();
        let configured_limit = rule.deadline.unwrap_or(route.class().deadline);
        let client_limit = headers
            .get(proxy.node.settings.wire_format.headers().deadline)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(configured_limit, Duration::from_millis);
        let limit = configured_limit.min(client_limit);
        let mut client_deadlines = proxy.client_deadlines.lock().expect("no panic under this lock");
        let is_past_latency_target = client_deadlines.is_past_target(
            received_at,
            &rule.name,
            client_limit,
            rule.latency_target,
        );
        RequestTiming { limit, deadline: received_at + limit, is_past_latency_target }
    }
}
