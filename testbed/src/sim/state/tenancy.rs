//! Tenants and their API keys in scenarios with tenants.

use crate::sim::network::CallId;
use std::collections::HashMap;
use std::time::Duration;
use vanepath_config::model::KeyDigest;

/// The lease of the simulated proxies on their configuration.
pub const CONFIG_LEASE: Duration = Duration::from_secs(5);
/// The names of the tenants.
pub const TENANT_NAMES: [&str; 3] = ["tenant-0", "tenant-1", "tenant-2"];
/// The number of keys that clients present in turn.
const KEY_COUNT: usize = 8;
/// The keys from this one on are not held at first; the last one never is.
const INITIALLY_HELD: usize = 6;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct TenantRun {
    /// The request.
    pub request: usize,
    /// Number of the key that the client presented.
    pub key: usize,
    /// The tenant that the proxy named to the server.
    pub tenant: Option<String>,
    /// When the client sent the request to the proxy.
    pub client_sent_at: Duration,
    /// When it arrived at the server.
    pub at: Duration,
}

/// The tenants of a scenario, and what servers ran for them.
#[derive(Clone, Debug)]
pub struct Tenancy {
    /// The configuration without its tenants.
    base_config: String,
    /// The index of the tenant that holds each key, in the newest configuration of the operators.
    holders: [Option<usize>; KEY_COUNT],
    /// When clients sent the calls to proxies that are in progress.
    pub sent_at: HashMap<CallId, Duration>,
    /// What servers ran.
    pub runs: Vec<TenantRun>,
}

impl Tenancy {
    /// Tenants for a configuration that has none.
    pub fn new(base_config: String) -> Tenancy {
        let holders =
            std::array::from_fn(|key| (key < INITIALLY_HELD).then_some(key % TENANT_NAMES.len()));
        Tenancy { base_config, holders, sent_at: HashMap::new(), runs: Vec::new() }
    }

    /// The number of the key that the client of a request presents.
    pub fn key_of(request: usize) -> usize {
        request % KEY_COUNT
    }

    /// The key with this number.
    pub fn key(number: usize) -> String {
        format!("simulated-api-key-{number}")
    }

    /// The digest of the key with this number.
    pub fn digest(number: usize) -> KeyDigest {
        KeyDigest::of(Tenancy::key(number).as_bytes())
    }

    /// The newest configuration of the operators.
    pub fn config_text(&self) -> String {
        let tenants: Vec<String> = TENANT_NAMES
            .iter()
            .enumerate()
            .map(|(tenant, name)| {
                let held = (0..KEY_COUNT).filter(|key| self.holders[*key] == Some(tenant));
                let keys: Vec<String> =
                    held.map(|key| format!("\"{}\"", Tenancy::key(key))).collect();
                format!("{{\"name\": \"{name}\", \"keys\": [{}]}}", keys.join(", "))
            })
            .collect();
        let base = self.base_config.trim_end().trim_end_matches('}');
        format!("{base}, \"tenants\": [{}]}}", tenants.join(", "))
    }

    /// Takes a key away, moves a key to another tenant, or adds one, in turn.
    pub fn change_keys(&mut self, step: usize) {
        let key = step % (KEY_COUNT - 1);
        self.holders[key] = match self.holders[key] {
            Some(tenant) if step.is_multiple_of(2) => Some((tenant + 1) % TENANT_NAMES.len()),
            Some(_) => None,
            None => Some(step % TENANT_NAMES.len()),
        };
    }
}
