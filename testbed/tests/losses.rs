//! Losses under traffic, with real processes: zones fail and recover, machines are replaced, and all daemons
//! are killed.

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

/// Asserts that responses match their requests and that filings ran at most once, and returns the records.
fn assert_consistent(
    fleet: &Fleet,
    (records, mismatches): (Vec<RequestRecord>, Vec<String>),
) -> Vec<RequestRecord> {
    assert_eq!(mismatches, Vec::<String>::new());
    assert_eq!(check_filings(&records, &fleet.execution_counts()), Vec::<String>::new());
    records
}

/// The lookups and downloads that were not executed, or may not have been.
fn lost(records: &[RequestRecord]) -> Vec<&RequestRecord> {
    let lookups = records.iter().filter(|one| one.kind != RequestKind::Filing);
    lookups.filter(|one| one.execution != ExecutionStatus::Ran).collect()
}

/// A zone fails with its proxies and servers, then a region that also has a core machine; each recovers. No
/// lookup is lost, operators can make changes meanwhile, and the recovered servers get requests again.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_and_a_region_fail_and_recover_under_traffic() {
    let mut fleet = start(small_topology(6)).await;
    let traffic = Traffic::start(&fleet, 1, 0.4).await;
    traffic.wait_for_requests(60).await;
    for failed in ["north-2", "south"] {
        let is_affected = |zone: &str, region: &str| zone == failed || region == failed;
        let daemons = fleet.kill_zones(is_affected);
        let servers = fleet.servers_in(is_affected);
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
            let logs = servers.iter().map(|index| &fleet.servers[*index].state.arrivals);
            logs.map(|all| all.lock().unwrap().len()).sum()
        };
        let before = arrivals(&fleet);
        let condition = format!("the servers of {failed} get requests again");
        wait_until(&condition, SOON, async || arrivals(&fleet) > before + 5).await;
    }
    let records = traffic.finish().await;
    let records = assert_consistent(&fleet, records);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
}

/// All three core machines are replaced in turn by others at new addresses, under traffic and changes. Then
/// every process is killed and restarted; none of the seeds of the proxies exists any more.
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
        wait_until("the new store votes and its registry is ready", SOON, async || {
            fleet_ref.page(store, "status").await["votes"].as_bool() == Some(true)
                && fleet_ref.page(registry, "ready").await["ready"].as_bool() == Some(true)
        })
        .await;
    }
    fleet.wait_until_active(revisions[2].0, SOON).await;
    traffic.wait_for_requests(60).await;
    let records = traffic.finish().await;
    let records = assert_consistent(&fleet, records);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));

    let all: Vec<usize> =
        (0..fleet.daemons.len()).filter(|index| fleet.daemons[*index].pid().is_some()).collect();
    for index in &all {
        fleet.kill(*index);
    }
    for index in &all {
        fleet.start_daemon(*index);
    }
    // The proxies learn the addresses from the stores' data, since none of their seeds exists any more.
    fleet.wait_until_active(revisions[2].0, SOON).await;
    let registry = fleet.daemons[fleet.index_of("registry-1-new")].address;
    for (revision, body) in &revisions {
        let path = format!("/v1/setup/{revision}");
        let read = call(registry, "GET", &path, &[], b"").await.unwrap();
        assert_eq!(read.body, body.as_bytes(), "revision {revision}");
    }
}

/// Two of five stores lose their disks at one time, one of them together with its machine. Both member slots
/// are filled again, and changes continue meanwhile. When the old machine returns, its store is emptied and
/// becomes a spare, which takes the next lost member slot.
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
    wait_until("both new stores vote", SOON, async || votes(wiped).await && votes(new).await).await;
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
    assert!(versions(&fleet, gone) > 0, "the killed store has kept its versions");
    fleet.start_daemon(gone);
    let fleet_ref = &fleet;
    wait_until("the returned store is an empty spare", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["why"].as_str() == Some("its disk is empty and waits for a seat")
            && versions(fleet_ref, gone) == 0
    })
    .await;
    let spare = incarnation(&fleet.page(gone, "status").await);
    fleet.kill(stores[0]);
    fleet.kill(stores[4]);
    let fleet_ref = &fleet;
    wait_until("the spare has a member slot and votes", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["votes"].as_bool() == Some(true) && incarnation(&status) == spare
    })
    .await;
    let body = String::from_utf8(tagged(&fleet.topology.config, 2)).unwrap();
    let next = fleet.put_config(&body).await;
    fleet.wait_until_active(next, SOON).await;
}

/// Every daemon is killed under traffic and restarted. Every function is available within fifteen seconds,
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
    let restarted = std::time::Instant::now();
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let registry = fleet.registry_addresses()[0];
    for (description, address, method, path, status) in [
        ("a lookup", proxy, "GET", "/stock/1", 200),
        ("a filing", proxy, "POST", "/orders", 200),
        ("a poll", registry, "GET", "/v1/steer?caller=c&zone=north-1", 200),
        ("a read", registry, "GET", "/v1/setup", 200),
        ("a write", registry, "PUT", "/v1/zones/north-1/emptied", 200),
    ] {
        let headers = [("x-request", "after")];
        wait_until(description, SOON.saturating_sub(restarted.elapsed()), async || {
            let reply = call(address, method, path, &headers, b"").await;
            reply.is_some_and(|reply| reply.status == status)
        })
        .await;
    }
    let read = call(registry, "GET", "/v1/setup", &[], b"").await.unwrap();
    assert_eq!(read.body, body, "revision {revision}");
    traffic.wait_for_requests(40).await;
    let records = traffic.finish().await;
    assert_consistent(&fleet, records);
}

/// A proxy is suspended while a server is marked as draining and a zone is drained. After its resumption it
/// sends no request to either of them, not even the first one.
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
    wait_until("the proxy serves lookups", SOON, async || lookup(0).await).await;
    fleet.suspend(proxy);
    let suspended = std::time::Instant::now();
    // Only one server is left in the proxy's own zone, and it is draining; the other zone of its region is
    // drained.
    let in_own_zone = fleet.servers_in(|zone, _| zone == "north-1");
    let draining_address = fleet.servers[in_own_zone[0]].address;
    fleet.platform.update_list(|list| {
        list.iter_mut()
            .filter(|entry| entry.address == draining_address)
            .for_each(|entry| entry.draining = true);
        list.retain(|entry| entry.zone != "north-1" || entry.address == draining_address);
    });
    let path = "/v1/zones/north-2/emptied";
    let drained = call(fleet.registry_addresses()[1], "PUT", path, &[], b"").await.unwrap();
    assert_eq!(drained.status, 200);
    wait_until(
        "the list and the drain are active on the other proxy, and the suspension took over 2 s",
        SOON,
        async || {
            let status = fleet.page(fleet.with_role("proxy")[1], "status").await;
            suspended.elapsed() > Duration::from_secs(2)
                && status["emptied"][0].as_str() == Some("north-2")
                && status["platformRevision"].as_u64() == Some(2)
        },
    )
    .await;
    let in_region = fleet.servers_in(|zone, region| zone == "north-1" || region == "north");
    let arrivals = || -> usize {
        in_region
            .iter()
            .map(|index| fleet.servers[*index].state.arrivals.lock().unwrap().len())
            .sum()
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

/// A download and a slow filing in flight are completed although their servers and zones are drained, a new
/// configuration removes their rules and their proxy is terminated.
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
        let counts = fleet.servers.iter().map(|server| &server.state.in_flight);
        counts.map(|count| count.load(Ordering::Relaxed)).sum()
    };
    wait_until("both requests are in flight", SOON, async || in_flight(&fleet) == 2).await;
    fleet.platform.update_list(|list| list.iter_mut().for_each(|entry| entry.draining = true));
    for zone in ["north-1", "north-2", "middle-1"] {
        let path = format!("/v1/zones/{zone}/emptied");
        let drained = call(fleet.registry_addresses()[0], "PUT", &path, &[], b"").await.unwrap();
        assert_eq!(drained.status, 200);
    }
    let without_rules =
        fleet.topology.config.replace("/documents", "/papers").replace("/orders", "/filed");
    let revision = fleet.put_config(&without_rules).await;
    fleet.wait_until_active(revision, SOON).await;
    assert_eq!(in_flight(&fleet), 2, "both requests are still in flight");
    assert!(fleet.terminate(proxy).await, "it did not end well");
    let download = download.await.unwrap().expect("the download is complete");
    assert_eq!(download.status, 200);
    assert_eq!(download.body, pattern("long", size));
    let filing = filing.await.unwrap().expect("the filing is answered");
    assert_eq!((filing.status, filing.json()["request"].as_str()), (200, Some("slow")));
    assert_eq!(fleet.execution_counts()["slow"], 1);
}

/// Incident 0019: a request that is still queued near the end of a shutdown's grace period is rejected as not
/// run before the process exits. It does not lose its connection without a response.
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
    wait_until("the proxy is ready", SOON, async || {
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
    wait_until("a server has the first request", SOON, async || {
        fleet.execution_counts().contains_key("first")
    })
    .await;
    let queued = send("queued");
    wait_until("the second request is queued", SOON, async || {
        let status = fleet.page(proxy, "status").await;
        status["classes"].members().any(|class| class["waiting"].as_u64() == Some(1))
    })
    .await;
    assert!(fleet.terminate(proxy).await, "it did not end well");
    let answer = queued.await.unwrap().expect("the queued request is answered");
    assert_eq!((answer.status, answer.json()["verdict"].as_str()), (503, Some("not-run")));
    first.abort();
}

/// Every daemon is restarted in turn, under traffic and a burst of configurations. No daemon uses an older
/// revision than before, no lookup is lost, no filing runs twice, and the operator's check `--floors` reports
/// no daemon as lagging.
#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_regresses_in_a_rolling_restart_amid_a_burst_of_configurations() {
    let mut fleet = start(small_topology(4)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.wait_for_requests(20).await;
    let (registries, text) = (fleet.registry_addresses(), fleet.topology.config.clone());
    let accepted = std::sync::Arc::new(AtomicUsize::new(0));
    let burst = tokio::spawn({
        let accepted = accepted.clone();
        async move {
            let mut interval = tokio::time::interval(Duration::from_millis(40));
            for tag in 0_usize.. {
                interval.tick().await;
                let body = tagged(&text, tag);
                // A registry that is down or shutting down accepts no change; the next registry does.
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
            // Alternates between terminating and killing the proxies; all other daemons are killed.
            if (round + index) % 2 == 0 && fleet.daemons[index].role == "proxy" {
                assert!(fleet.terminate(index).await);
            } else {
                fleet.kill(index);
            }
            fleet.start_daemon(index);
            let (fleet_ref, name) = (&fleet, fleet.daemons[index].name.clone());
            wait_until("the restarted daemon is ready", SOON, async || {
                let (is_ready, now) = active_config(fleet_ref, index).await;
                assert!(
                    now == 0 || now >= before,
                    "{name} uses revision {now} after revision {before}"
                );
                is_ready && now >= before
            })
            .await;
            let floor = fleet.page(index, "status").await["floor"].clone();
            assert_eq!(floor["met"].as_bool(), Some(true), "{name}: {floor}");
            assert_eq!(floor["by"].as_str(), Some("majority"), "{name}: {floor}");
            assert!(
                floor["floor"].as_u64() >= Some(before),
                "{name}: {floor} after revision {before}"
            );
            assert!(floor["from"].as_str().is_some(), "{name}: {floor}");
            waited.push(floor["waitedMs"].as_u64().expect("the page has the wait time"));
        }
    }
    burst.abort();
    let accepted = accepted.load(Ordering::Relaxed);
    assert!(accepted > 20, "only {accepted} configurations were accepted");
    println!(
        "{accepted} configurations; milliseconds that daemons waited for the read index: {waited:?}"
    );
    let arguments: Vec<String> = fleet
        .registry_addresses()
        .iter()
        .flat_map(|address| ["--floors".to_string(), address.to_string()])
        .collect();
    let (fleet_ref, arguments) = (&fleet, &arguments);
    wait_until("the operator's check finds no lagging daemon", SOON, async || {
        let mut command = std::process::Command::new(fleet_ref.program("config-check"));
        let output = tokio::task::block_in_place(|| command.args(arguments).output());
        output.is_ok_and(|output| output.status.success())
    })
    .await;
    traffic.wait_for_requests(20).await;
    let records = assert_consistent(&fleet, traffic.finish().await);
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
}
