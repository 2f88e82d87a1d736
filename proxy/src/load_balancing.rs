//! The choice among servers that say how many requests each works on at one time (design 8.7): the one
//! at which a request costs least, by the time that it takes there, the time that it takes from others
//! who are with it, and the way of its bytes. Pure.

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
    /// How long it takes for its work, as a multiple of what is usual in the service.
    pub pace: f64,
    /// There and back.
    pub way_ms: f64,
    /// A connection to it rests here that may be used.
    pub is_connected: bool,
}

/// What is known of a request before it is sent, by those like it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// What a server of usual pace takes that has room.
    pub work_ms: f64,
    /// Request and answer together.
    pub kilobytes: f64,
}

/// Waiting that a kilobyte is worth which stays in the zone.
const KILOBYTE_MS: f64 = 30.0;
/// What a new connection costs beside its way there and back, as a part of the work: its first packets
/// wait in queues of their own, and are sent again after a second if they are lost.
const OPEN: f64 = 0.35;
/// One choice of so many looks away from that, so that a server which is new gets its part where
/// others are never crowded.
const OPENS_ANYWAY: u64 = 12;

/// Whether this choice is such a one, by its draw.
pub fn opens_anyway(random: u64) -> bool {
    (random >> 32).is_multiple_of(OPENS_ANYWAY)
}
/// A server takes longer for everything as it fills up: what the last free slot costs, as a multiple of
/// the first ones, with what the others there lose by it.
const LAST_SLOT: f64 = 2.8;
/// The same of a whole queue as long as its slots.
const QUEUE: f64 = 3.0;
/// How much longer a request takes with all slots in use.
const FULL_TAKES: f64 = 1.6;

impl Candidate {
    /// Its requests as a multiple of what it works on at one time, this one included.
    fn fill(&self) -> f64 {
        (self.load + 1.0) / self.slots
    }

    /// When its answer can be expected, in milliseconds.
    fn expected_ms(&self, job: &RequestCost) -> f64 {
        let opened = if self.is_connected { 0.0 } else { self.way_ms };
        let takes = job.work_ms * self.pace * lateness(self.load + 1.0, self.slots);
        self.way_ms + opened + takes
    }

    /// It would stand in a queue here, and its answer come later than `limit_ms`. What finds a free
    /// slot is never that: it shows how long requests take by now.
    pub fn is_too_crowded(&self, job: &RequestCost, limit_ms: f64) -> bool {
        self.load + 1.0 > self.slots && self.expected_ms(job) > limit_ms
    }

    /// What the request costs here, in milliseconds: to itself, to others, and for its bytes.
    pub fn cost(&self, job: &RequestCost) -> f64 {
        let carried = match self.distance {
            Distance::Own | Distance::Zone => 0.0,
            Distance::Region | Distance::Far => KILOBYTE_MS * job.kilobytes,
        };
        let opened = if self.is_connected { 0.0 } else { self.way_ms + OPEN * job.work_ms };
        self.way_ms
            + opened
            + carried
            + job.work_ms * self.pace * crowding(self.load + 1.0, self.slots)
    }
}

/// Half of the slots, one at the least, are free of cost to others.
fn roomy(slots: f64) -> f64 {
    (slots / 2.0).max(1.0)
}

/// The cost of a request that makes it so many at a server, as a multiple of its work.
fn crowding(load: f64, slots: f64) -> f64 {
    let roomy = roomy(slots);
    if load <= roomy {
        // The emptier of two that have room.
        0.9 + 0.1 * load / roomy
    } else if load <= slots {
        1.0 + (LAST_SLOT - 1.0) * (load - roomy) / (slots - roomy)
    } else {
        LAST_SLOT + QUEUE * (load / slots - 1.0)
    }
}

/// How long a request takes that makes it so many at a server, as a multiple of its work: what is
/// taken out before a server's pace is judged.
pub fn lateness(load: f64, slots: f64) -> f64 {
    let roomy = roomy(slots);
    if load <= roomy {
        1.0
    } else if load <= slots {
        1.0 + (FULL_TAKES - 1.0) * (load - roomy) / (slots - roomy)
    } else {
        FULL_TAKES * load / slots
    }
}

/// A request is let into a queue if it can be expected to be answered within such a part of its aim: all
/// of it while queues come and go (`calm` 1), less where a crowd stands (0), for what is usual is the mean,
/// and answers spread. One that runs at most once is the dearer one to send away.
pub fn patience_ms(aim: std::time::Duration, is_once: bool, calm: f64) -> f64 {
    let part = if is_once { 0.75 } else { 0.6 };
    aim.as_secs_f64() * 1000.0 * (part + (1.0 - part) * calm)
}

/// A server with more than that is full: it would turn the request away.
pub const FILL_MOST: f64 = 4.0;

/// The server for a request; `None` where all are full. Of those that cost the same the nearest one,
/// and of equal ones the one that the draw falls on.
pub fn choose(candidates: &[Candidate], job: &RequestCost, random: u64) -> Option<usize> {
    let turn = random as usize % candidates.len().max(1);
    let mut best: Option<(f64, Distance, usize)> = None;
    for offset in 0..candidates.len() {
        let one = &candidates[(turn + offset) % candidates.len()];
        if one.fill() > FILL_MOST {
            continue;
        }
        let cost = one.cost(job);
        let is_better = best.is_none_or(|(least, distance, _)| {
            cost < least || (cost == least && one.distance < distance)
        });
        if is_better {
            best = Some((cost, one.distance, one.index));
        }
    }
    best.map(|best| best.2)
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
