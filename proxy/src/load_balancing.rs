//! The cost of a request at each of a service's servers, and the choice of the least (design 8.7).
//!
//! Servers say how many requests each works on at one time (their concurrency). The cost counts the
//! time that the request takes at a server, the time that it takes from other requests there, and
//! the transfer of its bytes. Pure.

use std::time::Duration;

/// How far a server is from this proxy; the nearest come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own zone and in this proxy's subset of it: few other proxies send it requests, so that
    /// those in flight from here are nearly all that it has.
    Subset,
    /// In the own zone.
    Zone,
    /// In the own region.
    Region,
    /// In another region.
    OtherRegion,
}

/// A server that may be given the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the endpoint in the routing table.
    pub index: usize,
    /// How far the server is.
    pub distance: Distance,
    /// Requests that it has, those of other proxies estimated.
    pub load: f64,
    /// Requests that it works on at one time.
    pub concurrency: f64,
    /// How long it takes for a request, as a multiple of what is usual in the service.
    pub relative_latency: f64,
    /// Round-trip time in milliseconds.
    pub round_trip_ms: f64,
    /// Whether there is an idle connection that the request may use.
    pub is_connected: bool,
}

/// What is expected of a request before it is sent, by earlier ones of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// Time in milliseconds at a server of usual latency without congestion.
    pub service_time_ms: f64,
    /// Size of request and response together, in kilobytes.
    pub kilobytes: f64,
}

/// Waiting time in milliseconds that is accepted to keep a kilobyte in the zone.
const KILOBYTE_COST_MS: f64 = 30.0;
/// What a new connection costs beside its round trip, as a part of the service time: its first
/// packets wait in queues of their own, and are sent again after a second if they are lost.
const CONNECTION_COST: f64 = 0.35;
/// One selection of so many ignores whether there are connections, so that a new server gets its
/// part where the others are never congested.
const IGNORE_CONNECTIONS_RATIO: u64 = 12;
/// Cost of the last free unit of concurrency, as a multiple of the first ones: a server takes longer
/// for all its requests as it fills up.
const FULL_CONGESTION: f64 = 2.8;
/// What a queue as long as the concurrency adds to that.
const QUEUE_CONGESTION: f64 = 3.0;
/// How many times longer a request takes at a server that is full.
const FULL_SLOWDOWN: f64 = 1.6;
/// Utilization above which a server is full and would reject the request.
pub const MAX_UTILIZATION: f64 = 4.0;

/// Least part of the latency target that a request may be expected to take, for one that runs at
/// most once: it is the more expensive one to reject.
const MIN_TARGET_SHARE_AT_MOST_ONCE: f64 = 0.75;
/// Likewise for an idempotent one.
const MIN_TARGET_SHARE_IDEMPOTENT: f64 = 0.6;

impl Candidate {
    /// Requests for each unit of concurrency, this one included.
    fn utilization(&self) -> f64 {
        (self.load + 1.0) / self.concurrency
    }

    /// Expected time to the response, in milliseconds.
    fn expected_ms(&self, request: &RequestCost) -> f64 {
        let connecting = if self.is_connected { 0.0 } else { self.round_trip_ms };
        let serving = request.service_time_ms
            * self.relative_latency
            * slowdown(self.load + 1.0, self.concurrency);
        self.round_trip_ms + connecting + serving
    }

    /// Whether the request would be queued here and its response take longer than `limit_ms`. A
    /// server with free capacity is never congested: its responses show how long requests take.
    pub fn is_congested(&self, request: &RequestCost, limit_ms: f64) -> bool {
        self.load + 1.0 > self.concurrency && self.expected_ms(request) > limit_ms
    }

    /// What the request costs here, in milliseconds: to itself, to other requests, and for its bytes.
    pub fn cost(&self, request: &RequestCost) -> f64 {
        let transfer = match self.distance {
            Distance::Subset | Distance::Zone => 0.0,
            Distance::Region | Distance::OtherRegion => KILOBYTE_COST_MS * request.kilobytes,
        };
        let connecting = if self.is_connected {
            0.0
        } else {
            self.round_trip_ms + CONNECTION_COST * request.service_time_ms
        };
        self.round_trip_ms
            + connecting
            + transfer
            + request.service_time_ms
                * self.relative_latency
                * congestion(self.load + 1.0, self.concurrency)
    }
}

/// Load up to which a request costs others nothing: half of the concurrency, one at the least.
fn uncongested_load(concurrency: f64) -> f64 {
    (concurrency / 2.0).max(1.0)
}

/// Cost of the request that brings a server to this load, as a multiple of its service time.
fn congestion(load: f64, concurrency: f64) -> f64 {
    let uncongested = uncongested_load(concurrency);
    if load <= uncongested {
        // Of two uncongested servers the one with less load.
        0.9 + 0.1 * load / uncongested
    } else if load <= concurrency {
        1.0 + (FULL_CONGESTION - 1.0) * (load - uncongested) / (concurrency - uncongested)
    } else {
        FULL_CONGESTION + QUEUE_CONGESTION * (load / concurrency - 1.0)
    }
}

/// How many times longer a request takes that brings a server to this load. Response times are
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

/// Whether the selection with this draw ignores which servers it has connections to.
pub fn ignores_connections(random: u64) -> bool {
    (random >> 32).is_multiple_of(IGNORE_CONNECTIONS_RATIO)
}

/// Expected time in milliseconds up to which a request is queued: the whole latency target at a
/// `tolerance` of 1, while queues come and go; less towards 0, where congestion persists, for the
/// expectation is a mean and response times spread around it.
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

/// Index of the endpoint at which the request costs least; `None` where all are full. Of equal costs
/// the nearest is chosen, and of equally near ones the first after the draw.
pub fn choose(candidates: &[Candidate], request: &RequestCost, random: u64) -> Option<usize> {
    let start = random as usize % candidates.len().max(1);
    let mut best: Option<Best> = None;
    for candidate in candidates[start..].iter().chain(&candidates[..start]) {
        if candidate.utilization() > MAX_UTILIZATION {
            continue;
        }
        let cost = candidate.cost(request);
        let is_better = best.is_none_or(|best| {
            cost < best.cost || (cost == best.cost && candidate.distance < best.distance)
        });
        if is_better {
            best = Some(Best { cost, distance: candidate.distance, index: candidate.index });
        }
    }
    best.map(|best| best.index)
}

#[cfg(test)]
mod tests;
