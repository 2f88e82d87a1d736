//! Several registries read the endpoint list page by page, and gossip distributes it. Each node must soon use
//! the newest list that any registry has read, and must never return to an older one (design 4, incident
//! 0017).

mod cluster_model;
mod zoned_format;

use cluster_model::{ClusterModel, FaultKind, ReaderFault, Scenario};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The time within which a draining mark must reach every node: the time from the mark to the last request in
/// the deployment with the tightest limit (2.5 s), less the time of a request in a proxy and on the network.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2000);

fn violations_of(seeds: RangeInclusive<u64>, scenario: impl Fn(u64) -> Scenario) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in seeds {
        let run_violations = ClusterModel::run(&scenario(seed), PROPAGATION_LIMIT);
        violations.extend(
            run_violations.into_iter().map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    violations
}

/// Reads of several registries overlap, and some are slow. A read may return the list as it was when the read
/// began; it must not replace a newer one.
#[test]
fn no_node_goes_back_to_an_older_list() {
    let mut violations = violations_of(1..=60, Scenario::without_faults);
    let slow = |seed| Scenario {
        slow_page_fraction: 0.01,
        max_page_delay: Duration::from_millis(700),
        ..Scenario::without_faults(seed)
    };
    violations.extend(violations_of(101..=160, slow));
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

/// The registry that reads the list is partitioned from the others in one direction. They still consider it
/// live for a while, but do not receive the lists that it reads.
#[test]
fn the_list_is_read_while_its_reader_is_partitioned_one_way() {
    let partition = Duration::from_secs(10)..Duration::from_secs(22);
    let violations = violations_of(1..=60, |seed| Scenario {
        one_way_partition: Some(partition.clone()),
        ..Scenario::without_faults(seed)
    });
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

/// Guards against a draining server that gets requests again because two registries read the list at about the
/// same time, one of them cut off, and the earlier read got the higher revision (incident 0022).
#[test]
fn no_mark_is_taken_back_while_two_registries_read() {
    let partition = Duration::from_secs(10)..Duration::from_secs(22);
    assert_none(&violations_of(90..=189, |seed| Scenario {
        one_way_partition: Some(partition.clone()),
        ..Scenario::without_faults(seed)
    }));
}

fn assert_none(violations: &[String]) {
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

/// The sizes of a list: pages, zones, and the calls per second that the platform accepts.
const LIST_SIZES: [(usize, usize, usize); 4] =
    [(1, 6, 40), (6, 9, 300), (22, 9, 2_000), (90, 16, 8_000)];
/// The round trips to the platform from the three regions: within one region, and to two others.
const ROUND_TRIPS_MS: [[u64; 3]; 3] = [[1, 24, 24], [2, 110, 110], [3, 150, 60]];

/// A list of one to 90 pages whose readers are up to 150 ms away from the platform.
fn distant_list(seed: u64) -> Scenario {
    let draw = seed as usize;
    let (pages, zones, calls_per_second) = LIST_SIZES[draw % LIST_SIZES.len()];
    Scenario {
        pages,
        zones,
        calls_per_second,
        platform_round_trips: ROUND_TRIPS_MS[draw / 4 % 3].map(Duration::from_millis),
        first_region: draw / 12 % 3,
        ..Scenario::without_faults(seed)
    }
}

/// Guards against a list that only the registries near the platform can read in time while another one, the
/// first by name, has the reading (incident 0022).
#[test]
fn a_draining_server_is_known_in_time_wherever_the_registries_are() {
    assert_none(&violations_of(201..=236, distant_list));
}

/// Guards against marks of draining servers that stay unknown while the reader of a long list is dead, paused,
/// cut off from the platform or slow (incident 0022).
#[test]
fn a_draining_server_is_known_in_time_whatever_happens_to_the_reader() {
    let kinds =
        [FaultKind::Killed, FaultKind::Paused, FaultKind::CutFromPlatform, FaultKind::SlowPath];
    let during = Duration::from_secs(12)..Duration::from_secs(20);
    let faulty = |seed: u64| {
        let kind = kinds[seed as usize / 36 % kinds.len()];
        let fault = ReaderFault { kind, during: during.clone() };
        Scenario { reader_fault: Some(fault), ..distant_list(seed) }
    };
    assert_none(&violations_of(288..=431, faulty));
}

/// Guards against a list that nobody can read once the platform's own region has lost its registries
/// (incident 0022).
#[test]
fn a_draining_server_is_known_in_time_when_only_distant_registries_are_left() {
    assert_none(&violations_of(501..=536, |seed| Scenario {
        platform_round_trips: [110; 3].map(Duration::from_millis),
        ..distant_list(seed)
    }));
}
