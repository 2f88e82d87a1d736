//! Servers: start, stop and misbehave, receive requests and health checks, and respond.

use crate::sim::network::{Body, CallId, HostFaultKind, HostId, Timer};
use crate::sim::state::{Connection, FailureMode, Server, ServerArrival, ServerRestart, Sim};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use vanepath_cluster::wire;

impl Sim {
    /// Adds a server, which runs from now on.
    pub fn add_server(&mut self, id: &str, app: &str, zone: &str, region: &str) -> usize {
        let host = self.net.add_host(id, zone, region);
        let service_time = Duration::from_millis(4 + self.net.random.draw() % 25);
        self.world.servers.push(Server {
            host,
            id: id.to_string(),
            app: app.to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            failure_mode: FailureMode::Healthy,
            failure_rate: 0.0,
            service_time,
            load_milli: 200,
            workers: 0,
            busy_workers: 0,
            queue: VecDeque::new(),
            load: 0.0,
            load_at: Duration::ZERO,
            restarts: Vec::new(),
            lost_power: false,
            was_observed: false,
            down_at: None,
            arrivals: Vec::new(),
            runs: HashMap::new(),
            reports_warming_up: false,
        });
        let index = self.world.servers.len() - 1;
        self.world.server_by_host.insert(host, index);
        self.net.hosts[host].up = true;
        self.net.hosts[host].incarnation = 1;
        index
    }

    /// Whether any proxy is up and ready, and so checks the servers' health.
    fn is_observed(&self) -> bool {
        (0..self.nodes.len()).any(|index| {
            let node = &self.nodes[index];
            node.info.role == wire::Role::Proxy && node.is_ready && self.is_up(index)
        })
    }

    /// Kills a server's process. With `loses_power`, its machine loses power too.
    pub fn stop_server(&mut self, index: usize, loses_power: bool) {
        let host = self.world.servers[index].host;
        if loses_power {
            self.net.hosts[host].powered = false;
        }
        self.net.stop(host);
        self.world.servers[index].down_at.get_or_insert(self.net.now);
        self.world.servers[index].was_observed = self.is_observed();
        self.world.servers[index].lost_power = loses_power;
        self.world.servers[index].busy_workers = 0;
        self.world.servers[index].queue.clear();
        let noticed_at = self.net.now + Duration::from_millis(2);
        for connection in self.world.connections.values_mut() {
            if connection.server == index && !loses_power {
                connection.closed_at.get_or_insert(noticed_at);
            }
        }
        let id = self.world.servers[index].id.clone();
        self.trace_event(|| format!("server {id} stopped"));
    }

    /// Makes a fraction `rate` of a server's requests fail in this way from now on.
    pub fn set_failure_mode(&mut self, index: usize, failure_mode: FailureMode, rate: f64) {
        let host = self.world.servers[index].host;
        if rate > 0.0 {
            self.net.begin_fault(host, HostFaultKind::Misbehaving);
        } else {
            self.net.end_fault(host, HostFaultKind::Misbehaving);
        }
        self.world.servers[index].failure_mode = failure_mode;
        self.world.servers[index].failure_rate = rate;
    }

    /// Starts a server that is down.
    pub fn start_server(&mut self, index: usize) {
        let host = self.world.servers[index].host;
        self.net.end_fault(host, HostFaultKind::Down);
        self.net.hosts[host].powered = true;
        self.net.hosts[host].up = true;
        self.net.hosts[host].frozen = false;
        self.net.hosts[host].incarnation += 1;
        let now = self.net.now;
        let is_observed = self.is_observed();
        let server = &mut self.world.servers[index];
        let down_time = now - server.down_at.take().unwrap_or(now);
        // The next probe detects that a process is down; a machine without power is detected by two
        // probes that time out.
        let lost_power = server.lost_power;
        let noticeable_after = Duration::from_millis(if lost_power { 5000 } else { 1500 });
        // A server that stopped and started while no proxy was ready was noticed by none.
        let is_noticeable = down_time >= noticeable_after && (server.was_observed || is_observed);
        server.restarts.push(ServerRestart { at: now, down_time, is_noticeable });
        let id = server.id.clone();
        self.trace_event(|| format!("server {id} restarted"));
    }

    /// Handles a message that reaches a server.
    pub fn handle_server_message(
        &mut self,
        host: HostId,
        source: HostId,
        call: CallId,
        body: Body,
    ) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        let incarnation = self.net.hosts[host].incarnation;
        self.measure_load(index);
        match body {
            Body::HealthCheck => {
                self.world.next_connection += 1;
                let connection = self.world.next_connection;
                let entry =
                    Connection { server: index, server_incarnation: incarnation, closed_at: None };
                self.world.connections.insert(connection, entry);
                let server = &self.world.servers[index];
                if server.failure_mode == FailureMode::NoResponse && server.failure_rate >= 1.0 {
                    return;
                }
                let reply = Body::HealthCheckResult {
                    server: server.id.clone(),
                    connection,
                    is_warming_up: server.reports_warming_up,
                    load_milli: server.load_milli,
                };
                self.net.reply(call, reply);
            }
            Body::UpstreamRequest { request, connection, sent_at, sender } => {
                let is_known = self.world.connections.get(&connection).is_some_and(|entry| {
                    entry.server == index && entry.server_incarnation == incarnation
                });
                if !is_known {
                    return self.net.reply(call, Body::Reset);
                }
                let now = self.net.now;
                let fails = self.net.random.fraction() < self.world.servers[index].failure_rate;
                let server = &mut self.world.servers[index];
                server.arrivals.push(ServerArrival { at: now, request, proxy: source });
                self.check_server_arrival(index, request, source, sent_at);
                let server = &mut self.world.servers[index];
                let failure_mode = if fails { server.failure_mode } else { FailureMode::Healthy };
                if failure_mode == FailureMode::NoResponse {
                    return;
                }
                *server.runs.entry(request).or_default() += 1;
                self.record_tenant_run(request, sender);
                if self.world.servers[index].workers > 0 {
                    self.measure_load(index);
                    let server = &mut self.world.servers[index];
                    if server.busy_workers >= server.workers {
                        server.queue.push_back((call, request));
                        return;
                    }
                    server.busy_workers += 1;
                }
                self.begin_service(index, call, request);
            }
            _ => {}
        }
    }

    fn begin_service(&mut self, index: usize, call: CallId, request: usize) {
        let factor = 0.5 + self.net.random.fraction();
        let server = &self.world.servers[index];
        let (host, service) = (server.host, server.service_time.mul_f64(factor));
        self.net.set_timer(host, service, Timer::ServerDone { call, request });
    }

    /// Updates the measured load of a server, if its number of workers is limited.
    fn measure_load(&mut self, index: usize) {
        let now = self.net.now;
        let server = &mut self.world.servers[index];
        if server.workers > 0 {
            let weight = 1.0 - (-(now - server.load_at).as_secs_f64()).exp();
            let demand = f64::from(server.busy_workers) + server.queue.len() as f64;
            server.load += weight * (demand / f64::from(server.workers) - server.load);
            self.world.worst_load = self.world.worst_load.max(server.load);
            server.load_at = now;
            server.load_milli = (server.load * 1000.0).min(5000.0) as u32;
        }
    }

    /// Responds to a request that a server has finished, and begins the next one in its queue.
    pub(super) fn server_done(&mut self, host: HostId, call: CallId) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        if self.world.servers[index].workers > 0 {
            self.measure_load(index);
            let server = &mut self.world.servers[index];
            match server.queue.pop_front() {
                Some((call, request)) => self.begin_service(index, call, request),
                None => server.busy_workers = server.busy_workers.saturating_sub(1),
            }
        }
        let fails = self.net.random.fraction() < self.world.servers[index].failure_rate;
        let server = &self.world.servers[index];
        let failure_mode = if fails { server.failure_mode } else { FailureMode::Healthy };
        let load_milli = server.load_milli;
        let body = match failure_mode {
            FailureMode::RunAndReset => Body::Reset,
            failure_mode => Body::UpstreamResponse {
                load_milli,
                is_truncated: failure_mode == FailureMode::Truncate,
            },
        };
        self.net.reply(call, body);
    }
}
