//! Disk failures, and the limit on the size of stored data.

use crate::fleet::{Fleet, Requester, recovered, revision};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::MAX_HISTORY_BYTES;

/// The size of stored data is limited in bytes as well: large documents displace old ones, and the chain of
/// versions that ends with the latest one stays complete.
#[test]
fn large_configs_do_not_fill_a_disk() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let max = MAX_HISTORY_BYTES;
    let size = 700_000;
    for number in 0..120_u32 {
        let mut bytes = vec![b'x'; size];
        bytes[..4].copy_from_slice(&number.to_be_bytes());
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
        fleet.request(
            0,
            Request::Change {
                key: format!("k{number}"),
                change,
                keyless_for: None,
                known_revision: None,
            },
        );
        for store in &fleet.stores {
            let stored: usize =
                store.disk.versions.values().map(|value| value.encode().len()).sum();
            assert!(stored <= max + size, "{stored} bytes at revision {number}");
        }
    }
    // A new disk fetches only as many versions as fit, and then stops.
    fleet.wipe(2, 500);
    fleet.run_for(Duration::from_secs(15));
    let stored = |index: usize| -> usize {
        let versions = fleet.stores[index].disk.versions.values();
        versions.map(|value| value.encode().len()).sum()
    };
    assert!((max / 2..=max).contains(&stored(2)), "{}", stored(2));
    let latest = fleet.accepted()[0];
    let before = fleet.outcomes.len();
    for revision in latest - 20..=latest {
        fleet.request(2, Request::History { revision });
    }
    assert!(fleet.outcomes[before..].iter().all(|one| matches!(one, Outcome::Value { .. })));
}

/// Incident 0014: a store whose disk failed for a while votes again once the disk works, based on the durable
/// state. Anything that was not saved was never acknowledged.
#[test]
fn a_store_votes_again_once_its_disk_works() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.events.push_back((0, Event::DiskFailed));
    fleet.run();
    assert_eq!(fleet.voting(), 2);
    assert_eq!(revision(fleet.write(1, "b")), 2);
    let recovered = recovered(&mut fleet.stores[0].disk, 7);
    fleet.events.push_back((0, Event::DiskRecovered(recovered)));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.voting(), 3);
    // With the recovered store, the fleet tolerates the loss of another one.
    fleet.stores[2].is_up = false;
    assert_eq!(revision(fleet.write(0, "c")), 3);
}

/// When a store's disk fails, its pending requests are answered as not applied.
#[test]
fn a_failing_disk_leaves_no_request_pending() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let request = |key: &str| {
        let change = Change::ReplaceConfig {
            bytes: key.as_bytes().to_vec(),
            if_revision: None,
            version: None,
        };
        Request::Change { key: key.to_string(), change, keyless_for: None, known_revision: None }
    };
    for key in ["a", "b"] {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        fleet.events.push_back((0, Event::RequestReceived { ticket, request: request(key) }));
    }
    fleet.events.push_back((0, Event::DiskFailed));
    fleet.run();
    let outcomes = &fleet.outcomes;
    assert_eq!(outcomes.len(), 2, "{outcomes:?}");
    assert!(
        outcomes.iter().all(|outcome| matches!(outcome, Outcome::NotApplied { .. })),
        "{outcomes:?}"
    );
}
