//! The client of a steering request.

/// The number of affinity buckets that clients are divided into.
pub const BUCKETS: u64 = 10_000;

/// The client of a request: its location and its affinity bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Client {
    /// The client's zone.
    pub zone: String,
    /// The client's region.
    pub region: String,
    /// The affinity bucket, below [`BUCKETS`]. It makes the ranking for a client repeatable.
    pub bucket: u64,
}
