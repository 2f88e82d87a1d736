//! The state token that a client brings back in the reload URI: it makes the registries stateless, since
//! any of them can answer the next request of the same client.

use super::client::{BUCKETS, Client};
use vanepath_config::json_reader;

/// What the state token carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SteeringState {
    /// The committed revision of the answer that the client has.
    pub revision: u64,
    /// The client that got the answer.
    pub client: Client,
}

impl SteeringState {
    /// The token: the parts and a check sum, joined by dots.
    pub fn encode(&self) -> String {
        let body = format!(
            "{}.{}.{}.{}",
            self.revision, self.client.bucket, self.client.zone, self.client.region
        );
        format!("{body}.{:08x}", checksum(&body))
    }

    /// Parses a token. `None` for any text that [`SteeringState::encode`] does not give: its bringer counts
    /// as a first-time client.
    pub fn parse(text: &str) -> Option<SteeringState> {
        let (body, check) = text.rsplit_once('.')?;
        if check != format!("{:08x}", checksum(body)) {
            return None;
        }
        let parts: Vec<&str> = body.split('.').collect();
        let [revision, bucket, zone, region] = parts[..] else {
            return None;
        };
        let bucket = bucket.parse().ok().filter(|bucket| *bucket < BUCKETS)?;
        if !json_reader::is_name(zone) || !json_reader::is_name(region) {
            return None;
        }
        let (zone, region) = (zone.to_string(), region.to_string());
        let client = Client { zone, region, bucket };
        Some(SteeringState { revision: revision.parse().ok()?, client })
    }
}

/// Detects tokens that were mangled on the way; it is no protection against forgery on purpose, which
/// would gain a client nothing but another bucket.
fn checksum(body: &str) -> u32 {
    vanepath_config::stable_hash(&["vanepath echo", body]) as u32
}
