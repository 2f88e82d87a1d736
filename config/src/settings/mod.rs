//! The settings of a program: a validated file, whose values flags override (design 2.2).

mod checks;
mod invocation;
mod keys;

pub use invocation::{Invocation, StartError, parse_arguments};

use crate::wire_format::SelectedFormat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The program that the settings are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Forwards clients' requests.
    Proxy,
    /// The control plane: operators' interface, steering, discovery.
    Registry,
    /// Stores the committed configuration.
    Store,
}

/// The settings of one program.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The program that the settings are for.
    pub role: Role,
    /// The name of the whole fleet; programs of other fleets are rejected.
    pub fleet: String,
    /// This program's own name, unique in the fleet.
    pub name: String,
    /// The region in which it runs.
    pub region: String,
    /// The zone in which it runs.
    pub zone: String,
    /// HTTP address: for clients on a proxy, for operators and clients on a registry, for liveness checks on
    /// a store.
    pub listen: SocketAddr,
    /// The address at which others reach `listen`.
    pub advertise: SocketAddr,
    /// The address for traffic between the programs of the fleet.
    pub cluster_listen: SocketAddr,
    /// The address at which others reach `cluster_listen`.
    pub cluster_advertise: SocketAddr,
    /// Cluster addresses of other programs that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Stores only: the data folder.
    pub data_folder: Option<PathBuf>,
    /// Number of stores that hold the committed configuration from the bootstrap on.
    pub bootstrap_size: usize,
    /// Whether this store takes part in the bootstrap if its disk is empty.
    pub may_bootstrap: bool,
    /// Registries only: the URL of the endpoint list, `http://IP:PORT/PATH`.
    pub endpoint_list_url: Option<String>,
    /// Registries only: the calls per second that the platform accepts for its endpoint list from all
    /// registries together; `None`: it states no limit.
    pub endpoint_list_rate: Option<f64>,
    /// Time that a graceful shutdown may take before the requests still in flight are aborted.
    pub shutdown_grace: Duration,
    /// A separate address for the program's own pages (status, readiness, counters), if any.
    pub admin_listen: Option<SocketAddr>,
    /// Registries only: an additional address at which clients reach the steering interface.
    pub steering_listen: Option<SocketAddr>,
    /// The region of each zone, if the endpoint list does not contain it.
    pub zone_regions: BTreeMap<String, String>,
    /// Proxies only: how many retries the fleet may make.
    pub retry_budget: RetryBudgetSettings,
    /// Proxies only: for how long a configuration that was confirmed to be the newest one may be used to judge
    /// API keys.
    pub config_lease: Duration,
    /// Bandwidth of the machine's network link in Mbit/s, if it is low enough to matter.
    pub link_megabits: Option<f64>,
    /// The format of documents and headers; set by the program, not by its settings.
    pub wire_format: SelectedFormat,
    /// The program's arguments, kept so that changed settings can be reloaded (design 2.2).
    pub arguments: Vec<String>,
    /// The settings file, if one was given.
    pub file: Option<PathBuf>,
    /// Stores only, given as a flag: recover from this store's copy alone, then exit (design 6.6).
    pub rescue: bool,
}

/// The limit on the retries of the whole fleet for one service: in any window, `ratio` times the number of
/// first attempts, plus `extra` (design 8.5).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per first attempt.
    pub ratio: f64,
    /// The window over which attempts and retries are counted.
    pub window: Duration,
    /// Additional retries per window.
    pub extra: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 32.0 }
    }
}

/// Splits `http://IP:PORT/PATH` into its address and path; `None` for any other form.
pub fn split_url(url: &str) -> Option<(SocketAddr, &str)> {
    let rest = url.strip_prefix("http://")?;
    let slash = rest.find('/')?;
    Some((rest[..slash].parse().ok()?, &rest[slash..]))
}

#[cfg(test)]
mod tests;
