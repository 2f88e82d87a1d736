//! Computes which share of each zone's clients is shifted to other zones, and to which ones (design 7.4,
//! docs/placement.md). Only excess load is shifted, to zones with spare capacity, first to those of the
//! same region. Pure functions without I/O.

use std::collections::BTreeMap;

pub use vanepath_cluster::wire::ZoneShares;

/// The load and capacity of one zone for one service, measured in servers: a load of 1.0 keeps one server
/// fully busy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// The zone's region.
    pub region: String,
    /// The load that the zone's proxies forward, including that of clients shifted to the zone, in servers.
    pub load: f64,
    /// The number of servers available for the service.
    pub servers: f64,
    /// Whether the zone has ready proxies, so that clients can be shifted to it.
    pub has_proxies: bool,
}

/// A zone begins to shift clients away when their unshifted load exceeds this utilization of its servers.
const SHIFT_UTILIZATION: f64 = 1.0;
/// The utilization that shifting leaves in an overloaded zone, and up to which other zones are filled. A
/// zone that is shifting clients goes on until its unshifted load falls below it.
const TARGET_UTILIZATION: f64 = 0.9;
/// The fraction of the difference to the target share that one step covers. It is below 1 because the load
/// reports show the effect of the previous step only in part.
const STEP_FRACTION: f64 = 0.5;
/// Differences between the current and the target share below this are noise, in thousandths.
const DEAD_BAND: u32 = 10;
/// The largest fraction of a zone's clients that is shifted. Without any remaining clients the load reports
/// would not show when the zone has capacity again.
const MAX_SHIFTED_FRACTION: f64 = 0.95;
/// Number of fixed-point iterations that compute the zones' unshifted loads.
const FIXED_POINT_ITERATIONS: usize = 12;

/// The load of each zone's own clients if none were shifted: the load of the zone's proxies, minus the load
/// shifted in, plus the load shifted out.
fn unshifted_loads(
    zones: &BTreeMap<String, ZoneLoad>,
    current: &ZoneShares,
) -> BTreeMap<String, f64> {
    let share = |from: &str, to: &str| {
        let share = current.get(from).and_then(|shares| shares.get(to));
        f64::from(share.copied().unwrap_or(0)) / 1000.0
    };
    let mut unshifted: BTreeMap<String, f64> =
        zones.iter().map(|(name, zone)| (name.clone(), zone.load)).collect();
    for _ in 0..FIXED_POINT_ITERATIONS {
        for (name, zone) in zones {
            let others = unshifted.iter().filter(|(other, _)| *other != name);
            let shifted_in: f64 = others.map(|(other, load)| load * share(other, name)).sum();
            let shifted_out: f64 = zones.keys().map(|other| share(name, other)).sum();
            let staying = 1.0 - shifted_out.min(MAX_SHIFTED_FRACTION);
            unshifted.insert(name.clone(), ((zone.load - shifted_in) / staying).max(0.0));
        }
    }
    unshifted
}

/// The excess load of overloaded zones and the spare capacity of the other zones that have proxies, in
/// servers.
struct Balance<'z> {
    excess: Vec<(&'z str, f64)>,
    spare: BTreeMap<&'z str, f64>,
}

fn balance<'z>(
    zones: &'z BTreeMap<String, ZoneLoad>,
    unshifted: &BTreeMap<String, f64>,
    current: &ZoneShares,
) -> Balance<'z> {
    let mut spare: BTreeMap<&str, f64> = BTreeMap::new();
    let mut excess: Vec<(&str, f64)> = Vec::new();
    for (name, zone) in zones {
        let load = unshifted[name];
        let is_shifting = current.contains_key(name);
        let threshold = if is_shifting { TARGET_UTILIZATION } else { SHIFT_UTILIZATION };
        let is_overloaded = load > zone.servers * threshold;
        let headroom = zone.servers * TARGET_UTILIZATION - load;
        if is_overloaded {
            excess.push((name, -headroom));
        } else if zone.has_proxies && headroom > 0.0 {
            spare.insert(name, headroom);
        }
    }
    Balance { excess, spare }
}

/// The shares that would remove the excess load of all zones, as far as spare capacity allows.
fn target_shares(
    zones: &BTreeMap<String, ZoneLoad>,
    unshifted: &BTreeMap<String, f64>,
    current: &ZoneShares,
) -> ZoneShares {
    let Balance { mut excess, mut spare } = balance(zones, unshifted, current);
    let mut targets = ZoneShares::new();
    // All zones shift within their own region first. What is left of the excess goes to any region.
    for only_own_region in [true, false] {
        for (name, excess_load) in &mut excess {
            let region = &zones[*name].region;
            let candidates: Vec<&str> = spare
                .keys()
                .filter(|other| !only_own_region || zones[**other].region == *region)
                .copied()
                .collect();
            let total_spare: f64 = candidates.iter().map(|other| spare[other]).sum();
            let shifted = excess_load.min(total_spare);
            if shifted <= 0.0 {
                continue;
            }
            let load = unshifted[*name].max(1e-9);
            for other in candidates {
                // In proportion to spare capacity, so that no zone is filled while others are idle.
                let shifted_to_zone = shifted * spare[other] / total_spare;
                *spare.get_mut(other).expect("a candidate has spare capacity") -= shifted_to_zone;
                let thousandths = (1000.0 * shifted_to_zone / load).round() as u32;
                let shares = targets.entry((*name).to_string()).or_default();
                *shares.entry(other.to_string()).or_default() += thousandths;
            }
            *excess_load -= shifted;
        }
    }
    targets
}

/// The value of one share after the next step from `current` towards `target`, in thousandths.
fn next_share(current: u32, target: u32) -> u32 {
    if current.abs_diff(target) < DEAD_BAND {
        return if target == 0 { 0 } else { current };
    }
    (f64::from(current) + STEP_FRACTION * (f64::from(target) - f64::from(current))).round() as u32
}

/// The shares after the next step from the `current` shares towards the target shares, in thousandths of
/// each zone's clients.
pub fn next_shares(zones: &BTreeMap<String, ZoneLoad>, current: &ZoneShares) -> ZoneShares {
    let unshifted = unshifted_loads(zones, current);
    let targets = target_shares(zones, &unshifted, current);
    let mut next = ZoneShares::new();
    for from in zones.keys() {
        let share = |shares: &ZoneShares, to: &str| {
            shares.get(from).and_then(|shares| shares.get(to)).copied().unwrap_or(0)
        };
        let mut sum = 0;
        for (to, zone) in zones {
            let shifted = match zone.has_proxies {
                true => next_share(share(current, to), share(&targets, to)),
                false => 0,
            };
            let shifted = shifted.min((1000.0 * MAX_SHIFTED_FRACTION) as u32 - sum);
            sum += shifted;
            if shifted > 0 {
                next.entry(from.clone()).or_default().insert(to.clone(), shifted);
            }
        }
    }
    next
}

#[cfg(test)]
mod tests;
