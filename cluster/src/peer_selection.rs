//! Rendezvous hashing names each daemon's few siblings (design 5.2).

/// What the choice looks at.
#[derive(Clone, Debug)]
pub struct Candidate<'k> {
    pub name: &'k str,
    pub role: crate::wire::Role,
    pub region: &'k str,
    pub zone: &'k str,
}

/// The siblings that `own` pulls from, as indices into `live` (which does not hold `own`): the next
/// on the ring of all names, so that news always gets round; one of another zone, of the own region
/// where there is one; the nearest registry. Registries and stores also pull from others of their
/// kind.
pub fn select_peers(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Vec<usize> {
    let rank = |index: &usize| {
        (vanepath_config::stable_hash(&[own.name, live[*index].name]), live[*index].name)
    };
    let all = || 0..live.len();
    let mut chosen = Vec::new();
    // Region by region, so that few of the pulls along the ring cross from one to another.
    let place = |region: &str, name: &str| {
        let high = vanepath_config::stable_hash(&["ring", region]) >> 48 << 48;
        high | vanepath_config::stable_hash(&["ring", name]) >> 16
    };
    let own_place = place(own.region, own.name);
    chosen.extend(all().min_by_key(|index| {
        let other = &live[*index];
        (place(other.region, other.name).wrapping_sub(own_place), other.name)
    }));
    chosen.extend(
        all()
            .filter(|index| live[*index].zone != own.zone)
            .max_by_key(|index| (live[*index].region == own.region, rank(index))),
    );
    // The nearest registry: fewer bytes between zones, and fresher.
    chosen.extend(
        all().filter(|index| live[*index].role == crate::wire::Role::Registry).max_by_key(
            |index| {
                let other = &live[*index];
                (other.zone == own.zone, other.region == own.region, rank(index))
            },
        ),
    );
    if own.role != crate::wire::Role::Proxy {
        chosen.extend(all().filter(|index| live[*index].role == own.role));
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// The registries among `live` in the order in which `own` pulls from them: the nearest that hears
/// from most others, then one of another region, then the rest. `is_whole` says which do.
pub fn rank_registries(
    own: &Candidate<'_>,
    live: &[Candidate<'_>],
    is_whole: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut ranked: Vec<usize> =
        (0..live.len()).filter(|index| live[*index].role == crate::wire::Role::Registry).collect();
    ranked.sort_by_key(|index| {
        let other = &live[*index];
        let hash = vanepath_config::stable_hash(&[own.name, other.name]);
        let near = (is_whole(*index), other.zone == own.zone, other.region == own.region);
        std::cmp::Reverse((near, hash, other.name))
    });
    if let Some(first) = ranked.first().copied() {
        let elsewhere = ranked.iter().position(|index| {
            live[*index].region != live[first].region && is_whole(*index) >= is_whole(first)
        });
        if let Some(elsewhere) = elsewhere {
            ranked[1..=elsewhere].rotate_right(1);
        }
    }
    ranked
}

/// The nearest store, most often on the same machine: the word comes from there.
pub fn nearest_store(own: &Candidate<'_>, live: &[Candidate<'_>]) -> Option<usize> {
    (0..live.len()).filter(|index| live[*index].role == crate::wire::Role::Store).max_by_key(
        |index| {
            let other = &live[*index];
            let hash = vanepath_config::stable_hash(&[own.name, other.name]);
            (other.zone == own.zone, other.region == own.region, hash, other.name)
        },
    )
}

#[cfg(test)]
mod tests;
