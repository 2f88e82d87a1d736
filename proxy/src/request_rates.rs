//! How many requests of each rule this proxy takes, for the plan of shares (design 7.4). Pure.

use std::time::Duration;

/// What is told is of about so long: long enough to be no chance, short enough for a surge to show.
const SPAN_S: f64 = 4.0;

#[derive(Debug, Default)]
pub struct RequestRates {
    /// By service, as the setup has them.
    services: Vec<ServiceCount>,
    told_at: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct ServiceCount {
    name: String,
    count: u32,
    /// A second.
    rate: f64,
}

impl RequestRates {
    /// Another setup: services of the same name go on with what they have.
    pub fn set_services<'n>(&mut self, names: impl Iterator<Item = &'n str>) {
        let before = std::mem::take(&mut self.services);
        let known = |name: &str| before.iter().find(|one| one.name == name).cloned();
        self.services = names
            .map(|name| {
                known(name)
                    .unwrap_or(ServiceCount { name: name.to_string(), ..ServiceCount::default() })
            })
            .collect();
    }

    pub fn record_request(&mut self, service: usize) {
        if let Some(one) = self.services.get_mut(service) {
            one.count = one.count.saturating_add(1);
        }
    }

    /// Requests in a thousand seconds, by service.
    pub fn measure(&mut self, now: Duration) -> std::collections::BTreeMap<String, u32> {
        let span = now.saturating_sub(*self.told_at.get_or_insert(now)).as_secs_f64();
        if span > 0.0 {
            self.told_at = Some(now);
            let part = 1.0 - (-span / SPAN_S).exp();
            for one in &mut self.services {
                one.rate += part * (f64::from(std::mem::take(&mut one.count)) / span - one.rate);
            }
        }
        let told = |one: &ServiceCount| (one.name.clone(), (one.rate * 1000.0).round() as u32);
        self.services.iter().map(told).collect()
    }
}

#[cfg(test)]
mod tests;
