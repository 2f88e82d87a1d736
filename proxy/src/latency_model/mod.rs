//! What a proxy learns from responses and load reports for the selection of endpoints (design 8.7):
//! how long a class's requests take at a service and how large they are, how a server compares with
//! the others of its service, and how loaded and how far a zone's servers are. Pure.

mod relative_latency;
mod request_profile;
mod zone_pool;

pub use relative_latency::RelativeLatency;
pub use request_profile::{RequestProfile, RequestProfiles};
pub use zone_pool::{ZonePool, ZonePools, mean_utilization};

#[cfg(test)]
mod tests;
