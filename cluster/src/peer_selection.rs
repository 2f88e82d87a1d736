//! Selection of the peers that a node pulls from (design 5.2). Ties between equally ranked candidates are
//! broken by rendezvous hashing (Thaler & Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! 1998): different nodes prefer different peers, and the departure of a peer changes the selection of few
//! nodes.

use crate::wire::Role;
use std::cmp::Reverse;
use vanepath_config::stable_hash;

/// The attributes of a live node that the selection considers.
#[derive(Clone, Debug)]
pub struct Candidate<'c> {
    /// The node's unique name.
    pub name: &'c str,
    /// The node's role.
    pub role: Role,
    /// The region of its zone.
    pub region: &'c str,
    /// The zone that the node runs in.
    pub zone: &'c str,
}

impl Candidate<'_> {
    /// The rendezvous weight of another node for this one.
    fn rendezvous_weight(&self, other: &Candidate<'_>) -> u64 {
        stable_hash(&[self.name, other.name])
    }

    /// The position on the hash ring of all nodes. Nodes of a region are adjacent, so that few pulls along
    /// the ring cross region boundaries.
    fn ring_position(&self) -> u64 {
        let region_bits = stable_hash(&["ring", self.region]) >> 48 << 48;
        region_bits | stable_hash(&["ring", self.name]) >> 16
    }
}

/// The peers that `own` pulls from while no registry is live, as indices into `live` (which does not
/// contain `own`): the successor on the ring of all nodes, so that updates reach every node; a peer in
/// another zone, of the same region if there is one; and the nearest registry. Registries and stores also
/// pull from all other nodes of their role.
pub fn select_peers(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Vec<usize> {
    let hash_rank = |index: &usize| (own.rendezvous_weight(&live[*index]), live[*index].name);
    let all_indices = || 0..live.len();
    let mut selected = Vec::new();
    let own_position = own.ring_position();
    selected.extend(all_indices().min_by_key(|index| {
        let other = &live[*index];
        (other.ring_position().wrapping_sub(own_position), other.name)
    }));
    selected.extend(
        all_indices()
            .filter(|index| live[*index].zone != own.zone)
            .max_by_key(|index| (live[*index].region == own.region, hash_rank(index))),
    );
    // The nearest registry, for less cross-zone traffic and lower latency.
    selected.extend(all_indices().filter(|index| live[*index].role == Role::Registry).max_by_key(
        |index| {
            let other = &live[*index];
            (other.zone == own.zone, other.region == own.region, hash_rank(index))
        },
    ));
    if own.role != Role::Proxy {
        selected.extend(all_indices().filter(|index| live[*index].role == own.role));
    }
    selected.sort_unstable();
    selected.dedup();
    selected
}

/// The registries among `live`, as indices, in the order in which `own` prefers to pull from them: the
/// nearest one that hears from a majority of registries, then one of another region, then the rest.
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
        Reverse((proximity, own.rendezvous_weight(other), other.name))
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

/// The nearest store, usually on the same machine. Newly committed configurations arrive from it first.
pub fn nearest_store(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Option<usize> {
    (0..live.len()).filter(|index| live[*index].role == Role::Store).max_by_key(|index| {
        let other = &live[*index];
        (
            other.zone == own.zone,
            other.region == own.region,
            own.rendezvous_weight(other),
            other.name,
        )
    })
}

#[cfg(test)]
mod tests;
