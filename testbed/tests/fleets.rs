//! Runs the two deployments as processes under mixed traffic and checks from the outside that planned
//! operations lose no request: a configuration change, the drain and restoration of a zone, and a rolling
//! restart of all daemons.

use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_testbed::harness::{Fleet, wait_until};
use vanepath_testbed::http::call;
use vanepath_testbed::topology::{self, Topology};
use vanepath_testbed::traffic::{RequestKind, Traffic, check_filings, count_outcomes};

/// Number of requests that the stub servers of a zone have received.
fn arrivals_in(fleet: &Fleet, zone: &str) -> usize {
    let in_zone = |index: usize| fleet.topology.zones[index % fleet.topology.zones.len()].0 == zone;
    let mut count = 0;
    let mut position = 0;
    for (_, servers) in &fleet.topology.servers {
        for index in 0..*servers {
            if in_zone(index) {
                count += fleet.servers[position].state.arrivals.lock().unwrap().len();
            }
            position += 1;
        }
    }
    count
}

async fn check_planned_operations(topology: Topology) {
    let mut fleet = Fleet::start(topology).await;
    let first = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(first, Duration::from_secs(15)).await;
    let traffic = Traffic::start(&fleet, 2, 0.5).await;
    traffic.wait_for_requests(150).await;

    // The configuration is changed with requests in flight. It becomes active at all proxies within four
    // seconds, and no request is lost.
    let changed = fleet.topology.config.replace("\"deadlineMs\": 5000", "\"deadlineMs\": 6000");
    let second = fleet.put_config(&changed).await;
    fleet.wait_until_active(second, Duration::from_secs(4)).await;
    traffic.wait_for_requests(100).await;

    // A zone is drained: once the drain is active, its servers receive no new requests. Then the zone is
    // restored.
    let zone = fleet.topology.zones[1].0;
    let registry = fleet.registry_addresses()[0];
    let path = format!("/v1/zones/{zone}/emptied");
    let drained = call(registry, "PUT", &path, &[], b"").await.unwrap();
    assert_eq!(drained.status, 200, "{:?}", drained.body);
    let revision = drained.json()["revision"].as_u64().unwrap();
    fleet.wait_until_active(revision, Duration::from_secs(4)).await;
    let before = arrivals_in(&fleet, zone);
    traffic.wait_for_requests(150).await;
    let arrivals_after_drain = arrivals_in(&fleet, zone) - before;
    // Only requests for which a server was selected before the drain was active may still arrive.
    assert!(
        arrivals_after_drain <= 5,
        "{arrivals_after_drain} requests were sent to a drained zone"
    );
    // A new configuration does not end the drain.
    fleet.put_config(&fleet.topology.config).await;
    let zones = fleet.get(fleet.with_role("registry")[1], "/v1/zones").await.unwrap().json();
    assert_eq!(zones["emptied"][0].as_str(), Some(zone));
    let restored = call(registry, "DELETE", &path, &[], b"").await.unwrap();
    assert_eq!(restored.status, 200);
    let revision = restored.json()["revision"].as_u64().unwrap();
    fleet.wait_until_active(revision, Duration::from_secs(4)).await;
    wait_until("the restored zone receives requests", Duration::from_secs(20), || async {
        arrivals_in(&fleet, zone) > before + 20
    })
    .await;

    // Rolling restart: each daemon in turn is terminated and started again.
    for index in 0..fleet.daemons.len() {
        assert!(
            fleet.terminate(index).await,
            "{} did not exit with status 0",
            fleet.daemons[index].name
        );
        fleet.start_daemon(index);
        let fleet = &fleet;
        let name = &fleet.daemons[index].name;
        wait_until(
            &format!("{name} is ready after its restart"),
            Duration::from_secs(15),
            || async { fleet.page(index, "ready").await["ready"].as_bool() == Some(true) },
        )
        .await;
    }
    traffic.wait_for_requests(100).await;

    let (records, mismatches) = traffic.finish().await;
    assert_eq!(mismatches, Vec::<String>::new(), "responses that do not belong to their request");
    assert_eq!(check_filings(&records, &fleet.execution_counts()), Vec::<String>::new());
    let outcome_counts = count_outcomes(&records);
    println!("{}: {outcome_counts:?}", fleet.topology.name);
    let lost: Vec<_> =
        records.iter().filter(|record| record.execution != ExecutionStatus::Ran).collect();
    assert!(lost.is_empty(), "requests lost during planned operations: {lost:?}");
    assert!(outcome_counts[&RequestKind::Filing].ran > 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn raiocerto_loses_no_request_in_planned_operations() {
    check_planned_operations(topology::raiocerto()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guild_loses_no_request_in_planned_operations() {
    check_planned_operations(topology::guild()).await;
}
