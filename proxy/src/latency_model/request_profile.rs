//! The usual cost of requests, by class and service.

use crate::load_balancing::RequestCost;
use std::collections::HashMap;

/// Service time assumed before the first response.
const INITIAL_SERVICE_TIME_MS: f64 = 100.0;
/// Size assumed before the first response.
const INITIAL_KILOBYTES: f64 = 4.0;
/// Size assumed before the first response for classes of bulk transfers.
const INITIAL_BULK_KILOBYTES: f64 = 64.0;
/// Minimum weight of a response in the averages.
const MIN_RESPONSE_WEIGHT: f64 = 0.02;

/// Weight of a request in the moving average of the share of requests that find congestion.
const CONGESTION_WEIGHT: f64 = 0.05;
/// Share of requests that find congestion from which the congestion counts as persistent.
const PERSISTENT_CONGESTION_SHARE: f64 = 0.5;

/// Maximum number of services, and of classes for each service, that are stored. Their names change
/// with configurations, so without a limit the maps would grow.
const MAX_PROFILES: usize = 4096;

/// What was learned about the requests of one class at one service.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    cost: RequestCost,
    responses: f64,
    /// Moving average of the share of requests that found congestion at every server.
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

    /// The usual cost of a request.
    pub fn cost(&self) -> RequestCost {
        self.cost
    }

    /// Records whether a request found congestion at every server: queues in which its response would
    /// take longer than is tolerated under persistent congestion.
    pub fn record_congestion(&mut self, found_congestion: bool) {
        let found = f64::from(u8::from(found_congestion));
        self.congestion += CONGESTION_WEIGHT * (found - self.congestion);
    }

    /// How much of the latency target a request may be expected to use beyond the minimum share: from 1,
    /// while no requests find congestion, to 0, when half of them do and the congestion is persistent.
    pub fn tolerance(&self) -> f64 {
        (1.0 - self.congestion / PERSISTENT_CONGESTION_SHARE).max(0.0)
    }

    /// Records a response. `service_time_ms` excludes the slowdown due to its server's load.
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
    /// The usual cost of requests of this class at this service.
    pub fn cost(&self, class: &str, service: &str, is_bulk: bool) -> RequestCost {
        let profile = self.by_service.get(service).and_then(|classes| classes.get(class));
        profile.copied().unwrap_or_else(|| RequestProfile::new(is_bulk)).cost()
    }

    /// The profile of this class at this service. Creates it if there is none.
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

/// The value of this key, inserted if it is missing. A full map is cleared first.
fn get_or_insert_bounded<'m, V>(
    map: &'m mut HashMap<String, V>,
    key: &str,
    new_value: impl FnOnce() -> V,
) -> &'m mut V {
    if !map.contains_key(key) && map.len() >= MAX_PROFILES {
        map.clear();
    }
    // In the usual case the key is known and need not be copied.
    if !map.contains_key(key) {
        map.insert(key.to_string(), new_value());
    }
    map.get_mut(key).expect("the key was inserted above")
}
