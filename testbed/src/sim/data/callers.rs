//! Callers: they ask the directory, send requests and go on as the caller library does.

use super::*;

impl Sim {
    pub(super) fn poll(&mut self, caller: usize) {
        let now = self.net.now;
        let own = &mut self.world.callers[caller];
        let host = own.host;
        if let Some((directory, uri)) = own.steering.start_poll(now) {
            let target = Net::host_at(directory);
            let limit = vanepath_client::client::POLL_TIMEOUT;
            self.net.ask(host, target, limit, Body::Steer(uri), Purpose::Poll { caller });
        }
        let pause = self.world.callers[caller].steering.next_poll_at().saturating_sub(now);
        let pause = pause.clamp(Duration::from_millis(20), Duration::from_millis(200));
        self.net.timer(host, pause, Timer::Poll(caller));
    }

    pub(super) fn next_request(&mut self, caller: usize) {
        if self.world.stopped {
            return;
        }
        let host = self.world.callers[caller].host;
        let weight = self.world.callers[caller].weight;
        let mean = self.world.callers.len() as f64 / self.world.rate / weight;
        let pause = -(1.0 - self.net.random.part()).ln() * mean;
        self.net.timer(host, Duration::from_secs_f64(pause), Timer::NextRequest(caller));
        if self.world.callers[caller].steering.response().is_none() {
            return;
        }
        let sum: u32 = self.world.mix.iter().sum();
        let mut turn = (self.net.random.draw() % u64::from(sum)) as u32;
        let mut what = What::Lookup;
        for (part, one) in
            self.world.mix.iter().zip([What::Lookup, What::Filing, What::BoundFiling, What::Bulk])
        {
            what = one;
            if turn < *part {
                break;
            }
            turn -= part;
        }
        let now = self.net.now;
        let path = self.world.paths[what as usize];
        let steering = &mut self.world.callers[caller].steering;
        let order = steering.attempt_order(now, method(what), "h", path);
        let is_once = steering.is_at_most_once(method(what), "h", path);
        self.world.requests.push(Request {
            what,
            caller,
            started_at: now,
            ended_at: None,
            verdict: ExecutionStatus::NotRun,
            status: 0,
            tries: 0,
            drops: 0,
            order,
            at: 0,
            may_have_run: false,
            is_once,
            connecting: false,
            is_stale: false,
            carriers: Vec::new(),
            asked: Vec::new(),
            sent_to: Vec::new(),
            ran_at: Vec::new(),
            why: String::new(),
        });
        let request = self.world.requests.len() - 1;
        self.go_on(request);
    }

    /// The next place of a request's order, as the caller library goes on.
    pub(super) fn go_on(&mut self, number: usize) {
        let request = &mut self.world.requests[number];
        let most = vanepath_client::client::MAX_ATTEMPTS;
        let Some(address) = request.order.get(request.at).copied().filter(|_| request.at < most)
        else {
            return self.end_request(number);
        };
        request.at += 1;
        if !self.world.callers[request.caller].steering.is_listed(&address) {
            return self.go_on(number);
        }
        request.tries += 1;
        let target = Net::host_at(address);
        let caller = request.caller;
        let host = self.world.callers[caller].host;
        let life = self.net.hosts[target].life;
        let now = self.net.now;
        let is_once = self.world.requests[number].is_once;
        let may_use_open =
            self.world.callers[caller].steering.may_reuse_connection(now, &address, is_once);
        let open = &mut self.world.callers[caller].open;
        let is_open = may_use_open && open.contains(&(target, life));
        // One that its machine forgot when it lost power, of which nothing told this side: what is
        // written to it comes back as a reset.
        let silent_lives = &self.net.hosts[target].silent_lives;
        let stale = silent_lives.iter().map(|life| (target, *life)).find(|one| open.contains(one));
        let is_stale = may_use_open && !is_open && stale.is_some();
        if let Some(stale) = stale {
            open.remove(&stale);
        }
        let is_there = self.net.hosts[target].powered && !self.net.is_cut(host, target);
        let request = &mut self.world.requests[number];
        request.is_stale = is_stale;
        request.connecting = !is_open && !is_there && !is_stale;
        let is_last = request.at >= request.order.len().min(most);
        let limit = if request.connecting { Duration::from_secs(1) } else { CALL_LIMIT };
        let may_leave = !request.is_once && !is_last && !request.connecting;
        self.world.callers[caller].steering.request_started(now, address);
        self.world.requests[number].asked.push(target);
        if is_stale && is_there {
            let delay = 2 * self.net.delays.caller;
            let what = Timer::Stale { request: number, target };
            self.net.timer(host, delay, what);
            return;
        }
        let purpose = Purpose::Carry { request: number };
        let call = self.net.ask(host, target, limit, Body::Carry(number), purpose);
        if may_leave {
            let what = Timer::Leave { request: number, target, call };
            self.net.timer(host, vanepath_client::client::SUSPICION_CHECK_INTERVAL, what);
        }
    }

    pub(super) fn end_request(&mut self, number: usize) {
        let now = self.net.now;
        let request = &mut self.world.requests[number];
        request.ended_at = Some(now);
        if request.may_have_run && request.verdict == ExecutionStatus::NotRun {
            request.verdict = ExecutionStatus::MayHaveRun;
        }
    }

    pub(super) fn carried(
        &mut self,
        number: usize,
        target: HostId,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.now;
        let life = self.net.hosts[target].life;
        let request = &mut self.world.requests[number];
        let caller = &mut self.world.callers[request.caller];
        let address = Net::address_of(target);
        caller.steering.request_finished(now, address, body.is_some());
        match body {
            Some(Body::Carried { verdict, status, named }) => {
                caller.open.insert((target, life));
                request.verdict = verdict;
                request.status = status;
                request.may_have_run |= verdict != ExecutionStatus::NotRun;
                request.drops += u32::from(status == 503);
                let may_go_on = !(request.is_once && request.may_have_run)
                    && request.drops < vanepath_client::client::MAX_REJECTIONS
                    && self.breaks != Some(Break::LookupsGiveUp);
                if !may_go_on || !caller.steering.should_retry(now, status, verdict) {
                    return self.end_request(number);
                }
                if status == 421 {
                    caller.steering.redirect(now, &mut request.order, request.at, &named);
                }
            }
            _ => {
                // A reset before anything was sent is a refused connection.
                let is_unsent = (request.connecting
                    || (is_reset && !caller.open.contains(&(target, life)))
                    || (is_reset && !self.net.hosts[target].up))
                    && !request.is_stale;
                caller.open.remove(&(target, life));
                // A caller cannot see into the proxy: once a byte went out it must assume that.
                let was_connected = !is_unsent || request.carriers.contains(&target);
                request.verdict = if was_connected {
                    ExecutionStatus::MayHaveRun
                } else {
                    ExecutionStatus::NotRun
                };
                request.may_have_run |= was_connected;
                request.status = 0;
                caller.steering.penalize(now, address);
                if request.is_once && request.may_have_run {
                    return self.end_request(number);
                }
            }
        }
        self.go_on(number);
    }

    pub fn data_replied(
        &mut self,
        asker: HostId,
        target: HostId,
        _call: CallId,
        purpose: Purpose,
        body: Option<Body>,
        is_reset: bool,
    ) {
        match purpose {
            Purpose::Poll { caller } => {
                let receipt = match body {
                    Some(Body::Receipt(text)) => {
                        // The judge goes by what the directory said, not by what is made of it.
                        let said = jzon::parse(&text).ok().and_then(|all| all["TTL"].as_f64());
                        if let Some(said) = said {
                            self.world.longest_receipt = self.world.longest_receipt.max(said);
                        }
                        parse_response(&text).ok()
                    }
                    _ => None,
                };
                let now = self.net.now;
                self.world.polls.push((now, receipt.is_some()));
                let own = &mut self.world.callers[caller];
                if let Some(receipt) = &receipt {
                    own.receipts.push((now, receipt.ttl, receipt.revision));
                }
                own.steering.finish_poll(now, receipt);
            }
            Purpose::Carry { request } => self.carried(request, target, body, is_reset),
            Purpose::Greet { way } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.greeted(index, way, body, is_reset);
                }
            }
            Purpose::Probe { slot, index: entry } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.probed(index, slot, entry, body, is_reset);
                }
            }
            Purpose::Work { way } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.worked(index, way, body, is_reset);
                }
            }
            _ => {}
        }
    }
}
