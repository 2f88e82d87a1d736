//! Places lost and brought back, machines replaced and everything killed, with real processes under
//! traffic.

use std::time::Duration;
use vanepath_testbed::harness::{Fleet, until};
use vanepath_testbed::http::call;
use vanepath_testbed::shape;
use vanepath_testbed::sim::scenario::tagged;
use vanepath_testbed::standin::pattern;
use vanepath_testbed::traffic::{Kind, Told, Traffic, judge_filings};

const SOON: Duration = Duration::from_secs(15);

fn small(proxies: usize) -> shape::Shape {
    let mut shape = shape::raiocerto();
    shape.proxies = proxies;
    shape.servers = vec![("ordering", 12), ("documents", 6)];
    shape
}

async fn start(shape: shape::Shape) -> Fleet {
    let fleet = Fleet::start(shape).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    fleet
}

fn judged(fleet: &Fleet, (told, wrong): (Vec<Told>, Vec<String>)) -> Vec<Told> {
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(judge_filings(&told, &fleet.runs()), Vec::<String>::new());
    told
}

/// Lookups and downloads that no server ran, or nobody knows.
fn lost(told: &[Told]) -> Vec<&Told> {
    let lookups = told.iter().filter(|one| one.kind != Kind::Filing);
    lookups.filter(|one| one.verdict != vanepath_config::ExecutionStatus::Ran).collect()
}

/// A zone goes with its proxies and servers, then a region with a core machine as well; each comes
/// back. No lookup is lost, operators go on, and what is back gets work again.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_and_a_region_are_lost_and_come_back_under_traffic() {
    let mut fleet = start(small(6)).await;
    let traffic = Traffic::start(&fleet, 1, 0.4).await;
    traffic.more(60).await;
    for place in ["north-2", "south"] {
        let is_hit = |zone: &str, region: &str| zone == place || region == place;
        let daemons = fleet.kill_places(is_hit);
        let servers = fleet.servers_in(is_hit);
        traffic.more(80).await;
        let body = String::from_utf8(tagged(&fleet.shape.setup, servers.len())).unwrap();
        let next = fleet.put_setup(&body).await;
        fleet.until_in_force(next, SOON).await;
        for index in daemons {
            fleet.run(index);
        }
        for index in &servers {
            fleet.restart_server(*index).await;
        }
        fleet.until_in_force(next, SOON).await;
        let arrivals = |fleet: &Fleet| -> usize {
            let of = servers.iter().map(|index| &fleet.servers[*index].state.arrivals);
            of.map(|all| all.lock().unwrap().len()).sum()
        };
        let before = arrivals(&fleet);
        let what = format!("the servers of {place} get work again");
        until(&what, SOON, async || arrivals(&fleet) > before + 5).await;
    }
    let told = traffic.finish().await;
    let told = judged(&fleet, told);
    assert!(lost(&told).is_empty(), "{:?}", lost(&told));
}

/// All three core machines in turn by others at new addresses, under traffic and changes; then each
/// process is killed and started, the proxies with seeds of which none is left.
#[tokio::test(flavor = "multi_thread")]
async fn the_whole_core_is_replaced_and_then_everything_is_killed() {
    let mut fleet = start(small(3)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.more(30).await;
    let mut revisions = Vec::new();
    for seat in 0..3 {
        let (zone, region) = fleet.shape.zones[seat];
        let old = [fleet.index(&format!("store-{seat}")), fleet.index(&format!("registry-{seat}"))];
        for index in old {
            fleet.kill(index);
        }
        let store = fleet.add_store(seat, zone, region, "-new", 61 + seat as u8);
        let seeds: Vec<_> = fleet.live_seeds().into_iter().collect();
        let name = format!("registry-{seat}-new");
        let registry = fleet.add("registry", &name, zone, region, 51 + seat as u8, &seeds);
        fleet.run(store);
        fleet.run(registry);
        let body = String::from_utf8(tagged(&fleet.shape.setup, seat)).unwrap();
        let revision = fleet.put_setup(&body).await;
        revisions.push((revision, body));
        let fleet_ref = &fleet;
        until("the new disk votes and its registry is ready", SOON, async || {
            fleet_ref.page(store, "status").await["votes"].as_bool() == Some(true)
                && fleet_ref.page(registry, "ready").await["ready"].as_bool() == Some(true)
        })
        .await;
    }
    fleet.until_in_force(revisions[2].0, SOON).await;
    traffic.more(60).await;
    let told = traffic.finish().await;
    let told = judged(&fleet, told);
    assert!(lost(&told).is_empty(), "{:?}", lost(&told));

    let all: Vec<usize> =
        (0..fleet.members.len()).filter(|index| fleet.members[*index].pid().is_some()).collect();
    for index in &all {
        fleet.kill(*index);
    }
    for index in &all {
        fleet.run(*index);
    }
    // Brought back by what the stores wrote down: no seed of the proxies is there any more.
    fleet.until_in_force(revisions[2].0, SOON).await;
    let registry = fleet.members[fleet.index("registry-1-new")].address;
    for (revision, body) in &revisions {
        let path = format!("/v1/setup/{revision}");
        let read = call(registry, "GET", &path, &[], b"").await.unwrap();
        assert_eq!(read.body, body.as_bytes(), "revision {revision}");
    }
}

/// Five stores; two of their disks are lost at one time, one wiped and one with its machine. Both seats
/// are given, changes go on meanwhile, and the old machine's disk, back again, is an empty spare by
/// itself, which takes the next seat that is lost.
#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_stores_are_lost_at_one_time() {
    let mut shape = small(2);
    shape.stores = 5;
    let mut fleet = start(shape).await;
    let stores = fleet.of("store");
    let (wiped, gone) = (stores[1], stores[3]);
    fleet.kill(wiped);
    fleet.kill(gone);
    fleet.wipe(wiped);
    let (zone, region) = fleet.shape.zones[3];
    let new = fleet.add_store(3, zone, region, "-new", 63);
    fleet.run(wiped);
    fleet.run(new);
    let body = String::from_utf8(tagged(&fleet.shape.setup, 1)).unwrap();
    let revision = fleet.put_setup(&body).await;
    let fleet_ref = &fleet;
    let votes =
        async |index: usize| fleet_ref.page(index, "status").await["votes"].as_bool() == Some(true);
    until("both new disks vote", SOON, async || votes(wiped).await && votes(new).await).await;
    fleet.until_in_force(revision, SOON).await;
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
    fleet.run(gone);
    let fleet_ref = &fleet;
    until("the old disk is an empty one", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["why"].as_str() == Some("its disk is empty and waits for a seat")
            && versions(fleet_ref, gone) == 0
    })
    .await;
    let spare = incarnation(&fleet.page(gone, "status").await);
    fleet.kill(stores[0]);
    fleet.kill(stores[4]);
    let fleet_ref = &fleet;
    until("the spare has one of the seats", SOON, async || {
        let status = fleet_ref.page(gone, "status").await;
        status["votes"].as_bool() == Some(true) && incarnation(&status) == spare
    })
    .await;
    let body = String::from_utf8(tagged(&fleet.shape.setup, 2)).unwrap();
    let next = fleet.put_setup(&body).await;
    fleet.until_in_force(next, SOON).await;
}

/// Every daemon is killed under traffic and started again: each kind of service is there within
/// fifteen seconds, with the word that was accepted last.
#[tokio::test(flavor = "multi_thread")]
async fn everything_is_killed_and_serves_again() {
    let mut fleet = start(small(4)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.more(40).await;
    let body = tagged(&fleet.shape.setup, 9);
    let revision = fleet.put_setup(&String::from_utf8(body.clone()).unwrap()).await;
    for index in 0..fleet.members.len() {
        fleet.kill(index);
    }
    for index in 0..fleet.members.len() {
        fleet.run(index);
    }
    let back = std::time::Instant::now();
    let proxy = fleet.members[fleet.of("proxy")[0]].address;
    let registry = fleet.registries()[0];
    for (what, address, method, path, status) in [
        ("a lookup", proxy, "GET", "/stock/1", 200),
        ("a filing", proxy, "POST", "/orders", 200),
        ("a poll", registry, "GET", "/v1/steer?caller=c&zone=north-1", 200),
        ("a read", registry, "GET", "/v1/setup", 200),
        ("a write", registry, "PUT", "/v1/zones/north-1/emptied", 200),
    ] {
        let headers = [("x-request", "after")];
        until(what, SOON.saturating_sub(back.elapsed()), async || {
            let reply = call(address, method, path, &headers, b"").await;
            reply.is_some_and(|reply| reply.status == status)
        })
        .await;
    }
    let read = call(registry, "GET", "/v1/setup", &[], b"").await.unwrap();
    assert_eq!(read.body, body, "revision {revision}");
    traffic.more(40).await;
    let told = traffic.finish().await;
    judged(&fleet, told);
}

/// A proxy sleeps while a server is marked as leaving and a zone is emptied. Awake, it sends neither
/// of them anything, from the first request on.
#[tokio::test(flavor = "multi_thread")]
async fn who_slept_through_a_mark_and_an_emptied_zone_goes_by_them() {
    let fleet = start(small(2)).await;
    let proxy = fleet.of("proxy")[0];
    let address = fleet.members[proxy].address;
    let lookup = async |number: usize| {
        let headers = [("x-request", &*format!("n{number}"))];
        let reply = call(address, "GET", "/stock/1", &headers, b"").await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    until("it serves", SOON, async || lookup(0).await).await;
    fleet.freeze(proxy);
    let frozen = std::time::Instant::now();
    // Of its own zone one server is left, and it is marked; the rest of its region is emptied.
    let own = fleet.servers_in(|zone, _| zone == "north-1");
    let address0 = fleet.servers[own[0]].address;
    fleet.platform.change(|list| {
        list.iter_mut().filter(|one| one.address == address0).for_each(|one| one.leaving = true);
        list.retain(|one| one.zone != "north-1" || one.address == address0);
    });
    let path = "/v1/zones/north-2/emptied";
    let emptied = call(fleet.registries()[1], "PUT", path, &[], b"").await.unwrap();
    assert_eq!(emptied.status, 200);
    until(
        "the list and the zone are in force elsewhere, and a freeze long enough",
        SOON,
        async || {
            let status = fleet.page(fleet.of("proxy")[1], "status").await;
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
    fleet.wake(proxy);
    for number in 1..30 {
        assert!(lookup(number).await, "lookup {number}");
    }
    assert_eq!(arrivals(), before);
    let status = fleet.page(proxy, "status").await;
    assert_eq!(status["emptied"][0].as_str(), Some("north-2"));
    assert_eq!(status["platformRevision"].as_u64(), Some(2));
}

/// A download in a server's hands goes on while its server is marked, its zone emptied, its rule
/// dropped by a new setup and its proxy asked to stop; so does a filing that takes long.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_in_hand_outlives_all_planned_work() {
    let mut fleet = start(small(2)).await;
    let proxy = fleet.of("proxy")[0];
    let address = fleet.members[proxy].address;
    let size = 200_000;
    let download = tokio::spawn(async move {
        let path = format!("/documents/1?size={size}&trickleMs=250");
        call(address, "GET", &path, &[("x-request", "long")], b"").await
    });
    let filing = tokio::spawn(async move {
        call(address, "POST", "/orders?waitMs=4000", &[("x-request", "slow")], b"x").await
    });
    let in_hand = |fleet: &Fleet| -> u64 {
        let of = fleet.servers.iter().map(|one| &one.state.in_hand);
        of.map(|count| count.load(std::sync::atomic::Ordering::Relaxed)).sum()
    };
    until("both are in hand", SOON, async || in_hand(&fleet) == 2).await;
    fleet.platform.change(|list| list.iter_mut().for_each(|one| one.leaving = true));
    for zone in ["north-1", "north-2", "middle-1"] {
        let path = format!("/v1/zones/{zone}/emptied");
        let emptied = call(fleet.registries()[0], "PUT", &path, &[], b"").await.unwrap();
        assert_eq!(emptied.status, 200);
    }
    let dropped = fleet.shape.setup.replace("/documents", "/papers").replace("/orders", "/filed");
    let revision = fleet.put_setup(&dropped).await;
    fleet.until_in_force(revision, SOON).await;
    assert_eq!(in_hand(&fleet), 2, "both are still there");
    assert!(fleet.terminate(proxy).await, "it did not end well");
    let download = download.await.unwrap().expect("a whole receipt");
    assert_eq!(download.status, 200);
    assert_eq!(download.body, pattern("long", size));
    let filing = filing.await.unwrap().expect("a whole receipt");
    assert_eq!((filing.status, filing.json()["request"].as_str()), (200, Some("slow")));
    assert_eq!(fleet.runs()["slow"], 1);
}

/// Every daemon is started anew in its turn, while setups come one after the other and clients ask. None
/// goes by less than it went by before, no lookup is lost, nothing runs twice, and the operator's command
/// finds nobody behind.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_steps_back_in_a_rolling_restart_amid_a_storm_of_setups() {
    let mut fleet = start(small(4)).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.more(20).await;
    let (registries, text) = (fleet.registries(), fleet.shape.setup.clone());
    let taken = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let storm = tokio::spawn({
        let taken = taken.clone();
        async move {
            let mut pace = tokio::time::interval(Duration::from_millis(40));
            for tag in 0_usize.. {
                pace.tick().await;
                let body = tagged(&text, tag);
                // One that is down or about to go takes nothing; the next one does.
                let reply = call(registries[tag % 3], "PUT", "/v1/setup", &[], &body).await;
                let is_taken = reply.is_some_and(|reply| reply.status == 200);
                taken.fetch_add(usize::from(is_taken), std::sync::atomic::Ordering::Relaxed);
            }
        }
    });
    let in_force = async |fleet: &Fleet, index| {
        let ready = fleet.page(index, "ready").await;
        (ready["ready"].as_bool() == Some(true), ready["revision"].as_u64().unwrap_or(0))
    };
    let mut waited = Vec::new();
    for round in 0..2 {
        for index in 0..fleet.members.len() {
            let (_, before) = in_force(&fleet, index).await;
            assert!(before > 0);
            // By turns as an operator would, and without a word.
            if (round + index) % 2 == 0 && fleet.members[index].role == "proxy" {
                assert!(fleet.terminate(index).await);
            } else {
                fleet.kill(index);
            }
            fleet.run(index);
            let (fleet_ref, name) = (&fleet, fleet.members[index].name.clone());
            until("it takes work again", SOON, async || {
                let (is_ready, now) = in_force(fleet_ref, index).await;
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
    let taken = taken.load(std::sync::atomic::Ordering::Relaxed);
    assert!(taken > 20, "{taken} setups were taken");
    println!("{taken} setups; daemons waited for their floors for so many ms: {waited:?}");
    let asked: Vec<String> = fleet
        .registries()
        .iter()
        .flat_map(|one| ["--floors".to_string(), one.to_string()])
        .collect();
    let (fleet_ref, asked) = (&fleet, &asked);
    until("the operator's command finds nobody behind", SOON, async || {
        let mut command = std::process::Command::new(fleet_ref.program("config-check"));
        let out = tokio::task::block_in_place(|| command.args(asked).output());
        out.is_ok_and(|out| out.status.success())
    })
    .await;
    traffic.more(20).await;
    let told = judged(&fleet, traffic.finish().await);
    assert!(lost(&told).is_empty(), "{:?}", lost(&told));
}
