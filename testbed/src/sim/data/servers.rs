//! Servers: what comes to them and how they answer.

use super::*;

impl Sim {
    pub fn arrive_at_server(&mut self, host: HostId, asker: HostId, call: CallId, body: Body) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        let life = self.net.hosts[host].life;
        self.gauge(index);
        match body {
            Body::Greet => {
                self.world.next_connection += 1;
                let connection = self.world.next_connection;
                let entry = Connection { server: index, server_life: life, closed_at: None };
                self.world.connections.insert(connection, entry);
                let server = &self.world.servers[index];
                if server.manner == Manner::Silent && server.part >= 1.0 {
                    return;
                }
                let reply = Body::Greeted {
                    server: server.id.clone(),
                    connection,
                    is_cold: server.says_cold,
                    demand_milli: server.demand_milli,
                };
                self.net.reply(call, reply);
            }
            Body::Work { request, connection, sent_at } => {
                let is_same = self
                    .world
                    .connections
                    .get(&connection)
                    .is_some_and(|one| one.server == index && one.server_life == life);
                if !is_same {
                    return self.net.reply(call, Body::Reset);
                }
                let now = self.net.now;
                let by_manner = self.net.random.part() < self.world.servers[index].part;
                let server = &mut self.world.servers[index];
                server.arrivals.push((now, request, asker));
                self.judge_arrival(index, request, asker, sent_at);
                let server = &mut self.world.servers[index];
                let manner = if by_manner { server.manner } else { Manner::Good };
                if manner == Manner::Silent {
                    return;
                }
                *server.runs.entry(request).or_default() += 1;
                server.in_hand += 1;
                self.world.requests[request].ran_at.push(index);
                if self.world.servers[index].workers > 0 {
                    self.gauge(index);
                    let server = &mut self.world.servers[index];
                    if server.working >= server.workers {
                        server.queue.push_back((call, request));
                        return;
                    }
                    server.working += 1;
                }
                self.serve(index, call, request);
            }
            _ => {}
        }
    }

    pub(super) fn serve(&mut self, index: usize, call: CallId, request: usize) {
        let part = 0.5 + self.net.random.part();
        let server = &self.world.servers[index];
        let (host, service) = (server.host, server.service.mul_f64(part));
        self.net.timer(host, service, Timer::ServerDone { call, request });
    }

    /// A server with workers tells the demand that it is under.
    pub(super) fn gauge(&mut self, index: usize) {
        let now = self.net.now;
        let server = &mut self.world.servers[index];
        if server.workers > 0 {
            let part = 1.0 - (-(now - server.load_at).as_secs_f64()).exp();
            let wanted = f64::from(server.working) + server.queue.len() as f64;
            server.load += part * (wanted / f64::from(server.workers) - server.load);
            self.world.worst_load = self.world.worst_load.max(server.load);
            server.load_at = now;
            server.demand_milli = (server.load * 1000.0).min(5000.0) as u32;
        }
    }

    pub(super) fn server_done(&mut self, host: HostId, call: CallId, _request: usize) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        if self.world.servers[index].workers > 0 {
            self.gauge(index);
            let server = &mut self.world.servers[index];
            match server.queue.pop_front() {
                Some((call, request)) => self.serve(index, call, request),
                None => server.working = server.working.saturating_sub(1),
            }
        }
        let by_manner = self.net.random.part() < self.world.servers[index].part;
        let server = &mut self.world.servers[index];
        server.in_hand = server.in_hand.saturating_sub(1);
        let manner = if by_manner { server.manner } else { Manner::Good };
        let demand_milli = server.demand_milli;
        let body = match manner {
            Manner::RunAndLose => Body::Reset,
            manner => Body::Worked { demand_milli, is_truncated: manner == Manner::Truncate },
        };
        self.net.reply(call, body);
    }
}
