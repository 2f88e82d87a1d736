//! Utilization and round-trip time of the servers of a service in a zone.

use crate::load_balancing::Distance;
use std::collections::HashMap;
use std::time::Duration;

/// Utilization by other proxies that is assumed if nothing is known.
const INITIAL_UTILIZATION: f64 = 0.3;
/// Weight of that assumption in the mean over the zones of a service.
const INITIAL_UTILIZATION_WEIGHT: f64 = 0.2;
/// Weight of a load report in the moving average of a pool's utilization.
const REPORT_WEIGHT: f64 = 0.2;
/// Utilization at which a load report is capped.
const MAX_REPORTED_UTILIZATION: f64 = 1.5;
/// Time in which a pool's utilization decays to the usual one without load reports.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Weight of a connection that took longer to open than the known round-trip time.
const SLOWER_CONNECTION_WEIGHT: f64 = 0.02;

/// The servers of one service in one zone.
#[derive(Clone, Debug)]
pub struct ZonePool {
    /// Requests of other proxies per unit of concurrency.
    utilization: f64,
    updated_at: Duration,
    round_trip_ms: Option<f64>,
}

impl Default for ZonePool {
    fn default() -> ZonePool {
        ZonePool {
            utilization: INITIAL_UTILIZATION,
            updated_at: Duration::ZERO,
            round_trip_ms: None,
        }
    }
}

impl ZonePool {
    /// Records a load report of one of its servers: the number of other proxies' requests per unit of
    /// the server's concurrency.
    pub fn record_load(&mut self, now: Duration, other_utilization: f64) {
        self.utilization = self.utilization(now, INITIAL_UTILIZATION);
        self.updated_at = now;
        self.utilization +=
            REPORT_WEIGHT * (other_utilization.min(MAX_REPORTED_UTILIZATION) - self.utilization);
    }

    /// Utilization of its servers by other proxies. Tends to `usual_utilization` as the last load
    /// report ages.
    pub fn utilization(&self, now: Duration, usual_utilization: f64) -> f64 {
        usual_utilization + (self.utilization - usual_utilization) * self.freshness(now)
    }

    /// Weight of the last load report: 1 when it is new, decreasing to 0.
    fn freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (1.0 - age / DECAY_TIME.as_secs_f64()).max(0.0)
    }

    /// Records how long opening a connection took. The shortest time is the round-trip time; any
    /// excess is due to queueing in the network, so it has little weight.
    pub fn record_connection(&mut self, connect_time: Duration) {
        let connect_ms = connect_time.as_secs_f64() * 1000.0;
        let before = self.round_trip_ms.unwrap_or(connect_ms);
        self.round_trip_ms = Some(if connect_ms < before {
            connect_ms
        } else {
            before + SLOWER_CONNECTION_WEIGHT * (connect_ms - before)
        });
    }

    /// Round-trip time in milliseconds; an estimate by distance before the first connection.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        self.round_trip_ms.unwrap_or(match distance {
            Distance::Subset | Distance::Zone => 1.0,
            Distance::Region => 2.0,
            Distance::OtherRegion => 30.0,
        })
    }
}

/// A pool together with the name of its service.
#[derive(Debug)]
struct ServicePool {
    service: String,
    pool: ZonePool,
}

/// All pools of a proxy, found by service and zone.
#[derive(Debug, Default)]
pub struct ZonePools {
    entries: Vec<ServicePool>,
    /// Indices into `entries`, by service and zone.
    by_service: HashMap<String, HashMap<String, usize>>,
}

impl ZonePools {
    /// Index of the pool of this service in this zone. Creates the pool if there is none.
    pub fn find_or_insert(&mut self, service: &str, zone: &str) -> usize {
        if let Some(index) = self.by_service.get(service).and_then(|zones| zones.get(zone)) {
            return *index;
        }
        let index = self.entries.len();
        let zones = self.by_service.entry(service.to_string()).or_default();
        zones.insert(zone.to_string(), index);
        self.entries.push(ServicePool { service: service.to_string(), pool: ZonePool::default() });
        index
    }

    /// The pool at an index that [`ZonePools::find_or_insert`] returned.
    pub fn get(&self, index: usize) -> &ZonePool {
        &self.entries[index].pool
    }

    /// The same, for updates.
    pub fn get_mut(&mut self, index: usize) -> &mut ZonePool {
        &mut self.entries[index].pool
    }

    /// Utilization of a pool's servers by other proxies. Tends to the service's mean as the pool's last
    /// load report ages.
    pub fn utilization(&self, now: Duration, index: usize) -> f64 {
        let ServicePool { service, pool } = &self.entries[index];
        pool.utilization(now, self.mean_utilization(now, service))
    }

    /// Mean utilization of a service's servers by other proxies.
    pub fn mean_utilization(&self, now: Duration, service: &str) -> f64 {
        let zones = self.by_service.get(service).into_iter().flat_map(|zones| zones.values());
        mean_utilization(now, zones.map(|index| self.get(*index)))
    }
}

/// Mean utilization of the pools with recent load reports, which is assumed for a pool without one. If
/// a zone that recovers were assumed to be idle, it would attract all requests at once.
pub fn mean_utilization<'p>(now: Duration, pools: impl Iterator<Item = &'p ZonePool>) -> f64 {
    let initial = (INITIAL_UTILIZATION * INITIAL_UTILIZATION_WEIGHT, INITIAL_UTILIZATION_WEIGHT);
    let (sum, weight) = pools.fold(initial, |(sum, weight), pool| {
        let freshness = pool.freshness(now);
        (sum + freshness * pool.utilization, weight + freshness)
    });
    sum / weight
}
