use crate::wire::Role;

/// A fleet of three regions with two zones each, and one registry and one store per region.
fn fleet(proxies: usize) -> Vec<(String, Role, String, String)> {
    let zones = ["a1", "b1", "c1", "a2", "b2", "c2"];
    let mut nodes = Vec::new();
    for index in 0..proxies {
        let zone = zones[index % 6];
        nodes.push((format!("proxy-{index}"), Role::Proxy, zone[..1].into(), zone.into()));
    }
    for zone in &zones[..3] {
        for role in [Role::Registry, Role::Store] {
            nodes.push((format!("{role}-{zone}"), role, zone[..1].into(), zone.to_string()));
        }
    }
    nodes
}

/// An update of any node propagates to all others, with all nodes live or with a zone, a region or all
/// registries lost; and no node pulls from more than seven peers.
#[test]
fn updates_reach_all_live_nodes_when_a_location_is_lost() {
    let mut max_peers = 0;
    for proxies in [8, 12] {
        let all_nodes = fleet(proxies);
        for lost in ["-", "a1", "b1", "c1", "a2", "b2", "c2", "a", "b", "c", "registry"] {
            let live: Vec<_> = all_nodes
                .iter()
                .filter(|(name, _, region, zone)| {
                    region != lost && zone != lost && !name.starts_with(lost)
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
                    let view: Vec<_> =
                        others.iter().map(|index| candidates[*index].clone()).collect();
                    super::select_peers(&candidates[own], &view)
                        .into_iter()
                        .map(|index| others[index])
                        .collect()
                })
                .collect();
            for source in 0..candidates.len() {
                let mut reached = vec![false; candidates.len()];
                reached[source] = true;
                // A response carries updates from the responder to the requester. The other direction, the
                // requester's own entry, is not counted here.
                for rounds in 0..candidates.len() {
                    let reached_before = reached.clone();
                    for requester in 0..candidates.len() {
                        for responder in &pulls[requester] {
                            if reached_before[*responder] {
                                reached[requester] = true;
                            }
                        }
                    }
                    if reached == reached_before {
                        break;
                    }
                    assert!(rounds < 8, "too many rounds");
                }
                assert!(reached.iter().all(|is_reached| *is_reached), "{proxies} without {lost}");
            }
            max_peers = max_peers.max(pulls.iter().map(Vec::len).max().unwrap_or(0));
        }
    }
    assert!(max_peers <= 7, "{max_peers} peers");
}
