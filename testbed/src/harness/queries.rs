//! Queries of tests about a fleet, and requests that an operator sends to its registries.

use super::Fleet;
use super::wait::wait_until;
use crate::http::{Response, call};
use jzon::JsonValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long [`Fleet::put_config`] tries one registry after the other.
const PUT_CONFIG_TIMEOUT: Duration = Duration::from_secs(20);
const PUT_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How many lines of each log a failed test prints.
const LOG_TAIL_LINES: usize = 12;

impl Fleet {
    /// The index of the daemon with this name.
    ///
    /// # Panics
    /// If there is no such daemon.
    pub fn index_of(&self, name: &str) -> usize {
        self.daemons
            .iter()
            .position(|daemon| daemon.name == name)
            .unwrap_or_else(|| panic!("no daemon is named {name}"))
    }

    /// The indices of all daemons with this role.
    pub fn with_role(&self, role: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|index| self.daemons[*index].role == role).collect()
    }

    /// The HTTP addresses of all registries.
    pub fn registry_addresses(&self) -> Vec<SocketAddr> {
        self.with_role("registry").into_iter().map(|index| self.daemons[index].address).collect()
    }

    /// The indices of the servers in all zones for which `is_affected` holds (its arguments are zone
    /// and region).
    pub fn servers_in(&self, is_affected: impl Fn(&str, &str) -> bool) -> Vec<usize> {
        let indices = self.topology.servers.iter().flat_map(|(_, count)| 0..*count);
        let zones = indices.map(|index| self.topology.zone(index));
        let affected = zones.enumerate().filter(|(_, (zone, region))| is_affected(zone, region));
        affected.map(|(index, _)| index).collect()
    }

    /// Sends a GET request to a daemon. `None` if it does not respond.
    pub async fn get(&self, index: usize, path: &str) -> Option<Response> {
        call(self.daemons[index].address, "GET", path, &[], b"").await
    }

    /// Reads the resource `status`, `metrics` or `ready` of a daemon as JSON; its path depends on the role
    /// of the daemon. Null if the daemon does not respond.
    pub async fn page(&self, index: usize, page: &str) -> JsonValue {
        let prefix = if self.daemons[index].role == "proxy" { "/vanepath" } else { "" };
        match self.get(index, &format!("{prefix}/v1/{page}")).await {
            Some(response) => response.json(),
            None => JsonValue::Null,
        }
    }

    /// Sends a configuration to one registry after the other until one accepts it, and returns its revision.
    ///
    /// # Panics
    /// If none accepts it within the time-out.
    pub async fn put_config(&self, config: &str) -> u64 {
        let mut last_failure = String::new();
        let start = Instant::now();
        while start.elapsed() < PUT_CONFIG_TIMEOUT {
            for address in self.registry_addresses() {
                match call(address, "PUT", "/v1/setup", &[], config.as_bytes()).await {
                    Some(response) if response.status == 200 => {
                        return response.json()["revision"]
                            .as_u64()
                            .expect("an acknowledgement contains the revision");
                    }
                    Some(response) => {
                        last_failure = String::from_utf8_lossy(&response.body).to_string();
                    }
                    None => last_failure = format!("{address} did not respond"),
                }
            }
            tokio::time::sleep(PUT_CONFIG_RETRY_DELAY).await;
        }
        panic!("no registry accepted the configuration; last failure: {last_failure}");
    }

    /// Whether a daemon is ready with this revision or a later one.
    pub async fn is_active(&self, index: usize, revision: u64) -> bool {
        let ready = self.page(index, "ready").await;
        ready["ready"].as_bool() == Some(true)
            && ready["revision"].as_u64().is_some_and(|active| active >= revision)
    }

    /// Waits until every running proxy is ready with this revision or a later one.
    ///
    /// # Panics
    /// If any of them is not within the time-out.
    pub async fn wait_until_active(&self, revision: u64, timeout: Duration) -> Duration {
        let proxies: Vec<usize> = self
            .with_role("proxy")
            .into_iter()
            .filter(|index| self.daemons[*index].child.is_some())
            .collect();
        let proxies = &proxies;
        wait_until(&format!("revision {revision} at all proxies"), timeout, async || {
            for index in proxies {
                if !self.is_active(*index, revision).await {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// How often each request was executed, summed over all servers, by request identifier.
    pub fn execution_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for server in &self.servers {
            for (request_id, count) in
                server.state.execution_counts.lock().expect("no panic under this lock").iter()
            {
                *counts.entry(request_id.clone()).or_default() += count;
            }
        }
        counts
    }

    /// The last lines of the logs of all daemons, which a failed test prints.
    pub fn logs(&self) -> String {
        let mut logs = String::new();
        for daemon in &self.daemons {
            let text = std::fs::read_to_string(daemon.log_file(&self.folder)).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
            logs += &format!("--- {}\n", daemon.name);
            for line in lines.iter().rev() {
                logs += &format!("{line}\n");
            }
        }
        logs
    }
}
