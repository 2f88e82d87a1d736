//! What each daemon could have known, from outside: who is awake and which paths between daemons
//! work, told by the simulator and not by the daemons. Nobody is excused for a whole day, only for
//! the time in which no path led to it from where a thing was known (design 10.5).

use super::control::{Daemon, Duty, Sim, What};
use std::collections::BTreeMap;
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

/// A new word or list, or a leaving mark, holds after so long.
pub const SOON: Duration = Duration::from_secs(4);
/// An emptied zone gets no new work after so long.
pub const EMPTY_SOON: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_millis(100);

/// The word's and the platform list's revisions, since when each could have been known without a
/// break.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub word: BTreeMap<u64, Duration>,
    pub platform: BTreeMap<u64, Duration>,
}

/// Since when something of at least this revision could have been known.
pub fn since(known: &BTreeMap<u64, Duration>, revision: u64) -> Option<Duration> {
    known.range(revision..).map(|(_, since)| *since).min()
}

/// An emptied zone, from the operator's receipt to the call that returns it.
#[derive(Clone, Debug)]
pub struct Emptying {
    pub zone: String,
    /// The evacuation whose order it is: only its own withdrawal ends it. `None`: by a key.
    pub order: Option<usize>,
    pub revision: u64,
    pub from: Duration,
    pub to: Option<Duration>,
}

#[derive(Default)]
pub struct Reach {
    sampled_at: Duration,
    pub known: Vec<Known>,
    /// The highest revisions that were in force on every proxy that ran, at some moment.
    everywhere: (u64, u64),
    /// What was in force everywhere when this life of a proxy began, or when it woke.
    floors: Vec<(u64, u64)>,
    lives: Vec<(u32, bool)>,
    /// When that life began, or when it woke.
    begun: Vec<Duration>,
    /// Since when a registry has reached a majority of stores that vote and reach each other.
    pub majority_since: Vec<Option<Duration>>,
    pub emptyings: Vec<Emptying>,
    /// The highest revision of which an operator has a receipt.
    receipted: u64,
    /// What was found, once for each daemon and kind.
    told: std::collections::BTreeSet<(usize, &'static str, u64)>,
    pub faults: Vec<String>,
    pub worst_setup: Duration,
    pub worst_drain: Duration,
}

impl Reach {
    fn find(&mut self, who: usize, kind: &'static str, number: u64, text: String) {
        if self.told.insert((who, kind, number)) && self.faults.len() < 40 {
            self.faults.push(text);
        }
    }
}

fn word(daemon: &Daemon) -> u64 {
    daemon.news.committed.revision
}

impl Sim {
    /// Whether a call from one daemon to the other, and its reply, would get through.
    fn is_path(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.daemons[one].host, self.daemons[other].host);
        !self.net.is_cut(one, other) && !self.net.is_cut(other, one)
    }

    /// Looks at the fleet now and then.
    pub fn sample(&mut self) {
        if self.net.now >= self.reach.sampled_at + EVERY {
            self.look();
        }
    }

    /// Looks at the fleet now.
    pub fn look(&mut self) {
        let now = self.net.now;
        let mut reach = std::mem::take(&mut self.reach);
        reach.sampled_at = now;
        reach.known.resize(self.daemons.len(), Known::default());
        reach.floors.resize(self.daemons.len(), (0, 0));
        reach.lives.resize(self.daemons.len(), (0, false));
        reach.begun.resize(self.daemons.len(), Duration::ZERO);
        reach.majority_since.resize(self.daemons.len(), None);
        for part in self.parts() {
            self.learn(&mut reach, &part);
        }
        let mut everywhere: Option<(u64, u64)> = None;
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            let is_up = self.is_up(index);
            if !is_up {
                reach.known[index] = Known::default();
                reach.majority_since[index] = None;
            }
            let life = (self.net.hosts[daemon.host].life, is_up);
            if std::mem::replace(&mut reach.lives[index], life) != life && is_up {
                reach.floors[index] = reach.everywhere;
                reach.begun[index] = now;
            }
            if is_up && daemon.card.role == Role::Proxy {
                let list = self.list_shown(daemon.view.endpoints.revision);
                let own = (daemon.view.committed.revision, list);
                let least = everywhere.unwrap_or(own);
                everywhere = Some((least.0.min(own.0), least.1.min(own.1)));
                self.lags(&mut reach, index, own);
            }
        }
        let (word, platform) = everywhere.unwrap_or_default();
        reach.everywhere.0 = reach.everywhere.0.max(word);
        reach.everywhere.1 = reach.everywhere.1.max(platform);
        self.reach = reach;
    }

    /// The parts of the fleet within which each can hear of what any other knows.
    fn parts(&self) -> Vec<Vec<usize>> {
        let mut left: Vec<usize> =
            (0..self.daemons.len()).filter(|index| self.is_up(*index)).collect();
        let mut parts = Vec::new();
        while let Some(first) = left.pop() {
            let mut part = vec![first];
            let mut next = 0;
            while next < part.len() {
                let from = part[next];
                next += 1;
                let (found, rest) = left.iter().partition(|index| self.is_path(from, **index));
                part.extend::<Vec<usize>>(found);
                left = rest;
            }
            parts.push(part);
        }
        parts
    }

    fn learn(&self, reach: &mut Reach, part: &[usize]) {
        let now = self.net.now;
        let of = |role: Role| {
            part.iter().copied().filter(move |index| self.daemons[*index].card.role == role)
        };
        let mut words = part.iter().map(|index| word(&self.daemons[*index])).max().unwrap_or(0);
        let lists = part
            .iter()
            .map(|index| self.list_shown(self.daemons[*index].news.endpoints.current().revision));
        let mut list = lists.max().unwrap_or(0);
        if of(Role::Registry).any(|index| {
            let host = self.daemons[index].host;
            !self.net.is_cut(host, self.platform_host) && !self.net.is_cut(self.platform_host, host)
        }) {
            list = list.max(self.platform.revision);
        }
        let holders: Vec<usize> = of(Role::Store)
            .filter(|index| match &self.daemons[*index].duty {
                Duty::Store(store) => store.core.summary().is_voting,
                _ => false,
            })
            .collect();
        let is_kept = |index: &&usize| match &self.daemons[**index].duty {
            Duty::Store(store) => store.core.summary().accepted >= reach.receipted,
            _ => false,
        };
        let majority = self.stores / 2 + 1;
        if holders.iter().filter(is_kept).count() >= majority {
            // What a majority of them accepted they can settle between them.
            words = words.max(reach.receipted);
        }
        for index in part {
            let known = &mut reach.known[*index];
            for (all, best) in [(&mut known.word, words), (&mut known.platform, list)] {
                all.retain(|revision, _| *revision <= best);
                all.entry(best).or_insert(now);
            }
        }
        for registry in of(Role::Registry) {
            let near: Vec<usize> =
                holders.iter().copied().filter(|store| self.is_path(registry, *store)).collect();
            // One that nobody but the registry reaches may be asked first, in vain.
            let has_others = |one: &usize| {
                let others = near.iter().filter(|other| *other != one);
                others.filter(|other| self.is_path(*one, **other)).count() + 1 >= majority
            };
            let is_majority = !near.is_empty() && near.iter().all(has_others);
            if !is_majority || self.daemons[registry].leaving {
                reach.majority_since[registry] = None;
            } else {
                reach.majority_since[registry].get_or_insert(now);
            }
        }
    }

    /// A proxy that could have known of something newer for too long, and goes by what is older.
    fn lags(&self, reach: &mut Reach, index: usize, own: (u64, u64)) {
        let now = self.net.now;
        let known = reach.known[index].clone();
        for (all, own, kind) in
            [(&known.word, own.0, "revision"), (&known.platform, own.1, "platform list")]
        {
            let newer = all.range(own + 1..).min_by_key(|(_, since)| **since);
            let Some((revision, since)) = newer else { continue };
            let took = now - *since;
            reach.worst_setup = reach.worst_setup.max(took);
            if took > SOON {
                let name = &self.daemons[index].card.name;
                let text = format!(
                    "{kind} {revision} could have been known to {name} for {:.1} s at {:.1} s and \
                     was in force on it as {own} still",
                    took.as_secs_f64(),
                    now.as_secs_f64()
                );
                reach.find(index, kind, *revision, text);
            }
        }
    }

    /// A proxy says that it is ready, or takes a request: by what does it go?
    pub fn judge_service(&mut self, index: usize) {
        let own = {
            let daemon = &self.daemons[index];
            // Its servers are those of the list that it went over to, not of the one that it heard of.
            let list = match &daemon.duty {
                Duty::Proxy(proxy) => proxy.servers.table.load().revision.endpoint_list,
                _ => daemon.view.endpoints.revision,
            };
            (daemon.view.committed.revision, self.list_shown(list))
        };
        let Some(floor) = self.reach.floors.get(index).copied() else { return };
        let known = &self.reach.known[index];
        let now = self.net.now;
        // It must wait for what it could hear of from its beginning on; what a cut kept from it
        // then is due like all news.
        let begun = self.reach.begun[index];
        let could_know = |all: &BTreeMap<u64, Duration>, floor| {
            since(all, floor).is_some_and(|since| since <= begun)
        };
        for (own, floor, is_known, kind) in [
            (own.0, floor.0, could_know(&known.word, floor.0), "word"),
            (own.1, floor.1, could_know(&known.platform, floor.1), "list"),
        ] {
            if own < floor && is_known {
                let name = self.daemons[index].card.name.clone();
                let text = format!(
                    "{name} serves by {kind} {own} at {:.3} s, and {floor} was in force everywhere \
                     before it started or woke",
                    now.as_secs_f64()
                );
                self.reach.find(index, kind, floor, text);
            }
        }
    }

    /// Work comes to a server: could the proxy that sent it have known better?
    pub fn judge_arrival(
        &mut self,
        server: usize,
        request: usize,
        proxy_host: usize,
        sent_at: Duration,
    ) {
        // A frozen server finds it later than it was sent.
        let now = sent_at;
        let Some(proxy) = self.by_host.get(&proxy_host).copied() else { return };
        let Some(known) = self.reach.known.get(proxy) else { return };
        let (id, zone) = {
            let server = &self.world.servers[server];
            (server.id.clone(), server.zone.clone())
        };
        let mut found = Vec::new();
        let mark = self.world.leaves.iter().find(|(_, one, _)| *one == server);
        if let Some((left_at, _, revision)) = mark
            && let Some(since) = since(&known.platform, *revision)
        {
            let late = now.saturating_sub(since.max(*left_at));
            found.push((late, SOON, format!("leaving server {id} got work")));
        }
        for emptying in self.reach.emptyings.iter().filter(|one| one.zone == zone) {
            let is_over = emptying.to.is_some_and(|to| now >= to);
            if let (Some(since), false) = (since(&known.word, emptying.revision), is_over) {
                let late = now.saturating_sub(since.max(emptying.from));
                let text = format!("request {request} came to {id} in emptied {zone}");
                found.push((late, EMPTY_SOON, text));
            }
        }
        let name = self.daemons[proxy].card.name.clone();
        for (late, limit, text) in found {
            self.reach.worst_drain = self.reach.worst_drain.max(late);
            if late > limit {
                let text = format!(
                    "{text} by {name}, {:.3} s after it could have known, at {:.1} s",
                    late.as_secs_f64(),
                    now.as_secs_f64()
                );
                self.reach.find(server, "drain", proxy as u64, text);
            }
        }
    }

    /// Work comes to a proxy in an emptied zone: could its caller have been told by then?
    pub fn judge_door(&mut self, index: usize) {
        let now = self.net.now;
        let zone = self.daemons[index].card.zone.clone();
        for emptying in self.reach.emptyings.clone() {
            let is_over = emptying.to.is_some_and(|to| now >= to);
            if emptying.zone != zone || is_over {
                continue;
            }
            // From when on any directory that callers ask could have told them.
            let told = (0..self.daemons.len())
                .filter(|one| self.daemons[*one].card.role == Role::Registry)
                .filter(|one| self.daemons[*one].is_well && self.is_up(*one))
                .filter_map(|one| since(&self.reach.known.get(one)?.word, emptying.revision))
                .min();
            let Some(told) = told else { continue };
            let late = now.saturating_sub(told.max(emptying.from));
            self.reach.worst_drain = self.reach.worst_drain.max(late);
            if late > EMPTY_SOON {
                let text = format!(
                    "a caller came to {} in emptied {zone} {:.3} s after it could have been told",
                    self.daemons[index].card.name,
                    late.as_secs_f64()
                );
                self.reach.find(index, "door", emptying.revision, text);
            }
        }
    }

    /// An operator's receipt came, or an operator's call goes out.
    pub fn note_operation(&mut self, operation: usize) {
        let now = self.net.now;
        let operation = self.operations[operation].clone();
        let revision = match &operation.outcome {
            Some(Outcome::Accepted { revision, .. }) => Some(*revision),
            _ => None,
        };
        // Refused or left in doubt although a majority could have settled it.
        let is_undecided = operation.ended_at.is_some()
            && matches!(
                operation.outcome,
                None | Some(Outcome::NotApplied { .. } | Outcome::Unknown)
            );
        let majority_since = self.reach.majority_since.get(operation.registry).copied().flatten();
        // An order is sent again after a second; whether it comes into force, the day's end shows.
        let order = operation.what.order();
        let is_undecided = is_undecided && !operation.what.is_invalid() && order.is_none();
        // A registry that dies with a call in hand cannot end it.
        let host = self.daemons[operation.registry].host;
        let is_undecided = is_undecided && !self.net.was_ill(host, operation.started_at, now);
        if is_undecided && majority_since.is_some_and(|since| since <= operation.started_at) {
            let text = format!(
                "an operator's call at {:.3} s ended {:.3} s with {:?}, and {} reached a majority \
                 all the time: {:?}",
                operation.started_at.as_secs_f64(),
                now.as_secs_f64(),
                operation.outcome,
                self.daemons[operation.registry].card.name,
                operation.what
            );
            let text = text.chars().take(240).collect();
            self.reach.find(operation.registry, "operation", 0, text);
        }
        if let Some(revision) = revision {
            self.reach.receipted = self.reach.receipted.max(revision);
        }
        match (&operation.what, revision) {
            (What::Change { change: Change::DrainZone { zone }, .. }, Some(revision)) => {
                let zone = zone.clone();
                self.reach.emptyings.push(Emptying { zone, order, revision, from: now, to: None });
            }
            (What::Change { change: Change::RestoreZone { zone }, .. }, _) => {
                let is_own = |one: &&mut Emptying| one.zone == *zone && one.order == order;
                for one in self.reach.emptyings.iter_mut().filter(is_own) {
                    one.to.get_or_insert(now);
                }
            }
            _ => {}
        }
    }
}
