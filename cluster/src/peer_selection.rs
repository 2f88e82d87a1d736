//! Which peers a node pulls from (design 5.2). Between candidates of one rank rendezvous hashing decides
//! (Thaler & Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that each node
//! prefers others and the departure of one moves few.

use crate::wire::Role;
use std::cmp::Reverse;
use vanepath_config::stable_hash;

/// What the selection looks at in a live node.
#[derive(Clone, Debug)]
pub struct Candidate<'c> {
    /// The unique name of the node.
    pub name: &'c str,
    /// What it runs.
    pub role: Role,
    /// The region of its zone.
    pub region: &'c str,
    /// Where it runs.
    pub zone: &'c str,
}

impl Candidate<'_> {
    /// The rendezvous weight of another node for this one.
    fn weight(&self, other: &Candidate<'_>) -> u64 {
        stable_hash(&[self.name, other.name])
    }

    /// The position on the ring of all nodes: region by region, so that few of the pulls along the ring
    /// cross from one region to another.
    fn ring_position(&self) -> u64 {
        let region_bits = stable_hash(&["ring", self.region]) >> 48 << 48;
        region_bits | stable_hash(&["ring", self.name]) >> 16
    }
}

/// The peers that `own` pulls from while no registry is live, as indices into `live` (which does not hold
/// `own`): the next one on the ring of all nodes, so that updates reach everyone; one of another zone, of
/// the own region where there is one; the nearest registry. Registries and stores also pull from others
/// of their role.
pub fn select_peers(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Vec<usize> {
    let rank = |index: &usize| (own.weight(&live[*index]), live[*index].name);
    let all = || 0..live.len();
    let mut selected = Vec::new();
    let own_position = own.ring_position();
    selected.extend(all().min_by_key(|index| {
        let other = &live[*index];
        (other.ring_position().wrapping_sub(own_position), other.name)
    }));
    selected.extend(
        all()
            .filter(|index| live[*index].zone != own.zone)
            .max_by_key(|index| (live[*index].region == own.region, rank(index))),
    );
    // The nearest registry: fewer bytes between zones, and fresher.
    selected.extend(all().filter(|index| live[*index].role == Role::Registry).max_by_key(
        |index| {
            let other = &live[*index];
            (other.zone == own.zone, other.region == own.region, rank(index))
        },
    ));
    if own.role != Role::Proxy {
        selected.extend(all().filter(|index| live[*index].role == own.role));
    }
    selected.sort_unstable();
    selected.dedup();
    selected
}

/// The registries among `live`, as indices, in the order in which `own` pulls from them: the nearest one
/// that hears from a majority of registries, then one of another region, then the rest.
pub fn rank_registries(
    own: &Candidate<'_>,
    live: &[Candidate<'_>],
    hears_majority: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut ranked: Vec<usize> =
        (0..live.len()).filter(|index| live[*index].role == Role::Registry).collect();
    ranked.sort_by_key(|index| {
        let other = &live[*index];
        let proximity =
            (hears_majority(*index), other.zone == own.zone, other.region == own.region);
        Reverse((proximity, own.weight(other), other.name))
    });
    if let Some(first) = ranked.first().copied() {
        let other_region = ranked.iter().position(|index| {
            live[*index].region != live[first].region
                && hears_majority(*index) >= hears_majority(first)
        });
        if let Some(other_region) = other_region {
            ranked[1..=other_region].rotate_right(1);
        }
    }
    ranked
}

/// The nearest store, most often on the same machine: new configurations come from there first.
pub fn nearest_store(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Option<usize> {
    (0..live.len()).filter(|index| live[*index].role == Role::Store).max_by_key(|index| {
        let other = &live[*index];
        (other.zone == own.zone, other.region == own.region, own.weight(other), other.name)
    })
}

#[cfg(test)]
mod tests;
