use super::DrainMarks;
use crate::endpoint_cache::EndpointCache;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, Server};

fn list(revision: u64, servers: &[(&str, bool)]) -> Arc<EndpointList> {
    let servers = servers.iter().enumerate().map(|(number, (id, draining))| Server {
        id: id.to_string(),
        address: format!("127.0.0.1:{}", number + 1).parse().unwrap(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        draining: *draining,
        warming_up: false,
        concurrency: 2,
    });
    Arc::new(EndpointList { revision, servers: servers.collect() })
}

fn draining(list: &EndpointList) -> Vec<&str> {
    let servers = list.servers.iter().filter(|server| server.draining);
    servers.map(|server| server.id.as_str()).collect()
}

fn ms(millis: u64) -> Option<Duration> {
    Some(Duration::from_millis(millis))
}

/// A list that was read earlier and has the higher revision does not take a mark back (incident 0022).
#[test]
fn an_earlier_read_under_a_higher_revision_takes_no_mark_back() {
    let mut marks = DrainMarks::default();
    let later = list(5 << 16 | 1, &[("a", true), ("b", false)]);
    assert_eq!(draining(&marks.apply(&later, ms(11_588))), ["a"]);
    let earlier = list(5 << 16 | 2, &[("a", false), ("b", true)]);
    let current = marks.apply(&earlier, ms(11_502));
    assert_eq!(draining(&current), ["a", "b"]);
    assert_eq!(current.revision, earlier.revision);
}

/// A server that the platform takes back is believed once a clearly later read shows it.
#[test]
fn a_mark_ends_with_a_clearly_later_read() {
    let mut marks = DrainMarks::default();
    marks.apply(&list(1, &[("a", true)]), ms(1000));
    let ready = list(2, &[("a", false)]);
    assert_eq!(draining(&marks.apply(&ready, ms(2999))), ["a"]);
    assert_eq!(draining(&marks.apply(&ready, ms(3000))), [""; 0]);
    assert!(Arc::ptr_eq(&marks.apply(&ready, ms(3600)), &ready));
}

/// A mark survives a list without the server, and ends some time after it.
#[test]
fn a_server_that_reappears_in_an_older_list_is_still_draining() {
    let mut marks = DrainMarks::default();
    marks.apply(&list(1, &[("a", true), ("b", false)]), ms(1000));
    marks.apply(&list(2, &[("b", false)]), ms(1600));
    let older = list(3, &[("a", false), ("b", false)]);
    assert_eq!(draining(&marks.apply(&older, ms(900))), ["a"]);
    marks.apply(&list(4, &[("b", false)]), ms(11_000));
    assert!(marks.shown_at.is_empty());
}

/// Lists that the platform numbers are in the platform's order.
#[test]
fn lists_with_the_platforms_numbers_are_believed_at_once() {
    let mut marks = DrainMarks::default();
    assert_eq!(draining(&marks.apply(&list(1, &[("a", true)]), None)), ["a"]);
    assert_eq!(draining(&marks.apply(&list(2, &[("a", false)]), None)), [""; 0]);
}

/// A mark that ends with a later read of the same list changes the current list under its revision; those who
/// compare revisions alone would keep the mark.
#[test]
fn the_end_of_a_mark_changes_the_list_under_its_revision() {
    let mut cache = EndpointCache::default();
    cache.apply(list(1, &[("a", true), ("b", false)]), ms(1000));
    cache.apply(list(2, &[("a", false), ("b", false)]), ms(2950));
    let retained = cache.current().clone();
    assert_eq!((retained.revision, draining(&retained)), (2, vec!["a"]));
    assert!(cache.record_read(2, Duration::from_millis(3550)));
    assert_eq!((cache.current().revision, draining(cache.current())), (2, vec![]));
    assert!(!Arc::ptr_eq(&retained, cache.current()));
}
