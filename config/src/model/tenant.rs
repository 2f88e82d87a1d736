//! Tenants: who may send requests, by API keys, and with which priority and regions (design 3.4).

use super::Rule;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;

/// The SHA-256 digest of an API key. The configuration keeps digests only, so that no key is in a log line,
/// an error or the output of `Debug`.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of the key with these bytes.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("KeyDigest(redacted)")
    }
}

/// A tenant without its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Unique among the tenants.
    pub name: String,
    /// 0 is the highest priority. It is compared before the priority of the request's class.
    pub priority: u64,
    /// The only regions in which its requests may be served; empty: all.
    pub regions: Vec<String>,
}

impl Tenant {
    /// Whether servers of this region may serve its requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }

    /// Whether servers of any region may serve its requests of this rule.
    pub fn has_region_of(&self, rule: &Rule) -> bool {
        rule.regions.is_empty() || rule.regions.iter().any(|region| self.allows_region(region))
    }
}

/// All tenants of a configuration, found by their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    tenants: Vec<Tenant>,
    by_key: HashMap<KeyDigest, usize>,
}

impl Tenants {
    /// Adds a tenant without keys. Returns its index.
    pub fn add(&mut self, tenant: Tenant) -> usize {
        self.tenants.push(tenant);
        self.tenants.len() - 1
    }

    /// Gives a key to the tenant with this index.
    ///
    /// # Errors
    /// The tenant that has the key already, if it is another one.
    pub fn add_key(&mut self, tenant: usize, key: KeyDigest) -> Result<(), &Tenant> {
        let holder = *self.by_key.entry(key).or_insert(tenant);
        if holder == tenant { Ok(()) } else { Err(&self.tenants[holder]) }
    }

    /// Index of the tenant that has this key.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        self.by_key.get(key).copied()
    }

    /// The tenant with this index.
    pub fn get(&self, index: usize) -> &Tenant {
        &self.tenants[index]
    }

    /// All tenants, in the document's order.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter()
    }

    /// All keys with the indices of their tenants, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyDigest, usize)> {
        self.by_key.iter().map(|(key, tenant)| (key, *tenant))
    }
}
