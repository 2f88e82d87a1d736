//! What part of a zone's callers goes elsewhere, and where to: as much as is needed, to where there is
//! room, the own region first (design 7.4, docs/placement.md). Pure arithmetic.

use std::collections::BTreeMap;

pub use vanepath_cluster::wire::ZoneShares;

/// One zone as a service sees it. Work is reckoned in servers: 1.0 keeps one of them wholly busy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    pub region: String,
    /// What its proxies take, moved callers included.
    pub taken: f64,
    /// Servers that are there.
    pub servers: f64,
    /// Proxies are there, so that callers can be sent there.
    pub is_place: bool,
}

/// Callers begin to move where their work would keep the servers this busy,
const BUSY: f64 = 1.0;
/// and so many of them that it keeps them this busy; to others up to that too.
const TARGET: f64 = 0.9;
/// A step goes this part of the way, since the last one shows only in part yet.
const STEP: f64 = 0.5;
/// Differences below that are noise.
const DEAD_BAND: u32 = 10;
/// Some stay, or nobody would know when there is room again.
const MOST: f64 = 0.95;
const ROUNDS: usize = 12;

/// What each zone's own callers would bring if none were moved: what is taken, less those moved in,
/// and those moved out added.
fn homes(zones: &BTreeMap<String, ZoneLoad>, before: &ZoneShares) -> BTreeMap<String, f64> {
    let share = |from: &str, to: &str| {
        let to = before.get(from).and_then(|to_| to_.get(to));
        f64::from(to.copied().unwrap_or(0)) / 1000.0
    };
    let mut homes: BTreeMap<String, f64> =
        zones.iter().map(|(name, zone)| (name.clone(), zone.taken)).collect();
    for _ in 0..ROUNDS {
        for (name, zone) in zones {
            let others = homes.iter().filter(|(other, _)| *other != name);
            let moved_in: f64 = others.map(|(other, home)| home * share(other, name)).sum();
            let moved_out: f64 = zones.keys().map(|other| share(name, other)).sum();
            let stay = 1.0 - moved_out.min(MOST);
            homes.insert(name.clone(), ((zone.taken - moved_in) / stay).max(0.0));
        }
    }
    homes
}

/// Where each zone's callers would have to go for all to have room, without regard to what is.
fn targets(
    zones: &BTreeMap<String, ZoneLoad>,
    homes: &BTreeMap<String, f64>,
    before: &ZoneShares,
) -> ZoneShares {
    let mut spare: BTreeMap<&str, f64> = BTreeMap::new();
    let mut excess: Vec<(&str, f64)> = Vec::new();
    for (name, zone) in zones {
        let home = homes[name];
        let is_moving = before.contains_key(name);
        let is_over = home > zone.servers * if is_moving { TARGET } else { BUSY };
        let room = zone.servers * TARGET - home;
        if is_over {
            excess.push((name, -room));
        } else if zone.is_place && room > 0.0 {
            spare.insert(name, room);
        }
    }
    let mut targets = ZoneShares::new();
    // The nearest room first for all, and then the rest.
    for is_near in [true, false] {
        for (name, over) in &mut excess {
            let region = &zones[*name].region;
            let able: Vec<&str> = spare
                .keys()
                .filter(|other| !is_near || zones[**other].region == *region)
                .copied()
                .collect();
            let room: f64 = able.iter().map(|other| spare[other]).sum();
            let takes = over.min(room);
            if takes <= 0.0 {
                continue;
            }
            let home = homes[*name].max(1e-9);
            for other in able {
                // In proportion to their room: nobody gets what others could take.
                let part = takes * spare[other] / room;
                *spare.get_mut(other).expect("one of them") -= part;
                let thousandths = (1000.0 * part / home).round() as u32;
                let to = targets.entry((*name).to_string()).or_default();
                *to.entry(other.to_string()).or_default() += thousandths;
            }
            *over -= takes;
        }
    }
    targets
}

/// The next step from the shares before towards what is needed.
pub fn next(zones: &BTreeMap<String, ZoneLoad>, before: &ZoneShares) -> ZoneShares {
    let homes = homes(zones, before);
    let targets = targets(zones, &homes, before);
    let mut shares = ZoneShares::new();
    for name in zones.keys() {
        let at = |shares: &ZoneShares, to: &str| {
            shares.get(name).and_then(|all| all.get(to)).copied().unwrap_or(0)
        };
        let mut sum = 0;
        for to in zones.keys() {
            let (now, target) = (at(before, to), at(&targets, to));
            let is_there = zones[to].is_place;
            let next = if !is_there {
                0
            } else if now.abs_diff(target) < DEAD_BAND {
                if target == 0 { 0 } else { now }
            } else {
                (f64::from(now) + STEP * (f64::from(target) - f64::from(now))).round() as u32
            };
            let next = next.min((1000.0 * MOST) as u32 - sum);
            sum += next;
            if next > 0 {
                shares.entry(name.clone()).or_default().insert(to.clone(), next);
            }
        }
    }
    shares
}

#[cfg(test)]
mod tests;
