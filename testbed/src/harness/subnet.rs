//! Loopback addresses of a fleet. Each fleet has its own subnet, and each daemon and server a host in it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Port of the HTTP interface of a daemon.
pub(super) const HTTP_PORT: u16 = 7000;
/// Port for connections between daemons.
pub(super) const CLUSTER_PORT: u16 = HTTP_PORT + 1;
/// Ports of relays are higher than those of the daemons behind them by this number.
pub(super) const RELAY_PORT_OFFSET: u16 = 100;

/// Host of the stub platform.
pub(super) const PLATFORM_HOST: u8 = 250;
/// Stub servers use the hosts after this one.
pub(super) const LAST_HOST_BEFORE_SERVERS: u8 = 100;
/// First host for the daemons of each role.
pub(super) const FIRST_REGISTRY_HOST: u8 = 1;
pub(super) const FIRST_STORE_HOST: u8 = 11;
pub(super) const FIRST_PROXY_HOST: u8 = 21;

static NEXT_FLEET_NUMBER: AtomicU8 = AtomicU8::new(0);

/// The subnet of a fleet. It differs from those of the other fleets of this process and, with high
/// probability, from those of other processes.
#[derive(Clone, Copy)]
pub(super) struct Subnet {
    octets: [u8; 2],
    /// Number of the fleet in this process.
    number: u8,
}

impl Subnet {
    pub fn new() -> Subnet {
        let pid = std::process::id();
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let octets = [64 + (pid % 128) as u8, (pid / 128 % 8) as u8 * 32 + number % 32];
        Subnet { octets, number }
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.octets[0], self.octets[1], host), port))
    }

    /// The name of the fleet in the settings of all its daemons.
    pub fn fleet_name(self) -> String {
        format!("fleet-{}-{}", self.octets[0], self.octets[1])
    }

    /// The name of the folder of the fleet, which no other fleet uses.
    pub fn folder_name(self) -> String {
        format!("vanepath-testbed-{}-{}", std::process::id(), self.number)
    }
}
