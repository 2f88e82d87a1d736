//! The simulated machines. Each runs one process and can lose power, freeze or be cut off from
//! others.

use super::Network;
use super::event::Event;
use super::message::{Body, CallId};
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a machine that resumes has read the requests that waited in its sockets, in
/// milliseconds.
const MAX_READING_DELAY_MS: u64 = 300;

/// The index of a host in [`Network::hosts`].
pub type HostId = usize;

/// A machine with one process on it: a node of the fleet, a server, a client, the platform or an
/// operator.
#[derive(Debug)]
pub struct Host {
    /// The name, for traces.
    pub name: String,
    /// The zone; empty for a host outside all zones.
    pub zone: String,
    /// The region; empty for a host outside all zones.
    pub region: String,
    /// Whether the process runs.
    pub up: bool,
    /// Whether the machine has power. With power it resets connections to a process that is down;
    /// without power it sends nothing.
    pub powered: bool,
    /// Whether the machine is frozen: its events are deferred until it resumes.
    pub frozen: bool,
    /// Counts the starts of the process; events of an earlier incarnation are dropped.
    pub incarnation: u32,
    /// The reading of the host's monotonic clock at the start of the simulation.
    pub clock_offset: Duration,
    /// The reading of the host's wall clock at the start of the simulation, in milliseconds.
    pub wall_ms: i64,
    pub(super) deferred: Vec<Event>,
    /// Incarnations that ended because the machine lost power, so that no peer received a reset.
    pub unclean_incarnations: Vec<u32>,
}

/// The kinds of faults of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFaultKind {
    /// The process or the machine is down.
    Down,
    /// The machine is frozen.
    Frozen,
    /// The network to some other hosts is cut.
    Cut,
    /// A server answers wrongly or not at all.
    Misbehaving,
}

/// A period in which a host had a fault.
#[derive(Clone, Copy, Debug)]
pub struct HostFault {
    /// The host.
    pub host: HostId,
    /// The kind of the fault.
    pub kind: HostFaultKind,
    /// When it began.
    pub from: Duration,
    /// When it ended; `None` while it lasts.
    pub to: Option<Duration>,
}

impl Network {
    /// Adds a host that has power and whose process does not run yet.
    pub fn add_host(&mut self, name: &str, zone: &str, region: &str) -> HostId {
        let clock_offset = Duration::from_millis(self.random.draw() % 1_000_000);
        self.hosts.push(Host {
            name: name.to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            up: false,
            powered: true,
            frozen: false,
            incarnation: 0,
            clock_offset,
            wall_ms: 1_700_000_000_000,
            deferred: Vec::new(),
            unclean_incarnations: Vec::new(),
        });
        self.hosts.len() - 1
    }

    /// The address of a host.
    pub fn address_of(host: HostId) -> SocketAddr {
        let octets = [10, 0, (host / 250) as u8, (host % 250) as u8 + 1];
        SocketAddr::from((octets, 7001))
    }

    /// The host at an address.
    pub fn host_at(address: SocketAddr) -> HostId {
        match address {
            SocketAddr::V4(v4) => {
                let octets = v4.ip().octets();
                usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1
            }
            SocketAddr::V6(_) => usize::MAX,
        }
    }

    /// The current reading of the host's own monotonic clock.
    pub fn local_time(&self, host: HostId) -> Duration {
        self.now + self.hosts[host].clock_offset
    }

    /// Records that a fault of a host begins now.
    pub fn begin_fault(&mut self, host: HostId, kind: HostFaultKind) {
        self.host_faults.push(HostFault { host, kind, from: self.now, to: None });
    }

    /// Records that all faults of this kind on a host end now.
    pub fn end_fault(&mut self, host: HostId, kind: HostFaultKind) {
        let now = self.now;
        for fault in self.host_faults.iter_mut() {
            if fault.host == host && fault.kind == kind {
                fault.to.get_or_insert(now);
            }
        }
    }

    /// Whether a host had any fault during this period.
    pub fn had_fault(&self, host: HostId, from: Duration, to: Duration) -> bool {
        self.host_faults.iter().any(|fault| {
            fault.host == host && fault.from <= to && fault.to.is_none_or(|ended| ended >= from)
        })
    }

    /// Freezes a machine.
    pub fn freeze(&mut self, host: HostId) {
        if !self.hosts[host].frozen {
            self.hosts[host].frozen = true;
            self.begin_fault(host, HostFaultKind::Frozen);
        }
    }

    /// Starts the process. The caller has to initialize the state of the process.
    pub fn start(&mut self, host: HostId) {
        self.end_fault(host, HostFaultKind::Down);
        self.end_fault(host, HostFaultKind::Frozen);
        self.hosts[host].incarnation += 1;
        self.hosts[host].up = true;
        self.hosts[host].frozen = false;
        self.hosts[host].deferred.clear();
        let incarnation = self.hosts[host].incarnation;
        let jitter = Duration::from_millis(self.random.draw() % 50);
        self.schedule(self.now + jitter, Event::Tick { host, incarnation });
    }

    /// Ends the process at once. Hosts that wait for its replies get a reset if the machine has
    /// power.
    pub fn stop(&mut self, host: HostId) {
        self.begin_fault(host, HostFaultKind::Down);
        if !self.hosts[host].powered {
            let incarnation = self.hosts[host].incarnation;
            self.hosts[host].unclean_incarnations.push(incarnation);
        }
        self.hosts[host].up = false;
        self.hosts[host].frozen = false;
        self.hosts[host].deferred.clear();
        let open_calls: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, entry)| entry.target == host && entry.target_incarnation.is_some())
            .map(|(call, _)| *call)
            .collect();
        for call in open_calls {
            self.reply(call, Body::Reset);
        }
    }

    /// Resumes a frozen machine: its deferred events happen now. Requests whose callers have left may be read a
    /// little later, after the process has learned what is new: sockets are read in any order.
    pub fn resume(&mut self, host: HostId) {
        self.end_fault(host, HostFaultKind::Frozen);
        self.hosts[host].frozen = false;
        for event in std::mem::take(&mut self.hosts[host].deferred) {
            let is_abandoned = matches!(&event, Event::RequestArrived { call, .. } if !self.calls.contains_key(call));
            let delay = match is_abandoned {
                true => Duration::from_millis(self.random.draw() % MAX_READING_DELAY_MS),
                false => Duration::ZERO,
            };
            self.schedule(self.now + delay, event);
        }
    }
}
