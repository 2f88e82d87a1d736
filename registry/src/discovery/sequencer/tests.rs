use super::{Effect, ListSequencer, READ_TIMEOUT};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, NodeStatus, Role};
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

/// Takes a published list into the view, as gossip would.
fn apply(view: &mut ClusterView, effect: &Option<Effect>) {
    if let Some(Effect::Publish { list, began_at }) = effect {
        view.highest_endpoint_list_revision =
            view.highest_endpoint_list_revision.max(list.revision);
        view.endpoints = list.clone();
        view.endpoint_list_read_at = Some(*began_at);
    }
}

fn ids(list: &EndpointList) -> Vec<&str> {
    list.servers.iter().map(|one| one.id.as_str()).collect()
}

/// Of lists without a number a changed one gets the next revision, and one that has the same servers, in
/// whatever order, keeps its own.
#[test]
fn a_changed_list_gets_the_next_revision() {
    let mut view = view(&[("r1", false)]);
    let mut sequencer = ListSequencer::new("r1", 7 << 48);
    let mut now = ms(0);
    let mut read = |view: &mut ClusterView, found: Vec<Server>| -> Arc<EndpointList> {
        now += ms(600);
        assert_eq!(sequencer.on_tick(now, view), Some(Effect::Read));
        let effect = sequencer.on_read_completed(now + ms(20), view, Some(found));
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

/// A server that moved from one page to the next during the read is on both, and the later page counts.
#[test]
fn of_a_server_on_two_pages_the_later_one_counts() {
    let view = view(&[("r1", false)]);
    let mut sequencer = ListSequencer::new("r1", 0);
    sequencer.on_tick(ms(0), &view);
    let mut found = servers(&["a", "b", "b", "c"]);
    found[2].draining = true;
    let Some(Effect::Publish { list, .. }) = sequencer.on_read_completed(ms(5), &view, Some(found))
    else {
        panic!("it is published");
    };
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.servers[1].draining);
}

/// A list that another registry published meanwhile is newer than a read that began before, and a read that
/// took long may be out of date.
#[test]
fn a_superseded_read_is_not_published_and_begins_again() {
    let mut view = view(&[("r1", false), ("r2", false)]);
    let mut sequencer = ListSequencer::new("r1", 0);
    assert_eq!(sequencer.on_tick(ms(0), &view), Some(Effect::Read));
    // Known by its revision only so far, from a proxy that has the list.
    view.highest_endpoint_list_revision = 9 << 16 | 3;
    assert_eq!(
        sequencer.on_read_completed(ms(90), &view, Some(servers(&["a"]))),
        Some(Effect::Superseded)
    );
    assert_eq!(sequencer.on_tick(ms(100), &view), Some(Effect::Read), "at once");
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

/// A registry that has restarted knows no list, while others have one with a revision that it cannot know: the
/// first read after it heard of that gets a higher one, whether or not the list has changed.
#[test]
fn a_list_that_others_know_under_a_higher_revision_gets_one_above_it() {
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

/// Two registries that read at the same moment never give one revision to two lists.
#[test]
fn no_two_readers_give_the_same_revision() {
    let view = view(&[("r1", false), ("r2", false)]);
    let mut effects = Vec::new();
    for (name, draw, found) in [("r1", 1 << 48, ["a"]), ("r2", 2 << 48, ["b"])] {
        let mut sequencer = ListSequencer::new(name, draw);
        sequencer.on_tick(ms(0), &view);
        effects.push(sequencer.on_read_completed(ms(9), &view, Some(servers(&found))));
    }
    let [Some(Effect::Publish { list: one, .. }), Some(Effect::Publish { list: other, .. })] =
        &effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(one.revision >> 16, other.revision >> 16);
    assert_ne!(one.revision, other.revision);
}

/// The first registry reads often. The others read where no read was heard of for a while, one after the
/// other, whether or not they take the first for live.
#[test]
fn the_first_registry_reads_the_list_often_and_the_next_takes_over_after_a_timeout() {
    let mut all = view(&[("p0", false), ("r2", false), ("r1", false), ("r3", false)]);
    all.endpoint_list_read_at = Some(ms(5000));
    let is_due = |name: &str, view: &ClusterView, last_began: u64, now: u64| {
        let mut sequencer = ListSequencer::new(name, 0);
        assert_eq!(
            sequencer.on_tick(ms(last_began), view),
            Some(Effect::Read),
            "a registry that has read nothing yet"
        );
        sequencer.on_read_completed(ms(last_began), view, None);
        sequencer.on_tick(ms(now), view) == Some(Effect::Read)
    };
    assert!(is_due("r1", &all, 5000, 5600) && !is_due("r1", &all, 5000, 5599));
    assert!(is_due("r2", &all, 1, 6200) && !is_due("r2", &all, 1, 6199));
    assert!(is_due("r3", &all, 1, 6500) && !is_due("r3", &all, 1, 6499));
    assert!(
        !is_due("r2", &all, 5500, 7899) && is_due("r2", &all, 5500, 7900),
        "no faster than that"
    );
    let mut first_drains = view(&[("r2", false), ("r1", true), ("r3", false)]);
    first_drains.endpoint_list_read_at = Some(ms(5000));
    assert!(
        is_due("r2", &first_drains, 5000, 5600),
        "the first is draining: the next one is the first"
    );
    assert!(!is_due("r3", &first_drains, 5000, 5600));
    let mut isolated = view(&[("r1", false)]);
    isolated.is_isolated = true;
    isolated.endpoint_list_read_at = Some(ms(5000));
    assert!(
        !is_due("r1", &isolated, 1, 5600) && is_due("r1", &isolated, 1, 6200),
        "others may read as well"
    );
}

/// Five registries, each by what it knows: together they keep within the platform's rate limit, whether it
/// answers them or not.
#[test]
fn all_registries_together_keep_within_the_rate_limit() {
    for answers in [true, false] {
        let reads = reads_in_a_minute(answers);
        let per_second = reads.len() as f64 / 60.0;
        assert!(per_second < 4.0, "{per_second}");
        let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest <= Some(600), "{longest:?} ms without a read");
        if answers {
            assert!(per_second < 1.8, "{per_second}: the first one alone");
        }
    }
}

/// The times (ms) at which five registries read in a minute.
fn reads_in_a_minute(answers: bool) -> Vec<u64> {
    let names = ["r1", "r2", "r3", "r4", "r5"];
    let mut all = view(&names.map(|name| (name, false)));
    let mut sequencers: Vec<ListSequencer> =
        names.iter().map(|name| ListSequencer::new(name, 0)).collect();
    let mut reads = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        for sequencer in &mut sequencers {
            if sequencer.on_tick(ms(now_ms), &all) == Some(Effect::Read) {
                let effect =
                    sequencer.on_read_completed(ms(now_ms), &all, answers.then(|| servers(&["a"])));
                apply(&mut all, &effect);
                reads.push(now_ms);
            }
        }
    }
    reads
}
