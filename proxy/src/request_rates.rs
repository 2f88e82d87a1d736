//! How many requests of each service this proxy takes, for the traffic-shift plan (design 7.4). Pure.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the averages in seconds: long enough to even out chance, short enough to show a
/// surge.
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
    /// Requests a second.
    rate: f64,
}

impl RequestRates {
    /// Takes over the services of another configuration; those of the same name keep their rates.
    pub fn set_services<'n>(&mut self, names: impl Iterator<Item = &'n str>) {
        let before = std::mem::take(&mut self.services);
        let known = |name: &str| before.iter().find(|one| one.name == name).cloned();
        self.services = names
            .map(|name| {
                known(name)
                    .unwrap_or(ServiceRate { name: name.to_string(), ..ServiceRate::default() })
            })
            .collect();
    }

    /// Counts a request for the service at this index of the configuration.
    pub fn record_request(&mut self, service: usize) {
        if let Some(one) = self.services.get_mut(service) {
            one.count = one.count.saturating_add(1);
        }
    }

    /// Brings the averages up to date and returns them by service, in requests in 1,000 seconds.
    pub fn measure(&mut self, now: Duration) -> BTreeMap<String, u32> {
        let elapsed_s = now.saturating_sub(*self.measured_at.get_or_insert(now)).as_secs_f64();
        if elapsed_s > 0.0 {
            self.measured_at = Some(now);
            let weight = 1.0 - (-elapsed_s / TIME_CONSTANT_S).exp();
            for one in &mut self.services {
                let latest = f64::from(std::mem::take(&mut one.count)) / elapsed_s;
                one.rate += weight * (latest - one.rate);
            }
        }
        let rounded = |one: &ServiceRate| (one.name.clone(), (one.rate * 1000.0).round() as u32);
        self.services.iter().map(rounded).collect()
    }
}

#[cfg(test)]
mod tests;
