//! What is usual, learned from answers (design 8.7): how long a class's requests take at a service and
//! how large they are, how full a zone's servers are with others' requests, how far a zone is. Pure.

use crate::load_balancing::{Distance, RequestCost};
use std::time::Duration;

/// Before the first answer.
const WORK_MS: f64 = 100.0;
const KILOBYTES: f64 = 4.0;
const KILOBYTES_BULK: f64 = 64.0;
/// How much one answer counts at the least.
const JOB_PART: f64 = 0.02;

/// How much one request counts of those that found a crowd, and from which part of them on it stands.
const CROWD_PART: f64 = 0.05;
const CROWD_STANDS: f64 = 0.5;

/// Of the requests of one class at one service.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    job: RequestCost,
    answers: f64,
    /// The part of the latest requests that found a crowd at every server.
    crowd: f64,
}

impl RequestProfile {
    pub fn new(is_bulk: bool) -> RequestProfile {
        let kilobytes = if is_bulk { KILOBYTES_BULK } else { KILOBYTES };
        RequestProfile {
            job: RequestCost { work_ms: WORK_MS, kilobytes },
            answers: 0.0,
            crowd: 0.0,
        }
    }

    pub fn job(&self) -> RequestCost {
        self.job
    }

    /// A request looked for a server, and at each it would have stood in a queue for longer than it has
    /// patience in a crowd, or not.
    pub fn looked(&mut self, found_crowd: bool) {
        self.crowd += CROWD_PART * (f64::from(u8::from(found_crowd)) - self.crowd);
    }

    /// From 1, while few find a crowd and queues come and go, to 0, where half of all find one and it
    /// stands.
    pub fn calm(&self) -> f64 {
        (1.0 - self.crowd / CROWD_STANDS).max(0.0)
    }

    /// An answer that took so long, what its server was full with taken out.
    pub fn answered(&mut self, took_ms: f64, kilobytes: Option<f64>) {
        self.answers += 1.0;
        let part = (1.0 / self.answers).max(JOB_PART);
        self.job.work_ms += part * (took_ms.max(1.0) - self.job.work_ms);
        if let Some(kilobytes) = kilobytes {
            self.job.kilobytes += part * (kilobytes - self.job.kilobytes);
        }
    }
}

/// How much one answer counts at the least, and the answers that the first guess counts for.
const PACE_PART: f64 = 0.12;
const PACE_PRIOR: f64 = 2.0;
/// A server that had no request for so long is as fast as any until it shows otherwise.
const PACE_HOLDS: Duration = Duration::from_secs(6);
/// What answers before such a pause showed counts no more than a first guess against a new one.
const PACE_RESUMES: Duration = Duration::from_secs(2);
/// A server that sends none of the answers it owes for so many times the usual time is slow by now.
const OWES: f64 = 2.5;
const PACE_BOUND: f64 = 2.1;

/// How fast a server is beside the others of its service. The mean of logarithms, so that a slow
/// answer does not outweigh many.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelativeLatency {
    log: f64,
    answers: f64,
    at: Duration,
}

impl RelativeLatency {
    /// An answer that took so many times as long as is usual.
    pub fn answered(&mut self, now: Duration, times: f64) {
        self.log = self.faded(now);
        let pause = now.saturating_sub(self.at).as_secs_f64() / PACE_RESUMES.as_secs_f64();
        self.answers = self.answers * (1.0 - pause).max(0.0) + 1.0;
        self.at = now;
        let part = (1.0 / (self.answers + PACE_PRIOR)).max(PACE_PART);
        let seen = times.max(0.01).ln().clamp(-PACE_BOUND, PACE_BOUND);
        self.log += part * (seen - self.log);
    }

    fn faded(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.log * (1.0 - age.as_secs_f64() / PACE_HOLDS.as_secs_f64()).max(0.0)
    }

    /// As a multiple of the usual time.
    pub fn times(&self, now: Duration) -> f64 {
        self.faded(now).exp()
    }

    /// Likewise, of a server that owes answers and sent none for so many times the usual time.
    pub fn times_owing(&self, now: Duration, owes: f64) -> f64 {
        let times = self.times(now);
        if owes > OWES { times.max(owes) } else { times }
    }
}

/// Of what is not told, so much of a server's slots is taken to be in use by others.
const FILL: f64 = 0.3;
const FILL_PART: f64 = 0.2;
const FILL_HOLDS: Duration = Duration::from_secs(3);

/// The servers of one service in one zone.
#[derive(Clone, Debug)]
pub struct ZonePool {
    fill: f64,
    fill_at: Duration,
    way_ms: Option<f64>,
}

impl Default for ZonePool {
    fn default() -> ZonePool {
        ZonePool { fill: FILL, fill_at: Duration::ZERO, way_ms: None }
    }
}

impl ZonePool {
    /// One of them told of so many requests of others for each of its slots.
    pub fn told(&mut self, now: Duration, others: f64) {
        self.fill = self.fill(now, FILL);
        self.fill_at = now;
        self.fill += FILL_PART * (others.min(1.5) - self.fill);
    }

    /// How full they are with others' requests, where nothing newer is known of the one; `usual` where
    /// nothing is known of the zone.
    pub fn fill(&self, now: Duration, usual: f64) -> f64 {
        usual + (self.fill - usual) * self.freshness(now)
    }

    fn freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.fill_at).as_secs_f64();
        (1.0 - age / FILL_HOLDS.as_secs_f64()).max(0.0)
    }

    /// A connection there came up in that time: the least is the way, the rest is what was in it.
    pub fn connected(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        let before = self.way_ms.unwrap_or(took_ms);
        self.way_ms =
            Some(if took_ms < before { took_ms } else { before + 0.02 * (took_ms - before) });
    }

    /// There and back.
    pub fn way_ms(&self, distance: Distance) -> f64 {
        self.way_ms.unwrap_or(match distance {
            Distance::Own | Distance::Zone => 1.0,
            Distance::Region => 2.0,
            Distance::Far => 30.0,
        })
    }
}

/// All pools of a proxy, found by service and zone.
#[derive(Debug, Default)]
pub struct ZonePools {
    /// With the names of their services.
    all: Vec<(String, ZonePool)>,
    by_service: std::collections::HashMap<String, std::collections::HashMap<String, usize>>,
}

impl ZonePools {
    /// The pool of these servers; a new one if it is the first.
    pub fn index(&mut self, service: &str, zone: &str) -> usize {
        if let Some(index) = self.by_service.get(service).and_then(|zones| zones.get(zone)) {
            return *index;
        }
        let zones = self.by_service.entry(service.to_string()).or_default();
        zones.insert(zone.to_string(), self.all.len());
        self.all.push((service.to_string(), ZonePool::default()));
        self.all.len() - 1
    }

    pub fn at(&self, index: usize) -> &ZonePool {
        &self.all[index].1
    }

    pub fn at_mut(&mut self, index: usize) -> &mut ZonePool {
        &mut self.all[index].1
    }

    /// How full these servers are with others' requests, as far as that is known.
    pub fn fill(&self, now: Duration, index: usize) -> f64 {
        let (service, pool) = &self.all[index];
        pool.fill(now, self.usual_fill(now, service))
    }

    /// How full this service's servers are usually.
    pub fn usual_fill(&self, now: Duration, service: &str) -> f64 {
        let zones = self.by_service.get(service).into_iter().flat_map(|zones| zones.values());
        usual_fill(now, zones.map(|index| self.at(*index)))
    }
}

/// Of classes at services; as many names as this at the most, for they come and go with setups.
const USUAL_MOST: usize = 4096;

#[derive(Debug, Default)]
pub struct RequestProfiles {
    by_service:
        std::collections::HashMap<String, std::collections::HashMap<String, RequestProfile>>,
}

impl RequestProfiles {
    /// What requests of this class usually are at this service.
    pub fn job(&self, class: &str, service: &str, is_bulk: bool) -> RequestCost {
        let known = self.by_service.get(service).and_then(|classes| classes.get(class));
        known.copied().unwrap_or_else(|| RequestProfile::new(is_bulk)).job()
    }

    pub fn of(&mut self, class: &str, service: &str, is_bulk: bool) -> &mut RequestProfile {
        if !self.by_service.contains_key(service) {
            if self.by_service.len() >= USUAL_MOST {
                self.by_service.clear();
            }
            self.by_service.insert(service.to_string(), Default::default());
        }
        let classes = self.by_service.get_mut(service).expect("just put there");
        if !classes.contains_key(class) {
            if classes.len() >= USUAL_MOST {
                classes.clear();
            }
            classes.insert(class.to_string(), RequestProfile::new(is_bulk));
        }
        classes.get_mut(class).expect("just put there")
    }
}

/// How full a service's servers are in the mean of the zones that told lately: what is to be expected
/// of one that did not. A zone that comes back would draw everybody at once if it were taken for empty.
pub fn usual_fill<'p>(now: Duration, pools: impl Iterator<Item = &'p ZonePool>) -> f64 {
    // One guess beside them, of little weight.
    let (sum, weight) = pools.fold((FILL * 0.2, 0.2), |(sum, weight), pool| {
        let fresh = pool.freshness(now);
        (sum + fresh * pool.fill, weight + fresh)
    });
    sum / weight
}

#[cfg(test)]
mod tests;
