//! The whole path of a configuration and a request, with real processes on loopback.

use std::time::Duration;
use vanepath_testbed::harness::{Fleet, wait_until};
use vanepath_testbed::http::call;
use vanepath_testbed::topology;

fn small_topology() -> topology::Topology {
    let mut small_topology = topology::raiocerto();
    small_topology.proxies = 2;
    small_topology.servers = vec![("ordering", 2), ("documents", 1)];
    small_topology
}

/// Daemons find each other, a configuration is accepted and reaches all, a lookup is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_accepted_and_a_lookup_served() {
    let fleet = Fleet::start(small_topology()).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, Duration::from_secs(10)).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let headers = [("x-request", "7")];
    wait_until("the lookup is served", Duration::from_secs(5), async || {
        let reply = call(proxy, "GET", "/stock/7", &headers, b"").await;
        reply.is_some_and(|reply| {
            reply.status == 200
                && reply.headers.get("vanepath-verdict").is_some_and(|status| status == "ran")
                && reply.json()["request"].as_str() == Some("7")
        })
    })
    .await;
    // Exactly what was accepted is returned by every registry.
    for index in fleet.with_role("registry") {
        for path in ["/v1/setup".to_string(), format!("/v1/setup/{revision}")] {
            let read = fleet.get(index, &path).await.expect("a registry replies");
            assert_eq!(read.status, 200, "{path}: {:?}", read.body);
            assert_eq!(read.body, fleet.topology.config.as_bytes());
        }
    }
}

/// A recorded file is replayed through steering and proxies, filings only on request. A file that is not in the HAR
/// format and invalid options end with a message and an error code.
#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_file_is_replayed() {
    let fleet = Fleet::start(small_topology()).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, Duration::from_secs(10)).await;
    let entry = |second: u32, method: &str, path: &str| {
        format!(
            r#"{{"startedDateTime": "2026-01-02T03:04:{second:02}Z", "time": 1,
            "request": {{"method": "{method}", "url": "http://shop.example{path}",
              "httpVersion": "HTTP/1.1", "cookies": [], "queryString": [], "headersSize": -1,
              "bodySize": -1, "headers": [{{"name": "x-request", "value": "r{second}"}}]}},
            "response": {{"status": 200, "statusText": "", "httpVersion": "HTTP/1.1",
              "cookies": [], "headers": [], "redirectURL": "", "headersSize": -1, "bodySize": -1,
              "content": {{"size": 0, "mimeType": ""}}}},
            "cache": {{}}, "timings": {{"send": 0, "wait": 1, "receive": 0}}}}"#
        )
    };
    let entries = [
        entry(5, "GET", "/stock/1"),
        entry(6, "POST", "/orders"),
        entry(8, "GET", "/documents/1?size=1000"),
    ];
    let text = format!(
        r#"{{"log": {{"version": "1.2", "creator": {{"name": "c", "version": "1"}},
            "entries": [{}]}}}}"#,
        entries.join(",")
    );
    let file = fleet.folder.join("day.har");
    std::fs::write(&file, text).unwrap();
    let tool = fleet.program("testbed");
    let run = |arguments: &[&str]| {
        let run = std::process::Command::new(&tool).arg("replay").args(arguments).output().unwrap();
        let said = String::from_utf8_lossy(&run.stdout).to_string();
        (run.status.success(), said + &String::from_utf8_lossy(&run.stderr))
    };
    let registry = fleet.registry_addresses()[0].to_string();
    let place = ["--registry", &registry, "--zone", "north-1", "--region", "north"];
    let name = file.to_string_lossy().to_string();
    let with = |more: &[&str]| run(&[&place[..], &["--factor", "20"], more].concat());
    let (is_good, said) = with(&[&name]);
    assert!(is_good && said.contains("2 ran") && said.contains("1 filings left out"), "{said}");
    assert_eq!(fleet.execution_counts().get("r6"), None);
    let (is_good, said) = with(&["--filings", &name]);
    assert!(is_good && said.contains("3 ran") && said.contains("3 with status 200"), "{said}");
    assert_eq!(fleet.execution_counts()["r6"], 1);
    let config = fleet.settings_file(0).to_string_lossy().to_string();
    for (arguments, wanted) in [
        (vec!["--registry", &registry, &config], "no HAR file"),
        (vec!["--registry", "nowhere", &name], "--registry"),
        (vec!["--registry", &registry, "--factor", "0", &name], "--factor"),
        (vec![&*name], "--registry"),
        (vec!["--registry", &registry], "one HAR file"),
    ] {
        let (is_good, said) = run(&arguments);
        assert!(!is_good && said.contains(wanted), "{arguments:?}: {said}");
    }
}
