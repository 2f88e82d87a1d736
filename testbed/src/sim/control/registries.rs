//! Registries: reading the platform list, store calls, steering and the duty of shares.

use super::*;

impl Sim {
    pub(super) fn pulse_registry(&mut self, index: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let view = self.daemons[index].view.clone();
        let name = self.daemons[index].card.name.clone();
        let leaving = self.daemons[index].leaving;
        let ready = view.committed.revision > 0 && view.is_fresh && !leaving;
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        registry.ready = ready;
        let reads = match self.is_platform_plain {
            true => {
                let draw = self.net.random.draw();
                let reader = registry.reader.get_or_insert_with(|| ListSequencer::new(&name, draw));
                reader.on_tick(now, &view) == Some(Reads::Read)
            }
            false => registry
                .polled_at
                .is_none_or(|at| now >= at + vanepath_registry::discovery::poller::POLL_INTERVAL),
        };
        if reads {
            registry.polled_at = Some(now);
            let target = self.platform_host;
            self.net.ask(host, target, READ_TIMEOUT, Body::ReadPlatform, Purpose::Platform);
        }
        self.daemons[index].is_well = ready;
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        let may_hold = registry.tenure.may_lead(now, view.is_fresh);
        let revision = view.committed.revision;
        let report = wire::NodeStatus {
            ready,
            draining: leaving,
            revision,
            synced: may_hold,
            hears_majority: vanepath_registry::leader::hears_majority(&view),
            ..wire::NodeStatus::default()
        };
        self.step_news(index, gossip::Event::StatusChanged(report));
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        if !may_hold || view.leader(wire::Role::Registry).is_none_or(|card| card.name != name) {
            return;
        }
        let may_move = now >= registry.step_at;
        if may_move {
            registry.step_at = now + Duration::from_secs(4);
        }
        let sources = &self.daemons[index].news.peers;
        let plan = vanepath_registry::leader::next_plan(&view, &name, sources, may_move);
        if let Some(plan) = plan {
            let text = format!("{name}: plan {}.{}", plan.epoch, plan.counter);
            let away: Vec<&String> = plan.unreachable.iter().collect();
            self.note(|| format!("{text}, away {away:?}, cold {:?}", plan.warming_up));
            self.step_news(index, gossip::Event::PlanReceived(Arc::new(plan)));
        }
    }

    pub(super) fn platform_told(
        &mut self,
        index: usize,
        list: Option<Arc<vanepath_config::endpoint_list::EndpointList>>,
    ) {
        if self.is_platform_plain {
            return self.plain_list_told(index, list);
        }
        let last = self.daemons[index].view.endpoints.clone();
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        let Some(list) = list else { return };
        let verdict = vanepath_registry::discovery::poller::evaluate(&last, &list);
        registry.state = Some(verdict);
        if verdict == vanepath_registry::discovery::PollOutcome::Good
            && list.revision > last.revision
        {
            self.step_news(index, gossip::Event::EndpointListReceived(list));
        }
    }

    /// The same for a platform that does not number its lists.
    pub(super) fn plain_list_told(
        &mut self,
        index: usize,
        list: Option<Arc<vanepath_config::endpoint_list::EndpointList>>,
    ) {
        let now = self.net.local(self.daemons[index].host);
        let view = self.daemons[index].view.clone();
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        let Some(reader) = &mut registry.reader else { return };
        let shown = list.as_ref().map(|list| list.revision);
        let servers = list.map(|list| list.servers.clone());
        let told = reader.on_read_completed(now, &view, servers);
        if let (Some(Reads::Publish { list, began_at }), Some(shown)) = (told, shown) {
            let known = self.lists_read.entry(list.revision).or_default();
            *known = shown.max(*known);
            self.step_news(index, gossip::Event::EndpointListRead { list, began_at });
        }
    }

    /// Which of the platform's lists this number stands for.
    pub fn list_shown(&self, revision: u64) -> u64 {
        match self.is_platform_plain {
            true => self.lists_read.get(&revision).copied().unwrap_or_default(),
            false => revision,
        }
    }

    /// The list, or what a platform in trouble says in its place; half the time it is well even then.
    pub(super) fn platform_reply(&mut self) -> Option<Body> {
        if !self.platform_lies {
            return Some(Body::Platform(self.platform.clone()));
        }
        let revision = self.platform.revision;
        let mut list = (*self.platform).clone();
        match self.net.random.below(12) {
            0 => Some(Body::PlatformText("{\"revision\": ".to_string())),
            1 => Some(Body::PlatformText(format!(
                r#"{{"revision": {}, "servers": [{{"id": "x", "address": "nowhere", "zone": "z"}}]}}"#,
                revision + 5
            ))),
            2 => Some(Body::PlatformText(format!(
                r#"{{"revision": {}, "servers": []}}"#,
                revision + 5
            ))),
            3 => Some(Body::PlatformText("<html>503</html>".to_string())),
            4 => {
                // As it was before: nobody leaves.
                list.revision = revision.saturating_sub(1);
                list.servers.iter_mut().for_each(|server| server.draining = false);
                Some(Body::Platform(Arc::new(list)))
            }
            5 => None,
            _ => Some(Body::Platform(self.platform.clone())),
        }
    }

    pub(super) fn platform_text(&mut self, index: usize, text: &str) {
        let last = self.daemons[index].view.endpoints.clone();
        let (verdict, list) =
            vanepath_registry::discovery::poller::parse_response(&last, text.as_bytes());
        if let Duty::Registry(registry) = &mut self.daemons[index].duty {
            registry.state = Some(verdict);
        }
        if let Some(list) = list {
            self.step_news(index, gossip::Event::EndpointListReceived(Arc::new(list)));
        }
    }

    pub(super) fn start_store_call(&mut self, index: usize, operation: usize, call: CallId) {
        if let What::Change { change: Change::ReplaceConfig { bytes, version, .. }, .. } =
            &mut self.operations[operation].what
        {
            match vanepath_config::model::parse(bytes) {
                Ok(setup) => *version = setup.version,
                Err(faults) if self.breaks != Some(Break::TakesInvalid) => {
                    let why: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
                    let why = why.join(", ");
                    return self
                        .net
                        .reply(call, Body::Operated(Outcome::NotApplied { reason: why }));
                }
                Err(_) => {}
            }
        }
        let mut question = match &self.operations[operation].what {
            What::Change { key, change } => {
                let unnamed_for = self.operations[operation].what.order().map(|_| Duration::ZERO);
                Request::Change {
                    key: key.clone(),
                    change: change.clone(),
                    keyless_for: unnamed_for,
                }
            }
            What::Read => Request::Read,
            What::History { revision } => Request::History { revision: *revision },
        };
        if let Request::Change { keyless_for: unnamed_for, change, .. } = &mut question {
            if self.has(Break::CountsSentAgain) {
                *unnamed_for = None;
            }
            let word = &self.daemons[index].view.committed;
            if let Change::DrainZone { zone } = change
                && self.has(Break::OneOrderForAll)
                && word.drained_zones.contains(zone)
            {
                let (revision, setup_revision) = (word.revision, word.config_revision);
                let told = Outcome::Accepted {
                    revision,
                    config_revision: setup_revision,
                    is_repeat: true,
                };
                return self.net.reply(call, Body::Operated(told));
            }
        }
        if self.has(Break::RefusesOperators) && operation.is_multiple_of(9) {
            let why = "broken on purpose".to_string();
            return self.net.reply(call, Body::Operated(Outcome::NotApplied { reason: why }));
        }
        let now = self.net.local(self.daemons[index].host);
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        registry.next_store_call += 1;
        let store_call = registry.next_store_call;
        registry.store_calls.insert(store_call, (StoreRequest::new(question, now), call));
        self.step_store_call(index, store_call);
    }

    pub(super) fn step_store_call(&mut self, index: usize, number: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let stores = vanepath_registry::store_client::stores(&self.daemons[index].view);
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        let Some((store_call, call)) = registry.store_calls.get_mut(&number) else { return };
        match store_call.next(now, stores) {
            NextAction::Send(card) => {
                let target = Net::host_at(card.cluster_address);
                let mut question = store_call.request_at(now);
                if self.passes(index, Point::BeforeStoreAsk) {
                    return;
                }
                if self.has(Break::ForgetsVersions)
                    && let Request::Change { change: Change::ReplaceConfig { version, .. }, .. } =
                        &mut question
                {
                    *version = None;
                }
                if self.has(Break::ForgetsKeys)
                    && let Request::Change { key, .. } = &mut question
                {
                    *key = format!("{key}-{}", self.net.random.draw());
                }
                let body = Body::Ask(question);
                let limit = vanepath_registry::store_client::ATTEMPT_TIMEOUT;
                self.net.ask(host, target, limit, body, Purpose::StoreCall { store_call: number });
                self.passes(index, Point::AfterStoreAsk);
            }
            NextAction::Pause(pause) => self.net.timer(host, pause, Timer::StoreCall(number)),
            NextAction::End(outcome) => {
                let call = *call;
                registry.store_calls.remove(&number);
                self.net.reply(call, Body::Operated(outcome));
            }
        }
    }

    pub(super) fn store_call_told(&mut self, index: usize, number: usize, tell: Option<Response>) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let Duty::Registry(registry) = &mut self.daemons[index].duty else { return };
        let Some((store_call, call)) = registry.store_calls.get_mut(&number) else { return };
        match store_call.on_response(tell) {
            Some(outcome) => {
                let call = *call;
                let answered = store_call.acknowledgement(now, &outcome);
                registry.store_calls.remove(&number);
                if self.passes(index, Point::BeforeReceipt) {
                    return;
                }
                self.net.reply(call, Body::Operated(outcome));
                let Some(answered) = answered else { return };
                for card in vanepath_registry::store_client::stores(&self.daemons[index].view) {
                    let target = Net::host_at(card.cluster_address);
                    let limit = vanepath_registry::store_client::ATTEMPT_TIMEOUT;
                    let body = Body::Ask(answered.clone());
                    self.net.ask(host, target, limit, body, Purpose::None);
                }
            }
            None => self.step_store_call(index, number),
        }
    }

    pub(super) fn steer(&mut self, index: usize, query: &str, call: CallId) {
        let random = self.net.random.draw();
        let daemon = &self.daemons[index];
        let Duty::Registry(registry) = &daemon.duty else { return };
        let own = (daemon.card.zone.as_str(), daemon.card.region.as_str());
        let query = query.split_once('?').map_or("", |(_, query)| query);
        let steered =
            vanepath_registry::steering::steer(&daemon.view, registry.ready, own, query, random);
        if self.has(Break::DirectoriesStayDown) && self.net.now > crate::sim::day::BEGIN {
            return self.net.reply(call, Body::Receipt(String::new()));
        }
        let is_long = self.has(Break::LongReceipts);
        let long = |mut receipt: jzon::JsonValue| {
            if is_long {
                receipt["TTL"] = 9.into();
            }
            receipt.dump()
        };
        let text = steered.response.map(long).unwrap_or_default();
        self.net.reply(call, Body::Receipt(text));
    }

    /// What a store tells, where it is broken on purpose.
    pub(super) fn spoilt(&self, tell: Response) -> Response {
        match tell {
            Response::Outcome(Outcome::Value { mut value }) if self.has(Break::AltersReads) => {
                if let Some(byte) = value.document.last_mut() {
                    *byte = b' ';
                }
                Response::Outcome(Outcome::Value { value })
            }
            Response::Outcome(Outcome::Accepted {
                revision,
                config_revision: setup_revision,
                is_repeat: repeat,
            }) if self.has(Break::WrongRevisions) => {
                let revision = revision.saturating_sub(revision % 3);
                Response::Outcome(Outcome::Accepted {
                    revision,
                    config_revision: setup_revision,
                    is_repeat: repeat,
                })
            }
            tell => tell,
        }
    }
}
