//! The choice among servers that say how many requests each works on at one time (design 8.7): by
//! free slots, the nearest first, and by the shortest queue where none is free. Pure.

/// Where a server stands as seen from this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the zone, and in this proxy's part of it: few others send anything there, so what is in
    /// hand here is what is with it.
    Own,
    Zone,
    Region,
    Far,
}

/// A server that may be given the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub index: usize,
    pub distance: Distance,
    /// Requests that are with it, those of other proxies estimated.
    pub load: f64,
    pub slots: f64,
}

impl Candidate {
    /// Its requests as a multiple of what it works on at one time, this one included.
    fn fill(&self) -> f64 {
        (self.load + 1.0) / self.slots
    }
}

/// One step of the search: servers up to this distance whose fill stays at most so much.
struct Step {
    farthest: Distance,
    fill: f64,
}

const fn step(farthest: Distance, fill: f64) -> Step {
    Step { farthest, fill }
}

/// A free slot in the own part of the zone, or a queue of half its slots there; the same in all of the
/// zone; a free slot or a short queue in the region; then a free slot far away, then longer queues.
const STEPS: [Step; 10] = [
    step(Distance::Own, 1.0),
    step(Distance::Own, 1.5),
    step(Distance::Zone, 1.0),
    step(Distance::Zone, 1.5),
    step(Distance::Region, 1.0),
    step(Distance::Region, 2.0),
    step(Distance::Far, 1.0),
    step(Distance::Region, 3.0),
    step(Distance::Far, 3.0),
    step(Distance::Far, FILL_MOST),
];

/// Large answers stay near for longer: their bytes cost more than a short wait.
const STEPS_BULK: [Step; 7] = [
    step(Distance::Own, 1.0),
    step(Distance::Zone, 1.0),
    step(Distance::Zone, 2.5),
    step(Distance::Region, 1.5),
    step(Distance::Region, 3.0),
    step(Distance::Far, 2.0),
    step(Distance::Far, FILL_MOST),
];

/// A server with more than that is full: it would turn the request away.
pub const FILL_MOST: f64 = 4.0;

/// The server for a request; `None` where all are full. Within a step the least filled one, and of
/// equal ones the one that the draw falls on.
pub fn choose(candidates: &[Candidate], is_bulk: bool, random: u64) -> Option<usize> {
    let steps: &[Step] = if is_bulk { &STEPS_BULK } else { &STEPS };
    let turn = random as usize % candidates.len().max(1);
    for step in steps {
        let mut best: Option<(f64, Distance, usize)> = None;
        for offset in 0..candidates.len() {
            let one = &candidates[(turn + offset) % candidates.len()];
            let fill = one.fill();
            if one.distance > step.farthest || fill > step.fill {
                continue;
            }
            let is_better = best.is_none_or(|(least, distance, _)| {
                fill < least || (fill == least && one.distance < distance)
            });
            if is_better {
                best = Some((fill, one.distance, one.index));
            }
        }
        if let Some((_, _, index)) = best {
            return Some(index);
        }
    }
    None
}

/// Which servers of a zone are this proxy's part: every server has about as many proxies as every other,
/// and every proxy about as many servers. `proxies` are those of the zone, this one at `rank`; a server
/// is at its place among `servers`.
pub fn is_own(rank: usize, proxies: usize, place: usize, servers: usize) -> bool {
    if proxies <= 1 || servers == 0 {
        return true;
    }
    match servers >= proxies {
        true => place % proxies == rank,
        false => rank % servers == place,
    }
}

#[cfg(test)]
mod tests;
