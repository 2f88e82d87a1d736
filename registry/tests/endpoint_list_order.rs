//! The endpoint list on its way: several registries read it page by page and gossip spreads it. Each node must
//! use the newest list that any registry has read, soon, and never go back to an older one (design 4,
//! incident 0017).

mod cluster_model;

use cluster_model::{ClusterModel, Scenario};
use std::ops::RangeInclusive;
use std::time::Duration;

/// What the tightest deployment leaves from the draining mark to the last request (2.5 s), less what a request
/// may take in a proxy and on its way.
const BOUND: Duration = Duration::from_millis(2000);

fn violations_of(seeds: RangeInclusive<u64>, scenario: impl Fn(u64) -> Scenario) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in seeds {
        let found = ClusterModel::run(&scenario(seed), BOUND);
        violations.extend(found.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    violations
}

/// Reads of several registries overlap, and some take long: what each gives is the list as it was when the read
/// began, and must not replace a newer one.
#[test]
fn no_node_goes_back_to_an_older_list() {
    let mut violations = violations_of(1..=60, Scenario::without_faults);
    let slow = |seed| Scenario {
        slow_pages: 0.01,
        max_page_delay: Duration::from_millis(700),
        ..Scenario::without_faults(seed)
    };
    violations.extend(violations_of(101..=160, slow));
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

/// The registry that reads the list is partitioned from the others in one direction: these hear from it for a
/// while yet, and do not get what it reads.
#[test]
fn the_list_is_read_while_its_reader_is_partitioned_one_way() {
    let partition = Duration::from_secs(10)..Duration::from_secs(22);
    let violations = violations_of(1..=60, |seed| Scenario {
        one_way_partition: Some(partition.clone()),
        ..Scenario::without_faults(seed)
    });
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
