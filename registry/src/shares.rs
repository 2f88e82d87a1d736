//! What part of a zone's callers goes elsewhere, and where to: as much as is needed, to where there is
//! room, the own region first (design 7.4, docs/placement.md). Pure arithmetic.

use std::collections::BTreeMap;

pub use vanepath_sibling::wire::Shares;

/// One zone as a service sees it. Work is reckoned in servers: 1.0 keeps one of them wholly busy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Zone {
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
fn homes(zones: &BTreeMap<String, Zone>, before: &Shares) -> BTreeMap<String, f64> {
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
    zones: &BTreeMap<String, Zone>,
    homes: &BTreeMap<String, f64>,
    before: &Shares,
) -> Shares {
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
    let mut targets = Shares::new();
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
pub fn next(zones: &BTreeMap<String, Zone>, before: &Shares) -> Shares {
    let homes = homes(zones, before);
    let targets = targets(zones, &homes, before);
    let mut shares = Shares::new();
    for name in zones.keys() {
        let at = |shares: &Shares, to: &str| {
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
mod tests {
    use super::{Shares, Zone, next};
    use std::collections::BTreeMap;

    /// Six zones in three regions with ten servers each, and what each zone's callers want.
    fn fleet(wants: [f64; 6]) -> BTreeMap<String, Zone> {
        let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
        let zone = |index: usize| Zone {
            region: names[index][..1].to_string(),
            taken: wants[index],
            servers: 10.0,
            is_place: true,
        };
        (0..6).map(|index| (names[index].to_string(), zone(index))).collect()
    }

    /// What the zones' proxies take once callers follow the shares.
    fn follow(wants: &BTreeMap<String, Zone>, shares: &Shares) -> BTreeMap<String, Zone> {
        let mut taken = wants.clone();
        for (from, all) in shares {
            for (to, part) in all {
                let moved = wants[from].taken * f64::from(*part) / 1000.0;
                taken.get_mut(from).unwrap().taken -= moved;
                taken.get_mut(to).unwrap().taken += moved;
            }
        }
        taken
    }

    fn shown(shares: &Shares) -> String {
        let one = |(from, all): (&String, &BTreeMap<String, u32>)| {
            let to: Vec<String> = all.iter().map(|(to, part)| format!("{to} {part}")).collect();
            format!("{from} to {}", to.join(", "))
        };
        let all: Vec<String> = shares.iter().map(one).collect();
        if all.is_empty() { "nobody moves".to_string() } else { all.join("; ") }
    }

    /// Steps until nothing changes; the shares then, how many steps, and the most that any moved.
    fn settle(wants: &BTreeMap<String, Zone>, before: &Shares) -> (Shares, usize, u32) {
        let (mut shares, mut most) = (before.clone(), 0);
        for step in 0..40 {
            let after = next(&follow(wants, &shares), &shares);
            most = most.max(after.values().map(|all| all.values().sum()).max().unwrap_or(0));
            if after == shares {
                return (shares, step, most);
            }
            shares = after;
        }
        panic!("never settles: {}", shown(&shares));
    }

    /// As much moves as is needed and no more, to where there is room, near first; it settles without
    /// moving more than it ends with, and moves back when the demand is over.
    #[test]
    fn only_what_is_too_much_moves_and_comes_back() {
        let none = Shares::new();
        let mut lines = String::new();
        for (what, wants) in [
            ("quiet", [4.5; 6]),
            ("busy, not too much", [9.9, 4.0, 4.0, 4.0, 4.0, 4.0]),
            ("one zone three times as much", [13.5, 4.5, 4.5, 4.5, 4.5, 4.5]),
            ("its neighbour has no room", [13.5, 9.0, 4.5, 4.5, 4.5, 4.5]),
            ("two zones of two regions", [13.5, 4.5, 13.5, 4.5, 4.5, 4.5]),
            ("more than all can do", [30.0, 9.0, 9.0, 9.0, 9.0, 9.0]),
        ] {
            let wants = fleet(wants);
            let (shares, steps, most) = settle(&wants, &none);
            let ended = shares.values().map(|all| all.values().sum::<u32>()).max().unwrap_or(0);
            let worst = follow(&wants, &shares).values().map(|zone| zone.taken).fold(0.0, f64::max);
            lines += &format!(
                "{what}: {} after {steps} steps, {} over, the worst then {worst:.1} of 10\n",
                shown(&shares),
                most - ended
            );
            let (back, steps, _) = settle(&fleet([4.5; 6]), &shares);
            assert!(back.is_empty() && steps <= 8, "{what}: {} after {steps}", shown(&back));
        }
        expect_test::expect![[r#"
            quiet: nobody moves after 0 steps, 0 over, the worst then 4.5 of 10
            busy, not too much: nobody moves after 0 steps, 0 over, the worst then 9.9 of 10
            one zone three times as much: a1 to a2 328 after 6 steps, 0 over, the worst then 9.1 of 10
            its neighbour has no room: a1 to b1 78, b2 78, c1 78, c2 78 after 4 steps, 0 over, the worst then 9.3 of 10
            two zones of two regions: a1 to a2 328; b1 to b2 328 after 6 steps, 0 over, the worst then 9.1 of 10
            more than all can do: nobody moves after 0 steps, 0 over, the worst then 30.0 of 10
        "#]].assert_eq(&lines);
    }

    /// Servers of a zone are gone and its proxies are there: nearly all its callers move, and not onto
    /// one neighbour. A zone without proxies gets nobody.
    #[test]
    fn a_lost_zone_is_spread_and_nobody_is_sent_where_no_proxy_is() {
        let mut wants = fleet([6.0; 6]);
        wants.get_mut("a1").unwrap().servers = 0.0;
        let (shares, ..) = settle(&wants, &Shares::new());
        let gone: u32 = shares["a1"].values().sum();
        assert!(gone >= 900, "{}", shown(&shares));
        let after = follow(&wants, &shares);
        assert!(after.values().all(|zone| zone.taken < 9.3), "{after:?}");
        wants.get_mut("a2").unwrap().is_place = false;
        let (shares, ..) = settle(&wants, &shares);
        assert!(shares.values().all(|to| !to.contains_key("a2")), "{}", shown(&shares));
    }

    /// What is told is late and rough: the shares do not swing.
    #[test]
    fn late_and_rough_news_does_not_make_it_swing() {
        let wants = fleet([13.5, 4.5, 4.5, 4.5, 4.5, 4.5]);
        let (mut shares, mut seen, mut seed) = (Shares::new(), wants.clone(), 7_u64);
        let mut totals = Vec::new();
        for _ in 0..40 {
            let now = follow(&wants, &shares);
            for (name, zone) in &mut seen {
                // Two thirds of the change shows by the next step, and a tenth is chance.
                seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let rough = 0.95 + 0.1 * ((seed >> 40) as f64 / (1_u64 << 24) as f64);
                zone.taken += 0.66 * (now[name].taken * rough - zone.taken);
            }
            shares = next(&seen, &shares);
            totals.push(shares.get("a1").map_or(0, |to| to.values().sum::<u32>()));
        }
        let late = &totals[8..];
        let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
        assert!(*least > 300 && *most < 500 && most - least < 120, "{totals:?}");
    }
}
