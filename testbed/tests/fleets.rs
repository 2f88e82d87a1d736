//! The two deployments as processes, with mixed traffic judged from outside: a setup change, a
//! zone emptied and returned, and a rolling restart of every daemon under way.

use std::time::Duration;
use vanepath_testbed::harness::{Fleet, until};
use vanepath_testbed::shape::{self, Shape};
use vanepath_testbed::traffic::{Kind, Traffic, judge_filings, sums};

/// Requests in the hands of stand-in servers of a zone, by arrivals.
fn arrivals_in(fleet: &Fleet, zone: &str) -> usize {
    let in_zone = |index: usize| fleet.shape.zones[index % fleet.shape.zones.len()].0 == zone;
    let mut count = 0;
    let mut at = 0;
    for (_, servers) in &fleet.shape.servers {
        for index in 0..*servers {
            if in_zone(index) {
                count += fleet.servers[at].state.arrivals.lock().unwrap().len();
            }
            at += 1;
        }
    }
    count
}

async fn whole_day(shape: Shape) {
    let mut fleet = Fleet::start(shape).await;
    let first = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(first, Duration::from_secs(15)).await;
    let traffic = Traffic::start(&fleet, 2, 0.5).await;
    traffic.more(150).await;

    // Another setup while requests are under way: in force everywhere soon, and none is lost.
    let changed = fleet.shape.setup.replace("\"deadlineMs\": 5000", "\"deadlineMs\": 6000");
    let second = fleet.put_setup(&changed).await;
    fleet.until_in_force(second, Duration::from_secs(4)).await;
    traffic.more(100).await;

    // A zone is emptied: no new work there once it is in force; then it is returned.
    let zone = fleet.shape.zones[1].0;
    let registry = fleet.registries()[0];
    let path = format!("/v1/zones/{zone}/emptied");
    let emptied = vanepath_testbed::http::call(registry, "PUT", &path, &[], b"").await.unwrap();
    assert_eq!(emptied.status, 200, "{:?}", emptied.body);
    let revision = emptied.json()["revision"].as_u64().unwrap();
    fleet.until_in_force(revision, Duration::from_secs(4)).await;
    let before = arrivals_in(&fleet, zone);
    traffic.more(150).await;
    let meanwhile = arrivals_in(&fleet, zone) - before;
    // What was chosen before the change may still arrive; nothing else.
    assert!(meanwhile <= 5, "{meanwhile} requests went to an emptied zone");
    // A new setup does not undo it.
    fleet.put_setup(&fleet.shape.setup).await;
    let zones = fleet.get(fleet.of("registry")[1], "/v1/zones").await.unwrap().json();
    assert_eq!(zones["emptied"][0].as_str(), Some(zone));
    let returned = vanepath_testbed::http::call(registry, "DELETE", &path, &[], b"").await.unwrap();
    assert_eq!(returned.status, 200);
    let revision = returned.json()["revision"].as_u64().unwrap();
    fleet.until_in_force(revision, Duration::from_secs(4)).await;
    until("the zone gets work again", Duration::from_secs(20), || async {
        arrivals_in(&fleet, zone) > before + 20
    })
    .await;

    // Every daemon, one after the other, is asked to stop and started again.
    for index in 0..fleet.members.len() {
        assert!(fleet.terminate(index).await, "{} did not end well", fleet.members[index].name);
        fleet.run(index);
        let fleet = &fleet;
        let name = &fleet.members[index].name;
        until(&format!("{name} is ready again"), Duration::from_secs(15), || async {
            fleet.page(index, "ready").await["ready"].as_bool() == Some(true)
        })
        .await;
    }
    traffic.more(100).await;

    let (told, wrong) = traffic.finish().await;
    assert_eq!(wrong, Vec::<String>::new(), "receipts that are not the request's own");
    assert_eq!(judge_filings(&told, &fleet.runs()), Vec::<String>::new());
    let sums = sums(&told);
    println!("{}: {sums:?}", fleet.shape.name);
    let lost: Vec<_> =
        told.iter().filter(|one| one.verdict != vanepath_config::ExecutionStatus::Ran).collect();
    assert!(lost.is_empty(), "lost in planned work: {lost:?}");
    assert!(sums[&Kind::Filing].ran > 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn raiocertos_day_without_one_lost_request() {
    whole_day(shape::raiocerto()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_guilds_day_without_one_lost_request() {
    whole_day(shape::guild()).await;
}
