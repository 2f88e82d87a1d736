//! The latency model for the selection of endpoints (design 8.7), learned from responses and load
//! reports: the service time and size of requests by class and service, the latency of each server
//! relative to the others of its service, and the utilization and round-trip time of each zone's
//! servers. Does no I/O and reads no clock.

mod relative_latency;
mod request_profile;
mod zone_pool;

pub use relative_latency::RelativeLatency;
pub use request_profile::{RequestProfile, RequestProfiles};
pub use zone_pool::{ZonePool, ZonePools, mean_utilization};

#[cfg(test)]
mod tests;
