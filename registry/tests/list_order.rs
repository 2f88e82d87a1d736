//! The platform list on its way: several registries read it page by page, news spread it, and what a daemon
//! goes by must be the newest that anyone read, soon, and never an older one (design 4, incident 0017).
//!
//! A small world of its own: the news cores and the reading of lists on simulated time, with delays, slow
//! pages, cuts and a list that changes, from one seed.

mod world;

use std::time::Duration;
use world::{Plan, World};

/// What the tightest deployment leaves from the mark to the last request (2.5 s), less what a request may
/// take in a proxy and on its way.
const BOUND: Duration = Duration::from_millis(2000);

fn faults_of(seeds: std::ops::RangeInclusive<u64>, plan: impl Fn(u64) -> Plan) -> Vec<String> {
    let mut faults = Vec::new();
    for seed in seeds {
        let found = World::play(&plan(seed), BOUND);
        faults.extend(found.into_iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    faults
}

/// Reads of several registries overlap, and some take long: what each shows is the list as it was when it
/// began, and must not take the place of a newer one.
#[test]
fn no_daemon_goes_back_to_an_older_list() {
    let mut faults = faults_of(1..=60, Plan::calm);
    let slow =
        |seed| Plan { slow_pages: 0.01, slow_most: Duration::from_millis(700), ..Plan::calm(seed) };
    faults.extend(faults_of(101..=160, slow));
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// The registry that reads the list is cut off from the others in one direction: these hear from it for a
/// while yet, and not what it reads.
#[test]
fn the_list_is_read_while_its_reader_is_cut_off_one_way() {
    let cut = Duration::from_secs(10)..Duration::from_secs(22);
    let faults =
        faults_of(1..=60, |seed| Plan { one_way_cut: Some(cut.clone()), ..Plan::calm(seed) });
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}
