//! The operator's word with real processes: receipts, races, lost and damaged disks, kills and
//! freezes.

use std::time::Duration;
use vanepath_testbed::harness::{Fleet, until};
use vanepath_testbed::http::{Reply, call};
use vanepath_testbed::shape;
use vanepath_testbed::sim::scenario::tagged;

fn tiny() -> shape::Shape {
    let mut tiny = shape::raiocerto();
    tiny.proxies = 1;
    tiny.servers = vec![("ordering", 1), ("documents", 1)];
    tiny
}

async fn put(fleet: &Fleet, registry: usize, headers: &[(&str, &str)], body: &[u8]) -> Reply {
    let address = fleet.registries()[registry];
    call(address, "PUT", "/v1/setup", headers, body).await.expect("the registry replies")
}

fn setup(fleet: &Fleet, tag: usize) -> Vec<u8> {
    tagged(&fleet.shape.setup, tag)
}

/// The setup in force, from the first registry that tells it.
async fn in_force(fleet: &Fleet) -> Option<Vec<u8>> {
    for address in fleet.registries() {
        if let Some(reply) = call(address, "GET", "/v1/setup", &[], b"").await
            && reply.status == 200
        {
            return Some(reply.body.to_vec());
        }
    }
    None
}

const SOON: Duration = Duration::from_secs(15);

/// Two registries hear what all proxies see of servers; whichever an operator asks tells the same.
#[tokio::test(flavor = "multi_thread")]
async fn any_registry_tells_what_all_proxies_see() {
    let fleet = Fleet::start(shape::Shape { proxies: 6, ..tiny() }).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    let reasons = async |registry: usize| -> Vec<String> {
        let address = fleet.registries()[registry];
        let status = call(address, "GET", "/v1/status", &[], b"").await.expect("it replies").json();
        status["servers"].members().map(|server| server["why"].to_string()).collect()
    };
    let is_by_all = |why: &String| why.starts_with("live for ") && !why.starts_with("live for 1 ");
    for registry in [0, 2, 1] {
        let is_told = async || {
            let told = reasons(registry).await;
            told.len() == 2 && told.iter().all(is_by_all) && told == reasons(0).await
        };
        until(&format!("registry {registry} tells of both servers"), SOON, is_told).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn receipts_say_what_was_done() {
    let fleet = Fleet::start(tiny()).await;
    let first = fleet.put_setup(&fleet.shape.setup).await;
    // Only on top of what the operator saw.
    let at = format!("\"{first}\"");
    let second = put(&fleet, 1, &[("if-match", &at)], &setup(&fleet, 2)).await;
    assert_eq!(second.status, 200, "{:?}", second.body);
    let third = put(&fleet, 2, &[("if-match", &at)], &setup(&fleet, 3)).await;
    assert_eq!(third.status, 412);
    assert_eq!(third.json()["outcome"].as_str(), Some("nothing-done"));
    // A repeat is no second change; another submission under the same key is refused.
    let key = [("idempotency-key", "spring-prices")];
    let once = put(&fleet, 0, &key, &setup(&fleet, 4)).await.json();
    let again = put(&fleet, 1, &key, &setup(&fleet, 4)).await.json();
    assert_eq!(once["revision"], again["revision"]);
    assert_eq!(again["repeat"].as_bool(), Some(true));
    assert_eq!(put(&fleet, 2, &key, &setup(&fleet, 5)).await.status, 409);
    let looked =
        call(fleet.registries()[2], "GET", "/v1/submissions/spring-prices", &[], b"").await;
    assert_eq!(looked.unwrap().json()["revision"], once["revision"]);
    // What is not valid is listed fault by fault and not stored.
    let before = in_force(&fleet).await;
    let bad = fleet.shape.setup.replace("\"kind\": \"once\"", "\"kind\": \"twice\", \"x\": 1");
    let refused = put(&fleet, 0, &[], bad.as_bytes()).await;
    assert_eq!(refused.status, 422);
    assert_eq!(refused.json()["faults"].as_array().unwrap().len(), 2);
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
        let reply = call(fleet.registries()[1], method, path, &[], b"").await.unwrap();
        assert_eq!(reply.status, status, "{method} {path}");
    }
    assert_eq!(in_force(&fleet).await, before);
    // Racing writes: each accepted one has a revision of its own and stays readable.
    let mut race = tokio::task::JoinSet::new();
    for tag in 10..22 {
        let (address, body) = (fleet.registries()[tag % 3], setup(&fleet, tag));
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
        assert!(revisions.insert(revision), "one revision for two setups");
        let path = format!("/v1/setup/{revision}");
        let read = call(fleet.registries()[0], "GET", &path, &[], b"").await.unwrap();
        assert_eq!(read.body, body);
    }
}

/// A setup that names its version: what is not newer changes nothing, whatever its key. It is a repeat, or
/// one that was overtaken; another content under a version that was taken is refused (incident 0012).
#[tokio::test(flavor = "multi_thread")]
async fn an_old_version_of_a_setup_changes_nothing() {
    let fleet = Fleet::start(tiny()).await;
    fleet.put_setup(&fleet.shape.setup).await;
    let zone = "/v1/zones/north-2/emptied";
    let emptied = call(fleet.registries()[0], "PUT", zone, &[], b"").await.unwrap();
    assert_eq!(emptied.status, 200);
    let versioned = |version: &str, tag: usize| {
        let setup = String::from_utf8(setup(&fleet, tag)).unwrap();
        setup.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes()
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
    assert_eq!(in_force(&fleet).await, Some(versioned("7", 1)));
    let next = put(&fleet, 1, &[], &versioned("8", 4)).await.json();
    // One revision notes the version that was overtaken.
    assert_eq!(next["revision"].as_u64(), first["revision"].as_u64().map(|one| one + 2));
    assert_eq!(in_force(&fleet).await, Some(versioned("8", 4)));
    let zones = call(fleet.registries()[2], "GET", "/v1/zones", &[], b"").await.unwrap();
    assert_eq!(zones.json()["emptied"][0].as_str(), Some("north-2"));
    for bad in ["0", "1.5", "\"7\"", "-1", "9007199254740994"] {
        let refused = put(&fleet, 0, &[], &versioned(bad, 5)).await;
        assert_eq!(refused.status, 422, "{bad}");
        assert_eq!(refused.json()["faults"][0]["path"].as_str(), Some("$.version"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_word_outlives_disks_and_power_and_is_never_begun_anew() {
    let mut fleet = Fleet::start(tiny()).await;
    fleet.put_setup(&fleet.shape.setup).await;
    let stores = fleet.of("store");
    // One disk is lost right after the receipt; an empty one takes its seat by itself.
    let body = setup(&fleet, 1);
    assert_eq!(put(&fleet, 0, &[], &body).await.status, 200);
    fleet.kill(stores[0]);
    fleet.wipe(stores[0]);
    assert_eq!(in_force(&fleet).await.as_deref(), Some(&body[..]));
    fleet.run(stores[0]);
    let fleet_ref = &fleet;
    until("the empty disk votes", SOON, async || {
        fleet_ref.page(stores[0], "ready").await["ready"].as_bool() == Some(true)
    })
    .await;
    // Power is lost everywhere at once: all of it is there afterwards.
    for index in 0..fleet.members.len() {
        fleet.kill(index);
    }
    for index in 0..fleet.members.len() {
        fleet.run(index);
    }
    let fleet_ref = &fleet;
    until("the word is back", SOON, async || {
        in_force(fleet_ref).await.as_deref() == Some(&body[..])
    })
    .await;
    // A file of the version in force is cut short on one disk: that copy alone lacks it.
    fleet.kill(stores[2]);
    let folder = fleet.data_folder(stores[2]);
    let mut versions: Vec<_> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.to_string_lossy().contains("version-"))
        .collect();
    versions.sort();
    let last = versions.pop().unwrap();
    let whole = std::fs::read(&last).unwrap();
    std::fs::write(&last, &whole[..whole.len() / 2]).unwrap();
    fleet.run(stores[2]);
    let fleet_ref = &fleet;
    until("the damaged file is mended", SOON, async || {
        fleet_ref.page(stores[2], "ready").await["ready"].as_bool() == Some(true)
            && std::fs::read(&last).is_ok_and(|bytes| bytes == whole)
    })
    .await;
    // Two of three disks are lost: nothing is begun anew, and nothing is taken.
    for index in &stores[1..] {
        fleet.kill(*index);
        fleet.wipe(*index);
        fleet.run(*index);
    }
    let refused = put(&fleet, 0, &[], &setup(&fleet, 2)).await;
    assert!([503, 504].contains(&refused.status), "{}", refused.status);
    for index in &stores[1..] {
        assert_eq!(fleet.page(*index, "status").await["votes"].as_bool(), Some(false));
    }
    // The operator says to go on from the copy that is left.
    fleet.kill(stores[0]);
    let rescue = std::process::Command::new(fleet.program("store"))
        .arg("--settings")
        .arg(fleet.settings_file(stores[0]))
        .arg("--rescue")
        .output()
        .unwrap();
    assert!(rescue.status.success(), "{}", String::from_utf8_lossy(&rescue.stderr));
    fleet.run(stores[0]);
    let fleet_ref = &fleet;
    until("all three vote again", Duration::from_secs(30), async || {
        let mut all = true;
        for index in &stores {
            all &= fleet_ref.page(*index, "ready").await["ready"].as_bool() == Some(true);
        }
        all
    })
    .await;
    assert_eq!(in_force(&fleet).await.as_deref(), Some(&body[..]));
    let next = put(&fleet, 0, &[], &setup(&fleet, 3)).await;
    assert_eq!(next.status, 200);
    // What was in force before the rescue is still read, and revisions went on upwards.
    assert!(next.json()["revision"].as_u64().unwrap() > 1000);
    fleet.until_in_force(next.json()["revision"].as_u64().unwrap(), SOON).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_control_gone_or_frozen_proxies_serve_from_memory() {
    let mut fleet = Fleet::start(tiny()).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    let proxy = fleet.of("proxy")[0];
    let address = fleet.members[proxy].address;
    let lookup = async || {
        let reply = call(address, "GET", "/stock/1", &[("x-request", "1")], b"").await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    until("it serves", SOON, async || lookup().await).await;
    for index in fleet.of("registry").into_iter().chain(fleet.of("store")) {
        fleet.kill(index);
    }
    assert!(lookup().await);
    // The proxy freezes meanwhile and wakes: it serves on once it gave up on fresher news.
    fleet.freeze(proxy);
    let frozen = std::time::Instant::now();
    until("a freeze long enough to be one", SOON, async || {
        frozen.elapsed() > Duration::from_secs(2)
    })
    .await;
    fleet.wake(proxy);
    assert!(lookup().await);
    let metrics = fleet.page(proxy, "metrics").await;
    assert_eq!(metrics["freezes"].as_u64(), Some(1));
    // Control comes back, with the word from its disks, and rules again.
    for index in fleet.of("registry").into_iter().chain(fleet.of("store")) {
        fleet.run(index);
    }
    let next = fleet.put_setup(&String::from_utf8(setup(&fleet, 5)).unwrap()).await;
    assert!(next > revision);
    fleet.until_in_force(next, SOON).await;
}

/// What siblings send that makes no sense closes the connection and is counted; the platform's
/// nonsense changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn nonsense_from_outside_changes_nothing() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = Fleet::start(tiny()).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    let registry = fleet.of("registry")[0];
    let sibling = fleet.members[registry].sibling_address;
    let greeting = vanepath_cluster::wire::encode(&vanepath_cluster::wire::Handshake {
        system: vanepath_cluster::wire::SYSTEM.to_string(),
        fleet: "another".to_string(),
        name: "stranger".to_string(),
    });
    let framed = |body: &[u8]| [&(body.len() as u32).to_be_bytes()[..], body].concat();
    for bytes in [
        framed(b"nonsense"),
        u32::MAX.to_be_bytes().to_vec(),
        framed(&greeting),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ] {
        let mut stream = tokio::net::TcpStream::connect(sibling).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut rest = Vec::new();
        // Ends by itself: the other side closes.
        let _ = tokio::time::timeout(SOON, stream.read_to_end(&mut rest)).await.unwrap();
    }
    let metrics = fleet.page(registry, "metrics").await;
    assert_eq!(metrics["siblingFramesMalformed"].as_u64(), Some(1));
    assert_eq!(metrics["siblingFramesOversized"].as_u64(), Some(2));
    assert_eq!(metrics["siblingsTurnedAway"].as_u64(), Some(1));
    let state = async || fleet.page(registry, "status").await["platform"]["state"].to_string();
    for (text, wanted) in [
        ("{", "malformed"),
        (r#"{"revision": 9, "servers": []}"#, "empty"),
        (r#"{"revision": 0, "servers": []}"#, "older"),
    ] {
        fleet.platform.serve_instead(Some(text.to_string()));
        until(wanted, SOON, async || state().await == wanted).await;
    }
    let status = fleet.page(registry, "status").await;
    assert_eq!(status["servers"].as_array().unwrap().len(), 2);
    fleet.platform.serve_instead(None);
    until("good again", SOON, async || state().await == "good").await;
}

/// A wrong settings file stops the start with the key's name.
#[test]
fn wrong_settings_stop_the_start() {
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
        let run =
            std::process::Command::new(&program).arg("--settings").arg(&file).output().unwrap();
        assert!(!run.status.success(), "{key}");
        let said = String::from_utf8_lossy(&run.stderr).to_string();
        assert!(said.contains(key), "{key}: {said}");
    }
    // A store's own keys, which no other daemon has.
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
        let run = std::process::Command::new(program).args(check).arg(&file).output().unwrap();
        assert_eq!(run.status.success(), key.is_empty(), "{key}");
        let said = String::from_utf8_lossy(&run.stderr).to_string();
        assert!(said.contains(key), "{key}: {said}");
    }
    std::fs::write(&file, good).unwrap();
    let check = std::process::Command::new(&program)
        .args(["--check", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    assert!(check.status.success());
    for (flag, said) in [("--help", "Usage: vanepath-proxy"), ("--version", "vanepath-proxy 0")] {
        let run = std::process::Command::new(&program).arg(flag).output().unwrap();
        assert!(run.status.success());
        assert!(String::from_utf8_lossy(&run.stdout).contains(said));
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Links that are cut without a word, and slow ones: proxies serve on, what was accepted stays, and
/// all of it is in force soon after the links are whole.
#[tokio::test(flavor = "multi_thread")]
async fn cut_and_slow_links_hold_nothing_up_for_long() {
    use vanepath_testbed::relay::Link;
    use vanepath_testbed::traffic::{Traffic, judge_filings, sums};
    let mut shape = tiny();
    shape.proxies = 3;
    let fleet = Fleet::start_relayed(shape).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    let traffic = Traffic::start(&fleet, 1, 0.2).await;
    traffic.more(30).await;
    // Nobody reaches any core machine: callers keep their last receipt, proxies their setup.
    let core: Vec<usize> = fleet.of("registry").into_iter().chain(fleet.of("store")).collect();
    for index in &core {
        fleet.link(*index, Link { is_cut: true, ..Link::default() });
    }
    traffic.more(150).await;
    for index in &core {
        fleet.link(*index, Link::default());
    }
    // One store is cut off, the others are slow: a change is accepted and comes into force.
    let stores = fleet.of("store");
    fleet.link(stores[0], Link { is_cut: true, ..Link::default() });
    for index in &stores[1..] {
        fleet.link(*index, Link { delay: Duration::from_millis(60), ..Link::default() });
    }
    let next = fleet.put_setup(&String::from_utf8(setup(&fleet, 1)).unwrap()).await;
    assert!(next > revision);
    fleet.until_in_force(next, SOON).await;
    for index in &stores {
        fleet.link(*index, Link::default());
    }
    traffic.more(30).await;
    let (told, wrong) = traffic.finish().await;
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(judge_filings(&told, &fleet.runs()), Vec::<String>::new());
    let lost =
        told.iter().filter(|one| one.verdict != vanepath_config::ExecutionStatus::Ran).count();
    assert_eq!(lost, 0, "{:?}", sums(&told));
}

/// Servers and proxies killed and frozen under traffic: no lookup unanswered, no filing twice, and
/// nothing goes to another service at an old address.
#[tokio::test(flavor = "multi_thread")]
async fn kills_and_freezes_under_traffic_lose_no_lookup() {
    use vanepath_testbed::traffic::{Kind, Traffic, judge_filings};
    let mut shape = shape::raiocerto();
    shape.proxies = 4;
    shape.servers = vec![("ordering", 6), ("documents", 3)];
    let mut fleet = Fleet::start(shape).await;
    let revision = fleet.put_setup(&fleet.shape.setup).await;
    fleet.until_in_force(revision, SOON).await;
    let traffic = Traffic::start(&fleet, 2, 0.3).await;
    traffic.more(60).await;
    let proxies = fleet.of("proxy");
    fleet.kill(proxies[0]);
    traffic.more(120).await;
    fleet.run(proxies[0]);
    fleet.freeze(proxies[1]);
    traffic.more(150).await;
    fleet.wake(proxies[1]);
    // A server ends, and another service gets its address.
    let address = fleet.servers[0].address;
    fleet.servers[0].stop();
    let heir = loop {
        match vanepath_testbed::standin::Server::start("heir", address).await {
            Ok(heir) => break heir,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    traffic.more(150).await;
    assert_eq!(heir.state.arrivals.lock().unwrap().len(), 0, "work went to another service");
    fleet.platform.change(|list| list.retain(|one| one.address != address));
    traffic.more(60).await;
    let (told, wrong) = traffic.finish().await;
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(judge_filings(&told, &fleet.runs()), Vec::<String>::new());
    let lost: Vec<_> = told
        .iter()
        .filter(|one| {
            one.kind != Kind::Filing && one.verdict != vanepath_config::ExecutionStatus::Ran
        })
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Points 1 and 4 of docs/control.md: the registry and the store of one core machine stand still for seconds
/// while dozens of versions are accepted by the others. From the moment at which they go on, and through a
/// restart of the store, nothing older is read out, by any registry, and the store comes up to date.
#[tokio::test(flavor = "multi_thread")]
async fn a_core_machine_that_stood_still_reads_out_nothing_older() {
    let mut fleet = Fleet::start(tiny()).await;
    fleet.put_setup(&fleet.shape.setup).await;
    let versioned = |version: u64| {
        let setup = String::from_utf8(setup(&fleet, version as usize)).unwrap();
        setup.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes()
    };
    let bodies: Vec<Vec<u8>> = (0..60).map(versioned).collect();
    assert_eq!(put(&fleet, 0, &[], &bodies[1]).await.status, 200);
    let (registry, store) = (fleet.of("registry")[0], fleet.of("store")[0]);
    let addresses = fleet.registries();
    // One of each in hand there, as it stands still.
    let (write, read) = (addresses[0], addresses[0]);
    let body = bodies[2].clone();
    let in_hand = tokio::spawn(async move { call(write, "PUT", "/v1/setup", &[], &body).await });
    fleet.freeze(store);
    fleet.freeze(registry);
    for (version, body) in bodies.iter().enumerate().skip(3) {
        let told = put(&fleet, 1 + version % 2, &[], body).await;
        assert_eq!(told.status, 200, "version {version}");
    }
    let newest = bodies.last().unwrap().clone();
    let reading = tokio::spawn(async move { call(read, "GET", "/v1/setup", &[], b"").await });
    fleet.wake(store);
    fleet.wake(registry);
    let is_newest = |reply: Option<Reply>| match reply {
        Some(reply) if reply.status == 200 => reply.body == newest,
        // It cannot tell, and says so.
        _ => true,
    };
    assert!(is_newest(reading.await.unwrap()), "what was asked while it stood still");
    for turn in 0..30 {
        let reply = call(addresses[turn % 3], "GET", "/v1/setup", &[], b"").await;
        assert!(is_newest(reply), "turn {turn}");
    }
    let _ = in_hand.await.unwrap();
    fleet.kill(store);
    fleet.run(store);
    for turn in 0..30 {
        let reply = call(addresses[turn % 3], "GET", "/v1/setup", &[], b"").await;
        assert!(is_newest(reply), "turn {turn} after the restart");
    }
    until("the store has caught up", SOON, async || {
        let other = fleet.of("store")[1];
        let of =
            async |index: usize| fleet.page(index, "status").await["acceptedRevision"].as_u64();
        let (own, others) = (of(store).await, of(other).await);
        own.is_some() && own == others
    })
    .await;
    assert_eq!(in_force(&fleet).await, Some(newest.clone()));
}
