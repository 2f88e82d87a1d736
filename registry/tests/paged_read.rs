//! Reads of endpoint lists in pages, short and long ones (design 4).

mod zoned_format;

use std::collections::VecDeque;
use vanepath_config::endpoint_list::Server;
use vanepath_config::wire_format::{EndpointListPage, NATIVE_FORMAT, SelectedFormat};
use vanepath_registry::discovery::paged_read::{
    ListLayout, ListPart, MAX_PAGES, PageRequest, PagedRead, TooManyPages,
};
use zoned_format::ZonedFormat;

const PAGE_SIZE: usize = 5;

fn layout(zones: &[&str]) -> ListLayout {
    let zones = zones.iter().map(|zone| zone.to_string());
    ListLayout::new(SelectedFormat(&ZonedFormat), "/servers", zones)
}

fn server(number: usize, zone: &str) -> Server {
    Server {
        id: format!("s-{number:04}"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250).parse().unwrap(),
        region: "r".to_string(),
        zone: zone.to_string(),
        labels: Default::default(),
        draining: false,
        warming_up: false,
        concurrency: 2,
    }
}

/// Servers spread over zones in turn.
fn servers(count: usize, zones: &[&str]) -> Vec<Server> {
    (0..count).map(|number| server(number, zones[number % zones.len()])).collect()
}

/// The platform's answer to a request.
fn answer(list: &[Server], request: &PageRequest) -> EndpointListPage {
    let (path, from) = match request.path.split_once("#") {
        Some((path, from)) => (path, from.parse().unwrap()),
        None => (request.path.as_str(), 0),
    };
    let zone = path.strip_prefix("/servers?zone=");
    let part: Vec<Server> =
        list.iter().filter(|server| zone.is_none_or(|zone| server.zone == zone)).cloned().collect();
    let to = (from + PAGE_SIZE).min(part.len());
    EndpointListPage {
        revision: None,
        servers: part[from..to].to_vec(),
        next: (to < part.len()).then(|| format!("{path}#{to}")),
    }
}

/// Reads the list; returns its ids in order, and the most round trips that any chain took.
fn read(layout: &mut ListLayout, list: &[Server]) -> (Vec<String>, usize) {
    let (mut read, first) = PagedRead::begin(layout);
    let mut requests: VecDeque<(PageRequest, usize)> =
        first.into_iter().map(|request| (request, 1)).collect();
    let mut round_trips = 0;
    while let Some((request, depth)) = requests.pop_front() {
        round_trips = round_trips.max(depth);
        let next = read.on_page(layout, &request, answer(list, &request)).unwrap();
        requests.extend(next.into_iter().map(|request| (request, depth + 1)));
    }
    assert!(read.is_complete());
    let mut ids: Vec<String> =
        read.finish(layout).servers.into_iter().map(|server| server.id).collect();
    ids.sort();
    (ids, round_trips)
}

fn ids(list: &[Server]) -> Vec<String> {
    list.iter().map(|server| server.id.clone()).collect()
}

#[test]
fn a_short_list_is_read_as_one_chain() {
    let mut layout = layout(&["a", "b", "c"]);
    let list = servers(6 * PAGE_SIZE, &["a", "b", "c"]);
    for _ in 0..2 {
        assert_eq!(read(&mut layout, &list), (ids(&list), 6));
    }
}

/// From its second read on, a long list takes as many round trips as its longest zone has pages.
#[test]
fn a_long_list_is_read_by_zone_side_by_side() {
    let zones = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let mut layout = layout(&zones);
    let list = servers(22 * PAGE_SIZE, &zones);
    assert_eq!(read(&mut layout, &list), (ids(&list), 6 + 3));
    assert_eq!(read(&mut layout, &list), (ids(&list), 3));
    let short = servers(2 * PAGE_SIZE, &zones);
    read(&mut layout, &short);
    assert_eq!(read(&mut layout, &short), (ids(&short), 2), "short again: one chain");
}

/// Servers in a zone that the settings do not name are found by the survey.
#[test]
fn servers_in_an_unknown_zone_are_found() {
    let mut layout = layout(&["a", "b"]);
    let mut list = servers(10 * PAGE_SIZE, &["a", "b"]);
    read(&mut layout, &list);
    list.push(server(9000, "new"));
    let pages = list.len().div_ceil(PAGE_SIZE);
    let found_after = (1..=pages + 1).find(|_| read(&mut layout, &list).0 == ids(&list));
    assert!(found_after.is_some(), "not found in {pages} reads");
}

/// A list of a platform that does not serve it by zone stays one chain, whatever its length.
#[test]
fn a_list_that_is_not_served_by_zone_stays_one_chain() {
    let format = SelectedFormat(&NATIVE_FORMAT);
    let mut layout = ListLayout::new(format, "/servers", ["a".to_string()]);
    let list = servers(10 * PAGE_SIZE, &["a"]);
    assert_eq!(read(&mut layout, &list), (ids(&list), 10));
    assert_eq!(read(&mut layout, &list), (ids(&list), 10));
}

/// Only a failed page of the survey leaves the read intact.
#[test]
fn a_read_fails_with_any_page_of_the_list() {
    let mut layout = layout(&["a", "b"]);
    read(&mut layout, &servers(10 * PAGE_SIZE, &["a", "b"]));
    let (mut read, requests) = PagedRead::begin(&layout);
    assert_eq!(requests.len(), 3);
    assert!(!read.on_page_failed(&mut layout, &ListPart::Survey));
    assert!(read.on_page_failed(&mut layout, &ListPart::Zone("b".to_string())));
    assert!(!read.is_complete());
}

#[test]
fn pages_that_link_to_each_other_end_the_read() {
    let mut layout = ListLayout::new(SelectedFormat(&NATIVE_FORMAT), "/servers", []);
    let (mut read, mut requests) = PagedRead::begin(&layout);
    let page = EndpointListPage { next: Some("/servers".to_string()), ..Default::default() };
    for _ in 0..MAX_PAGES {
        requests = read.on_page(&mut layout, &requests[0], page.clone()).unwrap();
    }
    assert_eq!(read.on_page(&mut layout, &requests[0], page), Err(TooManyPages));
}
