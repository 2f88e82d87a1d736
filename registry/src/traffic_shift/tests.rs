use super::{ZoneLoad, ZoneShares, next_shares};
use std::collections::BTreeMap;

/// Six zones in three regions with ten servers each, and the given load of each zone's own clients.
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

/// The zones' loads after clients have been shifted according to the shares.
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

fn format_shares(shares: &ZoneShares) -> String {
    let format_zone = |(from, targets): (&String, &BTreeMap<String, u32>)| {
        let targets: Vec<String> =
            targets.iter().map(|(to, share)| format!("{to} {share}")).collect();
        format!("{from} to {}", targets.join(", "))
    };
    let zones: Vec<String> = shares.iter().map(format_zone).collect();
    if zones.is_empty() { "no shift".to_string() } else { zones.join("; ") }
}

/// Steps until the shares no longer change. Returns the final shares, the number of steps, and the largest
/// share of its clients that any zone shifted on the way.
fn settle(zones: &BTreeMap<String, ZoneLoad>, initial: &ZoneShares) -> (ZoneShares, usize, u32) {
    let (mut shares, mut max_shifted) = (initial.clone(), 0);
    for step in 0..40 {
        let after = next_shares(&apply(zones, &shares), &shares);
        max_shifted = max_shifted
            .max(after.values().map(|targets| targets.values().sum()).max().unwrap_or(0));
        if after == shares {
            return (shares, step, max_shifted);
        }
        shares = after;
    }
    panic!("the shares still change after 40 steps: {}", format_shares(&shares));
}

/// Only the excess load is shifted, to zones with spare capacity, first to those of the same region. The
/// shares settle without overshoot and return to none once the load has dropped.
#[test]
fn only_excess_load_is_shifted_and_comes_back() {
    let none = ZoneShares::new();
    let mut lines = String::new();
    for (case, loads) in [
        ("low load", [4.5; 6]),
        ("high load within capacity", [9.9, 4.0, 4.0, 4.0, 4.0, 4.0]),
        ("one zone overloaded", [13.5, 4.5, 4.5, 4.5, 4.5, 4.5]),
        ("one zone overloaded, no spare capacity in its region", [13.5, 9.0, 4.5, 4.5, 4.5, 4.5]),
        ("one zone overloaded in each of two regions", [13.5, 4.5, 13.5, 4.5, 4.5, 4.5]),
        ("no spare capacity in any zone", [30.0, 9.0, 9.0, 9.0, 9.0, 9.0]),
    ] {
        let zones = zones_with(loads);
        let (shares, steps, max_shifted) = settle(&zones, &none);
        let final_shifted =
            shares.values().map(|targets| targets.values().sum::<u32>()).max().unwrap_or(0);
        let highest_load =
            apply(&zones, &shares).values().map(|zone| zone.load).fold(0.0, f64::max);
        lines += &format!(
            "{case}: {} after {steps} steps, overshoot {}, highest load then {highest_load:.1} of 10\n",
            format_shares(&shares),
            max_shifted - final_shifted
        );
        let (back, steps, _) = settle(&zones_with([4.5; 6]), &shares);
        assert!(
            back.is_empty() && steps <= 8,
            "{case}: {} after {steps} steps",
            format_shares(&back)
        );
    }
    expect_test::expect![[r#"
        low load: no shift after 0 steps, overshoot 0, highest load then 4.5 of 10
        high load within capacity: no shift after 0 steps, overshoot 0, highest load then 9.9 of 10
        one zone overloaded: a1 to a2 328 after 6 steps, overshoot 0, highest load then 9.1 of 10
        one zone overloaded, no spare capacity in its region: a1 to b1 78, b2 78, c1 78, c2 78 after 4 steps, overshoot 0, highest load then 9.3 of 10
        one zone overloaded in each of two regions: a1 to a2 328; b1 to b2 328 after 6 steps, overshoot 0, highest load then 9.1 of 10
        no spare capacity in any zone: no shift after 0 steps, overshoot 0, highest load then 30.0 of 10
    "#]].assert_eq(&lines);
}

/// A zone that has lost its servers and still has proxies shifts nearly all its clients, and not all of
/// them to one zone. A zone without proxies receives none.
#[test]
fn clients_of_a_zone_without_servers_are_spread_over_zones_with_proxies() {
    let mut zones = zones_with([6.0; 6]);
    zones.get_mut("a1").unwrap().servers = 0.0;
    let (shares, ..) = settle(&zones, &ZoneShares::new());
    let shifted: u32 = shares["a1"].values().sum();
    assert!(shifted >= 900, "{}", format_shares(&shares));
    let after = apply(&zones, &shares);
    assert!(after.values().all(|zone| zone.load < 9.3), "{after:?}");
    zones.get_mut("a2").unwrap().has_proxies = false;
    let (shares, ..) = settle(&zones, &shares);
    assert!(shares.values().all(|to| !to.contains_key("a2")), "{}", format_shares(&shares));
}

#[test]
fn late_and_inexact_reports_do_not_make_the_shares_oscillate() {
    let zones = zones_with([13.5, 4.5, 4.5, 4.5, 4.5, 4.5]);
    let (mut shares, mut reported, mut seed) = (ZoneShares::new(), zones.clone(), 7_u64);
    let mut totals = Vec::new();
    for _ in 0..40 {
        let current = apply(&zones, &shares);
        for (name, zone) in &mut reported {
            // A report reflects two thirds of a change by the next step, and its noise spans a tenth.
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let noise = 0.95 + 0.1 * ((seed >> 40) as f64 / (1_u64 << 24) as f64);
            zone.load += 0.66 * (current[name].load * noise - zone.load);
        }
        shares = next_shares(&reported, &shares);
        totals.push(shares.get("a1").map_or(0, |to| to.values().sum::<u32>()));
    }
    let settled = &totals[8..];
    let (lowest, highest) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
    assert!(*lowest > 300 && *highest < 500 && highest - lowest < 120, "{totals:?}");
}
