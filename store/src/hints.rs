//! What a store writes down beside the word so that a fleet of which every process died finds itself
//! again (design 6.8): where siblings were, and which servers were away or just back. Hints only:
//! no vote and no answer rests on them, and a lost or old file does no harm. Pure.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_sibling::{daemon::View, wire};

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Hints {
    /// Where live siblings were: asked at the start, beside the seeds of the settings.
    pub siblings: BTreeSet<SocketAddr>,
    /// The last plan, for what it says of servers that are away or came back lately. Its ages stand
    /// still while nobody runs, so that a cold server gets its modest rate rather too long.
    pub plan: wire::Plan,
}

/// Files written in any minute at the most, and the pause between two.
const IN_A_MINUTE: usize = 12;
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
pub struct Keeper {
    kept: Hints,
    /// When the last files were written, oldest first.
    written: std::collections::VecDeque<Duration>,
}

impl Keeper {
    /// Goes on from what the disk holds.
    pub fn new(kept: Hints) -> Keeper {
        Keeper { kept, written: Default::default() }
    }

    /// What to write now, if anything.
    pub fn step(&mut self, now: Duration, view: &View) -> Option<Hints> {
        while self.written.front().is_some_and(|at| now >= *at + Duration::from_secs(60)) {
            self.written.pop_front();
        }
        let is_too_soon = self.written.back().is_some_and(|at| now < *at + PAUSE);
        if is_too_soon || self.written.len() >= IN_A_MINUTE || !view.is_fresh {
            return None;
        }
        let mut siblings: BTreeSet<SocketAddr> =
            view.live.iter().skip(1).map(|(card, _)| card.sibling_address).collect();
        // Who is not heard of may be back later than this store; he is forgotten in time.
        siblings.extend(view.lost.iter().map(|(card, _)| card.sibling_address));
        let last = &self.kept.plan;
        let is_same_plan = (last.epoch, last.counter) >= (view.plan.epoch, view.plan.counter)
            || (last.away == view.plan.away && last.cold.keys().eq(view.plan.cold.keys()));
        // Nobody in sight is no reason to forget where the others were.
        let is_same = siblings.is_empty() || siblings == self.kept.siblings;
        if is_same && is_same_plan {
            return None;
        }
        if !is_same {
            self.kept.siblings = siblings;
        }
        if !is_same_plan {
            self.kept.plan = (*view.plan).clone();
        }
        self.written.push_back(now);
        Some(self.kept.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::{Hints, Keeper};
    use std::sync::Arc;
    use std::time::Duration;
    use vanepath_sibling::{daemon::View, wire};

    fn view(counter: u64, away: &str) -> View {
        let card = |port: u16| {
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
            wire::Card {
                name: format!("d{port}"),
                role: wire::Role::Proxy,
                region: "a".to_string(),
                zone: "a1".to_string(),
                address,
                sibling_address: address,
            }
        };
        let plan =
            wire::Plan { epoch: 1, counter, away: [away.to_string()].into(), ..Default::default() };
        let live = (1..4).map(|port| (card(port), wire::Report::default())).collect();
        View { live, plan: Arc::new(plan), is_fresh: true, ..View::default() }
    }

    /// Written when something is new, never more often than a disk is meant to be, and not
    /// forgotten when nobody is in sight.
    #[test]
    fn hints_are_written_seldom_and_kept() {
        let mut keeper = Keeper::new(Hints::default());
        let first = keeper.step(Duration::ZERO, &view(1, "s1")).expect("all of it is new");
        assert_eq!(first.siblings.len(), 2);
        assert_eq!(keeper.step(Duration::from_secs(1), &view(1, "s1")), None);
        let mut written = 0;
        for step in 0..600_u64 {
            let now = Duration::from_millis(1000 + 100 * step);
            written +=
                usize::from(keeper.step(now, &view(2 + step, &format!("s{step}"))).is_some());
        }
        assert!((10..=12).contains(&written), "{written} files in a minute");
        let mut alone = view(9000, "s9");
        alone.live.truncate(1);
        let last = keeper.step(Duration::from_secs(200), &alone).expect("another plan");
        assert_eq!((last.siblings.len(), last.plan.counter), (2, 9000));
    }
}
