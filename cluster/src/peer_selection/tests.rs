use crate::wire::Role;

/// Fleets of three regions of two zones, with one machine for registry and store in each region.
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

/// An update from any node reaches all others along the pulls, with all nodes or with a zone, a region or
/// every registry gone; and nobody has more than a few peers.
#[test]
fn updates_reach_all_nodes_whichever_location_is_gone() {
    let mut max_peers = 0;
    for proxies in [8, 12] {
        let all_nodes = fleet(proxies);
        for gone in ["-", "a1", "b1", "c1", "a2", "b2", "c2", "a", "b", "c", "registry"] {
            let live: Vec<_> = all_nodes
                .iter()
                .filter(|(name, _, region, zone)| {
                    region != gone && zone != gone && !name.starts_with(gone)
                })
                .collect();
            let candidates: Vec<super::Candidate<'_>> = live
                .iter()
                .map(|(name, role, region, zone)| super::Candidate {
                    name,
                    role: *role,
                    region,
                    zone,
                })
                .collect();
            let pulls: Vec<Vec<usize>> = (0..candidates.len())
                .map(|own| {
                    let others: Vec<usize> =
                        (0..candidates.len()).filter(|index| *index != own).collect();
                    let view: Vec<_> = others.iter().map(|one| candidates[*one].clone()).collect();
                    super::select_peers(&candidates[own], &view)
                        .into_iter()
                        .map(|index| others[index])
                        .collect()
                })
                .collect();
            for source in 0..candidates.len() {
                let mut reached = vec![false; candidates.len()];
                reached[source] = true;
                // A pull shows the responder who pulls; everything else flows to the requester.
                for rounds in 0..candidates.len() {
                    let before = reached.clone();
                    for requester in 0..candidates.len() {
                        for responder in &pulls[requester] {
                            if before[*responder] {
                                reached[requester] = true;
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
            max_peers = max_peers.max(pulls.iter().map(Vec::len).max().unwrap_or(0));
        }
    }
    assert!(max_peers <= 7, "{max_peers} peers");
}
