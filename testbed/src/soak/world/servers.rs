//! Actions on the stub servers of a soak test, and what the servers recorded.

use super::{APPS, Incarnation, POLL_INTERVAL, World};
use crate::soak::record::{Arrival, Fault, ServerIncarnation};
use crate::stub::{Behavior, ListedServer, StubServer};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// How long after the removal of a server the loss of its requests in flight counts as the effect of a fault.
const SERVER_REMOVAL_FAULT: Duration = Duration::from_secs(1);

impl World {
    /// Marks the server as draining in the endpoint list.
    pub(super) fn drain_server(&mut self, server: usize) {
        let now = self.start.elapsed();
        let incarnation = &mut self.incarnations[self.current[server]];
        incarnation.draining_since = Some(now);
        let id = incarnation.id.clone();
        self.fleet.platform.update_list(|list| {
            list.iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.draining = true);
        });
    }

    /// Stops the server and removes it from the endpoint list.
    pub(super) fn remove_server(&mut self, server: usize) {
        self.faults.record(Fault::Server, SERVER_REMOVAL_FAULT);
        let id = self.incarnations[self.current[server]].id.clone();
        self.fleet.servers[server].stop();
        self.fleet.platform.update_list(|list| list.retain(|entry| entry.id != id));
    }

    /// Starts a new server at the address of a removed one and lists it at once.
    pub(super) async fn reuse_address(&mut self, server: usize, is_other_service: bool) {
        let old = &self.incarnations[self.current[server]];
        let position = APPS.iter().position(|app| *app == old.app).unwrap_or_default();
        let app = APPS[(position + usize::from(is_other_service)) % APPS.len()].to_string();
        let id = format!("{app}-{server}-again");
        let (zone, address) = (old.zone, self.fleet.servers[server].address);
        let new = loop {
            match StubServer::start(&id, address).await {
                Ok(new) => break new,
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        let listed = ListedServer {
            id: id.clone(),
            address,
            region: zone.1.to_string(),
            zone: zone.0.to_string(),
            labels: vec![("app".to_string(), app.clone())],
            draining: false,
        };
        self.incarnations.push(Incarnation {
            state: new.state.clone(),
            id,
            app,
            zone,
            draining_since: None,
        });
        self.current[server] = self.incarnations.len() - 1;
        self.fleet.servers[server] = new;
        self.fleet.platform.update_list(|list| list.push(listed));
    }

    /// Sets the behavior of a server.
    pub(super) fn set_behavior(&mut self, server: usize, behavior: Behavior) {
        let key = format!("behavior {server}");
        if behavior == Behavior::Normal {
            self.faults.end(&key);
        } else if behavior != Behavior::Slow {
            // Slow responses are no fault: no invariant may be violated because of them.
            self.faults.begin(key, Fault::Server);
        }
        self.fleet.servers[server].set_behavior(behavior);
    }

    /// All incarnations of servers with the requests that they received.
    pub(super) fn server_incarnations(&self) -> Vec<ServerIncarnation> {
        let start = self.start;
        let incarnation = |incarnation: &Incarnation| {
            let arrivals = incarnation.state.arrivals.lock().expect("no panic under this lock");
            let arrivals = arrivals.iter().map(|arrival| Arrival {
                at: arrival.at.saturating_duration_since(start),
                request_id: arrival.request_id.clone(),
                path: arrival.path.clone(),
                tenant: arrival.tenant.clone(),
                has_key: arrival.has_key,
            });
            ServerIncarnation {
                id: incarnation.id.clone(),
                app: incarnation.app.clone(),
                zone: incarnation.zone.0.to_string(),
                draining_since: incarnation.draining_since,
                arrivals: arrivals.collect(),
            }
        };
        self.incarnations.iter().map(incarnation).collect()
    }

    /// Requests whose connection was closed while a server was executing them.
    pub(super) fn aborted_requests(&self) -> HashSet<String> {
        let mut request_ids = HashSet::new();
        for incarnation in &self.incarnations {
            let aborted_requests =
                incarnation.state.aborted_requests.lock().expect("no panic under this lock");
            request_ids.extend(aborted_requests.iter().cloned());
        }
        request_ids
    }

    /// How often each request was executed, summed over all servers.
    pub(super) fn execution_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for incarnation in &self.incarnations {
            for (request_id, count) in
                incarnation.state.execution_counts.lock().expect("no panic under this lock").iter()
            {
                *counts.entry(request_id.clone()).or_default() += count;
            }
        }
        counts
    }
}
