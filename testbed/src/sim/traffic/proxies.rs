//! Proxies: ticks, health checks and readiness. This is a thin shell around the cores of a proxy.

use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, HostFaultKind, Network, Purpose, Timer};
use crate::sim::state::{Proxy, RoleState, Sim};
use std::time::Duration;
use vanepath_cluster::{gossip, wire};
use vanepath_config::endpoint_list::Server as ListedServer;
use vanepath_proxy::connector;
use vanepath_proxy::endpoints::{self, IdleConnection, RoutingTable};
use vanepath_proxy::health::{Failure, ServerPhase};

impl Sim {
    /// Applies the servers, classes and rules of a proxy's new view at once.
    pub fn apply_view(&mut self, index: usize) {
        let now = self.net.local_time(self.nodes[index].host);
        let view = self.nodes[index].view.clone();
        let name = self.nodes[index].info.name.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let revision = endpoints::revision_of(&view);
        if proxy.table_revision == Some(revision) {
            return;
        }
        let mut admitted = Vec::new();
        if proxy.table_revision.is_none_or(|old| old.config != revision.config) {
            proxy.admission.apply_config(&view.config);
            admitted = proxy.admission.admit_queued();
            proxy
                .request_rates
                .set_services(view.config.services.iter().map(|service| service.name.as_str()));
        }
        proxy.table_revision = Some(revision);
        let slow_start_rate = |server: &ListedServer, services: &[usize]| {
            endpoints::slow_start_rate(&view, &name, server, services)
        };
        let mut list = (*view.endpoints).clone();
        if self.mutation == Some(Mutation::IgnoresDrainingServers) {
            list.servers.iter_mut().for_each(|server| server.draining = false);
        }
        proxy.endpoints.update(now, revision, &view.config, &list, slow_start_rate);
        proxy.probe_schedule.invalidate();
        self.resume_admitted(index, admitted);
    }

    /// A proxy's regular tick.
    pub fn tick_proxy(&mut self, index: usize) {
        self.apply_view(index);
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let view = self.nodes[index].view.clone();
        let name = self.nodes[index].info.name.clone();
        let info = self.nodes[index].info.clone();
        let is_draining = self.nodes[index].is_draining;
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        proxy.last_tick_at = now;
        let revision = endpoints::revision_of(&view);
        let table = proxy.endpoints.table.load_full();
        hide_phases(proxy, &table, self.mutation);
        let plan = view.plan.version();
        if proxy.applied_plan != Some((plan, revision)) {
            proxy.applied_plan = Some((plan, revision));
            proxy.endpoints.apply_plan(now, &view.plan);
        }
        proxy.probe_schedule.tick(now, &view, &info, &table);
        let ticked = proxy.endpoints.tick(now, &proxy.probe_schedule);
        self.world.probes += ticked.probes.len() as u64;
        let is_fresh = view.is_fresh || self.mutation == Some(Mutation::StartsFromStaleConfig);
        let is_current = proxy.endpoints.is_ready(now, is_fresh, revision);
        let ready = is_current && !is_draining;
        let accepts = is_current && !proxy.closed;
        let mut observations = None;
        let has_changes = ticked.has_changes || std::mem::take(&mut proxy.has_phase_changes);
        if proxy.reporter.is_due(now, has_changes) {
            let usage = proxy.admission.usage();
            observations = Some(wire::ProxyObservations {
                servers: proxy.endpoints.observations(now),
                in_flight: usage.iter().map(|class| class.in_flight as u32).collect(),
                queued: usage.iter().map(|class| class.queued as u32).collect(),
                request_rates: proxy.request_rates.measure(now),
            });
        }
        for endpoint in ticked.probes {
            let address = table.endpoints[endpoint].server.address;
            let purpose = Purpose::Probe { slot: table.endpoints[endpoint].slot, index: endpoint };
            let timeout = connector::TIMEOUT;
            self.net.send(host, Network::host_at(address), timeout, Body::HealthCheck, purpose);
        }
        for line in ticked.log_lines {
            self.trace_event(|| format!("{name}: {line}"));
        }
        self.nodes[index].is_ready = ready;
        if ready {
            self.check_service(index);
        }
        let status = wire::NodeStatus {
            ready: accepts,
            draining: is_draining,
            revision: view.committed.revision,
            ..wire::NodeStatus::default()
        };
        self.step_gossip(index, gossip::Event::StatusChanged(status));
        if let Some(observations) = observations {
            self.step_gossip(index, gossip::Event::ObservationsChanged(observations));
        }
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return };
        if proxy.closed && proxy.in_progress.is_empty() {
            self.crash(index, false);
        }
    }

    /// Asks a node to stop gracefully.
    pub fn terminate(&mut self, index: usize) {
        self.nodes[index].is_draining = true;
        let host = self.nodes[index].host;
        let drain_time = match self.nodes[index].info.role {
            wire::Role::Proxy => Duration::from_millis(3500),
            _ => Duration::from_millis(300),
        };
        self.net.set_timer(host, drain_time, Timer::CloseListeners);
    }

    /// Handles a server's response to a health check; `None` if there was none.
    pub(super) fn probe_replied(
        &mut self,
        index: usize,
        slot: usize,
        endpoint: usize,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        proxy.endpoints.with_state(slot, |state| state.probing = false);
        let table = proxy.endpoints.table.load_full();
        let Some(endpoint) = table.endpoints.get(endpoint).filter(|endpoint| endpoint.slot == slot)
        else {
            return;
        };
        let phase = match body {
            Some(Body::HealthCheckResult { server, connection, is_warming_up, load_milli })
                if server == endpoint.server.id =>
            {
                proxy.endpoints.observe_load(now, slot, load_milli);
                if is_warming_up {
                    proxy.endpoints.update_health(slot, |health| {
                        if health.phase == ServerPhase::Healthy {
                            health.restart_slow_start(now, Duration::ZERO);
                        }
                    });
                }
                let idle = IdleConnection {
                    connection,
                    verified_at: now,
                    idle_since: now,
                    keep_alive: endpoints::MAX_IDLE_TIME,
                    is_used: false,
                };
                proxy.endpoints.put_idle(slot, idle);
                proxy.endpoints.record_success(now, slot)
            }
            Some(_) => proxy.endpoints.record_failure(now, slot, Failure::Refused),
            None if is_reset => proxy.endpoints.record_failure(now, slot, Failure::Refused),
            None => proxy.endpoints.record_failure(now, slot, Failure::Unreachable),
        };
        if let Some(phase) = phase {
            proxy.has_phase_changes = true;
            let (name, id) = (self.nodes[index].info.name.clone(), endpoint.server.id.clone());
            self.trace_event(|| format!("{name}: server {id} is {phase}"));
        }
    }

    /// Whether a proxy would admit a request now.
    pub(in crate::sim) fn is_proxy_ready(&self, index: usize) -> bool {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return false };
        let view = &self.nodes[index].view;
        let is_fresh = view.is_fresh || self.has_mutation(Mutation::StartsFromStaleConfig);
        let revision = endpoints::revision_of(view);
        now.saturating_sub(proxy.last_tick_at) < gossip::PAUSE_THRESHOLD
            && proxy.endpoints.is_ready(now, is_fresh, revision)
    }

    /// Handles a timer of a proxy, or ends a draining node of another role.
    pub(super) fn proxy_timer(&mut self, index: usize, timer: Timer) {
        match timer {
            Timer::AdmitRequest(progress_id) => self.admit_request(index, progress_id),
            Timer::SelectServer(progress_id) => self.select_server(index, progress_id),
            Timer::QueueTimeout(progress_id) => self.queue_timed_out(index, progress_id),
            Timer::HedgeRequest { progress_id, timer } => {
                self.hedge_request(index, progress_id, timer);
            }
            Timer::CloseListeners => {
                if let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state {
                    proxy.closed = true;
                    // For clients the proxy is down from now on.
                    let host = self.nodes[index].host;
                    self.net.begin_fault(host, HostFaultKind::Down);
                } else {
                    self.crash(index, false);
                }
            }
            _ => {}
        }
    }
}

/// Implements [`Mutation::SkipsSlowStart`] and [`Mutation::UnboundRetries`]: servers in some phases
/// count as healthy.
fn hide_phases(proxy: &mut Proxy, table: &RoutingTable, mutation: Option<Mutation>) {
    let hidden: &[ServerPhase] = match mutation {
        Some(Mutation::SkipsSlowStart) => &[ServerPhase::WarmingUp, ServerPhase::SlowStart],
        // Proxies avoid suspect servers. This mutation hides the suspicion, so that such servers
        // are tried again and again.
        Some(Mutation::UnboundRetries) => {
            &[ServerPhase::WarmingUp, ServerPhase::SlowStart, ServerPhase::Suspect]
        }
        _ => return,
    };
    for endpoint in &table.endpoints {
        proxy.endpoints.update_health(endpoint.slot, |health| {
            health.reset_outlier_detection();
            if hidden.contains(&health.phase) {
                health.phase = ServerPhase::Healthy;
            }
        });
    }
}
