//! Reachability: what each node could have known, from outside. Which nodes are up and which paths
//! between them work is the simulator's knowledge and not the nodes' own. No node is excused for a whole
//! run, only for the time in which no path led to it from where something was known (design 10.5).

use super::network::HostId;
use super::state::{
    KnowableRevisions, KnownRevisions, OperatorCall, Reachability, RoleState, Sim, ZoneDrain,
    knowable_since,
};
use std::collections::BTreeMap;
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

/// Within this time a new configuration, endpoint list or drained server has to be in effect.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Within this time a drained zone has to get no new requests.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the fleet is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Something that a proxy could have known for some time.
struct Overdue {
    late: Duration,
    timeout: Duration,
    text: String,
}

impl Sim {
    /// Whether a call from one node to the other, and its reply, would arrive.
    fn is_path(&self, one: usize, other: usize) -> bool {
        self.are_connected(self.nodes[one].host, self.nodes[other].host)
    }

    /// Observes the fleet, if it is time.
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
        for part in self.partitions() {
            self.learn(&mut reachability, &part);
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
            let before = std::mem::replace(&mut reachability.incarnations[index], incarnation);
            if before != incarnation && is_up {
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

    /// The partitions of the fleet: within each, any node can hear of what any other one knows.
    fn partitions(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.is_up(*index)).collect();
        let mut partitions = Vec::new();
        while let Some(first) = left.pop() {
            let mut part = vec![first];
            let mut next = 0;
            while next < part.len() {
                let from = part[next];
                next += 1;
                let (found, rest) = left.iter().partition(|index| self.is_path(from, **index));
                part.extend::<Vec<usize>>(found);
                left = rest;
            }
            partitions.push(part);
        }
        partitions
    }

    /// What the nodes of a partition can know from now on.
    fn learn(&self, reachability: &mut Reachability, part: &[usize]) {
        let now = self.net.now;
        let voting: Vec<usize> = self.of_role_in(part, Role::Store, Sim::is_voting);
        let config = self.best_config(reachability, part, &voting);
        let list = self.best_endpoint_list(part);
        for index in part {
            let knowable = &mut reachability.knowable[*index];
            for (all, best) in [(&mut knowable.config, config), (&mut knowable.endpoint_list, list)]
            {
                all.retain(|revision, _| *revision <= best);
                all.entry(best).or_insert(now);
            }
        }
        for registry in self.of_role_in(part, Role::Registry, |_, _| true) {
            if !self.reaches_majority(registry, &voting) || self.nodes[registry].is_draining {
                reachability.majority_since[registry] = None;
            } else {
                reachability.majority_since[registry].get_or_insert(now);
            }
        }
    }

    fn of_role_in(
        &self,
        part: &[usize],
        role: Role,
        is_wanted: impl Fn(&Sim, usize) -> bool,
    ) -> Vec<usize> {
        part.iter()
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

    /// The latest configuration that a partition can know: the latest one of its nodes, and what a
    /// majority of its stores accepted, which they can settle between them.
    fn best_config(&self, reachability: &Reachability, part: &[usize], voting: &[usize]) -> u64 {
        let revisions = part.iter().map(|index| self.nodes[*index].gossip.committed.revision);
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

    /// The latest endpoint list that a partition can know.
    fn best_endpoint_list(&self, part: &[usize]) -> u64 {
        let revisions = part.iter().map(|index| {
            self.source_list_revision(self.nodes[*index].gossip.endpoints.current().revision)
        });
        let best = revisions.max().unwrap_or(0);
        let reaches_platform =
            |index: usize| self.are_connected(self.nodes[index].host, self.platform_host);
        let registries = self.of_role_in(part, Role::Registry, |_, _| true);
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

    /// Whether a registry reaches voting stores, and each of these a majority: a store that only the
    /// registry reaches may be tried first, in vain.
    fn reaches_majority(&self, registry: usize, voting: &[usize]) -> bool {
        let near: Vec<usize> =
            voting.iter().copied().filter(|store| self.is_path(registry, *store)).collect();
        let has_others = |one: &usize| {
            let others = near.iter().filter(|other| *other != one);
            others.filter(|other| self.is_path(*one, **other)).count() + 1 >= self.majority()
        };
        !near.is_empty() && near.iter().all(has_others)
    }

    /// A proxy uses a revision although it could have known a newer one for too long.
    fn check_delay(&self, reachability: &mut Reachability, index: usize, own: KnownRevisions) {
        let now = self.net.now;
        let knowable = reachability.knowable[index].clone();
        for (all, own, kind) in [
            (&knowable.config, own.config, "revision"),
            (&knowable.endpoint_list, own.endpoint_list, "platform list"),
        ] {
            let newer = all.range(own + 1..).min_by_key(|(_, since)| **since);
            let Some((revision, since)) = newer else { continue };
            let delay = now - *since;
            reachability.worst_config_delay = reachability.worst_config_delay.max(delay);
            if delay > PROPAGATION_TIMEOUT {
                let name = &self.nodes[index].info.name;
                let text = format!(
                    "{kind} {revision} could have been known to {name} for {:.1} s at {:.1} s and \
                     was in force on it as {own} still",
                    delay.as_secs_f64(),
                    now.as_secs_f64()
                );
                reachability.report(index, kind, *revision, text);
            }
        }
    }

    /// A proxy says that it is ready, or takes a request: checks the revisions that it uses.
    pub fn check_service(&mut self, index: usize) {
        let own = {
            let node = &self.nodes[index];
            // Its servers are those of the list that its table has, not of the one that it heard of.
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
        // It must wait for what it could hear of from its start on; what a cut kept from it then is due
        // like all updates.
        let started_at = self.reachability.started_at[index];
        let could_know = |all: &BTreeMap<u64, Duration>, minimum| {
            knowable_since(all, minimum).is_some_and(|since| since <= started_at)
        };
        let knows_config = could_know(&knowable.config, minimum.config);
        let knows_list = could_know(&knowable.endpoint_list, minimum.endpoint_list);
        for (own, minimum, could_know, kind) in [
            (own.config, minimum.config, knows_config, "word"),
            (own.endpoint_list, minimum.endpoint_list, knows_list, "list"),
        ] {
            if own < minimum && could_know {
                let name = self.nodes[index].info.name.clone();
                let text = format!(
                    "{name} serves by {kind} {own} at {:.3} s, and {minimum} was in force everywhere \
                     before it started or woke",
                    now.as_secs_f64()
                );
                self.reachability.report(index, kind, minimum, text);
            }
        }
    }

    /// A request comes to a server: checks whether the proxy that sent it could have known better.
    pub fn check_server_arrival(
        &mut self,
        server: usize,
        request: usize,
        proxy_host: HostId,
        sent_at: Duration,
    ) {
        // A frozen server receives it later than it was sent.
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
            let late = now.saturating_sub(since.max(drain.at));
            let text = format!("leaving server {id} got work");
            overdue.push(Overdue { late, timeout: PROPAGATION_TIMEOUT, text });
        }
        for drain in self.reachability.zone_drains.iter().filter(|drain| drain.zone == zone) {
            let is_over = drain.to.is_some_and(|to| now >= to);
            if let (Some(since), false) =
                (knowable_since(&knowable.config, drain.revision), is_over)
            {
                let late = now.saturating_sub(since.max(drain.from));
                let text = format!("request {request} came to {id} in emptied {zone}");
                overdue.push(Overdue { late, timeout: DRAIN_TIMEOUT, text });
            }
        }
        let name = self.nodes[proxy].info.name.clone();
        for Overdue { late, timeout, text } in overdue {
            self.reachability.worst_drain_delay = self.reachability.worst_drain_delay.max(late);
            if late > timeout {
                let text = format!(
                    "{text} by {name}, {:.3} s after it could have known, at {:.1} s",
                    late.as_secs_f64(),
                    now.as_secs_f64()
                );
                self.reachability.report(server, "drain", proxy as u64, text);
            }
        }
    }

    /// A request comes to a proxy in a drained zone: checks whether steering could have told its client.
    pub fn check_proxy_arrival(&mut self, index: usize) {
        let now = self.net.now;
        let zone = self.nodes[index].info.zone.clone();
        for drain in self.reachability.zone_drains.clone() {
            let is_over = drain.to.is_some_and(|to| now >= to);
            if drain.zone != zone || is_over {
                continue;
            }
            // Since when any steering service that clients poll could have told them.
            let since = (0..self.nodes.len())
                .filter(|one| self.nodes[*one].info.role == Role::Registry)
                .filter(|one| self.nodes[*one].is_ready && self.is_up(*one))
                .filter_map(|one| {
                    let knowable = self.reachability.knowable.get(one)?;
                    knowable_since(&knowable.config, drain.revision)
                })
                .min();
            let Some(since) = since else { continue };
            let late = now.saturating_sub(since.max(drain.from));
            self.reachability.worst_drain_delay = self.reachability.worst_drain_delay.max(late);
            if late > DRAIN_TIMEOUT {
                let text = format!(
                    "a caller came to {} in emptied {zone} {:.3} s after it could have been told",
                    self.nodes[index].info.name,
                    late.as_secs_f64()
                );
                self.reachability.report(index, "door", drain.revision, text);
            }
        }
    }

    /// An operator sends a call, or it ends.
    pub fn observe_operation(&mut self, operation: usize) {
        let now = self.net.now;
        let operation = self.operations[operation].clone();
        let revision = match &operation.outcome {
            Some(Outcome::Accepted { revision, .. }) => Some(*revision),
            _ => None,
        };
        // Rejected or left unknown although a majority could have settled it.
        let is_unsettled = operation.ended_at.is_some()
            && matches!(
                operation.outcome,
                None | Some(Outcome::NotApplied { .. } | Outcome::Unknown)
            );
        let majority_since =
            self.reachability.majority_since.get(operation.registry).copied().flatten();
        // A call without a key is sent again after a second; whether it took effect, the end of the run
        // shows.
        let evacuation = operation.call.evacuation();
        let is_unsettled = is_unsettled && !operation.call.is_invalid() && evacuation.is_none();
        // A registry that dies with a call in progress cannot end it.
        let host = self.nodes[operation.registry].host;
        let is_unsettled = is_unsettled && !self.net.had_fault(host, operation.started_at, now);
        if is_unsettled && majority_since.is_some_and(|since| since <= operation.started_at) {
            let text = format!(
                "an operator's call at {:.3} s ended {:.3} s with {:?}, and {} reached a majority \
                 all the time: {:?}",
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
                self.reachability.zone_drains.push(ZoneDrain {
                    zone,
                    evacuation,
                    revision,
                    from: now,
                    to: None,
                });
            }
            (OperatorCall::Change { change: Change::RestoreZone { zone }, .. }, _) => {
                let is_own =
                    |one: &&mut ZoneDrain| one.zone == *zone && one.evacuation == evacuation;
                for one in self.reachability.zone_drains.iter_mut().filter(is_own) {
                    one.to.get_or_insert(now);
                }
            }
            _ => {}
        }
    }
}
