use super::{Effect, ListSequencer, READ_TIMEOUT};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{ListReading, NodeInfo, NodeStatus, Role};
use vanepath_config::endpoint_list::{EndpointList, Server};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server(id: &str) -> Server {
    Server {
        id: id.to_string(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        draining: false,
        warming_up: false,
        concurrency: 2,
    }
}

fn servers(ids: &[&str]) -> Vec<Server> {
    ids.iter().map(|id| server(id)).collect()
}

fn view(registries: &[(&str, bool)]) -> ClusterView {
    let address = "127.0.0.1:9".parse().unwrap();
    let live = registries.iter().map(|(name, draining)| {
        let role = if name.starts_with('p') { Role::Proxy } else { Role::Registry };
        let info = NodeInfo {
            name: name.to_string(),
            role,
            region: "a".to_string(),
            zone: "a1".to_string(),
            address,
            cluster_address: address,
        };
        (info, NodeStatus { draining: *draining, ..NodeStatus::default() })
    });
    ClusterView { live: live.collect(), ..Default::default() }
}

/// Applies a published list to the view, as gossip would.
fn apply(view: &mut ClusterView, effect: &Option<Effect>) {
    if let Some(Effect::Publish { list, began_at }) = effect {
        view.highest_endpoint_list_revision =
            view.highest_endpoint_list_revision.max(list.revision);
        view.endpoints = list.clone();
        view.endpoint_list_read_at = Some(*began_at);
    }
}

fn ids(list: &EndpointList) -> Vec<&str> {
    list.servers.iter().map(|server| server.id.as_str()).collect()
}

/// An unnumbered list that has changed gets the next revision. A list with the same servers, in any order,
/// keeps its revision.
#[test]
fn a_changed_list_gets_the_next_revision() {
    let mut view = view(&[("r1", false)]);
    let mut sequencer = ListSequencer::new("r1", 7 << 48);
    let mut now = ms(0);
    let mut read = |view: &mut ClusterView, listed: Vec<Server>| -> Arc<EndpointList> {
        now += ms(600);
        assert_eq!(sequencer.on_tick(now, view), Some(Effect::Read));
        let effect = sequencer.on_read_completed(now + ms(20), view, Some(listed));
        apply(view, &effect);
        view.endpoints.clone()
    };
    let first = read(&mut view, servers(&["b", "a"]));
    assert_eq!((first.revision, ids(&first)), (1 << 16 | 7, vec!["a", "b"]));
    assert_eq!(read(&mut view, servers(&["a", "b"])), first);
    let fewer = read(&mut view, servers(&["b"]));
    assert_eq!((fewer.revision, ids(&fewer)), (2 << 16 | 7, vec!["b"]));
    let mut changed = servers(&["a", "b"]);
    changed[1].draining = true;
    let changed = read(&mut view, changed);
    assert_eq!(changed.revision >> 16, 3);
    let back = read(&mut view, servers(&["a", "b"]));
    assert_eq!((back.revision >> 16, &back.servers), (4, &first.servers));
}

/// A server that moves from one page to the next during the read is on both; the later page is newer.
#[test]
fn the_later_entry_of_a_server_on_two_pages_is_kept() {
    let view = view(&[("r1", false)]);
    let mut sequencer = ListSequencer::new("r1", 0);
    sequencer.on_tick(ms(0), &view);
    let mut listed = servers(&["a", "b", "b", "c"]);
    listed[2].draining = true;
    let Some(Effect::Publish { list, .. }) =
        sequencer.on_read_completed(ms(5), &view, Some(listed))
    else {
        panic!("the list was not published");
    };
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.servers[1].draining);
}

/// A list that another registry published during a read may be newer than what was read, and a read that
/// exceeded the time-out may be out of date.
#[test]
fn a_superseded_read_is_not_published_and_is_repeated() {
    let mut view = view(&[("r1", false), ("r2", false)]);
    let mut sequencer = ListSequencer::new("r1", 0);
    assert_eq!(sequencer.on_tick(ms(0), &view), Some(Effect::Read));
    // Only the revision of the newer list is known so far, reported by a proxy that has the list.
    view.highest_endpoint_list_revision = 9 << 16 | 3;
    assert_eq!(
        sequencer.on_read_completed(ms(90), &view, Some(servers(&["a"]))),
        Some(Effect::Superseded)
    );
    assert_eq!(sequencer.on_tick(ms(100), &view), Some(Effect::Read), "reads again at once");
    let effect = sequencer.on_read_completed(ms(120), &view, Some(servers(&["a"])));
    let Some(Effect::Publish { list, began_at }) = &effect else { panic!("{effect:?}") };
    assert_eq!((list.revision, *began_at), (10 << 16, ms(100)));
    apply(&mut view, &effect);
    assert_eq!(sequencer.on_tick(ms(700), &view), Some(Effect::Read));
    let late = ms(700) + READ_TIMEOUT + ms(1);
    assert_eq!(
        sequencer.on_read_completed(late, &view, Some(servers(&["a", "b"]))),
        Some(Effect::Superseded)
    );
}

/// A restarted registry knows no list, while other nodes have one with a revision that it does not know yet.
/// Its first read after it has learned of that revision gets a higher one, whether or not the list has
/// changed.
#[test]
fn a_read_gets_a_revision_above_the_highest_one_known() {
    let mut view = view(&[("r1", false)]);
    let mut sequencer = ListSequencer::new("r1", 5 << 48);
    sequencer.on_tick(ms(0), &view);
    let effect = sequencer.on_read_completed(ms(9), &view, Some(servers(&["a"])));
    apply(&mut view, &effect);
    assert_eq!(view.endpoints.revision, 1 << 16 | 5);
    view.highest_endpoint_list_revision = 40 << 16 | 2;
    assert_eq!(sequencer.on_tick(ms(600), &view), Some(Effect::Read));
    let effect = sequencer.on_read_completed(ms(609), &view, Some(servers(&["a"])));
    apply(&mut view, &effect);
    assert_eq!(view.endpoints.revision, 41 << 16 | 5);
}

/// Two registries that read concurrently assign different revisions to their lists.
#[test]
fn no_two_readers_assign_the_same_revision() {
    let view = view(&[("r1", false), ("r2", false)]);
    let mut effects = Vec::new();
    for (name, random, listed) in [("r1", 1 << 48, ["a"]), ("r2", 2 << 48, ["b"])] {
        let mut sequencer = ListSequencer::new(name, random);
        sequencer.on_tick(ms(0), &view);
        effects.push(sequencer.on_read_completed(ms(9), &view, Some(servers(&listed))));
    }
    let [Some(Effect::Publish { list: one, .. }), Some(Effect::Publish { list: other, .. })] =
        &effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(one.revision >> 16, other.revision >> 16);
    assert_ne!(one.revision, other.revision);
}

/// The first registry reads at the short interval. The others read only if they have learned of no read for
/// their takeover delay, one after the other, whether or not they consider the first one live.
#[test]
fn the_first_registry_reads_the_list_often_and_the_next_takes_over_after_a_timeout() {
    let mut full_view = view(&[("p0", false), ("r2", false), ("r1", false), ("r3", false)]);
    full_view.endpoint_list_read_at = Some(ms(5000));
    let is_due = |name: &str, view: &ClusterView, last_began: u64, now: u64| {
        let mut sequencer = ListSequencer::new(name, 0);
        assert_eq!(
            sequencer.on_tick(ms(last_began), view),
            Some(Effect::Read),
            "a registry that has not read yet reads at once"
        );
        sequencer.on_read_completed(ms(last_began), view, None);
        sequencer.on_tick(ms(now), view) == Some(Effect::Read)
    };
    assert!(is_due("r1", &full_view, 5000, 5600) && !is_due("r1", &full_view, 5000, 5599));
    assert!(is_due("r2", &full_view, 1, 6200) && !is_due("r2", &full_view, 1, 6199));
    assert!(is_due("r3", &full_view, 1, 6500) && !is_due("r3", &full_view, 1, 6499));
    assert!(
        !is_due("r2", &full_view, 5500, 7899) && is_due("r2", &full_view, 5500, 7900),
        "its reads are at least two takeover delays apart"
    );
    let mut first_drains = view(&[("r2", false), ("r1", true), ("r3", false)]);
    first_drains.endpoint_list_read_at = Some(ms(5000));
    assert!(
        is_due("r2", &first_drains, 5000, 5600),
        "while the first registry drains, the next one takes its place"
    );
    assert!(!is_due("r3", &first_drains, 5000, 5600));
    let mut isolated = view(&[("r1", false)]);
    isolated.is_isolated = true;
    isolated.endpoint_list_read_at = Some(ms(5000));
    assert!(
        !is_due("r1", &isolated, 1, 5600) && is_due("r1", &isolated, 1, 6200),
        "an isolated registry waits for the takeover delay, since others may be reading"
    );
}

/// Five registries, each deciding by what it knows, together keep within the platform's rate limit, whether
/// or not the platform answers.
#[test]
fn all_registries_together_keep_within_the_rate_limit() {
    for platform_answers in [true, false] {
        let reads = reads_in_a_minute(platform_answers);
        let per_second = reads.len() as f64 / 60.0;
        assert!(per_second < 4.0, "{per_second} reads per second");
        let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest <= Some(600), "{longest:?} ms without a read");
        if platform_answers {
            assert!(
                per_second < 1.8,
                "{per_second} reads per second, though the first registry should read alone"
            );
        }
    }
}

/// The times (ms) of the reads of five registries within one minute.
fn reads_in_a_minute(platform_answers: bool) -> Vec<u64> {
    let names = ["r1", "r2", "r3", "r4", "r5"];
    let mut full_view = view(&names.map(|name| (name, false)));
    let mut sequencers: Vec<ListSequencer> =
        names.iter().map(|name| ListSequencer::new(name, 0)).collect();
    let mut reads = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        for sequencer in &mut sequencers {
            if sequencer.on_tick(ms(now_ms), &full_view) == Some(Effect::Read) {
                let effect = sequencer.on_read_completed(
                    ms(now_ms),
                    &full_view,
                    platform_answers.then(|| servers(&["a"])),
                );
                apply(&mut full_view, &effect);
                reads.push(now_ms);
            }
        }
    }
    reads
}

/// A sequencer of this name whose only read so far took this long; `None`: it failed.
fn sequencer_after_read(name: &str, elapsed: Option<Duration>) -> ListSequencer {
    let mut sequencer = ListSequencer::new(name, 0);
    let view = view(&[(name, false)]);
    assert_eq!(sequencer.on_tick(ms(0), &view), Some(Effect::Read));
    let listed = elapsed.map(|_| servers(&["a"]));
    sequencer.on_read_completed(elapsed.unwrap_or(READ_TIMEOUT), &view, listed);
    sequencer
}

fn view_with_readings(readings: &[(&str, ListReading)]) -> ClusterView {
    let registries: Vec<(&str, bool)> = readings.iter().map(|(name, _)| (*name, false)).collect();
    let mut view = view(&registries);
    view.list_readings =
        readings.iter().map(|(name, reading)| (name.to_string(), *reading)).collect();
    view
}

/// The registry whose reads take the least time reads first, and one whose read failed last, whatever their
/// names (incident 0022).
#[test]
fn the_registry_that_reads_best_reads_first() {
    use ListReading::{Able, Unable};
    let is_first = |elapsed: Option<u64>, others: &[(&str, ListReading)]| {
        let mut sequencer = sequencer_after_read("r5", elapsed.map(ms));
        let mut view = view_with_readings(others);
        view.endpoint_list_read_at = Some(ms(5000));
        sequencer.on_tick(ms(5600), &view) == Some(Effect::Read)
    };
    assert!(is_first(Some(100), &[("r1", Able(450)), ("r2", Unable)]));
    assert!(is_first(Some(100), &[("r1", Unable), ("r9", Able(100))]));
    assert!(!is_first(Some(450), &[("r1", Unable), ("r9", Able(100))]));
    assert!(!is_first(None, &[("r1", Unable), ("r9", Able(1400))]));
    assert!(!is_first(None, &[("r1", Unable)]), "among equals the name decides");
}

/// The others take over once the first one should have been heard of, however long its reads take.
#[test]
fn the_takeover_delay_follows_the_time_of_the_first_reads() {
    for (read_ms, delay) in [(50, 1200), (450, 1400), (900, 1850)] {
        let readings = [("r1", ListReading::Able(read_ms))];
        let mut view = view_with_readings(&readings);
        view.endpoint_list_read_at = Some(ms(5000));
        let is_due = |now: u64| {
            let mut sequencer = sequencer_after_read("r5", Some(ms(1000)));
            sequencer.on_tick(ms(now), &view) == Some(Effect::Read)
        };
        assert!(!is_due(5000 + delay - 1) && is_due(5000 + delay), "{read_ms} ms");
    }
}

/// A registry whose read failed is measured again later and later, so that registries do not take turns at
/// failing; a read that takes about as long as before is not reported anew.
#[test]
fn failed_reads_are_repeated_with_a_growing_pause() {
    let mut view = view_with_readings(&[("r1", ListReading::Able(100))]);
    let mut sequencer = sequencer_after_read("r5", Some(ms(50)));
    assert_eq!(sequencer.reading(), Some(ListReading::Able(50)));
    let mut now = 1000;
    let mut trials = Vec::new();
    sequencer.on_tick(ms(now), &view);
    sequencer.on_read_completed(ms(now), &view, None);
    assert_eq!(sequencer.reading(), Some(ListReading::Unable));
    let mut last = now;
    while trials.len() < 6 {
        now += 50;
        // The first one reads all the while.
        view.endpoint_list_read_at = Some(ms(now));
        if sequencer.on_tick(ms(now), &view) == Some(Effect::Read) {
            trials.push(now - last);
            last = now;
            sequencer.on_read_completed(ms(now), &view, None);
        }
    }
    assert_eq!(trials, [10_000, 20_000, 40_000, 60_000, 60_000, 60_000]);
}

/// Reads whose times vary by less than a factor of two do not change the order of reading.
#[test]
fn a_similar_time_is_not_reported_anew() {
    let view = view_with_readings(&[("r5", ListReading::Unable)]);
    let mut sequencer = sequencer_after_read("r5", Some(ms(100)));
    for (number, (elapsed, reported)) in
        [(190, 100), (60, 100), (210, 210), (400, 210), (100, 100)].into_iter().enumerate()
    {
        let began_at = ms(1000 * (number as u64 + 1));
        sequencer.on_tick(began_at, &view);
        sequencer.on_read_completed(began_at + ms(elapsed), &view, Some(servers(&["a"])));
        assert_eq!(sequencer.reading(), Some(ListReading::Able(reported)), "{elapsed} ms");
    }
}

/// A call that the platform rejects for its rate is no failed read: the registry pauses and reads on.
#[test]
fn a_rate_limited_read_pauses_and_keeps_the_order() {
    let view = view_with_readings(&[("r9", ListReading::Able(400))]);
    let mut sequencer = sequencer_after_read("r5", Some(ms(100)));
    assert_eq!(sequencer.on_tick(ms(1000), &view), Some(Effect::Read));
    sequencer.on_rate_limited(ms(1050));
    assert_eq!(sequencer.reading(), Some(ListReading::Able(100)));
    assert_eq!(sequencer.on_tick(ms(2049), &view), None);
    assert_eq!(sequencer.on_tick(ms(2050), &view), Some(Effect::Read));
}

/// A read whose calls had to wait for the platform's rate may take that much longer.
#[test]
fn a_paced_read_may_take_longer() {
    let view = view_with_readings(&[("r5", ListReading::Unable)]);
    for (paced, expected) in [(0, ListReading::Unable), (2000, ListReading::Able(3000))] {
        let mut sequencer = ListSequencer::new("r5", 0);
        sequencer.on_tick(ms(0), &view);
        sequencer.extend_read(ms(paced));
        sequencer.on_read_completed(ms(3000), &view, Some(servers(&["a"])));
        assert_eq!(sequencer.reading(), Some(expected));
    }
}
