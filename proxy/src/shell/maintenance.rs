//! The maintenance actor. On each tick it updates servers, classes and readiness from the cluster
//! view, starts the health checks that are due, and reports the observations of this proxy.

use super::probing::probe;
use crate::endpoints::{
    ObservationReporter, ProbeSchedule, TableRevision, live_proxies, revision_of, slow_start_rate,
};
use crate::forward::Proxy;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use vanepath_cluster::node::{ClusterView, HandleEvent};
use vanepath_cluster::{gossip, wire};
use vanepath_config::endpoint_list::EndpointList;

/// The interval between two ticks. A change of the cluster view causes a tick at once.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which this proxy's subset of the servers is assigned again.
const SUBSET_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the actor and the task that sends its ticks.
pub(super) fn spawn(proxy: Arc<Proxy>) {
    let mut view = proxy.node.view_updates.clone();
    let actor = xtra::spawn_tokio(MaintenanceActor::new(proxy), xtra::Mailbox::unbounded());
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                Ok(()) = view.changed() => {}
            }
            if actor.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

#[derive(xtra::Actor)]
struct MaintenanceActor {
    proxy: Arc<Proxy>,
    /// The revisions of the config and the endpoint list that the routing table was made from.
    revision: TableRevision,
    /// That list itself: the end of a retained draining mark changes it under its revision.
    endpoint_list: Arc<EndpointList>,
    /// The version of the traffic-shift plan that was applied last, and the revision of the routing
    /// table to which it was applied.
    applied_plan: Option<(wire::PlanVersion, TableRevision)>,
    probe_schedule: ProbeSchedule,
    reporter: ObservationReporter,
    /// The revision of the table and the number of live nodes for which the subset was assigned last.
    assigned_subset: Option<(TableRevision, usize)>,
    subset_due_at: Duration,
}

struct Tick;

impl xtra::Handler<Tick> for MaintenanceActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut xtra::Context<Self>) {
        let view = self.proxy.node.current_view.load_full();
        let now = self.proxy.node.clock.now();
        self.update_from_view(now, &view);
        self.tick_endpoints(now, &view);
        self.publish(now, &view).await;
    }
}

impl MaintenanceActor {
    fn new(proxy: Arc<Proxy>) -> MaintenanceActor {
        MaintenanceActor {
            proxy,
            revision: TableRevision::new(u64::MAX, u64::MAX),
            endpoint_list: Arc::default(),
            applied_plan: None,
            probe_schedule: ProbeSchedule::default(),
            reporter: ObservationReporter::default(),
            assigned_subset: None,
            subset_due_at: Duration::ZERO,
        }
    }

    /// Updates the classes and the routing table if there is a new config or endpoint list.
    fn update_from_view(&mut self, now: Duration, view: &ClusterView) {
        let revision = revision_of(view);
        if revision == self.revision && Arc::ptr_eq(&self.endpoint_list, &view.endpoints) {
            return;
        }
        self.endpoint_list = view.endpoints.clone();
        if self.revision.config != revision.config {
            self.apply_config(view);
        }
        self.revision = revision;
        self.probe_schedule.invalidate();
        let own_name = self.proxy.node.settings.name.as_str();
        let log_lines = self.proxy.endpoints.update(
            now,
            revision,
            &view.config,
            &view.endpoints,
            |server, services| slow_start_rate(view, own_name, server, services),
        );
        if let Some(age) = view.endpoint_list_age(now).filter(|_| !log_lines.is_empty()) {
            let age_ms = age.as_millis();
            log::info!("endpoint list {}, read {age_ms} ms ago", view.endpoints.revision);
        }
        for line in log_lines {
            log::info!("{line}");
        }
    }

    fn apply_config(&self, view: &ClusterView) {
        let mut admission = self.proxy.admission.lock().expect("no panic under this lock");
        admission.apply_config(&view.config);
        let admitted = admission.admit_queued();
        drop(admission);
        self.proxy.pass_slots(admitted);
        let mut request_rates = self.proxy.request_rates.lock().expect("no panic under this lock");
        request_rates
            .set_services(view.config.services.iter().map(|service| service.name.as_str()));
    }

    /// Applies the traffic-shift plan, assigns the subset, and starts the health checks that are due.
    fn tick_endpoints(&mut self, now: Duration, view: &ClusterView) {
        let proxy = &self.proxy;
        if proxy.endpoints.observe_list_age(now, view.endpoint_list_read_at) {
            log_list_age(proxy, now, view);
        }
        proxy.live_proxies.store(live_proxies(view), Ordering::Relaxed);
        let table = proxy.endpoints.table.load_full();
        let plan = view.plan.version();
        if self.applied_plan != Some((plan, self.revision)) {
            self.applied_plan = Some((plan, self.revision));
            proxy.endpoints.apply_plan(now, &view.plan);
        }
        let live_nodes = view.live.len();
        if self.assigned_subset != Some((self.revision, live_nodes)) || now >= self.subset_due_at {
            self.assigned_subset = Some((self.revision, live_nodes));
            self.subset_due_at = now + SUBSET_INTERVAL;
            proxy.endpoints.assign_subset(view, &proxy.node.info);
        }
        self.probe_schedule.tick(now, view, &proxy.node.info, &table);
        let outcome = proxy.endpoints.tick(now, &self.probe_schedule);
        if outcome.has_changes {
            proxy.has_unreported_changes.store(true, Ordering::Relaxed);
        }
        for line in outcome.log_lines {
            log::info!("{line}");
        }
        for index in outcome.probes {
            let endpoint = table.endpoints[index].clone();
            let service = table.config.services[endpoint.services[0]].clone();
            tokio::spawn(probe(proxy.clone(), endpoint, service));
        }
    }

    /// Publishes this node's status to its peers and its observations to the registries.
    async fn publish(&mut self, now: Duration, view: &ClusterView) {
        self.publish_status(now, view).await;
        let proxy = &self.proxy;
        let has_changes = proxy.has_unreported_changes.load(Ordering::Relaxed);
        if !self.reporter.is_due(now, has_changes) {
            return;
        }
        proxy.has_unreported_changes.store(false, Ordering::Relaxed);
        let event = gossip::Event::ObservationsChanged(self.observations(now));
        let _ = proxy.node.gossip.send(HandleEvent(event)).await;
    }

    async fn publish_status(&self, now: Duration, view: &ClusterView) {
        let proxy = &self.proxy;
        let draining = proxy.is_draining();
        let is_current = proxy.endpoints.is_ready(now, view.is_fresh, self.revision);
        let ready = is_current && !draining;
        if proxy.is_ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        let revision = view.committed.revision;
        // A draining proxy is reported as ready for as long as it accepts connections (incident 0020).
        let accepts = is_current && !*proxy.drain.stop_accepting.borrow();
        let status =
            wire::NodeStatus { ready: accepts, draining, revision, ..wire::NodeStatus::default() };
        proxy.node.publish_status(status).await;
    }

    fn observations(&self, now: Duration) -> wire::ProxyObservations {
        let proxy = &self.proxy;
        let servers = proxy.endpoints.observations(now);
        let services = &proxy.endpoints.table.load().config.services;
        if services.iter().all(|service| service.probes_suspects_only) {
            // Where servers are judged by the traffic that they get, no traffic-shift plan is made from
            // reported load.
            return wire::ProxyObservations { servers, ..wire::ProxyObservations::default() };
        }
        let usage = proxy.admission.lock().expect("no panic under this lock").usage();
        wire::ProxyObservations {
            servers,
            in_flight: usage.iter().map(|class| class.in_flight as u32).collect(),
            queued: usage.iter().map(|class| class.queued as u32).collect(),
            request_rates: proxy
                .request_rates
                .lock()
                .expect("no panic under this lock")
                .measure(now),
        }
    }
}

fn log_list_age(proxy: &Proxy, now: Duration, view: &ClusterView) {
    let age_ms = view.endpoint_list_age(now).map_or(0, |age| age.as_millis());
    match proxy.endpoints.has_stale_list() {
        true => log::info!("endpoint list is stale: last read {age_ms} ms ago"),
        false => log::info!("endpoint list is current again: read {age_ms} ms ago"),
    }
}
