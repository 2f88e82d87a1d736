//! The operator's configuration, with real processes: acknowledgements, concurrent changes, lost and damaged
//! disks, kills and suspensions.

use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_testbed::harness::{Fleet, wait_until};
use vanepath_testbed::http::{Response, call};
use vanepath_testbed::sim::scenario::tagged;
use vanepath_testbed::stub::StubServer;
use vanepath_testbed::topology;

fn tiny_topology() -> topology::Topology {
    let mut tiny_topology = topology::raiocerto();
    tiny_topology.proxies = 1;
    tiny_topology.servers = vec![("ordering", 1), ("documents", 1)];
    tiny_topology
}

async fn put(fleet: &Fleet, registry: usize, headers: &[(&str, &str)], body: &[u8]) -> Response {
    let address = fleet.registry_addresses()[registry];
    call(address, "PUT", "/v1/setup", headers, body).await.expect("the registry responds")
}

fn tagged_config(fleet: &Fleet, tag: usize) -> Vec<u8> {
    tagged(&fleet.topology.config, tag)
}

/// The active configuration, from the first registry that returns one.
async fn active_config(fleet: &Fleet) -> Option<Vec<u8>> {
    for address in fleet.registry_addresses() {
        if let Some(reply) = call(address, "GET", "/v1/setup", &[], b"").await
            && reply.status == 200
        {
            return Some(reply.body.to_vec());
        }
    }
    None
}

const SOON: Duration = Duration::from_secs(15);

/// Each server's observations by all proxies go to two registries, and every registry reports the same on its
/// status page.
#[tokio::test(flavor = "multi_thread")]
async fn any_registry_reports_the_observations_of_all_proxies() {
    let fleet = Fleet::start(topology::Topology { proxies: 6, ..tiny_topology() }).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    let reasons = async |registry: usize| -> Vec<String> {
        let address = fleet.registry_addresses()[registry];
        let status = call(address, "GET", "/v1/status", &[], b"")
            .await
            .expect("the registry responds")
            .json();
        status["servers"].members().map(|server| server["why"].to_string()).collect()
    };
    let is_from_several_proxies =
        |why: &String| why.starts_with("live for ") && !why.starts_with("live for 1 ");
    for registry in [0, 2, 1] {
        let is_reported = async || {
            let shown = reasons(registry).await;
            shown.len() == 2
                && shown.iter().all(is_from_several_proxies)
                && shown == reasons(0).await
        };
        wait_until(&format!("registry {registry} reports both servers"), SOON, is_reported).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_state_what_was_done() {
    let fleet = Fleet::start(tiny_topology()).await;
    let first = fleet.put_config(&fleet.topology.config).await;
    // A conditional change is accepted only if the active revision is the one that the operator saw.
    let etag = format!("\"{first}\"");
    let second = put(&fleet, 1, &[("if-match", &etag)], &tagged_config(&fleet, 2)).await;
    assert_eq!(second.status, 200, "{:?}", second.body);
    let third = put(&fleet, 2, &[("if-match", &etag)], &tagged_config(&fleet, 3)).await;
    assert_eq!(third.status, 412);
    assert_eq!(third.json()["outcome"].as_str(), Some("nothing-done"));
    // A repeat makes no second change; a different submission with the same key is rejected.
    let key = [("idempotency-key", "spring-prices")];
    let once = put(&fleet, 0, &key, &tagged_config(&fleet, 4)).await.json();
    let again = put(&fleet, 1, &key, &tagged_config(&fleet, 4)).await.json();
    assert_eq!(once["revision"], again["revision"]);
    assert_eq!(again["repeat"].as_bool(), Some(true));
    assert_eq!(put(&fleet, 2, &key, &tagged_config(&fleet, 5)).await.status, 409);
    let submission =
        call(fleet.registry_addresses()[2], "GET", "/v1/submissions/spring-prices", &[], b"").await;
    assert_eq!(submission.unwrap().json()["revision"], once["revision"]);
    // All errors of an invalid configuration are listed, and it is not stored.
    let before = active_config(&fleet).await;
    let bad = fleet.topology.config.replace("\"kind\": \"once\"", "\"kind\": \"twice\", \"x\": 1");
    let rejected = put(&fleet, 0, &[], bad.as_bytes()).await;
    assert_eq!(rejected.status, 422);
    assert_eq!(rejected.json()["faults"].as_array().unwrap().len(), 2);
    let large = vec![b' '; vanepath_config::model::MAX_BYTES + 1];
    assert_eq!(put(&fleet, 0, &[], &large).await.status, 413);
    for (method, path, status) in [
        ("GET", "/v1/setup/99", 404),
        ("GET", "/v1/setup/x", 400),
        ("PUT", "/v1/zones/nowhere/emptied", 404),
        ("GET", "/v1/submissions/never", 404),
        ("POST", "/v1/setup", 405),
        ("GET", "/v1/nothing", 404),
    ] {
        let reply = call(fleet.registry_addresses()[1], method, path, &[], b"").await.unwrap();
        assert_eq!(reply.status, status, "{method} {path}");
    }
    assert_eq!(active_config(&fleet).await, before);
    // Concurrent writes: each accepted one gets a revision of its own and stays readable.
    let mut race = tokio::task::JoinSet::new();
    for tag in 10..22 {
        let (address, body) = (fleet.registry_addresses()[tag % 3], tagged_config(&fleet, tag));
        race.spawn(async move {
            let reply = call(address, "PUT", "/v1/setup", &[], &body).await.unwrap();
            (reply.status, reply.json()["revision"].as_u64(), body)
        });
    }
    let mut revisions = std::collections::BTreeSet::new();
    while let Some(done) = race.join_next().await {
        let (status, revision, body) = done.unwrap();
        assert_eq!(status, 200);
        let revision = revision.unwrap();
        assert!(revisions.insert(revision), "two configurations have one revision");
        let path = format!("/v1/setup/{revision}");
        let read = call(fleet.registry_addresses()[0], "GET", &path, &[], b"").await.unwrap();
        assert_eq!(read.body, body);
    }
}

/// A configuration with a version takes effect only if the version is newer than all before, whatever its
/// key. Otherwise it is a repeat or is superseded, or, with other content under the same version, rejected
/// (incident 0012).
#[tokio::test(flavor = "multi_thread")]
async fn an_old_version_of_a_configuration_changes_nothing() {
    let fleet = Fleet::start(tiny_topology()).await;
    fleet.put_config(&fleet.topology.config).await;
    let zone = "/v1/zones/north-2/emptied";
    let drained = call(fleet.registry_addresses()[0], "PUT", zone, &[], b"").await.unwrap();
    assert_eq!(drained.status, 200);
    let versioned = |version: &str, tag: usize| {
        let config = String::from_utf8(tagged_config(&fleet, tag)).unwrap();
        config.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes()
    };
    let first = put(&fleet, 0, &[], &versioned("7", 1)).await.json();
    let other = put(&fleet, 2, &[], &versioned("7", 2)).await;
    assert_eq!(other.status, 409);
    assert_eq!(other.json()["outcome"].as_str(), Some("nothing-done"));
    assert_eq!(other.json()["highestVersion"].as_u64(), Some(7));
    for (version, tag) in [("7", 1), ("6", 3)] {
        let again = put(&fleet, tag % 3, &[], &versioned(version, tag)).await;
        assert_eq!(again.status, 200);
        let again = again.json();
        assert_eq!(again["repeat"].as_bool(), Some(true));
        assert_eq!(again["setupRevision"], first["revision"]);
    }
    assert_eq!(active_config(&fleet).await, Some(versioned("7", 1)));
    let next = put(&fleet, 1, &[], &versioned("8", 4)).await.json();
    // One revision records the version that was superseded.
    assert_eq!(next["revision"].as_u64(), first["revision"].as_u64().map(|revision| revision + 2));
    assert_eq!(active_config(&fleet).await, Some(versioned("8", 4)));
    let zones = call(fleet.registry_addresses()[2], "GET", "/v1/zones", &[], b"").await.unwrap();
    assert_eq!(zones.json()["emptied"][0].as_str(), Some("north-2"));
    for bad in ["0", "1.5", "\"7\"", "-1", "9007199254740994"] {
        let rejected = put(&fleet, 0, &[], &versioned(bad, 5)).await;
        assert_eq!(rejected.status, 422, "{bad}");
        assert_eq!(rejected.json()["faults"][0]["path"].as_str(), Some("$.version"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_configuration_survives_disk_and_power_loss_without_a_new_bootstrap() {
    let mut fleet = Fleet::start(tiny_topology()).await;
    fleet.put_config(&fleet.topology.config).await;
    let stores = fleet.with_role("store");
    // One disk is lost right after the acknowledgement; an empty one becomes a member by itself.
    let body = tagged_config(&fleet, 1);
    assert_eq!(put(&fleet, 0, &[], &body).await.status, 200);
    fleet.kill(stores[0]);
    fleet.wipe_data(stores[0]);
    assert_eq!(active_config(&fleet).await.as_deref(), Some(&body[..]));
    fleet.start_daemon(stores[0]);
    let fleet_ref = &fleet;
    wait_until("the store with the empty disk votes", SOON, async || {
        fleet_ref.page(stores[0], "ready").await["ready"].as_bool() == Some(true)
    })
    .await;
    // All daemons are killed at once: the configuration is still there after the restart.
    for index in 0..fleet.daemons.len() {
        fleet.kill(index);
    }
    for index in 0..fleet.daemons.len() {
        fleet.start_daemon(index);
    }
    let fleet_ref = &fleet;
    wait_until("the configuration is readable again", SOON, async || {
        active_config(fleet_ref).await.as_deref() == Some(&body[..])
    })
    .await;
    // A file of the active version is truncated on one disk: only that replica lacks it.
    fleet.kill(stores[2]);
    let folder = fleet.data_folder(stores[2]);
    let mut versions: Vec<_> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.to_string_lossy().contains("version-"))
        .collect();
    versions.sort();
    let last = versions.pop().unwrap();
    let original = std::fs::read(&last).unwrap();
    std::fs::write(&last, &original[..original.len() / 2]).unwrap();
    fleet.start_daemon(stores[2]);
    let fleet_ref = &fleet;
    wait_until("the damaged file is repaired", SOON, async || {
        fleet_ref.page(stores[2], "ready").await["ready"].as_bool() == Some(true)
            && std::fs::read(&last).is_ok_and(|bytes| bytes == original)
    })
    .await;
    // Two of three disks are lost: there is no new bootstrap, and nothing is accepted.
    for index in &stores[1..] {
        fleet.kill(*index);
        fleet.wipe_data(*index);
        fleet.start_daemon(*index);
    }
    let rejected = put(&fleet, 0, &[], &tagged_config(&fleet, 2)).await;
    assert!([503, 504].contains(&rejected.status), "{}", rejected.status);
    for index in &stores[1..] {
        assert_eq!(fleet.page(*index, "status").await["votes"].as_bool(), Some(false));
    }
    // The operator starts a rescue from the remaining replica.
    fleet.kill(stores[0]);
    let rescue = std::process::Command::new(fleet.program("store"))
        .arg("--settings")
        .arg(fleet.settings_file(stores[0]))
        .arg("--rescue")
        .output()
        .unwrap();
    assert!(rescue.status.success(), "{}", String::from_utf8_lossy(&rescue.stderr));
    fleet.start_daemon(stores[0]);
    let fleet_ref = &fleet;
    wait_until("all three stores vote again", Duration::from_secs(30), async || {
        let mut all_ready = true;
        for index in &stores {
            all_ready &= fleet_ref.page(*index, "ready").await["ready"].as_bool() == Some(true);
        }
        all_ready
    })
    .await;
    assert_eq!(active_config(&fleet).await.as_deref(), Some(&body[..]));
    let next = put(&fleet, 0, &[], &tagged_config(&fleet, 3)).await;
    assert_eq!(next.status, 200);
    // What was active before the rescue is still readable, and revisions have risen.
    assert!(next.json()["revision"].as_u64().unwrap() > 1000);
    fleet.wait_until_active(next.json()["revision"].as_u64().unwrap(), SOON).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_serve_from_memory_without_a_control_plane_and_after_a_suspension() {
    let mut fleet = Fleet::start(tiny_topology()).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    let proxy = fleet.with_role("proxy")[0];
    let address = fleet.daemons[proxy].address;
    let lookup = async || {
        let reply = call(address, "GET", "/stock/1", &[("x-request", "1")], b"").await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    wait_until("the proxy serves lookups", SOON, async || lookup().await).await;
    for index in fleet.with_role("registry").into_iter().chain(fleet.with_role("store")) {
        fleet.kill(index);
    }
    assert!(lookup().await);
    // The proxy is suspended meanwhile and resumed: it serves again when its wait for updates times out.
    fleet.suspend(proxy);
    let suspended = std::time::Instant::now();
    wait_until("the suspension is long enough to be detected", SOON, async || {
        suspended.elapsed() > Duration::from_secs(2)
    })
    .await;
    fleet.resume(proxy);
    assert!(lookup().await);
    let metrics = fleet.page(proxy, "metrics").await;
    assert_eq!(metrics["freezes"].as_u64(), Some(1));
    // The control plane comes back with the configuration from its disks, and accepts changes again.
    for index in fleet.with_role("registry").into_iter().chain(fleet.with_role("store")) {
        fleet.start_daemon(index);
    }
    let next = fleet.put_config(&String::from_utf8(tagged_config(&fleet, 5)).unwrap()).await;
    assert!(next > revision);
    fleet.wait_until_active(next, SOON).await;
}

/// Invalid frames from other daemons close the connection and are counted; invalid endpoint lists change
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_from_outside_changes_nothing() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = Fleet::start(tiny_topology()).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    let registry = fleet.with_role("registry")[0];
    let cluster_address = fleet.daemons[registry].cluster_address;
    let handshake = vanepath_cluster::wire::encode(&vanepath_cluster::wire::Handshake {
        system: vanepath_cluster::wire::SYSTEM.to_string(),
        fleet: "another".to_string(),
        name: "stranger".to_string(),
    });
    let framed = |body: &[u8]| [&(body.len() as u32).to_be_bytes()[..], body].concat();
    for bytes in [
        framed(b"nonsense"),
        u32::MAX.to_be_bytes().to_vec(),
        framed(&handshake),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ] {
        let mut stream = tokio::net::TcpStream::connect(cluster_address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut rest = Vec::new();
        // The read ends because the registry closes the connection.
        let _ = tokio::time::timeout(SOON, stream.read_to_end(&mut rest)).await.unwrap();
    }
    let metrics = fleet.page(registry, "metrics").await;
    assert_eq!(metrics["siblingFramesMalformed"].as_u64(), Some(1));
    assert_eq!(metrics["siblingFramesOversized"].as_u64(), Some(2));
    assert_eq!(metrics["siblingsTurnedAway"].as_u64(), Some(1));
    let state = async || fleet.page(registry, "status").await["platform"]["state"].to_string();
    for (text, expected) in [
        ("{", "malformed"),
        (r#"{"revision": 9, "servers": []}"#, "empty"),
        (r#"{"revision": 0, "servers": []}"#, "older"),
    ] {
        fleet.platform.override_response(Some(text.to_string()));
        wait_until(expected, SOON, async || state().await == expected).await;
    }
    let status = fleet.page(registry, "status").await;
    assert_eq!(status["servers"].as_array().unwrap().len(), 2);
    fleet.platform.override_response(None);
    wait_until("the endpoint list is good again", SOON, async || state().await == "good").await;
}

/// A daemon does not start with invalid settings, and the error names the key.
#[test]
fn invalid_settings_prevent_the_start() {
    let folder = std::env::temp_dir().join(format!("vanepath-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("settings.json");
    let own = std::env::current_exe().unwrap();
    let program = own.ancestors().nth(2).unwrap().join("vanepath-proxy");
    let store = own.ancestors().nth(2).unwrap().join("vanepath-store");
    let good = r#"{"name": "p", "region": "a", "zone": "a1", "listen": "127.0.0.1:7000",
                   "siblingListen": "127.0.0.1:7001", "seeds": ["127.0.0.1:7011"]}"#;
    for (text, key) in [
        (good.replace("\"name\"", "\"nmae\""), "nmae"),
        (good.replace("\"zone\"", "\"name\""), "$.name: duplicate key"),
        (good.replace("127.0.0.1:7000", "nowhere"), "listen"),
        (good.replace("127.0.0.1:7000", "192.0.2.1:7000"), "listen"),
        (good.replace("[\"127.0.0.1:7011\"]", "[]"), "seeds"),
        ("[".to_string(), "not JSON"),
    ] {
        std::fs::write(&file, text).unwrap();
        let output =
            std::process::Command::new(&program).arg("--settings").arg(&file).output().unwrap();
        assert!(!output.status.success(), "{key}");
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    // Keys that only stores accept.
    let of_store = good.replacen('{', "{\"dataFolder\": \"/tmp\", \"stores\": 5,", 1);
    for (program, text, key) in [
        (&store, of_store.replace("5,", "4,"), "$.stores: must be odd"),
        (&store, of_store.replace("5,", "17,"), "$.stores"),
        (&store, of_store.replace("5,", "5, \"firstStart\": 1,"), "$.firstStart"),
        (&store, of_store.replace("5,", "5, \"seat\": 1,"), "$.seat"),
        (&store, good.to_string(), "$.dataFolder: missing"),
        (&program, good.replacen('{', "{\"stores\": 3,", 1), "$.stores"),
        (&program, good.replacen('{', "{\"firstStart\": true,", 1), "$.firstStart"),
        (&store, of_store.replace("5,", "5, \"firstStart\": false,"), ""),
        (&store, of_store.replace("\"stores\": 5,", ""), ""),
    ] {
        std::fs::write(&file, text).unwrap();
        let check = ["--check", "--settings"];
        let output = std::process::Command::new(program).args(check).arg(&file).output().unwrap();
        assert_eq!(output.status.success(), key.is_empty(), "{key}");
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    std::fs::write(&file, good).unwrap();
    let check = std::process::Command::new(&program)
        .args(["--check", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    assert!(check.status.success());
    for (flag, expected) in [("--help", "Usage: vanepath-proxy"), ("--version", "vanepath-proxy 0")]
    {
        let output = std::process::Command::new(&program).arg(flag).output().unwrap();
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// With partitioned and slow links, proxies keep serving, accepted configurations are kept, and they are
/// active everywhere soon after the links are restored.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_and_slow_links_delay_nothing_for_long() {
    use vanepath_testbed::relay::Link;
    use vanepath_testbed::traffic::{Traffic, check_filings, count_outcomes};
    let mut topology = tiny_topology();
    topology.proxies = 3;
    let fleet = Fleet::start_with_relays(topology).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.wait_for_requests(30).await;
    // No core machine is reachable: clients use their last steering response, and proxies their
    // configuration.
    let core: Vec<usize> =
        fleet.with_role("registry").into_iter().chain(fleet.with_role("store")).collect();
    for index in &core {
        fleet.set_links(*index, Link { is_partitioned: true, ..Link::default() });
    }
    traffic.wait_for_requests(150).await;
    for index in &core {
        fleet.set_links(*index, Link::default());
    }
    // One store is partitioned and the others are slow: a change is accepted and becomes active.
    let stores = fleet.with_role("store");
    fleet.set_links(stores[0], Link { is_partitioned: true, ..Link::default() });
    for index in &stores[1..] {
        fleet.set_links(*index, Link { delay: Duration::from_millis(60), ..Link::default() });
    }
    let next = fleet.put_config(&String::from_utf8(tagged_config(&fleet, 1)).unwrap()).await;
    assert!(next > revision);
    fleet.wait_until_active(next, SOON).await;
    for index in &stores {
        fleet.set_links(*index, Link::default());
    }
    traffic.wait_for_requests(30).await;
    let (records, mismatches) = traffic.finish().await;
    assert_eq!(mismatches, Vec::<String>::new());
    assert_eq!(check_filings(&records, &fleet.execution_counts()), Vec::<String>::new());
    let lost = records.iter().filter(|one| one.execution != ExecutionStatus::Ran).count();
    assert_eq!(lost, 0, "{:?}", count_outcomes(&records));
}

/// While proxies are killed and suspended and a server is stopped, every lookup is answered and no filing is
/// executed twice. No request is sent to the server of another service that gets a reused address.
#[tokio::test(flavor = "multi_thread")]
async fn kills_and_suspensions_under_traffic_lose_no_lookup() {
    use vanepath_testbed::traffic::{RequestKind, Traffic, check_filings};
    let mut topology = topology::raiocerto();
    topology.proxies = 4;
    topology.servers = vec![("ordering", 6), ("documents", 3)];
    let mut fleet = Fleet::start(topology).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, SOON).await;
    let traffic = Traffic::start(&fleet, 2, 0.3).await;
    traffic.wait_for_requests(60).await;
    let proxies = fleet.with_role("proxy");
    fleet.kill(proxies[0]);
    traffic.wait_for_requests(120).await;
    fleet.start_daemon(proxies[0]);
    fleet.suspend(proxies[1]);
    traffic.wait_for_requests(150).await;
    fleet.resume(proxies[1]);
    // A server stops, and a server of another service starts at its address.
    let address = fleet.servers[0].address;
    fleet.servers[0].stop();
    let successor = loop {
        match StubServer::start("heir", address).await {
            Ok(successor) => break successor,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    traffic.wait_for_requests(150).await;
    assert_eq!(
        successor.state.arrivals.lock().unwrap().len(),
        0,
        "requests were sent to another service"
    );
    fleet.platform.update_list(|list| list.retain(|one| one.address != address));
    traffic.wait_for_requests(60).await;
    let (records, mismatches) = traffic.finish().await;
    assert_eq!(mismatches, Vec::<String>::new());
    assert_eq!(check_filings(&records, &fleet.execution_counts()), Vec::<String>::new());
    let lost: Vec<_> = records
        .iter()
        .filter(|one| one.kind != RequestKind::Filing && one.execution != ExecutionStatus::Ran)
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Points 1 and 4 of docs/control.md: the registry and the store of one core machine are suspended while the
/// others accept dozens of versions. After their resumption, also during a restart of the store, no registry
/// returns an older configuration, and the store catches up.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_core_machine_returns_no_older_configuration() {
    let mut fleet = Fleet::start(tiny_topology()).await;
    fleet.put_config(&fleet.topology.config).await;
    let versioned = |version: u64| {
        let config = String::from_utf8(tagged_config(&fleet, version as usize)).unwrap();
        config.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes()
    };
    let bodies: Vec<Vec<u8>> = (0..60).map(versioned).collect();
    assert_eq!(put(&fleet, 0, &[], &bodies[1]).await.status, 200);
    let (registry, store) = (fleet.with_role("registry")[0], fleet.with_role("store")[0]);
    let addresses = fleet.registry_addresses();
    // A write is in flight at the registry when it is suspended, and a read when it is resumed.
    let (write_address, read_address) = (addresses[0], addresses[0]);
    let body = bodies[2].clone();
    let in_flight =
        tokio::spawn(async move { call(write_address, "PUT", "/v1/setup", &[], &body).await });
    fleet.suspend(store);
    fleet.suspend(registry);
    for (version, body) in bodies.iter().enumerate().skip(3) {
        let response = put(&fleet, 1 + version % 2, &[], body).await;
        assert_eq!(response.status, 200, "version {version}");
    }
    let newest = bodies.last().unwrap().clone();
    let reading =
        tokio::spawn(async move { call(read_address, "GET", "/v1/setup", &[], b"").await });
    fleet.resume(store);
    fleet.resume(registry);
    let is_newest = |reply: Option<Response>| match reply {
        Some(reply) if reply.status == 200 => reply.body == newest,
        // An error is allowed: the registry does not know the newest configuration and says so.
        _ => true,
    };
    assert!(is_newest(reading.await.unwrap()), "the read that was sent during the suspension");
    for round in 0..30 {
        let reply = call(addresses[round % 3], "GET", "/v1/setup", &[], b"").await;
        assert!(is_newest(reply), "read {round}");
    }
    let _ = in_flight.await.unwrap();
    fleet.kill(store);
    fleet.start_daemon(store);
    for round in 0..30 {
        let reply = call(addresses[round % 3], "GET", "/v1/setup", &[], b"").await;
        assert!(is_newest(reply), "read {round} after the restart");
    }
    wait_until("the store has caught up", SOON, async || {
        let other = fleet.with_role("store")[1];
        let accepted_revision =
            async |index: usize| fleet.page(index, "status").await["acceptedRevision"].as_u64();
        let (own, others) = (accepted_revision(store).await, accepted_revision(other).await);
        own.is_some() && own == others
    })
    .await;
    assert_eq!(active_config(&fleet).await, Some(newest.clone()));
}
