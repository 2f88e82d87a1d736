//! The cost of a request at each of a service's servers, and the choice of the least (design 8.7).
//!
//! The endpoint list states how many requests each server handles at one time (its concurrency). The
//! cost consists of the time that the request takes at a server, the delay that it causes for other
//! requests there, and the transfer of its bytes. Does no I/O and reads no clock.

use std::time::Duration;

/// Distance class of a server from this proxy. The nearest sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this proxy's zone and in its subset of that zone. Few other proxies send requests to the
    /// server, so the requests that this proxy has in flight are nearly all of its load.
    Subset,
    /// In this proxy's zone.
    Zone,
    /// In this proxy's region.
    Region,
    /// In another region.
    OtherRegion,
}

/// A server to which the request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the endpoint in the routing table.
    pub index: usize,
    /// Distance class of the server.
    pub distance: Distance,
    /// Number of requests at the server, of which those of other proxies are estimated.
    pub load: f64,
    /// Number of requests that the server handles at one time.
    pub concurrency: f64,
    /// Latency of the server as a multiple of the usual one in the service.
    pub relative_latency: f64,
    /// Round-trip time in milliseconds.
    pub round_trip_ms: f64,
    /// Whether there is an idle connection that the request can use.
    pub is_connected: bool,
}

/// Expected cost of a request before it is sent, estimated from earlier requests of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// Time in milliseconds that a server of usual latency takes without congestion.
    pub service_time_ms: f64,
    /// Size of request and response together, in kilobytes.
    pub kilobytes: f64,
}

/// Additional latency in milliseconds that is accepted per kilobyte to keep a transfer in the zone.
const KILOBYTE_COST_MS: f64 = 30.0;
/// Cost of a new connection in addition to its round trip, as a fraction of the service time: its first
/// packets wait in queues of their own, and are retransmitted only after a second if they are lost.
const CONNECTION_COST: f64 = 0.35;
/// One in this many selections ignores whether there are connections, so that a new server gets its
/// share even if the others are never congested.
const IGNORE_CONNECTIONS_RATIO: u64 = 12;
/// Cost of using the last free unit of concurrency, as a multiple of the cost of the first ones: a
/// server takes longer for all its requests as it fills up.
const FULL_CONGESTION: f64 = 2.8;
/// What a queue as long as the concurrency adds to [`FULL_CONGESTION`].
const QUEUE_CONGESTION: f64 = 3.0;
/// Factor by which a request takes longer at a server whose concurrency is fully used.
const FULL_SLOWDOWN: f64 = 1.6;
/// Utilization above which a server's queue is full, so that it would reject the request.
pub const MAX_UTILIZATION: f64 = 4.0;

/// Minimum share of the latency target up to which a request that runs at most once is queued. It is
/// larger than that of idempotent requests because rejecting such a request is more expensive.
const MIN_TARGET_SHARE_AT_MOST_ONCE: f64 = 0.75;
/// Minimum share of the latency target up to which an idempotent request is queued.
const MIN_TARGET_SHARE_IDEMPOTENT: f64 = 0.6;

impl Candidate {
    /// Requests per unit of concurrency, this one included.
    fn utilization(&self) -> f64 {
        (self.load + 1.0) / self.concurrency
    }

    /// Expected response time in milliseconds.
    fn expected_ms(&self, request: &RequestCost) -> f64 {
        let connection_ms = if self.is_connected { 0.0 } else { self.round_trip_ms };
        let service_ms = request.service_time_ms
            * self.relative_latency
            * slowdown(self.load + 1.0, self.concurrency);
        self.round_trip_ms + connection_ms + service_ms
    }

    /// Whether the request would be queued at this server and its response take longer than `limit_ms`.
    /// A server with free capacity is never congested, so that it keeps getting requests: their
    /// responses show when the service time has become shorter.
    pub fn is_congested(&self, request: &RequestCost, limit_ms: f64) -> bool {
        self.load + 1.0 > self.concurrency && self.expected_ms(request) > limit_ms
    }

    /// Cost of the request at this server in milliseconds: its own time, the delay of other requests and
    /// the transfer of its bytes.
    pub fn cost(&self, request: &RequestCost) -> f64 {
        let transfer_ms = match self.distance {
            Distance::Subset | Distance::Zone => 0.0,
            Distance::Region | Distance::OtherRegion => KILOBYTE_COST_MS * request.kilobytes,
        };
        let connection_ms = if self.is_connected {
            0.0
        } else {
            self.round_trip_ms + CONNECTION_COST * request.service_time_ms
        };
        self.round_trip_ms
            + connection_ms
            + transfer_ms
            + request.service_time_ms
                * self.relative_latency
                * congestion(self.load + 1.0, self.concurrency)
    }
}

/// Load up to which a request does not delay others: half of the concurrency, but at least 1.
fn uncongested_load(concurrency: f64) -> f64 {
    (concurrency / 2.0).max(1.0)
}

/// Cost of the request that brings a server to this load, as a multiple of its service time.
fn congestion(load: f64, concurrency: f64) -> f64 {
    let uncongested = uncongested_load(concurrency);
    if load <= uncongested {
        // Of two uncongested servers, the one with less load is slightly cheaper.
        0.9 + 0.1 * load / uncongested
    } else if load <= concurrency {
        1.0 + (FULL_CONGESTION - 1.0) * (load - uncongested) / (concurrency - uncongested)
    } else {
        FULL_CONGESTION + QUEUE_CONGESTION * (load / concurrency - 1.0)
    }
}

/// Factor by which the request that brings a server to this load takes longer. Response times are
/// divided by it before servers are compared.
pub fn slowdown(load: f64, concurrency: f64) -> f64 {
    let uncongested = uncongested_load(concurrency);
    if load <= uncongested {
        1.0
    } else if load <= concurrency {
        1.0 + (FULL_SLOWDOWN - 1.0) * (load - uncongested) / (concurrency - uncongested)
    } else {
        FULL_SLOWDOWN * load / concurrency
    }
}

/// Whether the selection with this random number ignores to which servers there are connections.
pub fn ignores_connections(random: u64) -> bool {
    (random >> 32).is_multiple_of(IGNORE_CONNECTIONS_RATIO)
}

/// Expected response time in milliseconds up to which a request is queued. At a `tolerance` of 1,
/// while queues are short-lived, this is the whole latency target. It is less at a lower tolerance,
/// when congestion is persistent, because response times vary around the expected one.
pub fn max_response_time_ms(
    latency_target: Duration,
    is_at_most_once: bool,
    tolerance: f64,
) -> f64 {
    let min_share =
        if is_at_most_once { MIN_TARGET_SHARE_AT_MOST_ONCE } else { MIN_TARGET_SHARE_IDEMPOTENT };
    latency_target.as_secs_f64() * 1000.0 * (min_share + (1.0 - min_share) * tolerance)
}

/// The candidate of least cost so far.
#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    distance: Distance,
    index: usize,
}

/// Index of the endpoint at which the request costs least; `None` if all are full. Of candidates of
/// equal cost the nearest is chosen, and of equally near ones the first from a random start.
pub fn choose(candidates: &[Candidate], request: &RequestCost, random: u64) -> Option<usize> {
    let start = random as usize % candidates.len().max(1);
    let mut best: Option<Best> = None;
    for candidate in candidates[start..].iter().chain(&candidates[..start]) {
        if candidate.utilization() > MAX_UTILIZATION {
            continue;
        }
        let cost = candidate.cost(request);
        let is_preferred = best.is_none_or(|best| {
            cost < best.cost || (cost == best.cost && candidate.distance < best.distance)
        });
        if is_preferred {
            best = Some(Best { cost, distance: candidate.distance, index: candidate.index });
        }
    }
    best.map(|best| best.index)
}

#[cfg(test)]
mod tests;
