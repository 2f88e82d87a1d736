//! Zones lost and restored, machines replaced and all daemons killed, with real processes under traffic.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_testbed::harness::{Fleet, wait_until};
use vanepath_testbed::http::call;
use vanepath_testbed::sim::scenario::tagged;
use vanepath_testbed::stub::pattern;
use vanepath_testbed::topology;
use vanepath_testbed::traffic::{RequestKind, RequestRecord, Traffic, check_filings};

const SOON: Duration = Duration::from_secs(15);

fn small_topology(proxies: usize) -> topology::Topology {
    let mut topology = topology::raiocerto();
    topology.proxies = proxies;
    topology.servers = vec![("ordering", 12), ("documents", 6)];
    topology
}

async fn start(topology: topology::Topology) -> Fleet {
    let fleet = Fleet::start(topology).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    fleet
}

fn checked(
    fleet: &Fleet,
    (records, mismatches): (Vec<RequestRecord>, Vec<String>),
) -> Vec<RequestRecord> {
    assert_eq!(mismatches, Vec::<String>::new());
    assert_eq!(check_filings(&records, &fleet.execution_counts()), Vec::<String>::new());
    records
}

/// Lookups and downloads that were not executed, or of which that is unknown.
fn lost(records: &[RequestRecord]) -> Vec<&RequestRecord> {
    let lookups = records.iter().filter(|one| one.kind != RequestKind::Filing);
    lookups.filter(|one| one.execution != ExecutionStatus::Ran).collect()
}

/// A zone fails with its proxies and servers, then a region with a core machine as well; each recovers. No lookup is
/// lost, operators can make changes, and what has recovered gets requests again.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_and_a_region_fail_and_recover_under_traffic() {
    let mut fleet = start(small_topology(6)).await;
    let traffic = Traffic::start(&fleet, 1, 0.4).await;
    traffic.wait_for_requests(60).await;
    for place in ["north-2", "south"] {
        let is_hit = |zone: &str, region: &str| zone == place || region == place;
        let daemons = fleet.kill_zones(is_hit);
        let servers = fleet.servers_in(is_hit);
        traffic.wait_for_requests(80).await;
        let body = String::from_utf8(tagged(&fleet.topology.config, servers.len())).unwrap();
        let next = fleet.put_config(&body).await;
        fleet.wait_until_active(next, SOON).await;
        for index in daemons {
            fleet.start_daemon(index);
        }
        for index in &servers {
            fleet.restart_server(*index).await;
        }
        fleet.wait_until_active(next, SOON).await;
        let arrivals = |fleet: &Fleet| -> usize {
            let of = servers.iter().map(|index| &fleet.servers[*index].state.arrivals);
            of.map(|all| all.lock().unwrap().len()).sum()
        };
        let before = arrivals(&fleet);
        let what = format!("the servers of {place} get work again");
        wait_until(&what, SOON, async || arrivals(&fleet) > before + 5).await;
    }
    let records = traffic.finish().await;
    let records = checked(&fleet, records);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
}

/// All three core machines are replaced in turn by others at new addresses, under traffic and changes; then each
/// process is killed and started again, the proxies with seeds of which none exists any more.
#[tokio::test(flavor = "multi_thread")]
async fn the_whole_core_is_replaced_and_then_everything_is_killed() {
    let mut fleet = start(small_topology(3)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.wait_for_requests(30).await;
    let mut revisions = Vec::new();
    for machine in 0..3 {
        let (zone, region) = fleet.topology.zones[machine];
        let old = [
            fleet.index_of(&format!("store-{machine}")),
            fleet.index_of(&format!("registry-{machine}")),
        ];
        for index in old {
            fleet.kill(index);
        }
        let store = fleet.add_store(machine, zone, region, "-new", 61 + machine as u8);
        let seeds: Vec<_> = fleet.running_seeds().into_iter().collect();
        let name = format!("registry-{machine}-new");
        let registry =
            fleet.add_daemon("registry", &name, zone, region, 51 + machine as u8, &seeds);
        fleet.start_daemon(store);
        fleet.start_daemon(registry);
        let body = String::from_utf8(tagged(&fleet.topology.config, machine)).unwrap();
        let revision = fleet.put_config(&body).await;
        revisions.push((revision, body));
        let fleet_ref = &fleet;
        wait_until("the new disk votes and its registry is ready", SOON, async || {
            fleet_ref.page(store, "status").await["votes"].as_bool() == Some(true)
                && fleet_ref.page(registry, "ready").await["ready"].as_bool() == Some(true)
        })
        .await;
    }
    fleet.wait_until_active(revisions[2].0, SOON).await;
    traffic.wait_for_requests(60).await;
    let records = traffic.finish().await;
    let records = checked(&fleet, records);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));

    let all: Vec<usize> =
        (0..fleet.daemons.len()).filter(|index| fleet.daemons[*index].pid().is_some()).collect();
    for index in &all {
        fleet.kill(*index);
    }
    for index in &all {
        fleet.start_daemon(*index);
    }
    // The addresses come from the data of the stores: no seed of the proxies exists any more.
    fleet.wait_until_active(revisions[2].0, SOON).await;
    let registry = fleet.daemons[fleet.index_of("registry-1-new")].address;
    for (revision, body) in &revisions {
        let path = format!("/v1/setup/{revision}");
        let read = call(registry, "GET", &path, &[], b"").await.unwrap();
        assert_eq!(read.body, body.as_bytes(), "revision {revision}");
    }
}

/// Five stores; two of their disks are lost at one time, one wiped and one with its machine. Both member slots are
/// filled, changes go on meanwhile, and the old machine's disk, when it is back, becomes an empty spare, which
/// takes the next member slot that is lost.
#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_stores_are_lost_at_one_time() {
    let mut topology = small_topology(2);
    topology.stores = 5;
    let mut fleet = start(topology).await;
    let stores = fleet.with_role("store");
    let (wiped, gone) = (stores[1], stores[3]);
    fleet.kill(wiped);
    fleet.kill(gone);
    fleet.wipe_data(wiped);
    let (zone, region) = fleet.topology.zones[3];
    let new = fleet.add_store(3, zone, region, "-new", 63);
    fleet.start_daemon(wiped);
    fleet.start_daemon(new);
    let body = String::from_utf8(tagged(&fleet.topology.config, 1)).unwrap();
    let revision = fleet.put_config(&body).await;
    let fleet_ref = &fleet;
    let votes =
        async |index: usize| fleet_ref.page(index, "status").await["votes"].as_bool() == Some(true);
    wait_until("both new disks vote", SOON, async || votes(wiped).await && votes(new).await).await;
    fleet.wait_until_active(revision, SOON).await;
    let status = fleet.page(new, "status").await;
    assert_eq!(status["seat"].as_u64(), Some(3));
    assert_eq!(status["seats"].as_array().unwrap().len(), 5);
    let incarnation =
        |status: &jzon::JsonValue| status["incarnation"].as_str().unwrap().to_string();
    let versions = |fleet: &Fleet, index: usize| {
        let files = std::fs::read_dir(fleet.data_folder(index)).unwrap();
        let names = files.map(|entry| entry.unwrap().file_name().to_string_lossy().to_string());
        names.filter(|name| name.starts_with("version-")).count()
    };
    assert!(versions(&fleet, gone) > 0, "it holds what it held");
    fleet.start_daemon(gone);
    let fleet_ref = &fleet;
    wait_until("the old disk is an empty one", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["why"].as_str() == Some("its disk is empty and waits for a seat")
            && versions(fleet_ref, gone) == 0
    })
    .await;
    let spare = incarnation(&fleet.page(gone, "status").await);
    fleet.kill(stores[0]);
    fleet.kill(stores[4]);
    let fleet_ref = &fleet;
    wait_until("the spare has one of the seats", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["votes"].as_bool() == Some(true) && incarnation(&status) == spare
    })
    .await;
    let body = String::from_utf8(tagged(&fleet.topology.config, 2)).unwrap();
    let next = fleet.put_config(&body).await;
    fleet.wait_until_active(next, SOON).await;
}

/// Every daemon is killed under traffic and started again: every function is available within fifteen seconds,
/// with the configuration that was accepted last.
#[tokio::test(flavor = "multi_thread")]
async fn everything_is_killed_and_serves_again() {
    let mut fleet = start(small_topology(4)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.wait_for_requests(40).await;
    let body = tagged(&fleet.topology.config, 9);
    let revision = fleet.put_config(&String::from_utf8(body.clone()).unwrap()).await;
    for index in 0..fleet.daemons.len() {
        fleet.kill(index);
    }
    for index in 0..fleet.daemons.len() {
        fleet.start_daemon(index);
    }
    let back = std::time::Instant::now();
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let registry = fleet.registry_addresses()[0];
    for (what, address, method, path, status) in [
        ("a lookup", proxy, "GET", "/stock/1", 200),
        ("a filing", proxy, "POST", "/orders", 200),
        ("a poll", registry, "GET", "/v1/steer?caller=c&zone=north-1", 200),
        ("a read", registry, "GET", "/v1/setup", 200),
        ("a write", registry, "PUT", "/v1/zones/north-1/emptied", 200),
    ] {
        let headers = [("x-request", "after")];
        wait_until(what, SOON.saturating_sub(back.elapsed()), async || {
            let reply = call(address, method, path, &headers, b"").await;
            reply.is_some_and(|reply| reply.status == status)
        })
        .await;
    }
    let read = call(registry, "GET", "/v1/setup", &[], b"").await.unwrap();
    assert_eq!(read.body, body, "revision {revision}");
    traffic.wait_for_requests(40).await;
    let records = traffic.finish().await;
    checked(&fleet, records);
}

/// A proxy is suspended while a server is marked as draining and a zone is drained. After its resumption it sends
/// neither of them anything, from the first request on.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_proxy_honours_drains_that_it_missed() {
    let fleet = start(small_topology(2)).await;
    let proxy = fleet.with_role("proxy")[0];
    let address = fleet.daemons[proxy].address;
    let lookup = async |index: usize| {
        let headers = [("x-request", &*format!("n{index}"))];
        let reply = call(address, "GET", "/stock/1", &headers, b"").await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    wait_until("it serves", SOON, async || lookup(0).await).await;
    fleet.suspend(proxy);
    let frozen = std::time::Instant::now();
    // One server of its own zone is left, and it is draining; the rest of its region is drained.
    let own = fleet.servers_in(|zone, _| zone == "north-1");
    let address0 = fleet.servers[own[0]].address;
    fleet.platform.update_list(|list| {
        list.iter_mut().filter(|one| one.address == address0).for_each(|one| one.draining = true);
        list.retain(|one| one.zone != "north-1" || one.address == address0);
    });
    let path = "/v1/zones/north-2/emptied";
    let drained = call(fleet.registry_addresses()[1], "PUT", path, &[], b"").await.unwrap();
    assert_eq!(drained.status, 200);
    wait_until(
        "the list and the zone are in force elsewhere, and a freeze long enough",
        SOON,
        async || {
            let status = fleet.page(fleet.with_role("proxy")[1], "status").await;
            frozen.elapsed() > Duration::from_secs(2)
                && status["emptied"][0].as_str() == Some("north-2")
                && status["platformRevision"].as_u64() == Some(2)
        },
    )
    .await;
    let there = fleet.servers_in(|zone, region| zone == "north-1" || region == "north");
    let arrivals = || -> usize {
        there.iter().map(|one| fleet.servers[*one].state.arrivals.lock().unwrap().len()).sum()
    };
    let before = arrivals();
    fleet.resume(proxy);
    for index in 1..30 {
        assert!(lookup(index).await, "lookup {index}");
    }
    assert_eq!(arrivals(), before);
    let status = fleet.page(proxy, "status").await;
    assert_eq!(status["emptied"][0].as_str(), Some("north-2"));
    assert_eq!(status["platformRevision"].as_u64(), Some(2));
}

/// A download in flight continues while its server drains, its zone is drained, its rule is removed by a new
/// configuration and its proxy is terminated; so does a filing that takes long.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_survive_all_planned_work() {
    let mut fleet = start(small_topology(2)).await;
    let proxy = fleet.with_role("proxy")[0];
    let address = fleet.daemons[proxy].address;
    let size = 200_000;
    let download = tokio::spawn(async move {
        let path = format!("/documents/1?size={size}&trickleMs=250");
        call(address, "GET", &path, &[("x-request", "long")], b"").await
    });
    let filing = tokio::spawn(async move {
        call(address, "POST", "/orders?waitMs=4000", &[("x-request", "slow")], b"x").await
    });
    let in_flight = |fleet: &Fleet| -> u64 {
        let of = fleet.servers.iter().map(|one| &one.state.in_flight);
        of.map(|count| count.load(Ordering::Relaxed)).sum()
    };
    wait_until("both are in hand", SOON, async || in_flight(&fleet) == 2).await;
    fleet.platform.update_list(|list| list.iter_mut().for_each(|one| one.draining = true));
    for zone in ["north-1", "north-2", "middle-1"] {
        let path = format!("/v1/zones/{zone}/emptied");
        let drained = call(fleet.registry_addresses()[0], "PUT", &path, &[], b"").await.unwrap();
        assert_eq!(drained.status, 200);
    }
    let dropped =
        fleet.topology.config.replace("/documents", "/papers").replace("/orders", "/filed");
    let revision = fleet.put_config(&dropped).await;
    fleet.wait_until_active(revision, SOON).await;
    assert_eq!(in_flight(&fleet), 2, "both are still there");
    assert!(fleet.terminate(proxy).await, "it did not end well");
    let download = download.await.unwrap().expect("a whole receipt");
    assert_eq!(download.status, 200);
    assert_eq!(download.body, pattern("long", size));
    let filing = filing.await.unwrap().expect("a whole receipt");
    assert_eq!((filing.status, filing.json()["request"].as_str()), (200, Some("slow")));
    assert_eq!(fleet.execution_counts()["slow"], 1);
}

/// Incident 0019: a request that still waits for its turn when the grace period of a shutdown ends is answered
/// before, with the promise that it did not run; it is not cut off with the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_is_answered_before_the_grace_period_ends() {
    let mut topology = small_topology(1);
    topology.config = topology
        .config
        .replace(r#""room": 64"#, r#""room": 1"#)
        .replace(r#""borrows": [{"from": "lookup", "most": 128}]"#, r#""borrows": []"#);
    let mut fleet = start(topology).await;
    let (zone, region) = (fleet.daemons[0].zone, fleet.daemons[0].region);
    let mut settings = vec![("graceMs", jzon::JsonValue::from(2000))];
    settings.extend(fleet.running_seeds());
    let proxy = fleet.add_daemon("proxy", "proxy-short", zone, region, 61, &settings);
    fleet.start_daemon(proxy);
    wait_until("it is ready", SOON, async || {
        fleet.get(proxy, "/vanepath/v1/ready").await.is_some_and(|reply| reply.status == 200)
    })
    .await;
    let address = fleet.daemons[proxy].address;
    let send = |id: &'static str| {
        tokio::spawn(async move {
            call(address, "GET", "/documents/1?waitMs=8000", &[("x-request", id)], b"").await
        })
    };
    let first = send("first");
    wait_until("a server has the first", SOON, async || {
        fleet.execution_counts().contains_key("first")
    })
    .await;
    let queued = send("queued");
    wait_until("the second is queued", SOON, async || {
        let status = fleet.page(proxy, "status").await;
        status["classes"].members().any(|class| class["waiting"].as_u64() == Some(1))
    })
    .await;
    assert!(fleet.terminate(proxy).await, "it did not end well");
    let answer = queued.await.unwrap().expect("an answer");
    assert_eq!((answer.status, answer.json()["verdict"].as_str()), (503, Some("not-run")));
    first.abort();
}

/// Every daemon is restarted in its turn, under a burst of configurations and traffic. No revision of any of them is
/// older than one that it had before, no lookup is lost, nothing is executed twice, and the operator's command finds
/// no daemon behind.
#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_regresses_in_a_rolling_restart_amid_a_burst_of_configurations() {
    let mut fleet = start(small_topology(4)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.wait_for_requests(20).await;
    let (registries, text) = (fleet.registry_addresses(), fleet.topology.config.clone());
    let accepted = std::sync::Arc::new(AtomicUsize::new(0));
    let storm = tokio::spawn({
        let accepted = accepted.clone();
        async move {
            let mut interval = tokio::time::interval(Duration::from_millis(40));
            for tag in 0_usize.. {
                interval.tick().await;
                let body = tagged(&text, tag);
                // A registry that is down or shutting down accepts nothing; the next one does.
                let reply = call(registries[tag % 3], "PUT", "/v1/setup", &[], &body).await;
                let is_accepted = reply.is_some_and(|reply| reply.status == 200);
                accepted.fetch_add(usize::from(is_accepted), Ordering::Relaxed);
            }
        }
    });
    let active_config = async |fleet: &Fleet, index| {
        let ready = fleet.page(index, "ready").await;
        (ready["ready"].as_bool() == Some(true), ready["revision"].as_u64().unwrap_or(0))
    };
    let mut waited = Vec::new();
    for round in 0..2 {
        for index in 0..fleet.daemons.len() {
            let (_, before) = active_config(&fleet, index).await;
            assert!(before > 0);
            // Terminated and killed in turn.
            if (round + index) % 2 == 0 && fleet.daemons[index].role == "proxy" {
                assert!(fleet.terminate(index).await);
            } else {
                fleet.kill(index);
            }
            fleet.start_daemon(index);
            let (fleet_ref, name) = (&fleet, fleet.daemons[index].name.clone());
            wait_until("it takes work again", SOON, async || {
                let (is_ready, now) = active_config(fleet_ref, index).await;
                assert!(now == 0 || now >= before, "{name} goes by {now}, and went by {before}");
                is_ready && now >= before
            })
            .await;
            let floor = fleet.page(index, "status").await["floor"].clone();
            assert_eq!(floor["met"].as_bool(), Some(true), "{name}: {floor}");
            assert_eq!(floor["by"].as_str(), Some("majority"), "{name}: {floor}");
            assert!(floor["floor"].as_u64() >= Some(before), "{name}: {floor}, went by {before}");
            assert!(floor["from"].as_str().is_some(), "{name}: {floor}");
            waited.push(floor["waitedMs"].as_u64().expect("it says how long it waited"));
        }
    }
    storm.abort();
    let accepted = accepted.load(Ordering::Relaxed);
    assert!(accepted > 20, "{accepted} setups were taken");
    println!("{accepted} setups; daemons waited for their floors for so many ms: {waited:?}");
    let asked: Vec<String> = fleet
        .registry_addresses()
        .iter()
        .flat_map(|one| ["--floors".to_string(), one.to_string()])
        .collect();
    let (fleet_ref, asked) = (&fleet, &asked);
    wait_until("the operator's command finds nobody behind", SOON, async || {
        let mut command = std::process::Command::new(fleet_ref.program("config-check"));
        let out = tokio::task::block_in_place(|| command.args(asked).output());
        out.is_ok_and(|out| out.status.success())
    })
    .await;
    traffic.wait_for_requests(20).await;
    let records = checked(&fleet, traffic.finish().await);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
}
