//! The duty of one registry: the plan of shares, under an epoch (design 5.6, 7.4). Pure.

use vanepath_sibling::{daemon::View, news::Source, wire};

/// A server does no more than all of its work, in thousandths, whatever it tells.
const DEMAND_MOST: u32 = 1000;

/// Who just started, or woke from a freeze, has heard of too little to say anything: it takes the
/// duty only after a while, and the last plan stays meanwhile.
#[derive(Debug, Default)]
pub struct Tenure {
    fresh_since: Option<std::time::Duration>,
}

/// Twice what a proxy takes to tell all that it sees.
const SETTLED_AFTER: std::time::Duration = std::time::Duration::from_millis(4000);

/// Whether this registry hears from more than half of all that there are, itself counted: one that
/// does not may be cut off, and others are asked first (design 5.3).
pub fn is_whole(view: &View) -> bool {
    let is_registry = |one: &&(wire::Card, wire::Report)| one.0.role == wire::Role::Registry;
    let live = view.live.iter().filter(is_registry).count();
    let lost = view.lost.iter().filter(is_registry).count();
    2 * live > live + lost
}

impl Tenure {
    pub fn may_hold(&mut self, now: std::time::Duration, is_fresh: bool) -> bool {
        if !is_fresh {
            self.fresh_since = None;
            return false;
        }
        now.saturating_sub(*self.fresh_since.get_or_insert(now)) >= SETTLED_AFTER
    }
}

/// The next plan if this daemon has the duty and something changed. `may_move`: enough time went
/// by since the last step for its effect to show (a receipt's TTL and the way of the news).
pub fn next(view: &View, own: &str, sources: &[Source], may_move: bool) -> Option<wire::Plan> {
    let holder = view.holder(wire::Role::Registry)?;
    // The last plan stays while this registry has not heard what all proxies see.
    if holder.name != own || !view.is_fresh || !view.knows_details {
        return None;
    }
    let before = &view.plan;
    let is_mine = before.holder == own;
    // The last word of a proxy that is dead is no news of servers.
    let live: std::collections::HashSet<&str> =
        view.live.iter().map(|(card, _)| card.name.as_str()).collect();
    let is_live = |source: &&Source| live.contains(source.card.name.as_str());
    let proxies: Vec<&Source> = sources
        .iter()
        .filter(|source| source.card.role == wire::Role::Proxy)
        .filter(is_live)
        .collect();
    let Absent { cold, away } = absent(&proxies);
    let moved = if may_move { moved(view, &proxies) } else { before.moved.clone() };
    let is_same = is_mine
        && before.moved == moved
        && before.revision == view.word.setup_revision
        && before.cold.keys().eq(cold.keys())
        && before.away == away;
    if is_same {
        return None;
    }
    Some(wire::Plan {
        epoch: if is_mine { before.epoch } else { before.epoch + 1 },
        counter: if is_mine { before.counter + 1 } else { 1 },
        holder: own.to_string(),
        revision: view.word.setup_revision,
        moved,
        cold,
        away,
    })
}

/// What the proxies together know of servers that are not simply there.
#[derive(Debug, Default, PartialEq)]
struct Absent {
    cold: std::collections::BTreeMap<String, (u32, bool)>,
    away: std::collections::BTreeSet<String>,
}

/// A server is away where its machine refused a connection, or where two proxies cannot reach it
/// and none is in touch with it. It is cold where one saw it come back after a refusal, or two did
/// after silence and none has been in touch with it since before: a part of the fleet that was cut
/// off saw nothing come back but itself.
fn absent(proxies: &[&Source]) -> Absent {
    #[derive(Default)]
    struct Seen {
        suspects: u32,
        refused_suspects: u32,
        ages: Vec<u32>,
        refused_ages: Vec<u32>,
        steady_ms: u32,
    }
    let mut all: std::collections::BTreeMap<&str, Seen> = Default::default();
    for source in proxies {
        for sight in &source.detail.sights {
            let seen = all.entry(&sight.server).or_default();
            seen.steady_ms = seen.steady_ms.max(sight.steady_ms);
            // The numbers of the proxy's phases: 1 cold, 4 suspect.
            match (sight.phase, sight.refused) {
                (1, true) => seen.refused_ages.push(sight.age_ms),
                (1, false) => seen.ages.push(sight.age_ms),
                (4, true) => seen.refused_suspects += 1,
                (4, false) => seen.suspects += 1,
                _ => {}
            }
        }
    }
    let mut absent = Absent::default();
    for (server, seen) in all {
        // The oldest: who heard of it later reckons from the first who saw it.
        let refused_ms = seen.refused_ages.iter().max().copied();
        let age_ms = seen.ages.iter().max().copied();
        // Who is in touch refutes silence, not a refusal: a short one falls between two probes.
        let is_seen = seen.ages.len() >= 2 && seen.steady_ms <= age_ms.unwrap_or_default() + 1500;
        if let Some(age_ms) = refused_ms.or(age_ms.filter(|_| is_seen)) {
            absent.cold.insert(server.to_string(), (age_ms, refused_ms.is_some()));
        } else if seen.refused_suspects > 0 || (seen.suspects >= 2 && seen.steady_ms == 0) {
            absent.away.insert(server.to_string());
        }
    }
    absent
}

/// The next shares of each service: what the zones' proxies take of it, in parts of a server's work,
/// and how many servers each zone has for it.
fn moved(view: &View, proxies: &[&Source]) -> std::collections::BTreeMap<String, wire::Shares> {
    let mut moved = std::collections::BTreeMap::new();
    let demand = demand(proxies);
    for (index, service) in view.setup.services.iter().enumerate() {
        let before = view.plan.moved.get(&service.name).cloned().unwrap_or_default();
        let shares = crate::shares::next(&zones(view, proxies, &demand, index), &before);
        if !shares.is_empty() {
            moved.insert(service.name.clone(), shares);
        }
    }
    moved
}

/// What a server does, as the proxies heard of it last, the sum and of how many: what is more than all of it
/// waits there, and is work that another one may do.
type Demand<'s> = std::collections::HashMap<&'s str, (u32, u32)>;

fn demand<'s>(proxies: &[&'s Source]) -> Demand<'s> {
    let mut demand = Demand::new();
    for source in proxies {
        for sight in &source.detail.sights {
            let (sum, count) = demand.entry(&sight.server).or_default();
            *sum += sight.demand_milli.min(DEMAND_MOST);
            *count += 1;
        }
    }
    demand
}

fn zones(
    view: &View,
    proxies: &[&Source],
    demand: &Demand<'_>,
    service: usize,
) -> std::collections::BTreeMap<String, crate::shares::Zone> {
    let mut zones: std::collections::BTreeMap<String, crate::shares::Zone> = Default::default();
    let mut taken = 0.0;
    for source in proxies {
        let zone = zones.entry(source.card.zone.clone()).or_default();
        zone.region = source.card.region.clone();
        zone.is_place |= source.report.ready
            && !source.report.leaving
            && !view.word.emptied.contains(&source.card.zone);
        let own = source.detail.taken.get(&view.setup.services[service].name);
        zone.taken += f64::from(own.copied().unwrap_or(0));
        taken += f64::from(own.copied().unwrap_or(0));
    }
    let none = vanepath_setup::selector::Viewpoint::default();
    let mut work = Vec::new();
    let mut silent = 0.0;
    for server in &view.platform.servers {
        let is_there = !server.leaving
            && !view.plan.away.contains(&server.id)
            && !view.word.emptied.contains(&server.zone)
            && view.setup.services[service].selector.matches(server, none);
        if !is_there {
            continue;
        }
        match demand.get(server.id.as_str()) {
            Some((sum, count)) => work.push(f64::from(*sum) / 1000.0 / f64::from(*count)),
            None => silent += 1.0,
        }
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.region = server.region.clone();
        zone.servers += 1.0;
    }
    // Those that say nothing are taken for the mean of those that do.
    let told: f64 = work.iter().sum();
    let all = told * (1.0 + silent / (work.len() as f64).max(1.0));
    let each = if taken > 0.0 { all / taken } else { 0.0 };
    for zone in zones.values_mut() {
        zone.taken *= each;
    }
    zones
}

#[cfg(test)]
mod tests {
    use super::{Tenure, next};
    use std::sync::Arc;
    use std::time::Duration;
    use vanepath_sibling::daemon::View;
    use vanepath_sibling::news::{Event, News};
    use vanepath_sibling::wire;

    fn card(name: &str, role: wire::Role, zone: &str, port: u16) -> wire::Card {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        wire::Card {
            name: name.to_string(),
            role,
            region: zone[..1].to_string(),
            zone: zone.to_string(),
            address,
            sibling_address: address,
        }
    }

    fn sight(
        server: &str,
        phase: u8,
        steady_ms: u32,
        demand_milli: u32,
        refused: bool,
    ) -> wire::Sight {
        let server = server.to_string();
        wire::Sight { server, phase, age_ms: 500, steady_ms, demand_milli, refused }
    }

    /// A registry that heard these sights from its proxies.
    fn heard(sights: &[(&str, &str, Vec<wire::Sight>)]) -> (News, View) {
        let now = Duration::from_secs(100);
        let mut news = News::new(card("r0", wire::Role::Registry, "a1", 1), vec![], 1, now);
        news.step(now, Event::Report(wire::Report { settled: true, ..Default::default() }));
        let mut deltas = Vec::new();
        for (index, (name, zone, sights)) in sights.iter().enumerate() {
            deltas.push(wire::Delta {
                name: name.to_string(),
                mark: wire::Mark { life: 5, counter: 1, edition: 1, detail: 1 },
                age_ms: 0,
                card: Some(card(name, wire::Role::Proxy, zone, 10 + index as u16)),
                report: Some(wire::Report { ready: true, ..wire::Report::default() }),
                detail: Some(wire::Detail { sights: sights.clone(), ..wire::Detail::default() }),
            });
        }
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        let told = wire::News { deltas, ..wire::News::default() };
        news.step(now, Event::Told { address, news: Some(Box::new(told)) });
        let setup = vanepath_setup::model::parse(
            br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
              "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
              "rules": [{"name": "r", "class": "c", "service": "s"}]}"#,
        );
        let list = br#"{"revision": 1, "servers": [
            {"id": "s1", "address": "127.0.0.1:1001", "region": "a", "zone": "a1", "state": "ready"},
            {"id": "s2", "address": "127.0.0.1:1002", "region": "b", "zone": "b1", "state": "ready"}]}"#;
        let (mut view, _) = View::of(&news, &View::default(), now);
        view.setup = Arc::new(setup.unwrap());
        view.platform = Arc::new(vanepath_setup::platform::parse(list).unwrap());
        view.is_fresh = true;
        view.knows_details = true;
        (news, view)
    }

    fn plan(sights: &[(&str, &str, Vec<wire::Sight>)], before: wire::Plan) -> Option<wire::Plan> {
        let (news, mut view) = heard(sights);
        view.plan = Arc::new(before);
        next(&view, "r0", &news.sources, true)
    }

    #[test]
    fn refusals_are_proof_and_silence_needs_two_and_nobody_in_touch() {
        let away = |sights: &[(&str, &str, Vec<wire::Sight>)]| -> (bool, bool) {
            let plan = plan(sights, wire::Plan::default()).unwrap();
            (plan.away.contains("s1"), plan.cold.contains_key("s1"))
        };
        let suspect = || vec![sight("s1", 4, 0, 0, false)];
        let cold = || vec![sight("s1", 1, 300, 0, false)];
        let in_touch = || vec![sight("s1", 3, 60_000, 0, false)];
        assert_eq!(away(&[("p0", "a1", suspect()), ("p1", "b1", vec![])]), (false, false));
        assert_eq!(away(&[("p0", "a1", suspect()), ("p1", "b1", suspect())]), (true, false));
        let cut = [("p0", "a1", suspect()), ("p1", "a1", suspect()), ("p2", "b1", in_touch())];
        assert_eq!(away(&cut), (false, false), "a part that is cut off does not speak for all");
        assert_eq!(away(&[("p0", "a1", cold()), ("p1", "b1", cold())]), (false, true));
        let healed = [("p0", "a1", cold()), ("p1", "a1", cold()), ("p2", "b1", in_touch())];
        assert_eq!(away(&healed), (false, false), "it was there all the time");
        let refused = [("p0", "a1", vec![sight("s1", 1, 0, 0, true)]), ("p2", "b1", in_touch())];
        assert_eq!(away(&refused), (false, true));
    }

    /// Callers move away from a zone that takes more than its server can do, to the one with room, and
    /// come back. Demand that is not told, or not to be believed, moves nobody or few.
    #[test]
    fn callers_move_away_from_a_busy_zone_and_come_back() {
        let mut last = wire::Plan::default();
        let mut shown = String::new();
        // What the zones' proxies take a second, and what their servers tell.
        for (taken, told) in [
            ([10, 10], [500, 500]),
            ([24, 4], [1200, 200]),
            ([22, 6], [1100, 300]),
            ([19, 9], [950, 450]),
            ([17, 11], [850, 550]),
            ([12, 10], [600, 500]),
            ([10, 10], [500, 500]),
            ([10, 10], [500, 500]),
            ([10, 10], [500, 500]),
            ([24, 4], [0, 0]),
            ([10, 10], [60_000, 500]),
        ] {
            let sight = |index: usize, id: &str| vec![sight(id, 3, 9000, told[index], false)];
            let sights = [("p0", "a1", sight(0, "s1")), ("p1", "b1", sight(1, "s2"))];
            let (mut news, mut view) = heard(&sights);
            for (source, count) in news.sources.iter_mut().zip(taken) {
                source.detail.taken = [("s".to_string(), count * 1000)].into();
            }
            view.plan = Arc::new(last.clone());
            if let Some(plan) = next(&view, "r0", &news.sources, true) {
                last = plan;
            }
            shown += &format!("{taken:?} {told:?}: {:?}\n", last.moved.get("s"));
        }
        expect_test::expect![[r#"
            [10, 10] [500, 500]: None
            [24, 4] [1200, 200]: Some({"a1": {"b1": 63}})
            [22, 6] [1100, 300]: Some({"a1": {"b1": 119}})
            [19, 9] [950, 450]: Some({"a1": {"b1": 142}})
            [17, 11] [850, 550]: Some({"a1": {"b1": 117}})
            [12, 10] [600, 500]: Some({"a1": {"b1": 59}})
            [10, 10] [500, 500]: Some({"a1": {"b1": 30}})
            [10, 10] [500, 500]: Some({"a1": {"b1": 15}})
            [10, 10] [500, 500]: Some({"a1": {"b1": 8}})
            [24, 4] [0, 0]: None
            [10, 10] [60000, 500]: None
        "#]]
        .assert_eq(&shown);
    }

    #[test]
    fn the_duty_is_taken_under_the_next_epoch_and_not_at_once() {
        let sights = [("p0", "a1", vec![])];
        // One that would come first and has not settled yet leaves the duty where it is.
        let (news, mut view) = heard(&sights);
        let mut early = (card("a0", wire::Role::Registry, "a1", 77), wire::Report::default());
        view.live.push(early.clone());
        assert!(next(&view, "r0", &news.sources, true).is_some());
        early.1.settled = true;
        *view.live.last_mut().unwrap() = early;
        assert!(next(&view, "r0", &news.sources, true).is_none());
        let other = wire::Plan { epoch: 7, counter: 3, holder: "r9".into(), ..Default::default() };
        let taken = plan(&sights, other).unwrap();
        assert_eq!((taken.epoch, taken.counter, taken.holder.as_str()), (8, 1, "r0"));
        assert_eq!(plan(&sights, taken), None, "nothing new, nothing told");
        let mut tenure = Tenure::default();
        let second = Duration::from_secs;
        assert!(!tenure.may_hold(second(1), true));
        assert!(tenure.may_hold(second(5), true));
        assert!(!tenure.may_hold(second(6), false), "it froze");
        assert!(!tenure.may_hold(second(7), true));
    }
}
