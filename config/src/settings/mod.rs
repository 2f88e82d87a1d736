//! A program's settings: a checked file, which flags override (design 2.2).

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
    /// Holds the committed configuration.
    Store,
}

/// The settings of one program.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The program that they are for.
    pub role: Role,
    /// The name of the whole fleet; programs of other fleets are rejected.
    pub fleet: String,
    /// This program's own name, unique in the fleet.
    pub name: String,
    /// The region in which it runs.
    pub region: String,
    /// The zone in which it runs.
    pub zone: String,
    /// HTTP: clients on a proxy, operators and clients on a registry, liveness on a store.
    pub listen: SocketAddr,
    /// Where others reach `listen`.
    pub advertise: SocketAddr,
    /// For traffic between the fleet's own programs.
    pub cluster_listen: SocketAddr,
    /// Where others reach `cluster_listen`.
    pub cluster_advertise: SocketAddr,
    /// Cluster addresses of other programs, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Stores only: the folder of its files.
    pub data_folder: Option<PathBuf>,
    /// How many stores hold the committed configuration from the first start on.
    pub bootstrap_size: usize,
    /// This store, if its disk is empty, takes part in the bootstrap.
    pub may_bootstrap: bool,
    /// Registries only: where the endpoint list is read: `http://IP:PORT/PATH`.
    pub endpoint_list_url: Option<String>,
    /// How long a graceful shutdown may take before what is left is cut.
    pub shutdown_grace: Duration,
    /// Where its own pages (status, readiness, counters) are, if not beside the rest.
    pub admin_listen: Option<SocketAddr>,
    /// Registries only: a second address at which clients reach the steering interface.
    pub steering_listen: Option<SocketAddr>,
    /// The region of each zone, where the endpoint list does not say it.
    pub zone_regions: BTreeMap<String, String>,
    /// Proxies only: how many retries the fleet may make.
    pub retry_budget: RetryBudgetSettings,
    /// Millions of bits a second that its machine's link carries, if it is narrow enough to matter.
    pub link_megabits: Option<f64>,
    /// The format of documents and headers; set by the program, not by its settings.
    pub wire_format: SelectedFormat,
    /// The program's arguments, so that changed settings can be read again (design 2.2).
    pub arguments: Vec<String>,
    /// The settings file, if one was given.
    pub file: Option<PathBuf>,
    /// Stores only, given as a flag: recover from this store's copy alone, then end (design 6.6).
    pub rescue: bool,
}

/// The retries that the whole fleet may make for a service: in any window `ratio` times the number of
/// first attempts, and `extra` more (design 8.5).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per first attempt.
    pub ratio: f64,
    /// The time over which both are counted.
    pub window: Duration,
    /// Retries in a window beyond the ratio.
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
