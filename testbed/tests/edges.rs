//! Valid, ambiguous and invalid HTTP requests, and faulty servers, with one proxy process.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use vanepath_testbed::harness::{Fleet, wait_until};
use vanepath_testbed::http::call as http_call;
use vanepath_testbed::stub::{Behavior, pattern};
use vanepath_testbed::topology;

const CONFIG: &str = r#"{
  "classes": [
    {"name": "lookup", "urgency": 1, "kind": "repeatable", "deadlineMs": 3000,
     "bodyMostBytes": 300000},
    {"name": "filing", "urgency": 0, "kind": "once", "deadlineMs": 1500},
    {"name": "narrow", "urgency": 2, "kind": "repeatable", "room": 1, "queue": 1,
     "deadlineMs": 3000}],
  "services": [{"name": "s", "selector": "app = s", "livenessPath": "/live",
    "cold": {"periodMs": 0}}],
  "rules": [
    {"name": "file", "match": {"methods": ["POST"], "pathPrefix": "/file"}, "class": "filing",
     "service": "s"},
    {"name": "south", "match": {"pathPrefix": "/south"}, "class": "lookup", "service": "s",
     "regions": ["south"]},
    {"name": "narrow", "match": {"pathPrefix": "/narrow"}, "class": "narrow", "service": "s"},
    {"name": "look", "match": {"methods": ["GET", "HEAD", "POST", "PUT"], "pathPrefix": "/look"},
     "class": "lookup", "service": "s"}]
}"#;

async fn start(servers: usize) -> Fleet {
    let mut topology = topology::raiocerto();
    topology.config = CONFIG.to_string();
    topology.proxies = 1;
    // The servers are spread over the zones; the first is in the proxy's own zone.
    topology.servers = vec![("s", servers)];
    let fleet = Fleet::start(topology).await;
    let revision = fleet.put_config(CONFIG).await;
    fleet.wait_until_active(revision, Duration::from_secs(10)).await;
    fleet
}

/// Sends raw bytes and reads until the connection is closed or idle for 700 ms.
async fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut read = Vec::new();
    let mut buffer = [0; 64 << 10];
    loop {
        match tokio::time::timeout(Duration::from_millis(700), stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => read.extend_from_slice(&buffer[..count]),
            Ok(_) => {
                read.extend_from_slice(b"[closed]");
                break;
            }
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&read).to_string()
}

/// The status line of a response, with a mark if the connection was closed.
fn status_line(reply: &str) -> String {
    let line = reply.lines().next().unwrap_or_default().to_string();
    if reply.ends_with("[closed]") { format!("{line} [closed]") } else { line }
}

#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_requests_are_rejected() {
    let fleet = start(2).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let mut summary = String::new();
    let long = format!("GET /look HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "y".repeat(70_000));
    let big = format!(
        "PUT /look HTTP/1.1\r\nhost: h\r\ncontent-length: 300001\r\n\r\n{}",
        "z".repeat(1000)
    );
    for (name, bytes) in [
        ("good", "GET /look HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"),
        ("absolute form", "GET http://h/look HTTP/1.1\r\nhost: other\r\nconnection: close\r\n\r\n"),
        ("no host", "GET /look HTTP/1.1\r\n\r\n"),
        ("two hosts", "GET /look HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n"),
        (
            "two lengths",
            "POST /look HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        ),
        (
            "length and chunks",
            "POST /look HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "odd coding",
            "POST /look HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        ),
        ("bad chunk", "POST /look HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"),
        ("bad header", "GET /look HTTP/1.1\r\nhost: h\r\nx y: z\r\n\r\n"),
        ("tunnel", "CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n"),
        ("no rule", "DELETE /look HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"),
        ("out of bounds", "GET /south HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"),
        ("long head", &long),
        ("large body", &big),
    ] {
        summary += &format!("{name}: {}\n", status_line(&send_raw(proxy, bytes.as_bytes()).await));
    }
    expect_test::expect![[r#"
        good: HTTP/1.1 200 OK [closed]
        absolute form: HTTP/1.1 200 OK [closed]
        no host: HTTP/1.1 400 Bad Request [closed]
        two hosts: HTTP/1.1 400 Bad Request [closed]
        two lengths: HTTP/1.1 400 Bad Request [closed]
        length and chunks: HTTP/1.1 200 OK [closed]
        odd coding: HTTP/1.1 400 Bad Request [closed]
        bad chunk: HTTP/1.1 400 Bad Request [closed]
        bad header: HTTP/1.1 400 Bad Request [closed]
        tunnel: HTTP/1.1 400 Bad Request [closed]
        no rule: HTTP/1.1 404 Not Found [closed]
        out of bounds: HTTP/1.1 421 Misdirected Request [closed]
        long head: HTTP/1.1 431 Request Header Fields Too Large [closed]
        large body: HTTP/1.1 413 Payload Too Large [closed]
    "#]]
    .assert_eq(&summary);
    let south =
        send_raw(proxy, b"GET /south HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await;
    assert!(south.contains("vanepath-verdict: not-run"), "{south}");
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_are_unchanged() {
    let fleet = start(1).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let call = async |method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]| {
        http_call(proxy, method, path, headers, body).await.unwrap()
    };
    // Target, method and end-to-end headers are unchanged; hop-by-hop headers are not forwarded.
    let reply = call("PUT", "/look/a%2Fb?c=%20d&e", &[("x-request", "1")], b"12345").await;
    let value = reply.json();
    assert_eq!(value["target"].as_str(), Some("/look/a%2Fb?c=%20d&e"));
    assert_eq!(value["method"].as_str(), Some("PUT"));
    assert_eq!(value["bodyBytes"].as_u64(), Some(5));
    // A chunked body, and one too large to be replayed.
    for size in [10, 70_000, 290_000] {
        let body = "q".repeat(size);
        let bytes = format!(
            "PUT /look HTTP/1.1\r\nhost: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
             {size:x}\r\n{body}\r\n0\r\n\r\n"
        );
        let reply = send_raw(proxy, bytes.as_bytes()).await;
        assert!(reply.contains(&format!("\"bodyBytes\":{size}")), "{}", &reply[..200]);
        let reply = call("PUT", "/look", &[], body.as_bytes()).await;
        assert_eq!(reply.json()["bodyBytes"].as_u64(), Some(size as u64));
    }
    // With `expect: 100-continue`, the proxy requests the body before it is sent.
    let mut stream = tokio::net::TcpStream::connect(proxy).await.unwrap();
    let start =
        "PUT /look HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream.write_all(start.as_bytes()).await.unwrap();
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).await.unwrap();
    assert!(buffer[..count].starts_with(b"HTTP/1.1 100 "));
    stream.write_all(b"abc").await.unwrap();
    let count = stream.read(&mut buffer).await.unwrap();
    assert!(buffer[..count].starts_with(b"HTTP/1.1 200 "));
    // A response to HEAD has no body, whatever its content length.
    let reply =
        send_raw(proxy, b"HEAD /look HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await;
    assert!(reply.starts_with("HTTP/1.1 200 ") && reply.ends_with("\r\n\r\n[closed]"), "{reply}");
    // Large bodies are complete, with a content length and in chunks.
    for parameter in ["", "&chunked=1"] {
        let path = format!("/look?size=3000000{parameter}");
        let reply = call("GET", &path, &[("x-request", "n")], b"").await;
        assert!(*reply.body == *pattern("n", 3_000_000));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_servers_never_corrupt_a_response() {
    let fleet = start(3).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let call = async |method: &str, path: &str, request_id: &str| {
        http_call(proxy, method, path, &[("x-request", request_id)], b"").await
    };
    // Server 0 is the only one in the proxy's own zone, so that it gets the first attempt of each request.
    for (behavior, status) in [
        (Behavior::DisconnectAfterExecution, 502),
        (Behavior::TruncatedResponse, 502),
        (Behavior::InvalidResponse, 502),
        (Behavior::Stalled, 504),
        (Behavior::ExtraResponse, 200),
    ] {
        // The server recovers from the previous behavior, and the proxy must have noticed this.
        fleet.servers[0].set_behavior(Behavior::Normal);
        wait_until("server 0 is selected again", Duration::from_secs(20), async || {
            // The proxy probes a degraded server with lookups.
            assert_eq!(call("GET", "/look", "well").await.unwrap().status, 200);
            let status = fleet.page(fleet.with_role("proxy")[0], "status").await;
            status["servers"][0]["why"] == "given work"
        })
        .await;
        fleet.servers[0].set_behavior(behavior);
        // A filing that may have run is not retried, and the client is told so.
        let request_id = format!("file-{behavior:?}");
        let reply = call("POST", "/file", &request_id).await.unwrap();
        assert_eq!(reply.status, status, "{behavior:?}");
        let verdict = reply.headers.get("vanepath-verdict").unwrap();
        assert_eq!(verdict, if status == 200 { "ran" } else { "may-have-run" }, "{behavior:?}");
        assert!(
            fleet.execution_counts().get(&request_id).copied().unwrap_or_default() <= 1,
            "{behavior:?}"
        );
    }
    for behavior in [
        Behavior::DisconnectAfterExecution,
        Behavior::TruncatedResponse,
        Behavior::InvalidResponse,
        Behavior::ExtraResponse,
    ] {
        fleet.servers[0].set_behavior(behavior);
        for round in 0..40 {
            let request_id = format!("look-{behavior:?}-{round}");
            let reply = call("GET", "/look", &request_id).await.unwrap();
            assert_eq!(reply.status, 200, "{behavior:?} {}", reply.json());
            assert_eq!(reply.json()["request"].as_str(), Some(request_id.as_str()), "{behavior:?}");
        }
    }
    // A download that is truncated after its first bytes were forwarded must be truncated for the client too.
    for server in &fleet.servers {
        server.set_behavior(Behavior::TruncatedResponse);
    }
    let reply = call("GET", "/look?size=3000000", "cut").await;
    assert!(reply.is_none_or(|reply| reply.status != 200), "a truncated response looks complete");
}

/// An extra response that arrives after the connection was reused cannot be distinguished from the response
/// to the next request. A server that was observed to send one therefore gets only one request per
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_delayed_extra_response_is_discarded_once_the_server_is_known_for_it() {
    let fleet = start(1).await;
    let index = fleet.with_role("proxy")[0];
    let proxy = fleet.daemons[index].address;
    let call = async |method: &str, path: &str, request_id: &str| {
        http_call(proxy, method, path, &[("x-request", request_id)], b"").await
    };
    fleet.servers[0].set_behavior(Behavior::DelayedExtraResponse);
    assert_eq!(call("GET", "/look", "first").await.unwrap().status, 200);
    let limit = Duration::from_secs(5);
    wait_until("the proxy detects the extra response", limit, async || {
        fleet.page(index, "metrics").await["surplusBytes"].as_u64() == Some(1)
    })
    .await;
    for round in 0..40 {
        let (method, path) =
            if round % 3 == 0 { ("POST", "/file?waitMs=30") } else { ("GET", "/look?waitMs=30") };
        // The last connection is idle again, and its extra response has not arrived yet.
        let ended = std::time::Instant::now();
        wait_until("the connection was idle for 24 ms", limit, async || {
            ended.elapsed().as_millis() > 24
        })
        .await;
        let request_id = format!("n{round}");
        let reply = call(method, path, &request_id).await.unwrap();
        assert_eq!(reply.status, 200, "{round}: {}", reply.json());
        assert_eq!(reply.json()["request"].as_str(), Some(request_id.as_str()), "{round}");
        assert_eq!(fleet.execution_counts()[&request_id], 1);
    }
}

/// A rule is restricted to another region while one of its requests is queued. The restriction that is active
/// when the server is selected applies.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_restriction_applies_to_queued_requests() {
    let fleet = start(1).await;
    let index = fleet.with_role("proxy")[0];
    let proxy = fleet.daemons[index].address;
    let send_narrow = |request_id: &'static str| async move {
        let path = "/narrow?waitMs=1500";
        http_call(proxy, "GET", path, &[("x-request", request_id)], b"").await
    };
    let class = async |key: &str| fleet.page(index, "status").await["classes"][2][key].clone();
    let limit = Duration::from_secs(5);
    let first = tokio::spawn(send_narrow("n1"));
    wait_until("one request is in flight", limit, async || class("used").await == 1).await;
    let second = tokio::spawn(send_narrow("n2"));
    wait_until("one request is queued", limit, async || class("waiting").await == 1).await;
    let restricted = CONFIG.replace(
        r#""class": "narrow", "service": "s""#,
        r#""class": "narrow", "service": "s", "regions": ["south"]"#,
    );
    assert_ne!(restricted, CONFIG);
    let revision = fleet.put_config(&restricted).await;
    fleet.wait_until_active(revision, limit).await;
    assert_eq!(
        first.await.unwrap().unwrap().status,
        200,
        "the request was already sent to a server"
    );
    let second = second.await.unwrap().unwrap();
    assert_eq!(second.status, 421);
    assert_eq!(second.headers.get("vanepath-verdict").unwrap(), "not-run");
    assert_eq!(fleet.execution_counts().get("n2"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_are_answered_at_once() {
    let fleet = start(1).await;
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    // One request is at the server and one is queued; the next is rejected at once.
    let slow = |request_id: &'static str| async move {
        let path = "/narrow?waitMs=2000";
        http_call(proxy, "GET", path, &[("x-request", request_id)], b"").await
    };
    let index = fleet.with_role("proxy")[0];
    let class = async |key: &str| fleet.page(index, "status").await["classes"][2][key].clone();
    let first = tokio::spawn(slow("n1"));
    let limit = Duration::from_secs(5);
    wait_until("one request is in flight", limit, async || class("used").await == 1).await;
    let second = tokio::spawn(slow("n2"));
    wait_until("one request is queued", limit, async || class("waiting").await == 1).await;
    let sent = std::time::Instant::now();
    let third = slow("n3").await.unwrap();
    assert!(sent.elapsed() < Duration::from_millis(500));
    assert_eq!(third.status, 503);
    assert_eq!(third.headers.get("retry-after").unwrap(), "1");
    assert_eq!(third.headers.get("vanepath-verdict").unwrap(), "not-run");
    // The client cancels the queued request: it never runs, although a slot becomes free.
    second.abort();
    assert_eq!(first.await.unwrap().unwrap().status, 200);
    let done = slow("n4").await.unwrap();
    assert_eq!(done.status, 200);
    let runs = fleet.execution_counts();
    assert_eq!(runs.get("n2"), None);
    assert_eq!(runs.get("n3"), None);
    // Without any server, requests are rejected at once too, filings as well as lookups.
    fleet.platform.update_list(|list| list[0].draining = true);
    wait_until("the draining server is no longer selected", Duration::from_secs(4), async || {
        let reply = http_call(proxy, "POST", "/file", &[], b"").await.unwrap();
        reply.status == 503 && reply.headers.contains_key("retry-after")
    })
    .await;
}

/// A resumed proxy waits for updates before it retries a request at another server, but no longer than the
/// deadline of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_suspension_is_answered_within_its_deadline() {
    let fleet = start(3).await;
    fleet.servers.iter().for_each(|server| server.set_behavior(Behavior::Stalled));
    let proxy = fleet.with_role("proxy")[0];
    let address = fleet.daemons[proxy].address;
    let sent = std::time::Instant::now();
    let pending = tokio::spawn(async move {
        let reply = http_call(address, "GET", "/look/1", &[], b"").await;
        (reply.map(|reply| reply.status), sent.elapsed())
    });
    let in_flight =
        || fleet.servers.iter().any(|server| !server.state.arrivals.lock().unwrap().is_empty());
    wait_until("a server has the request", Duration::from_secs(2), async || in_flight()).await;
    // No other daemon can send updates after the resumption.
    let core = (0..fleet.daemons.len()).filter(|index| *index != proxy);
    core.for_each(|index| fleet.suspend(index));
    fleet.suspend(proxy);
    tokio::time::sleep(Duration::from_millis(1800)).await;
    fleet.resume(proxy);
    let (status, took) = pending.await.unwrap();
    assert_eq!(status, Some(504));
    assert!(took < Duration::from_millis(3800), "answered after {took:?}, deadline 3 s");
}
