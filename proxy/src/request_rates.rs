//! Request rates of this proxy by service, for the traffic-shift plan (design 7.4). Does no I/O and
//! reads no clock.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the averages in seconds: long enough to smooth random variation, short enough to
/// follow a surge.
const TIME_CONSTANT_S: f64 = 4.0;

/// Exponentially weighted averages of the request rates.
#[derive(Debug, Default)]
pub struct RequestRates {
    /// In the order of the configuration's services.
    services: Vec<ServiceRate>,
    measured_at: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct ServiceRate {
    name: String,
    /// Requests since the last measurement.
    count: u32,
    /// Requests per second.
    rate: f64,
}

impl RequestRates {
    /// Adopts the services of a new configuration. Services that keep their name keep their rates.
    pub fn set_services<'n>(&mut self, names: impl Iterator<Item = &'n str>) {
        let previous = std::mem::take(&mut self.services);
        let previous_rate =
            |name: &str| previous.iter().find(|service| service.name == name).cloned();
        self.services = names
            .map(|name| {
                previous_rate(name)
                    .unwrap_or(ServiceRate { name: name.to_string(), ..ServiceRate::default() })
            })
            .collect();
    }

    /// Counts a request for the service at this index in the configuration.
    pub fn record_request(&mut self, service: usize) {
        if let Some(rate) = self.services.get_mut(service) {
            rate.count = rate.count.saturating_add(1);
        }
    }

    /// Updates the averages and returns them by service, in requests per 1,000 seconds.
    pub fn measure(&mut self, now: Duration) -> BTreeMap<String, u32> {
        let elapsed_s = now.saturating_sub(*self.measured_at.get_or_insert(now)).as_secs_f64();
        if elapsed_s > 0.0 {
            self.measured_at = Some(now);
            let weight = 1.0 - (-elapsed_s / TIME_CONSTANT_S).exp();
            for service in &mut self.services {
                let latest_rate = f64::from(std::mem::take(&mut service.count)) / elapsed_s;
                service.rate += weight * (latest_rate - service.rate);
            }
        }
        let entry =
            |service: &ServiceRate| (service.name.clone(), (service.rate * 1000.0).round() as u32);
        self.services.iter().map(entry).collect()
    }
}

#[cfg(test)]
mod tests;
