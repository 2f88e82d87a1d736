use super::{ZoneLoad, ZoneShares, next_shares};
use std::collections::BTreeMap;

/// Six zones in three regions with ten servers each, and the load of each zone's clients.
fn zones_with(loads: [f64; 6]) -> BTreeMap<String, ZoneLoad> {
    let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let zone = |index: usize| ZoneLoad {
        region: names[index][..1].to_string(),
        load: loads[index],
        servers: 10.0,
        has_proxies: true,
    };
    (0..6).map(|index| (names[index].to_string(), zone(index))).collect()
}

/// The zones' loads once clients follow the shares.
fn apply(
    unshifted: &BTreeMap<String, ZoneLoad>,
    shares: &ZoneShares,
) -> BTreeMap<String, ZoneLoad> {
    let mut zones = unshifted.clone();
    for (from, shares) in shares {
        for (to, share) in shares {
            let shifted = unshifted[from].load * f64::from(*share) / 1000.0;
            zones.get_mut(from).unwrap().load -= shifted;
            zones.get_mut(to).unwrap().load += shifted;
        }
    }
    zones
}

fn shown(shares: &ZoneShares) -> String {
    let one = |(from, all): (&String, &BTreeMap<String, u32>)| {
        let to: Vec<String> = all.iter().map(|(to, part)| format!("{to} {part}")).collect();
        format!("{from} to {}", to.join(", "))
    };
    let all: Vec<String> = shares.iter().map(one).collect();
    if all.is_empty() { "nobody moves".to_string() } else { all.join("; ") }
}

/// Steps until nothing changes: the shares then, the number of steps, and the most that any zone shifted.
fn settle(zones: &BTreeMap<String, ZoneLoad>, before: &ZoneShares) -> (ZoneShares, usize, u32) {
    let (mut shares, mut most) = (before.clone(), 0);
    for step in 0..40 {
        let after = next_shares(&apply(zones, &shares), &shares);
        most = most.max(after.values().map(|all| all.values().sum()).max().unwrap_or(0));
        if after == shares {
            return (shares, step, most);
        }
        shares = after;
    }
    panic!("never settles: {}", shown(&shares));
}

/// As much is shifted as is needed and no more, to zones with spare capacity, near ones first; the shares
/// settle without overshoot, and go back to none when the load does.
#[test]
fn only_excess_load_is_shifted_and_comes_back() {
    let none = ZoneShares::new();
    let mut lines = String::new();
    for (what, loads) in [
        ("quiet", [4.5; 6]),
        ("busy, not too much", [9.9, 4.0, 4.0, 4.0, 4.0, 4.0]),
        ("one zone three times as much", [13.5, 4.5, 4.5, 4.5, 4.5, 4.5]),
        ("its neighbour has no room", [13.5, 9.0, 4.5, 4.5, 4.5, 4.5]),
        ("two zones of two regions", [13.5, 4.5, 13.5, 4.5, 4.5, 4.5]),
        ("more than all can do", [30.0, 9.0, 9.0, 9.0, 9.0, 9.0]),
    ] {
        let zones = zones_with(loads);
        let (shares, steps, most) = settle(&zones, &none);
        let ended = shares.values().map(|all| all.values().sum::<u32>()).max().unwrap_or(0);
        let worst = apply(&zones, &shares).values().map(|zone| zone.load).fold(0.0, f64::max);
        lines += &format!(
            "{what}: {} after {steps} steps, {} over, the worst then {worst:.1} of 10\n",
            shown(&shares),
            most - ended
        );
        let (back, steps, _) = settle(&zones_with([4.5; 6]), &shares);
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

/// A zone lost its servers and still has its proxies: nearly all its clients are shifted, and not to one
/// neighbour. A zone without proxies gets none.
#[test]
fn clients_of_a_zone_without_servers_are_spread_over_zones_with_proxies() {
    let mut zones = zones_with([6.0; 6]);
    zones.get_mut("a1").unwrap().servers = 0.0;
    let (shares, ..) = settle(&zones, &ZoneShares::new());
    let shifted: u32 = shares["a1"].values().sum();
    assert!(shifted >= 900, "{}", shown(&shares));
    let after = apply(&zones, &shares);
    assert!(after.values().all(|zone| zone.load < 9.3), "{after:?}");
    zones.get_mut("a2").unwrap().has_proxies = false;
    let (shares, ..) = settle(&zones, &shares);
    assert!(shares.values().all(|to| !to.contains_key("a2")), "{}", shown(&shares));
}

/// Reports are late and inexact: the shares do not oscillate.
#[test]
fn late_and_inexact_reports_do_not_make_the_shares_oscillate() {
    let zones = zones_with([13.5, 4.5, 4.5, 4.5, 4.5, 4.5]);
    let (mut shares, mut reported, mut seed) = (ZoneShares::new(), zones.clone(), 7_u64);
    let mut totals = Vec::new();
    for _ in 0..40 {
        let current = apply(&zones, &shares);
        for (name, zone) in &mut reported {
            // Two thirds of the change shows by the next step, and a tenth is noise.
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let noise = 0.95 + 0.1 * ((seed >> 40) as f64 / (1_u64 << 24) as f64);
            zone.load += 0.66 * (current[name].load * noise - zone.load);
        }
        shares = next_shares(&reported, &shares);
        totals.push(shares.get("a1").map_or(0, |to| to.values().sum::<u32>()));
    }
    let late = &totals[8..];
    let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
    assert!(*least > 300 && *most < 500 && most - least < 120, "{totals:?}");
}
