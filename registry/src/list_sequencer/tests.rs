use super::{Effect, ListSequencer, READ_MOST};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
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
    let live = registries.iter().map(|(name, leaving)| {
        let role = if name.starts_with('p') { wire::Role::Proxy } else { wire::Role::Registry };
        let card = wire::NodeInfo {
            name: name.to_string(),
            role,
            region: "a".to_string(),
            zone: "a1".to_string(),
            address,
            cluster_address: address,
        };
        (card, wire::NodeStatus { draining: *leaving, ..wire::NodeStatus::default() })
    });
    ClusterView { live: live.collect(), ..Default::default() }
}

/// Goes by what was told, as the news would.
fn take(view: &mut ClusterView, told: &Option<Effect>) {
    if let Some(Effect::Publish { list, began_at }) = told {
        view.highest_endpoint_list_revision =
            view.highest_endpoint_list_revision.max(list.revision);
        view.endpoints = list.clone();
        view.endpoint_list_read_at = Some(*began_at);
    }
}

fn ids(list: &EndpointList) -> Vec<&str> {
    list.servers.iter().map(|one| one.id.as_str()).collect()
}

/// Lists without a number of their own: one that differs is the next one, whatever the order in which
/// it came, and one that does not is the same.
#[test]
fn lists_without_numbers_are_numbered_by_what_changes() {
    let mut view = view(&[("r1", false)]);
    let mut reader = ListSequencer::new("r1", 7 << 48);
    let mut now = ms(0);
    let mut read = |view: &mut ClusterView, found: Vec<Server>| -> Arc<EndpointList> {
        now += ms(600);
        assert_eq!(reader.pulse(now, view), Some(Effect::Read));
        let told = reader.read(now + ms(20), view, Some(found));
        take(view, &told);
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

/// A server that moved from one page to the next while they were read stands on both, and the later page
/// counts.
#[test]
fn of_a_server_on_two_pages_the_later_one_counts() {
    let view = view(&[("r1", false)]);
    let mut reader = ListSequencer::new("r1", 0);
    reader.pulse(ms(0), &view);
    let mut found = servers(&["a", "b", "b", "c"]);
    found[2].draining = true;
    let Some(Effect::Publish { list, .. }) = reader.read(ms(5), &view, Some(found)) else {
        panic!("it is told");
    };
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.servers[1].draining);
}

/// What somebody else read and told meanwhile is newer than a read that began before, and a read that took
/// long may show what is long past.
#[test]
fn a_read_that_was_overtaken_is_not_told_and_begins_anew() {
    let mut view = view(&[("r1", false), ("r2", false)]);
    let mut reader = ListSequencer::new("r1", 0);
    assert_eq!(reader.pulse(ms(0), &view), Some(Effect::Read));
    // Only heard of so far, from a proxy that has it.
    view.highest_endpoint_list_revision = 9 << 16 | 3;
    assert_eq!(reader.read(ms(90), &view, Some(servers(&["a"]))), Some(Effect::Superseded));
    assert_eq!(reader.pulse(ms(100), &view), Some(Effect::Read), "at once");
    let told = reader.read(ms(120), &view, Some(servers(&["a"])));
    let Some(Effect::Publish { list, began_at }) = &told else { panic!("{told:?}") };
    assert_eq!((list.revision, *began_at), (10 << 16, ms(100)));
    take(&mut view, &told);
    assert_eq!(reader.pulse(ms(700), &view), Some(Effect::Read));
    let late = ms(700) + READ_MOST + ms(1);
    assert_eq!(reader.read(late, &view, Some(servers(&["a", "b"]))), Some(Effect::Superseded));
}

/// Whoever started anew knows no list, and others have one with a number that it cannot know: the first read
/// that follows on hearing of it goes above it, whether or not the list has changed.
#[test]
fn a_list_that_others_hold_under_a_higher_number_is_outnumbered() {
    let mut view = view(&[("r1", false)]);
    let mut reader = ListSequencer::new("r1", 5 << 48);
    reader.pulse(ms(0), &view);
    let told = reader.read(ms(9), &view, Some(servers(&["a"])));
    take(&mut view, &told);
    assert_eq!(view.endpoints.revision, 1 << 16 | 5);
    view.highest_endpoint_list_revision = 40 << 16 | 2;
    assert_eq!(reader.pulse(ms(600), &view), Some(Effect::Read));
    let told = reader.read(ms(609), &view, Some(servers(&["a"])));
    take(&mut view, &told);
    assert_eq!(view.endpoints.revision, 41 << 16 | 5);
}

/// Two registries that read at the same moment never give one number to two lists.
#[test]
fn no_two_readers_give_the_same_number() {
    let view = view(&[("r1", false), ("r2", false)]);
    let mut told = Vec::new();
    for (name, draw, found) in [("r1", 1 << 48, ["a"]), ("r2", 2 << 48, ["b"])] {
        let mut reader = ListSequencer::new(name, draw);
        reader.pulse(ms(0), &view);
        told.push(reader.read(ms(9), &view, Some(servers(&found))));
    }
    let [Some(Effect::Publish { list: one, .. }), Some(Effect::Publish { list: other, .. })] =
        &told[..]
    else {
        panic!("{told:?}");
    };
    assert_eq!(one.revision >> 16, other.revision >> 16);
    assert_ne!(one.revision, other.revision);
}

/// The first registry reads often. The others read where no read was heard of for a while, one after the
/// other, whether or not the first is taken for live.
#[test]
fn one_registry_reads_the_list_often_and_the_next_takes_over_from_silence() {
    let mut all = view(&[("p0", false), ("r2", false), ("r1", false), ("r3", false)]);
    all.endpoint_list_read_at = Some(ms(5000));
    let is_due = |name: &str, view: &ClusterView, tried: u64, now: u64| {
        let mut reader = ListSequencer::new(name, 0);
        assert_eq!(
            reader.pulse(ms(tried), view),
            Some(Effect::Read),
            "whoever has read nothing yet"
        );
        reader.read(ms(tried), view, None);
        reader.pulse(ms(now), view) == Some(Effect::Read)
    };
    assert!(is_due("r1", &all, 5000, 5600) && !is_due("r1", &all, 5000, 5599));
    assert!(is_due("r2", &all, 1, 6200) && !is_due("r2", &all, 1, 6199));
    assert!(is_due("r3", &all, 1, 6500) && !is_due("r3", &all, 1, 6499));
    assert!(
        !is_due("r2", &all, 5500, 7899) && is_due("r2", &all, 5500, 7900),
        "no faster than that"
    );
    let mut without = view(&[("r2", false), ("r1", true), ("r3", false)]);
    without.endpoint_list_read_at = Some(ms(5000));
    assert!(is_due("r2", &without, 5000, 5600), "the first is leaving: the next one is the first");
    assert!(!is_due("r3", &without, 5000, 5600));
    let mut cut = view(&[("r1", false)]);
    cut.is_isolated = true;
    cut.endpoint_list_read_at = Some(ms(5000));
    assert!(!is_due("r1", &cut, 1, 5600) && is_due("r1", &cut, 1, 6200), "others may read as well");
}

/// So many registries, each going by what it knows: together they keep within the platform's rate, whether it
/// answers them or not.
#[test]
fn all_registries_together_read_seldom_enough() {
    for answers in [true, false] {
        let reads = reads_of_a_minute(answers);
        let per_second = reads.len() as f64 / 60.0;
        assert!(per_second < 4.0, "{per_second}");
        let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest <= Some(600), "{longest:?} ms without a read");
        if answers {
            assert!(per_second < 1.8, "{per_second}: the first one alone");
        }
    }
}

/// When five registries read in a minute.
fn reads_of_a_minute(answers: bool) -> Vec<u64> {
    let names = ["r1", "r2", "r3", "r4", "r5"];
    let mut all = view(&names.map(|name| (name, false)));
    let mut readers: Vec<ListSequencer> =
        names.iter().map(|name| ListSequencer::new(name, 0)).collect();
    let mut reads = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        for reader in &mut readers {
            if reader.pulse(ms(now_ms), &all) == Some(Effect::Read) {
                let told = reader.read(ms(now_ms), &all, answers.then(|| servers(&["a"])));
                take(&mut all, &told);
                reads.push(now_ms);
            }
        }
    }
    reads
}
