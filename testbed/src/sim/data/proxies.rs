//! Proxies: the shell round the cores of a proxy, which decides nothing.

use super::*;

impl Sim {
    /// News is in force at once: servers and classes as it wants them.
    pub fn adopt_view(&mut self, index: usize) {
        let now = self.net.local(self.daemons[index].host);
        let view = self.daemons[index].view.clone();
        let name = self.daemons[index].card.name.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let revision = vanepath_proxy::endpoints::revision_of(&view);
        if proxy.revision == Some(revision) {
            return;
        }
        let mut woken = Vec::new();
        if proxy.revision.is_none_or(|old| old.config != revision.config) {
            proxy.classes.adopt(&view.config);
            woken = proxy.classes.wake();
            proxy
                .request_counts
                .set_services(view.config.services.iter().map(|one| one.name.as_str()));
        }
        proxy.revision = Some(revision);
        let cold = |server: &vanepath_config::endpoint_list::Server, services: &[usize]| {
            vanepath_proxy::endpoints::slow_start_rate(&view, &name, server, services)
        };
        let mut list = (*view.endpoints).clone();
        if self.breaks == Some(Break::IgnoresLeaving) {
            list.servers.iter_mut().for_each(|server| server.draining = false);
        }
        proxy.servers.update(now, revision, &view.config, &list, cold);
        proxy.paces.invalidate();
        self.wake_ways(index, woken);
    }

    pub fn pulse_proxy(&mut self, index: usize) {
        self.adopt_view(index);
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let view = self.daemons[index].view.clone();
        let name = self.daemons[index].card.name.clone();
        let card = self.daemons[index].card.clone();
        let leaving = self.daemons[index].leaving;
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        proxy.pulsed_at = now;
        let revision = vanepath_proxy::endpoints::revision_of(&view);
        let table = proxy.servers.table.load_full();
        let blind_to: &[ServerPhase] = match self.breaks {
            Some(Break::FloodsCold) => &[ServerPhase::WarmingUp, ServerPhase::SlowStart],
            // Who is not avoided is tried again and again.
            Some(Break::UnboundRetries) => {
                &[ServerPhase::WarmingUp, ServerPhase::SlowStart, ServerPhase::Suspect]
            }
            _ => &[],
        };
        for entry in table.endpoints.iter().filter(|_| !blind_to.is_empty()) {
            proxy.servers.update_health(entry.slot, |liveness| {
                liveness.reset_outlier_detection();
                if blind_to.contains(&liveness.phase) {
                    liveness.phase = ServerPhase::Healthy;
                }
            });
        }
        let plan = view.plan.version();
        if proxy.plan != Some((plan, revision)) {
            proxy.plan = Some((plan, revision));
            proxy.servers.apply_plan(now, &view.plan);
        }
        proxy.paces.tick(now, &view, &card, &table);
        let pulsed = proxy.servers.tick(now, &proxy.paces);
        self.world.probes += pulsed.probes.len() as u64;
        let is_fresh = view.is_fresh || self.breaks == Some(Break::StartsStale);
        let ready = proxy.servers.is_ready(now, is_fresh, revision) && !leaving;
        let mut detail = None;
        let is_news = pulsed.has_changes || std::mem::take(&mut proxy.moved);
        if proxy.telling.is_due(now, is_news) {
            let usage = proxy.classes.usage();
            detail = Some(wire::ProxyObservations {
                servers: proxy.servers.observations(now),
                in_flight: usage.iter().map(|class| class.in_flight as u32).collect(),
                queued: usage.iter().map(|class| class.queued as u32).collect(),
                request_rates: proxy.request_counts.measure(now),
            });
        }
        for entry in pulsed.probes {
            let address = table.endpoints[entry].server.address;
            let purpose = Purpose::Probe { slot: table.endpoints[entry].slot, index: entry };
            let limit = vanepath_proxy::connector::TIMEOUT;
            self.net.ask(host, Net::host_at(address), limit, Body::Greet, purpose);
        }
        for note in pulsed.log_lines {
            self.note(|| format!("{name}: {note}"));
        }
        self.daemons[index].is_well = ready;
        if ready {
            self.judge_service(index);
        }
        let report = wire::NodeStatus {
            ready,
            draining: leaving,
            revision: view.committed.revision,
            ..wire::NodeStatus::default()
        };
        self.step_news(index, gossip::Event::StatusChanged(report));
        if let Some(detail) = detail {
            self.step_news(index, gossip::Event::ObservationsChanged(detail));
        }
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
        if proxy.closed && proxy.ways.is_empty() {
            self.crash(index, false);
        }
    }

    /// Asks a daemon to stop in the planned way.
    pub fn terminate(&mut self, index: usize) {
        self.daemons[index].leaving = true;
        let host = self.daemons[index].host;
        let linger = match self.daemons[index].card.role {
            wire::Role::Proxy => Duration::from_millis(3500),
            _ => Duration::from_millis(300),
        };
        self.net.timer(host, linger, Timer::Close);
    }

    pub(super) fn probed(
        &mut self,
        index: usize,
        slot: usize,
        entry: usize,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        proxy.servers.with(slot, |quick| quick.probing = false);
        let table = proxy.servers.table.load_full();
        let Some(entry) = table.endpoints.get(entry).filter(|entry| entry.slot == slot) else {
            return;
        };
        let phase = match body {
            Some(Body::Greeted { server, connection, is_cold, demand_milli })
                if server == entry.server.id =>
            {
                proxy.servers.observe_load(now, slot, demand_milli);
                if is_cold {
                    proxy.servers.update_health(slot, |liveness| {
                        if liveness.phase == ServerPhase::Healthy {
                            liveness.restart_slow_start(now, Duration::ZERO);
                        }
                    });
                }
                let idle = IdleConnection {
                    connection,
                    verified_at: now,
                    idle_since: now,
                    keep_alive: vanepath_proxy::endpoints::MAX_IDLE_TIME,
                    is_used: false,
                };
                proxy.servers.put_idle(slot, idle);
                proxy.servers.record_success(now, slot)
            }
            Some(_) => proxy.servers.record_failure(now, slot, Failure::Refused),
            None if is_reset => proxy.servers.record_failure(now, slot, Failure::Refused),
            None => proxy.servers.record_failure(now, slot, Failure::Silent),
        };
        if let Some(phase) = phase {
            proxy.moved = true;
            let (name, id) = (self.daemons[index].card.name.clone(), entry.server.id.clone());
            self.note(|| format!("{name}: server {id} is {phase}"));
        }
    }

    pub(in crate::sim) fn is_fit(&self, index: usize) -> bool {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return false };
        let view = &self.daemons[index].view;
        let is_fresh = view.is_fresh || self.has(Break::StartsStale);
        let revision = vanepath_proxy::endpoints::revision_of(view);
        now.saturating_sub(proxy.pulsed_at) < gossip::PAUSE_THRESHOLD
            && proxy.servers.is_ready(now, is_fresh, revision)
    }

    pub fn start_way(&mut self, index: usize, request: usize, call: CallId) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        if proxy.closed {
            return self.net.reply(call, Body::Reset);
        }
        self.world.requests[request].carriers.push(host);
        self.world.doors.push((self.net.now, request));
        proxy.next_way += 1;
        let way = proxy.next_way;
        let table = proxy.servers.table.load_full();
        proxy.ways.insert(
            way,
            Way {
                call,
                request,
                chart: RequestLifecycle::new(),
                table,
                rule: 0,
                tried: Vec::new(),
                received_at: now,
                deadline: now + gossip::READINESS_TIMEOUT,
                held: None,
                waits: None,
                in_hand: None,
                index: 0,
                connection: None,
                work: None,
            },
        );
        self.way_ready(index, way);
    }

    pub(super) fn way_timer(&mut self, index: usize, what: Timer) {
        match what {
            Timer::WayReady(way) => self.way_ready(index, way),
            Timer::WayChoose(way) => self.way_choose(index, way),
            Timer::WayLate(way) => self.way_late(index, way),
            Timer::WaySoon(way, go) => self.way_soon(index, way, go),
            Timer::Close => {
                if let Duty::Proxy(proxy) = &mut self.daemons[index].duty {
                    proxy.closed = true;
                    // For callers it is down from here on.
                    let host = self.daemons[index].host;
                    self.net.trouble(host, Ill::Down);
                } else {
                    self.crash(index, false);
                }
            }
            _ => {}
        }
    }

    pub(super) fn way_ready(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        if !self.is_fit(index) {
            let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
            let Some(own) = proxy.ways.get(&way) else { return };
            if self.daemons[index].view.is_stalled {
                return self.end_way(index, way, Err(Rejection::BelowReadIndex));
            }
            if now.saturating_sub(own.received_at) >= gossip::READINESS_TIMEOUT {
                return self.end_way(index, way, Err(Rejection::NotReady));
            }
            return self.net.timer(host, Duration::from_millis(10), Timer::WayReady(way));
        }
        let region = self.daemons[index].card.region.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        own.table = proxy.servers.table.load_full();
        self.judge_service(index);
        self.judge_door(index);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let request = &self.world.requests[own.request];
        let (verb, path) = (method(request.what), self.world.paths[request.what as usize]);
        let setup = own.table.config.clone();
        let rule = setup.rule_for(verb, "h", path);
        let Some(rule) = rule else {
            return self.end_way(index, way, Err(Rejection::Unmatched));
        };
        own.rule = rule;
        let facts = &setup.rules[rule];
        let class = &setup.classes[facts.class];
        own.chart.state = RequestState::Matched;
        own.chart.idempotency = class.idempotency;
        own.chart.is_replayable = true;
        own.deadline = own.received_at + class.deadline;
        if !facts.allows_region(&region) {
            return self.end_way(index, way, Err(Rejection::Misplaced));
        }
        let is_spoilt =
            class.idempotency == Idempotency::NonIdempotent && own.request.is_multiple_of(50);
        if self.breaks == Some(Break::RefusesFilings) && is_spoilt {
            return self.end_way(index, way, Err(Rejection::NoServer));
        }
        proxy.request_counts.record_request(facts.service);
        proxy.budget.record_request(now);
        self.world.took.push(self.net.now);
        own.chart.state = RequestState::Queued;
        let late = own.deadline.saturating_sub(now);
        let class_index = proxy.classes.index(&class.name);
        let Some(class_index) = class_index else {
            return self.end_way(index, way, Err(Rejection::NotReady));
        };
        let entered = proxy.classes.enter(class_index, own.deadline);
        match entered {
            Entered::Admitted(slot) => own.held = Some(slot),
            Entered::QueueFull => return self.end_way(index, way, Err(Rejection::QueueFull)),
            Entered::Queued(number) => {
                own.waits = Some(number);
                proxy.waiting.insert(number, way);
            }
        }
        let is_in = own.held.is_some();
        self.net.timer(host, late, Timer::WayLate(way));
        if is_in {
            self.way_choose(index, way);
        }
    }

    pub(super) fn wake_ways(&mut self, index: usize, woken: Vec<Woken>) {
        for Woken { ticket, slot } in woken {
            let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
            let Some(way) = proxy.waiting.remove(&ticket) else { continue };
            if let Some(own) = proxy.ways.get_mut(&way) {
                own.waits = None;
                own.held = Some(slot);
                self.way_choose(index, way);
            }
        }
    }

    pub(super) fn way_choose(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let (zone, region) = {
            let card = &self.daemons[index].card;
            (card.zone.clone(), card.region.clone())
        };
        let view = self.daemons[index].view.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if now >= own.deadline {
            return self.end_way(index, way, Err(Rejection::Late));
        }
        own.chart.state = RequestState::Selecting;
        let latest = proxy.servers.table.load_full();
        if !Arc::ptr_eq(&latest.config, &own.table.config) {
            let request = &self.world.requests[own.request];
            let (verb, path) = (method(request.what), self.world.paths[request.what as usize]);
            match latest.config.rule_for(verb, "h", path) {
                Some(rule) => {
                    let is_within = latest.config.rules[rule].allows_region(&region);
                    own.rule = rule;
                    own.table = latest.clone();
                    if !is_within {
                        return self.end_way(index, way, Err(Rejection::Misplaced));
                    }
                }
                None => return self.end_way(index, way, Err(Rejection::Unmatched)),
            }
        }
        own.table = latest;
        let want = SelectionContext {
            rule: own.rule,
            service: own.table.config.rules[own.rule].service,
            drained_zones: &view.committed.drained_zones,
            zone: &zone,
            region: &region,
            tried: &own.tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        let choice = proxy.servers.select(now, &own.table, &want, self.net.random.draw());
        let (entry, _service) = match choice {
            Selection::Server { endpoint: entry, service } => (entry, service),
            Selection::Wait(until) if until < own.deadline => {
                let pause = until.saturating_sub(now).max(Duration::from_millis(1));
                let pause = pause.min(Duration::from_millis(50));
                return self.net.timer(host, pause, Timer::WayChoose(way));
            }
            Selection::Crowded => return self.end_way(index, way, Err(Rejection::Crowded)),
            _ => return self.end_way(index, way, Err(Rejection::NoServer)),
        };
        let slot = own.table.endpoints[entry].slot;
        let address = own.table.endpoints[entry].server.address;
        own.index = entry;
        own.tried.push(slot);
        own.in_hand = Some(slot);
        own.chart.attempts += 1;
        own.chart.state = RequestState::Connecting;
        self.world.goes += 1;
        if own.chart.attempts > 1 {
            self.world.further_goes.push(self.net.now);
        }
        if own.table.endpoints[entry].server.zone != zone {
            self.world.goes_other_zone += 1;
        }
        let (connections, net_now) = (&self.world.connections, self.net.now);
        let fit = |idle: &IdleConnection<u64>| {
            connections
                .get(&idle.connection)
                .is_some_and(|one| one.closed_at.is_none_or(|closed_at| closed_at > net_now))
        };
        let idle = proxy.servers.take_idle(now, slot, fit);
        if self.passes(index, Point::BeforeConnect) {
            return;
        }
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let is_lately = |idle: &IdleConnection<u64>| {
            own.chart.idempotency == Idempotency::Idempotent
                || now.saturating_sub(idle.verified_at) <= Duration::from_secs(1)
        };
        match idle {
            Some(idle) if is_lately(&idle) => {
                own.connection = Some((idle.connection, idle.verified_at));
                self.way_work(index, way);
            }
            _ => {
                let limit = vanepath_proxy::connector::TIMEOUT.min(own.deadline - now);
                let purpose = Purpose::Greet { way };
                self.net.ask(host, Net::host_at(address), limit, Body::Greet, purpose);
            }
        }
    }

    pub(super) fn greeted(&mut self, index: usize, way: usize, body: Option<Body>, is_reset: bool) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let entry = &own.table.endpoints[own.index];
        match body {
            Some(Body::Greeted { server, connection, is_cold, .. })
                if server == entry.server.id =>
            {
                if is_cold {
                    proxy.servers.update_health(entry.slot, |liveness| {
                        if liveness.phase == ServerPhase::Healthy {
                            liveness.restart_slow_start(now, Duration::ZERO);
                        }
                    });
                }
                own.chart.state = RequestState::Verified;
                own.connection = Some((connection, now));
                self.way_work(index, way);
            }
            other => {
                let failure =
                    if other.is_some() || is_reset { Failure::Refused } else { Failure::Silent };
                proxy.servers.record_failure(now, entry.slot, failure);
                self.missed(index, way, AttemptError::NotConnected);
            }
        }
    }

    pub(super) fn way_work(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let word = self.daemons[index].view.committed.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let entry = &own.table.endpoints[own.index];
        let Some((connection, _)) = own.connection else { return };
        if proxy.servers.is_withdrawn(&own.table, entry, &word.drained_zones) {
            return self.missed(index, way, AttemptError::Withdrawn);
        }
        let left = own.deadline.saturating_sub(now);
        own.chart.state = RequestState::Sent;
        own.chart.sends += 1;
        own.chart.sent_at = now;
        proxy.servers.record_sent(now, entry.slot);
        let body = Body::Work { request: own.request, connection, sent_at: self.net.now };
        let target = Net::host_at(entry.server.address);
        if self.passes(index, Point::BeforeSend) {
            return;
        }
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        self.world.requests[own.request].sent_to.push(target);
        own.work = Some(self.net.ask(host, target, left, body, Purpose::Work { way }));
        if let Some(pause) = own.chart.switch_after(left) {
            let go = own.chart.attempts;
            self.net.timer(host, pause, Timer::WaySoon(way, go));
        }
        self.passes(index, Point::AfterSend);
    }

    /// A third of the time left is gone without a reply: to another server, if there is one.
    pub(super) fn way_soon(&mut self, index: usize, way: usize, go: u32) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let card = self.daemons[index].card.clone();
        let view = self.daemons[index].view.clone();
        let live = vanepath_proxy::endpoints::live_proxies(&view);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if own.chart.attempts != go || own.chart.state != RequestState::Sent {
            return;
        }
        let slot = own.table.endpoints[own.index].slot;
        let want = SelectionContext {
            rule: own.rule,
            service: own.table.config.rules[own.rule].service,
            drained_zones: &view.committed.drained_zones,
            zone: &card.zone,
            region: &card.region,
            tried: &own.tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        let had = CurrentAttempt { slot, sent_at: own.chart.sent_at };
        let budget = &mut proxy.budget;
        let may_go = |need| budget.would_allow(now, live, need);
        if proxy.servers.should_switch(now, &own.table, &want, had, may_go) {
            proxy.servers.record_outcome(now, slot, Err(AttemptError::Silent));
            if let Some(call) = own.work.take() {
                self.net.forget(call);
            }
            self.missed(index, way, AttemptError::Silent);
        } else if let Some(pause) = own.chart.switch_after(own.deadline.saturating_sub(now)) {
            self.net.timer(host, pause, Timer::WaySoon(way, go));
        }
    }

    pub(super) fn way_late(&mut self, index: usize, way: usize) {
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
        // What is with a server ends by its own limit.
        if proxy.ways.get(&way).is_some_and(|own| own.waits.is_some()) {
            self.end_way(index, way, Err(Rejection::Late));
        }
    }

    pub(super) fn worked(&mut self, index: usize, way: usize, body: Option<Body>, is_reset: bool) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let slot = own.table.endpoints[own.index].slot;
        own.work = None;
        let outcome = match body {
            Some(Body::Worked { demand_milli, is_truncated: false }) => {
                proxy.servers.observe_load(now, slot, demand_milli);
                Ok(())
            }
            Some(_) => Err(AttemptError::Truncated),
            None if is_reset => Err(AttemptError::LostAfterSend),
            None => Err(AttemptError::Silent),
        };
        proxy.servers.record_outcome(now, slot, outcome);
        if let Err(miss) = outcome {
            return self.missed(index, way, miss);
        }
        if let Some((connection, greeted_at)) = own.connection.take() {
            let idle = IdleConnection {
                connection,
                verified_at: greeted_at,
                idle_since: now,
                keep_alive: vanepath_proxy::endpoints::MAX_IDLE_TIME,
                is_used: true,
            };
            proxy.servers.put_idle(slot, idle);
        }
        own.chart.state = RequestState::Done;
        self.end_way(index, way, Ok(()));
    }

    pub(super) fn missed(&mut self, index: usize, way: usize, miss: AttemptError) {
        let now = self.net.local(self.daemons[index].host);
        let live = vanepath_proxy::endpoints::live_proxies(&self.daemons[index].view);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if let Some(slot) = own.in_hand.take() {
            proxy.servers.release(slot);
        }
        own.connection = None;
        let is_late = now >= own.deadline;
        let slot = own.table.endpoints[own.index].slot;
        let need = proxy.servers.retry_reason_after(miss, slot, own.chart.sent_at);
        let budget = &mut proxy.budget;
        match self.breaks {
            Some(Break::FilingsGoAgain) => own.chart.idempotency = Idempotency::Idempotent,
            Some(Break::LookupsGiveUp) => own.chart.sends = own.chart.max_sends,
            _ => {}
        }
        let is_unbound = self.breaks == Some(Break::UnboundRetries);
        let next = own
            .chart
            .attempt_failed(miss, is_late, || is_unbound || budget.try_take(now, live, need));
        let request = own.request;
        match next {
            AfterFailure::Retry => self.way_choose(index, way),
            AfterFailure::Reject(refusal) => {
                self.world.requests[request].why += &format!("{miss}; ");
                self.end_way(index, way, Err(refusal));
            }
        }
    }

    pub(super) fn end_way(&mut self, index: usize, way: usize, end: Result<(), Rejection>) {
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.remove(&way) else { return };
        if let Some(slot) = own.in_hand {
            proxy.servers.release(slot);
        }
        if let Some(number) = own.waits {
            proxy.classes.leave(number);
            proxy.waiting.remove(&number);
        }
        let woken = own.held.map(|slot| proxy.classes.release(slot)).unwrap_or_default();
        let is_spoilt =
            own.chart.idempotency == Idempotency::NonIdempotent && own.request.is_multiple_of(50);
        let verdict = match self.breaks {
            Some(Break::LiesNotRun) if end.is_err() => ExecutionStatus::NotRun,
            Some(Break::DoubtsFilings) if is_spoilt => ExecutionStatus::MayHaveRun,
            _ => own.chart.execution_status(),
        };
        let is_misplaced = end == Err(Rejection::Misplaced);
        let view = &self.daemons[index].view;
        let named: Vec<std::net::SocketAddr> = if is_misplaced {
            let rule = &own.table.config.rules[own.rule];
            vanepath_proxy::endpoints::eligible_proxies(view, rule)
                .map(|card| card.address)
                .collect()
        } else {
            Vec::new()
        };
        let status = match end {
            Ok(()) => 200,
            Err(refusal) => {
                let why = &mut self.world.requests[own.request].why;
                *why += &format!("{refusal} at {}; ", self.daemons[index].card.name);
                refusal.status(verdict).as_u16()
            }
        };
        if self.passes(index, Point::BeforePassing) {
            return;
        }
        self.net.reply(own.call, Body::Carried { verdict, status, named });
        if self.passes(index, Point::AfterPassing) {
            return;
        }
        self.wake_ways(index, woken);
    }
}
