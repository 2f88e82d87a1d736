//! Performs the actions of a script on the fleet.

use super::{Orders, World};
use crate::relay::Link;
use crate::soak::operator::Order;
use crate::soak::record::Fault;
use crate::soak::script::{Action, Daemon, LinkState, PlatformState};
use rustix::process::Signal;
use std::time::Duration;

/// Delay on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(80);

impl World {
    /// Performs one action of the script.
    pub(super) async fn perform(&mut self, action: &Action, orders: &Orders) {
        match action {
            Action::Terminate(daemon) => {
                if !matches!(daemon, Daemon::Proxy(_)) {
                    self.faults.begin(format!("down {daemon:?}"), Fault::Core);
                }
                self.signal(*daemon, Signal::TERM);
            }
            Action::TerminateAgain(daemon) => self.signal(*daemon, Signal::TERM),
            Action::Kill(daemon) => {
                self.faults.begin(format!("down {daemon:?}"), downtime_fault(*daemon));
                let index = self.index(*daemon);
                self.to_restart.retain(|other| *other != index);
                self.signals += 1;
                self.fleet.kill(index);
            }
            Action::Start(daemon) => {
                self.to_restart.push(self.index(*daemon));
                self.start_ended_daemons();
                self.faults.end(&format!("down {daemon:?}"));
            }
            Action::Suspend(daemon) => {
                self.faults.begin(format!("suspended {daemon:?}"), downtime_fault(*daemon));
                self.signal(*daemon, Signal::STOP);
            }
            Action::Resume(daemon) => {
                self.signal(*daemon, Signal::CONT);
                self.faults.end(&format!("suspended {daemon:?}"));
            }
            Action::HangUp(daemon) => self.signal(*daemon, Signal::HUP),
            Action::SetLink(daemon, state) => self.set_link(*daemon, *state),
            Action::DrainServer(server) => self.drain_server(*server),
            Action::RemoveServer(server) => self.remove_server(*server),
            Action::ReuseAddress { server, is_other_service } => {
                self.reuse_address(*server, *is_other_service).await;
            }
            Action::CrashServer(server) => {
                self.faults.begin(format!("crash {server}"), Fault::Server);
                self.fleet.servers[*server].stop();
            }
            Action::RestartServer(server) => {
                self.fleet.restart_server(*server).await;
                self.faults.end(&format!("crash {server}"));
            }
            Action::SetBehavior(server, behavior) => self.set_behavior(*server, *behavior),
            Action::WipeDisk(daemon) => {
                let index = self.index(*daemon);
                if matches!(daemon, Daemon::Store(_)) && !self.fleet.is_running(index) {
                    self.fleet.wipe_data(index);
                }
            }
            Action::Configure => self.order(orders, Order::Configure),
            Action::DrainZone(zone) => self.order(orders, Order::DrainZone(self.zone_name(*zone))),
            Action::RestoreZone(zone) => {
                self.order(orders, Order::RestoreZone(self.zone_name(*zone)))
            }
            Action::Platform(state) => self.set_platform(*state),
        }
    }

    pub(super) fn zone_name(&self, zone: usize) -> String {
        let zones = &self.fleet.topology.zones;
        zones[zone % zones.len()].0.to_string()
    }

    pub(super) fn order(&mut self, orders: &Orders, order: Order) {
        let _ = orders.send(order);
    }

    fn signal(&mut self, daemon: Daemon, signal: Signal) {
        self.signals += 1;
        self.fleet.signal(self.index(daemon), signal);
    }

    /// Starts the daemons in `to_restart` that have ended.
    pub(super) fn start_ended_daemons(&mut self) {
        let mut still_running = Vec::new();
        for index in std::mem::take(&mut self.to_restart) {
            if self.fleet.is_running(index) {
                still_running.push(index);
            } else {
                self.fleet.start_daemon(index);
            }
        }
        self.to_restart = still_running;
    }

    fn set_link(&mut self, daemon: Daemon, state: LinkState) {
        let key = format!("link {daemon:?}");
        let index = self.index(daemon);
        let fault = match daemon {
            Daemon::Proxy(index) => Fault::ProxyLink(index),
            Daemon::Registry(_) | Daemon::Store(_) => Fault::Core,
        };
        let link = match state {
            LinkState::Healthy => Link::default(),
            LinkState::Partitioned => Link { is_partitioned: true, ..Link::default() },
            LinkState::OutboundBlocked => Link { is_outbound_blocked: true, ..Link::default() },
            LinkState::Slow => Link { delay: SLOW_LINK_DELAY, ..Link::default() },
            LinkState::Reset => {
                self.resets[index] += 1;
                Link::default()
            }
        };
        if state == LinkState::Healthy {
            self.faults.end(&key);
        } else {
            self.faults.begin(key, fault);
        }
        self.fleet.set_links(index, Link { resets: self.resets[index], ..link });
    }

    pub(super) fn set_platform(&mut self, state: PlatformState) {
        let override_text = match state {
            PlatformState::Normal => None,
            PlatformState::Malformed => Some("<html>503</html>".to_string()),
            PlatformState::Empty => Some(r#"{"revision": 9999999, "servers": []}"#.to_string()),
        };
        if state == PlatformState::Normal {
            self.faults.end("platform");
        } else {
            self.faults.begin("platform".to_string(), Fault::Platform);
        }
        self.fleet.platform.override_response(override_text);
    }

    /// The index in the fleet of a daemon that the script names.
    fn index(&self, daemon: Daemon) -> usize {
        let (role, position) = match daemon {
            Daemon::Proxy(position) => ("proxy", position),
            Daemon::Registry(position) => ("registry", self.first_core + position),
            Daemon::Store(position) => ("store", self.first_core + position),
        };
        let daemons = self.fleet.with_role(role);
        daemons[position % daemons.len()]
    }
}

/// The fault that a killed or suspended daemon causes.
fn downtime_fault(daemon: Daemon) -> Fault {
    match daemon {
        Daemon::Proxy(index) => Fault::Proxy(index),
        Daemon::Registry(_) | Daemon::Store(_) => Fault::Core,
    }
}
