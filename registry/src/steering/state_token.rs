//! The state token that a client returns in the reload URI. It keeps the registries stateless: any of them
//! can answer the next request of the same client.

use super::client::{BUCKETS, Client};
use vanepath_config::json_reader;

/// The contents of the state token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SteeringState {
    /// The committed revision that the client's current answer is based on.
    pub revision: u64,
    /// The client that got the answer.
    pub client: Client,
}

impl SteeringState {
    /// Encodes the token: the parts and a checksum, joined by dots.
    pub fn encode(&self) -> String {
        let body = format!(
            "{}.{}.{}.{}",
            self.revision, self.client.bucket, self.client.zone, self.client.region
        );
        format!("{body}.{:08x}", checksum(&body))
    }

    /// Parses a token. Returns `None` for any text that [`SteeringState::encode`] does not produce; its
    /// sender is treated as a first-time client.
    pub fn parse(text: &str) -> Option<SteeringState> {
        let (body, received_checksum) = text.rsplit_once('.')?;
        if received_checksum != format!("{:08x}", checksum(body)) {
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

/// Detects tokens that were corrupted in transit. It does not protect against deliberate forgery, by which
/// a client would gain nothing but another bucket.
fn checksum(body: &str) -> u32 {
    vanepath_config::stable_hash(&["vanepath echo", body]) as u32
}
