use super::{ZoneLoad, ZoneShares, next};
use std::collections::BTreeMap;

/// Six zones in three regions with ten servers each, and what each zone's callers want.
fn fleet(wants: [f64; 6]) -> BTreeMap<String, ZoneLoad> {
    let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let zone = |index: usize| ZoneLoad {
        region: names[index][..1].to_string(),
        taken: wants[index],
        servers: 10.0,
        is_place: true,
    };
    (0..6).map(|index| (names[index].to_string(), zone(index))).collect()
}

/// What the zones' proxies take once callers follow the shares.
fn follow(wants: &BTreeMap<String, ZoneLoad>, shares: &ZoneShares) -> BTreeMap<String, ZoneLoad> {
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

fn shown(shares: &ZoneShares) -> String {
    let one = |(from, all): (&String, &BTreeMap<String, u32>)| {
        let to: Vec<String> = all.iter().map(|(to, part)| format!("{to} {part}")).collect();
        format!("{from} to {}", to.join(", "))
    };
    let all: Vec<String> = shares.iter().map(one).collect();
    if all.is_empty() { "nobody moves".to_string() } else { all.join("; ") }
}

/// Steps until nothing changes; the shares then, how many steps, and the most that any moved.
fn settle(wants: &BTreeMap<String, ZoneLoad>, before: &ZoneShares) -> (ZoneShares, usize, u32) {
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
    let none = ZoneShares::new();
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
    let (shares, ..) = settle(&wants, &ZoneShares::new());
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
    let (mut shares, mut seen, mut seed) = (ZoneShares::new(), wants.clone(), 7_u64);
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
