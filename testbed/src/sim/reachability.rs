//! Reachability: computes from outside what each node could have known. It uses the simulator's
//! knowledge of which nodes are up and which paths between them work, not the nodes' own. A node is
//! excused only for the time during which no path led to it from a node with the knowledge in
//! question, never for a whole run (design 10.5).

use super::network::HostId;
use super::state::{
    KnowableRevisions, KnownRevisions, OperatorCall, Reachability, RoleState, Sim, ZoneDrain,
    knowable_since,
};
use std::collections::BTreeMap;
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

/// The time within which a new configuration, a new endpoint list or the drain of a server must be
/// in effect.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// The time after which a drained zone must get no new requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the fleet is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// A request that was sent in spite of a drain, and for how long the proxy could have known of the
/// drain.
struct Overdue {
    delay: Duration,
    timeout: Duration,
    text: String,
}

impl Sim {
    /// Whether a call from one node to the other, and its reply, would arrive.
    fn is_reachable(&self, one: usize, other: usize) -> bool {
        self.are_connected(self.nodes[one].host, self.nodes[other].host)
    }

    /// Observes the fleet, if an observation is due.
    pub fn sample_reachability(&mut self) {
        if self.net.now >= self.reachability.sampled_at + OBSERVATION_INTERVAL {
            self.observe_reachability();
        }
    }

    /// Observes the fleet now.
    pub fn observe_reachability(&mut self) {
        let now = self.net.now;
        let mut reachability = std::mem::take(&mut self.reachability);
        reachability.sampled_at = now;
        reachability.knowable.resize(self.nodes.len(), KnowableRevisions::default());
        reachability.minimum_at_start.resize(self.nodes.len(), KnownRevisions::default());
        reachability.incarnations.resize(self.nodes.len(), (0, false));
        reachability.started_at.resize(self.nodes.len(), Duration::ZERO);
        reachability.majority_since.resize(self.nodes.len(), None);
        for partition in self.partitions() {
            self.update_knowable(&mut reachability, &partition);
        }
        let mut everywhere: Option<KnownRevisions> = None;
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_up = self.is_up(index);
            if !is_up {
                reachability.knowable[index] = KnowableRevisions::default();
                reachability.majority_since[index] = None;
            }
            let incarnation = (self.net.hosts[node.host].incarnation, is_up);
            let previous = std::mem::replace(&mut reachability.incarnations[index], incarnation);
            if previous != incarnation && is_up {
                reachability.minimum_at_start[index] = reachability.in_effect_everywhere;
                reachability.started_at[index] = now;
            }
            if is_up && node.info.role == Role::Proxy {
                let own = KnownRevisions {
                    config: node.view.committed.revision,
                    endpoint_list: self.source_list_revision(node.view.endpoints.revision),
                };
                let least = everywhere.unwrap_or(own);
                everywhere = Some(KnownRevisions {
                    config: least.config.min(own.config),
                    endpoint_list: least.endpoint_list.min(own.endpoint_list),
                });
                self.check_delay(&mut reachability, index, own);
            }
        }
        let everywhere = everywhere.unwrap_or_default();
        let highest = &mut reachability.in_effect_everywhere;
        highest.config = highest.config.max(everywhere.config);
        highest.endpoint_list = highest.endpoint_list.max(everywhere.endpoint_list);
        self.reachability = reachability;
    }

    /// The partitions of the fleet. Within each, any node can learn what any other node knows.
    fn partitions(&self) -> Vec<Vec<usize>> {
        let mut unassigned: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.is_up(*index)).collect();
        let mut partitions = Vec::new();
        while let Some(first) = unassigned.pop() {
            let mut partition = vec![first];
            let mut next = 0;
            while next < partition.len() {
                let from = partition[next];
                next += 1;
                let (found, rest) =
                    unassigned.iter().partition(|index| self.is_reachable(from, **index));
                partition.extend::<Vec<usize>>(found);
                unassigned = rest;
            }
            partitions.push(partition);
        }
        partitions
    }

    /// Records what the nodes of a partition can know from now on.
    fn update_knowable(&self, reachability: &mut Reachability, partition: &[usize]) {
        let now = self.net.now;
        let voting: Vec<usize> = self.of_role_in(partition, Role::Store, Sim::is_voting);
        let config = self.latest_config(reachability, partition, &voting);
        let list = self.latest_endpoint_list(partition);
        for index in partition {
            let knowable = &mut reachability.knowable[*index];
            for (revisions, latest) in
                [(&mut knowable.config, config), (&mut knowable.endpoint_list, list)]
            {
                revisions.retain(|revision, _| *revision <= latest);
                revisions.entry(latest).or_insert(now);
            }
        }
        for registry in self.of_role_in(partition, Role::Registry, |_, _| true) {
            if !self.reaches_majority(registry, &voting) || self.nodes[registry].is_draining {
                reachability.majority_since[registry] = None;
            } else {
                reachability.majority_since[registry].get_or_insert(now);
            }
        }
    }

    fn of_role_in(
        &self,
        partition: &[usize],
        role: Role,
        is_wanted: impl Fn(&Sim, usize) -> bool,
    ) -> Vec<usize> {
        partition
            .iter()
            .copied()
            .filter(|index| self.nodes[*index].info.role == role && is_wanted(self, *index))
            .collect()
    }

    fn is_voting(&self, index: usize) -> bool {
        match &self.nodes[index].role_state {
            RoleState::Store(store) => store.core.summary().is_voting,
            _ => false,
        }
    }

    /// The latest configuration revision that a partition can know: the latest one of its nodes or,
    /// if a majority of the stores is in the partition and accepted it, the latest acknowledged
    /// one, which this majority can commit.
    fn latest_config(
        &self,
        reachability: &Reachability,
        partition: &[usize],
        voting: &[usize],
    ) -> u64 {
        let revisions = partition.iter().map(|index| self.nodes[*index].gossip.committed.revision);
        let best = revisions.max().unwrap_or(0);
        let has_accepted = |index: &&usize| match &self.nodes[**index].role_state {
            RoleState::Store(store) => {
                store.core.summary().accepted >= reachability.acknowledged_revision
            }
            _ => false,
        };
        if voting.iter().filter(has_accepted).count() >= self.majority() {
            best.max(reachability.acknowledged_revision)
        } else {
            best
        }
    }

    /// The latest endpoint list revision that a partition can know.
    fn latest_endpoint_list(&self, partition: &[usize]) -> u64 {
        let revisions = partition.iter().map(|index| {
            self.source_list_revision(self.nodes[*index].gossip.endpoints.current().revision)
        });
        let best = revisions.max().unwrap_or(0);
        let reaches_platform =
            |index: usize| self.are_connected(self.nodes[index].host, self.platform_host);
        let registries = self.of_role_in(partition, Role::Registry, |_, _| true);
        if registries.into_iter().any(reaches_platform) {
            best.max(self.platform_list.revision)
        } else {
            best
        }
    }

    fn are_connected(&self, one: HostId, other: HostId) -> bool {
        !self.net.is_cut(one, other) && !self.net.is_cut(other, one)
    }

    fn majority(&self) -> usize {
        self.member_slots / 2 + 1
    }

    /// Whether a registry reaches voting stores and each of these reaches a majority. Each of them
    /// has to, because the registry may first try a store that reaches no majority, and fail there.
    fn reaches_majority(&self, registry: usize, voting: &[usize]) -> bool {
        let reachable: Vec<usize> =
            voting.iter().copied().filter(|store| self.is_reachable(registry, *store)).collect();
        let has_majority = |store: &usize| {
            let others = reachable.iter().filter(|other| *other != store);
            others.filter(|other| self.is_reachable(*store, **other)).count() + 1 >= self.majority()
        };
        !reachable.is_empty() && reachable.iter().all(has_majority)
    }

    /// Reports a violation if a proxy uses a revision although it could have known a newer one for
    /// too long.
    fn check_delay(&self, reachability: &mut Reachability, index: usize, own: KnownRevisions) {
        let now = self.net.now;
        let knowable = reachability.knowable[index].clone();
        for (revisions, own, kind) in [
            (&knowable.config, own.config, "configuration"),
            (&knowable.endpoint_list, own.endpoint_list, "endpoint list"),
        ] {
            let newer = revisions.range(own + 1..).min_by_key(|(_, since)| **since);
            let Some((revision, since)) = newer else { continue };
            let delay = now - *since;
            reachability.worst_config_delay = reachability.worst_config_delay.max(delay);
            if delay > PROPAGATION_TIMEOUT {
                let name = &self.nodes[index].info.name;
                let text = format!(
                    "{kind} {revision} could have been known to {name} for {:.1} s at {:.1} s, but \
                     {own} was still in effect there",
                    delay.as_secs_f64(),
                    now.as_secs_f64()
                );
                reachability.report(index, kind, *revision, text);
            }
        }
    }

    /// Checks the revisions that a proxy uses, when it reports that it is ready or admits a
    /// request.
    pub fn check_service(&mut self, index: usize) {
        let own = {
            let node = &self.nodes[index];
            // The proxy uses the servers of the list in its routing table, which may be older than
            // the list in its view.
            let list = match &node.role_state {
                RoleState::Proxy(proxy) => proxy.endpoints.table.load().revision.endpoint_list,
                _ => node.view.endpoints.revision,
            };
            KnownRevisions {
                config: node.view.committed.revision,
                endpoint_list: self.source_list_revision(list),
            }
        };
        let Some(minimum) = self.reachability.minimum_at_start.get(index).copied() else { return };
        let knowable = &self.reachability.knowable[index];
        let now = self.net.now;
        // Before a proxy serves, it must wait for revisions that it could have learned from its
        // start on. A revision that a cut withheld from it at its start is due later, within the
        // same time as any update.
        let started_at = self.reachability.started_at[index];
        let could_know = |revisions: &BTreeMap<u64, Duration>, minimum| {
            knowable_since(revisions, minimum).is_some_and(|since| since <= started_at)
        };
        let knows_config = could_know(&knowable.config, minimum.config);
        let knows_list = could_know(&knowable.endpoint_list, minimum.endpoint_list);
        for (own, minimum, could_know, kind) in [
            (own.config, minimum.config, knows_config, "active configuration"),
            (own.endpoint_list, minimum.endpoint_list, knows_list, "applied endpoint list"),
        ] {
            if own < minimum && could_know {
                let name = self.nodes[index].info.name.clone();
                let text = format!(
                    "{name} serves with {kind} {own} at {:.3} s, but {minimum} was in effect \
                     everywhere before it started or resumed",
                    now.as_secs_f64()
                );
                self.reachability.report(index, kind, minimum, text);
            }
        }
    }

    /// Checks, when a request arrives at a server, whether the proxy that sent it could have known
    /// that the server or its zone was drained.
    pub fn check_server_arrival(
        &mut self,
        server: usize,
        request: usize,
        proxy_host: HostId,
        sent_at: Duration,
    ) {
        // The time of sending counts, because a frozen server receives the request later.
        let now = sent_at;
        let Some(proxy) = self.node_by_host.get(&proxy_host).copied() else { return };
        let Some(knowable) = self.reachability.knowable.get(proxy) else { return };
        let (id, zone) = {
            let server = &self.world.servers[server];
            (server.id.clone(), server.zone.clone())
        };
        let mut overdue = Vec::new();
        let drain = self.world.server_drains.iter().find(|drain| drain.server == server);
        if let Some(drain) = drain
            && let Some(since) = knowable_since(&knowable.endpoint_list, drain.list_revision)
        {
            let delay = now.saturating_sub(since.max(drain.at));
            let text = format!("draining server {id} received a request");
            overdue.push(Overdue { delay, timeout: PROPAGATION_TIMEOUT, text });
        }
        for drain in self.reachability.zone_drains.iter().filter(|drain| drain.zone == zone) {
            let is_over = drain.to.is_some_and(|to| now >= to);
            if let (Some(since), false) =
                (knowable_since(&knowable.config, drain.revision), is_over)
            {
                let delay = now.saturating_sub(since.max(drain.from));
                let text = format!("request {request} was sent to {id} in drained zone {zone}");
                overdue.push(Overdue { delay, timeout: DRAIN_TIMEOUT, text });
            }
        }
        let name = self.nodes[proxy].info.name.clone();
        for Overdue { delay, timeout, text } in overdue {
            self.reachability.worst_drain_delay = self.reachability.worst_drain_delay.max(delay);
            if delay > timeout {
                let text = format!(
                    "{text} by {name}, {:.3} s after it could have known, at {:.1} s",
                    delay.as_secs_f64(),
                    now.as_secs_f64()
                );
                self.reachability.report(server, "drain", proxy as u64, text);
            }
        }
    }

    /// Checks, when a request arrives at a proxy in a drained zone, whether steering could have
    /// told the client of the drain.
    pub fn check_proxy_arrival(&mut self, index: usize) {
        let now = self.net.now;
        let zone = self.nodes[index].info.zone.clone();
        for drain in self.reachability.zone_drains.clone() {
            let is_over = drain.to.is_some_and(|to| now >= to);
            if drain.zone != zone || is_over {
                continue;
            }
            // The earliest time since which a registry that is up and ready could have told clients
            // of the drain.
            let since = (0..self.nodes.len())
                .filter(|node| self.nodes[*node].info.role == Role::Registry)
                .filter(|node| self.nodes[*node].is_ready && self.is_up(*node))
                .filter_map(|node| {
                    let knowable = self.reachability.knowable.get(node)?;
                    knowable_since(&knowable.config, drain.revision)
                })
                .min();
            let Some(since) = since else { continue };
            let delay = now.saturating_sub(since.max(drain.from));
            self.reachability.worst_drain_delay = self.reachability.worst_drain_delay.max(delay);
            if delay > DRAIN_TIMEOUT {
                let text = format!(
                    "a client sent a request to {} in drained zone {zone} {:.3} s after it could have \
                     been told",
                    self.nodes[index].info.name,
                    delay.as_secs_f64()
                );
                self.reachability.report(index, "proxy in drained zone", drain.revision, text);
            }
        }
    }

    /// Observes that an operator's call is sent or ends.
    pub fn observe_operation(&mut self, operation: usize) {
        let now = self.net.now;
        let operation = self.operations[operation].clone();
        let revision = match &operation.outcome {
            Some(Outcome::Accepted { revision, .. }) => Some(*revision),
            _ => None,
        };
        // Rejected, or without a known outcome, although a majority could have decided the call.
        let is_unsettled = operation.ended_at.is_some()
            && matches!(
                operation.outcome,
                None | Some(Outcome::NotApplied { .. } | Outcome::Unknown)
            );
        let majority_since =
            self.reachability.majority_since.get(operation.registry).copied().flatten();
        // Calls without an idempotency key are left out: they are sent again after a second, and
        // the end of the run shows whether they took effect.
        let evacuation = operation.call.evacuation();
        let is_unsettled = is_unsettled && !operation.call.is_invalid() && evacuation.is_none();
        // A registry that fails with a call in progress cannot complete it.
        let host = self.nodes[operation.registry].host;
        let is_unsettled = is_unsettled && !self.net.had_fault(host, operation.started_at, now);
        if is_unsettled && majority_since.is_some_and(|since| since <= operation.started_at) {
            let text = format!(
                "an operator's call sent at {:.3} s ended at {:.3} s with {:?}, although {} reached \
                 a majority all the time: {:?}",
                operation.started_at.as_secs_f64(),
                now.as_secs_f64(),
                operation.outcome,
                self.nodes[operation.registry].info.name,
                operation.call
            );
            let text = text.chars().take(240).collect();
            self.reachability.report(operation.registry, "operation", 0, text);
        }
        if let Some(revision) = revision {
            self.reachability.acknowledged_revision =
                self.reachability.acknowledged_revision.max(revision);
        }
        match (&operation.call, revision) {
            (OperatorCall::Change { change: Change::DrainZone { zone }, .. }, Some(revision)) => {
                let zone = zone.clone();
                let drain = ZoneDrain { zone, revision, from: now, to: None };
                self.reachability.zone_drains.push(drain);
            }
            (OperatorCall::Change { change: Change::RestoreZone { zone }, .. }, _) => {
                let drains = self.reachability.zone_drains.iter_mut();
                for drain in drains.filter(|drain| drain.zone == *zone) {
                    drain.to.get_or_insert(now);
                }
            }
            _ => {}
        }
    }
}
