//! The usual cost of requests, by class and service.

use crate::load_balancing::RequestCost;
use std::collections::HashMap;

/// Service time that is assumed before the first response.
const INITIAL_SERVICE_TIME_MS: f64 = 100.0;
/// Size that is assumed before the first response.
const INITIAL_KILOBYTES: f64 = 4.0;
/// Likewise for classes of bulk transfers.
const INITIAL_BULK_KILOBYTES: f64 = 64.0;
/// Least weight of a response in the averages.
const MIN_RESPONSE_WEIGHT: f64 = 0.02;

/// Weight of a request in the share of those that find congestion.
const CONGESTION_WEIGHT: f64 = 0.05;
/// Share of requests that find congestion from which on it counts as persistent.
const PERSISTENT_CONGESTION_SHARE: f64 = 0.5;

/// Number of services, and of classes for each, that are stored at the most: their names
/// change with configurations.
const MAX_PROFILES: usize = 4096;

/// What is learned of the requests of one class at one service.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    cost: RequestCost,
    responses: f64,
    /// The share of the latest requests that found congestion at every server.
    congestion: f64,
}

impl RequestProfile {
    /// A profile before the first response.
    pub fn new(is_bulk: bool) -> RequestProfile {
        let kilobytes = if is_bulk { INITIAL_BULK_KILOBYTES } else { INITIAL_KILOBYTES };
        RequestProfile {
            cost: RequestCost { service_time_ms: INITIAL_SERVICE_TIME_MS, kilobytes },
            responses: 0.0,
            congestion: 0.0,
        }
    }

    /// What a request usually costs.
    pub fn cost(&self) -> RequestCost {
        self.cost
    }

    /// Records whether a request found such a queue at every server that its response would take
    /// longer than is tolerated under persistent congestion.
    pub fn record_congestion(&mut self, found_congestion: bool) {
        let found = f64::from(u8::from(found_congestion));
        self.congestion += CONGESTION_WEIGHT * (found - self.congestion);
    }

    /// How much of the latency target may be spent in a queue beyond the least: from 1, while few
    /// requests find congestion, to 0, where half of them find it and it persists.
    pub fn tolerance(&self) -> f64 {
        (1.0 - self.congestion / PERSISTENT_CONGESTION_SHARE).max(0.0)
    }

    /// Records a response. `service_time_ms` is without the slowdown by its server's load.
    pub fn record_response(&mut self, service_time_ms: f64, kilobytes: Option<f64>) {
        self.responses += 1.0;
        let weight = (1.0 / self.responses).max(MIN_RESPONSE_WEIGHT);
        self.cost.service_time_ms +=
            weight * (service_time_ms.max(1.0) - self.cost.service_time_ms);
        if let Some(kilobytes) = kilobytes {
            self.cost.kilobytes += weight * (kilobytes - self.cost.kilobytes);
        }
    }
}

/// The profiles of all classes at all services.
#[derive(Debug, Default)]
pub struct RequestProfiles {
    by_service: HashMap<String, HashMap<String, RequestProfile>>,
}

impl RequestProfiles {
    /// What requests of this class usually cost at this service.
    pub fn cost(&self, class: &str, service: &str, is_bulk: bool) -> RequestCost {
        let known = self.by_service.get(service).and_then(|classes| classes.get(class));
        known.copied().unwrap_or_else(|| RequestProfile::new(is_bulk)).cost()
    }

    /// The profile of this class at this service; a new one if there is none.
    pub fn profile_mut(
        &mut self,
        class: &str,
        service: &str,
        is_bulk: bool,
    ) -> &mut RequestProfile {
        let classes = get_or_insert_bounded(&mut self.by_service, service, HashMap::default);
        get_or_insert_bounded(classes, class, || RequestProfile::new(is_bulk))
    }
}

/// The value of this key, inserted where it is missing. A map that is full is cleared first.
fn get_or_insert_bounded<'m, V>(
    map: &'m mut HashMap<String, V>,
    key: &str,
    new_value: impl FnOnce() -> V,
) -> &'m mut V {
    if !map.contains_key(key) && map.len() >= MAX_PROFILES {
        map.clear();
    }
    // A known key, which is the usual case, is found without a copy of it.
    if !map.contains_key(key) {
        map.insert(key.to_string(), new_value());
    }
    map.get_mut(key).expect("the key was inserted above")
}
