//! The traffic-shift arithmetic: which share of a zone's clients is sent to other zones, and to which ones
//! (design 7.4, docs/placement.md). As much is shifted as is needed, to zones with spare capacity, those of
//! the same region first. Pure.

use std::collections::BTreeMap;

pub use vanepath_cluster::wire::ZoneShares;

/// One zone as a service sees it. Load and capacity are measured in servers: 1.0 keeps one server fully
/// busy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// The zone's region.
    pub region: String,
    /// The load that comes by the zone's proxies, that of clients shifted to it included, in servers.
    pub load: f64,
    /// The number of servers available for the service.
    pub servers: f64,
    /// The zone has proxies that are ready, so that clients can be sent there.
    pub has_proxies: bool,
}

/// Clients begin to be shifted where their load would keep the servers this busy,
const SHIFT_UTILIZATION: f64 = 1.0;
/// and so many of them that this utilization is left; other zones are filled up to it, too.
const TARGET_UTILIZATION: f64 = 0.9;
/// A step covers this part of the difference, since the effect of the last one shows only in part yet.
const STEP_FRACTION: f64 = 0.5;
/// Differences below this are noise, in thousandths.
const DEAD_BAND: u32 = 10;
/// Some clients always stay, or nothing would show when there is capacity again.
const MAX_SHIFTED: f64 = 0.95;
/// Rounds of the fixed-point iteration that finds each zone's own load.
const ITERATIONS: usize = 12;

/// The load of each zone's own clients if none were shifted: what its proxies have, less what was shifted
/// in, and what was shifted out added.
fn unshifted_loads(
    zones: &BTreeMap<String, ZoneLoad>,
    before: &ZoneShares,
) -> BTreeMap<String, f64> {
    let share = |from: &str, to: &str| {
        let share = before.get(from).and_then(|shares| shares.get(to));
        f64::from(share.copied().unwrap_or(0)) / 1000.0
    };
    let mut unshifted: BTreeMap<String, f64> =
        zones.iter().map(|(name, zone)| (name.clone(), zone.load)).collect();
    for _ in 0..ITERATIONS {
        for (name, zone) in zones {
            let others = unshifted.iter().filter(|(other, _)| *other != name);
            let shifted_in: f64 = others.map(|(other, load)| load * share(other, name)).sum();
            let shifted_out: f64 = zones.keys().map(|other| share(name, other)).sum();
            let staying = 1.0 - shifted_out.min(MAX_SHIFTED);
            unshifted.insert(name.clone(), ((zone.load - shifted_in) / staying).max(0.0));
        }
    }
    unshifted
}

/// Zones with more load than they can serve, and zones with spare capacity, in servers.
struct Balance<'z> {
    excess: Vec<(&'z str, f64)>,
    spare: BTreeMap<&'z str, f64>,
}

fn balance<'z>(
    zones: &'z BTreeMap<String, ZoneLoad>,
    unshifted: &BTreeMap<String, f64>,
    before: &ZoneShares,
) -> Balance<'z> {
    let mut spare: BTreeMap<&str, f64> = BTreeMap::new();
    let mut excess: Vec<(&str, f64)> = Vec::new();
    for (name, zone) in zones {
        let load = unshifted[name];
        let is_shifting = before.contains_key(name);
        let threshold = if is_shifting { TARGET_UTILIZATION } else { SHIFT_UTILIZATION };
        let is_overloaded = load > zone.servers * threshold;
        let capacity = zone.servers * TARGET_UTILIZATION - load;
        if is_overloaded {
            excess.push((name, -capacity));
        } else if zone.has_proxies && capacity > 0.0 {
            spare.insert(name, capacity);
        }
    }
    Balance { excess, spare }
}

/// The shares that would give all clients capacity, whatever the shares are now.
fn target_shares(
    zones: &BTreeMap<String, ZoneLoad>,
    unshifted: &BTreeMap<String, f64>,
    before: &ZoneShares,
) -> ZoneShares {
    let Balance { mut excess, mut spare } = balance(zones, unshifted, before);
    let mut targets = ZoneShares::new();
    // First each zone's own region for all of them, and then the rest.
    for only_own_region in [true, false] {
        for (name, overload) in &mut excess {
            let region = &zones[*name].region;
            let candidates: Vec<&str> = spare
                .keys()
                .filter(|other| !only_own_region || zones[**other].region == *region)
                .copied()
                .collect();
            let capacity: f64 = candidates.iter().map(|other| spare[other]).sum();
            let shifted = overload.min(capacity);
            if shifted <= 0.0 {
                continue;
            }
            let load = unshifted[*name].max(1e-9);
            for other in candidates {
                // In proportion to the spare capacity: no zone is filled while others are idle.
                let part = shifted * spare[other] / capacity;
                *spare.get_mut(other).expect("a candidate has spare capacity") -= part;
                let thousandths = (1000.0 * part / load).round() as u32;
                let shares = targets.entry((*name).to_string()).or_default();
                *shares.entry(other.to_string()).or_default() += thousandths;
            }
            *overload -= shifted;
        }
    }
    targets
}

/// One share's next step from `current` towards `target`, in thousandths.
fn next_share(current: u32, target: u32) -> u32 {
    if current.abs_diff(target) < DEAD_BAND {
        return if target == 0 { 0 } else { current };
    }
    (f64::from(current) + STEP_FRACTION * (f64::from(target) - f64::from(current))).round() as u32
}

/// The next step from the shares `before` towards those that are needed, in thousandths of each zone's
/// clients.
pub fn next_shares(zones: &BTreeMap<String, ZoneLoad>, before: &ZoneShares) -> ZoneShares {
    let unshifted = unshifted_loads(zones, before);
    let targets = target_shares(zones, &unshifted, before);
    let mut next = ZoneShares::new();
    for from in zones.keys() {
        let share = |shares: &ZoneShares, to: &str| {
            shares.get(from).and_then(|shares| shares.get(to)).copied().unwrap_or(0)
        };
        let mut sum = 0;
        for (to, zone) in zones {
            let shifted = match zone.has_proxies {
                true => next_share(share(before, to), share(&targets, to)),
                false => 0,
            };
            let shifted = shifted.min((1000.0 * MAX_SHIFTED) as u32 - sum);
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
