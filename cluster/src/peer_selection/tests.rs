use crate::wire::Role;

/// Both fleets of the brief: three regions of two zones, core machines one a region.
fn fleet(proxies: usize) -> Vec<(String, Role, String, String)> {
    let zones = ["a1", "b1", "c1", "a2", "b2", "c2"];
    let mut all = Vec::new();
    for index in 0..proxies {
        let zone = zones[index % 6];
        all.push((format!("proxy-{index}"), Role::Proxy, zone[..1].into(), zone.into()));
    }
    for zone in &zones[..3] {
        for role in [Role::Registry, Role::Store] {
            all.push((format!("{role}-{zone}"), role, zone[..1].into(), zone.to_string()));
        }
    }
    all
}

/// News from any daemon reaches all others along the pulls, whole or with a zone, a region
/// or every registry gone; and nobody has more than a few siblings.
#[test]
fn news_reaches_all_whichever_place_is_gone() {
    let mut most = 0;
    for proxies in [8, 12] {
        let whole = fleet(proxies);
        for gone in ["-", "a1", "b1", "c1", "a2", "b2", "c2", "a", "b", "c", "registry"] {
            let live: Vec<_> = whole
                .iter()
                .filter(|(name, _, region, zone)| {
                    region != gone && zone != gone && !name.starts_with(gone)
                })
                .collect();
            let known: Vec<super::Candidate<'_>> = live
                .iter()
                .map(|(name, role, region, zone)| super::Candidate {
                    name,
                    role: *role,
                    region,
                    zone,
                })
                .collect();
            let pulls: Vec<Vec<usize>> = (0..known.len())
                .map(|own| {
                    let others: Vec<usize> =
                        (0..known.len()).filter(|index| *index != own).collect();
                    let view: Vec<_> = others.iter().map(|one| known[*one].clone()).collect();
                    super::select_peers(&known[own], &view)
                        .into_iter()
                        .map(|index| others[index])
                        .collect()
                })
                .collect();
            for source in 0..known.len() {
                let mut reached = vec![false; known.len()];
                reached[source] = true;
                // A pull tells the one asked who asks; all else flows to the asker.
                for rounds in 0..known.len() {
                    let before = reached.clone();
                    for asker in 0..known.len() {
                        for asked in &pulls[asker] {
                            if before[*asked] {
                                reached[asker] = true;
                            }
                        }
                    }
                    if reached == before {
                        break;
                    }
                    assert!(rounds < 8, "too many rounds");
                }
                assert!(reached.iter().all(|one| *one), "{proxies} without {gone}");
            }
            most = most.max(pulls.iter().map(Vec::len).max().unwrap_or(0));
        }
    }
    assert!(most <= 7, "{most} siblings");
}
