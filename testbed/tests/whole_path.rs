//! End-to-end tests of a configuration change, a request and a replay, with real processes on loopback
//! addresses.

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

/// The daemons discover each other, a configuration is accepted and becomes active at all proxies, a lookup
/// is served, and every registry returns the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_accepted_and_a_lookup_served() {
    let fleet = Fleet::start(small_topology()).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, Duration::from_secs(10)).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let headers = [("x-request", "7")];
    wait_until("the lookup is served", Duration::from_secs(5), async || {
        let response = call(proxy, "GET", "/stock/7", &headers, b"").await;
        response.is_some_and(|response| {
            response.status == 200
                && response.headers.get("vanepath-verdict").is_some_and(|status| status == "ran")
                && response.json()["request"].as_str() == Some("7")
        })
    })
    .await;
    // Every registry returns exactly the document that was accepted.
    for index in fleet.with_role("registry") {
        for path in ["/v1/setup".to_string(), format!("/v1/setup/{revision}")] {
            let response = fleet.get(index, &path).await.expect("the registry responds");
            assert_eq!(response.status, 200, "{path}: {:?}", response.body);
            assert_eq!(response.body, fleet.topology.config.as_bytes());
        }
    }
}

/// A HAR file is replayed through steering and proxies, with filings only if the option `--filings` is
/// given. A file that is not in the HAR format and invalid options lead to an error message and an error
/// exit code.
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
    let testbed = fleet.program("testbed");
    let run = |arguments: &[&str]| {
        let output =
            std::process::Command::new(&testbed).arg("replay").args(arguments).output().unwrap();
        let output_text = String::from_utf8_lossy(&output.stdout).to_string();
        (output.status.success(), output_text + &String::from_utf8_lossy(&output.stderr))
    };
    let registry = fleet.registry_addresses()[0].to_string();
    let common_options = ["--registry", &registry, "--zone", "north-1", "--region", "north"];
    let path = file.to_string_lossy().to_string();
    let replay =
        |arguments: &[&str]| run(&[&common_options[..], &["--factor", "20"], arguments].concat());
    let (is_success, output_text) = replay(&[&path]);
    assert!(
        is_success && output_text.contains("2 ran") && output_text.contains("1 filings left out"),
        "{output_text}"
    );
    assert_eq!(fleet.execution_counts().get("r6"), None);
    let (is_success, output_text) = replay(&["--filings", &path]);
    assert!(
        is_success && output_text.contains("3 ran") && output_text.contains("3 with status 200"),
        "{output_text}"
    );
    assert_eq!(fleet.execution_counts()["r6"], 1);
    let config = fleet.settings_file(0).to_string_lossy().to_string();
    for (arguments, expected) in [
        (vec!["--registry", &registry, &config], "no HAR file"),
        (vec!["--registry", "nowhere", &path], "--registry"),
        (vec!["--registry", &registry, "--factor", "0", &path], "--factor"),
        (vec![&*path], "--registry"),
        (vec!["--registry", &registry], "one HAR file"),
    ] {
        let (is_success, output_text) = run(&arguments);
        assert!(!is_success && output_text.contains(expected), "{arguments:?}: {output_text}");
    }
}
