//! Several registries read the endpoint list page by page, and gossip distributes it. Each node must soon use
//! the newest list that any registry has read, and must never return to an older one (design 4, incident
//! 0017).

mod cluster_model;

use cluster_model::{ClusterModel, Scenario};
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
